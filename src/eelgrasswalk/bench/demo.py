"""A small mesh on this machine: calls through it and their outcomes."""

import dataclasses
import pathlib
import sys

import click
import httpx

from . import mesh
from . import report

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / 'examples'
CALL_TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """What the demo does in one mesh.

    Args:
        mesh: Name of the mesh, and of its example document.
        key: A key of the example.
        front: Service that calls the other one.
        front_path: A path of the front service.
        back: Service that is called.
        back_path: A path of the back service.
    """

    mesh: str
    key: str
    front: str
    front_path: str
    back: str
    back_path: str


STORIES = {
    'lakeshore': Story(
        mesh='lakeshore',
        key='demo-lakeshore-erie-1',
        front='catalogue',
        front_path='/catalogue/finishes',
        back='inventory',
        back_path='/stock/finishes',
    ),
    'cebollati': Story(
        mesh='cebollati',
        key='demo-cebollati-chacra-parao-1',
        front='calendario',
        front_path='/calendario/turnos',
        back='niveles',
        back_path='/niveles/canal',
    ),
}


@dataclasses.dataclass(slots=True)
class Demo:
    """A running mesh and the checks made on it."""

    story: Story
    client: httpx.Client
    failures: int = 0

    def check(
        self, title: str, path: str, status: int, **headers: str
    ) -> httpx.Response:
        """Send a call and compare its status."""
        answer = self.client.get(
            path,
            headers={
                name.replace('_', '-'): headers[name] for name in headers
            },
        )
        good = answer.status_code == status
        self.failures += not good
        verdict = answer.headers.get('eelgrasswalk-verdict', 'answered')
        mark = 'ok  ' if good else 'FAIL'
        click.echo(
            f'{mark} {title}: GET {path} -> {answer.status_code} ({verdict})'
        )
        return answer


def start_mesh(running: mesh.Mesh, story: Story) -> list[mesh.Process]:
    """Start two nodes for each of the two services."""
    services = (story.front, story.front, story.back, story.back)
    links = mesh.find_free_ports(4)
    calls = mesh.find_free_ports(4)
    options = []
    for port in calls:
        options += ['--listen', '127.0.0.1:0', '--node', f'127.0.0.1:{port}']
    targets = running.start_standin('target', '--ms', '5', *options)
    members = [
        {
            'node_id': f'{service}-{index}',
            'service': service,
            'data_centre': 'demo',
            'links': f'127.0.0.1:{port}',
        }
        for index, (service, port) in enumerate(
            zip(services, links, strict=True)
        )
    ]
    nodes = []
    for index, member in enumerate(members):
        nodes.append(
            running.start_node(
                {
                    'node_id': member['node_id'],
                    'data_centre': 'demo',
                    'service': member['service'],
                    'mesh_secret': mesh.SECRET,
                    'target': {'address': targets.ready['addresses'][index]},
                    'document': str(EXAMPLES / f'{story.mesh}.yaml'),
                    'members': members,
                    'listen': {
                        'links': member['links'],
                        'target_calls': f'127.0.0.1:{calls[index]}',
                    },
                }
            )
        )
        report.report_progress(f'node {member["node_id"]} is ready')
    return nodes


def run_story(demo: Demo) -> None:
    """Send calls and show what becomes of each."""
    story = demo.story
    key = story.key
    demo.check('answered', story.front_path, 200, x_api_key=key)
    demo.check(
        'answered through a service that calls another',
        f'{story.front_path}?child={story.back_path}',
        200,
        x_api_key=key,
    )
    demo.check('no key', story.front_path, 401)
    demo.check('unknown key', story.front_path, 403, x_api_key='stolen')
    demo.check('no route', '/nowhere', 404, x_api_key=key)


@click.command()
@click.option(
    '--mesh',
    'name',
    type=click.Choice(sorted(STORIES)),
    default='lakeshore',
    show_default=True,
)
def command(name: str) -> None:
    """Start a mesh, send calls through it and show the outcomes."""
    story = STORIES[name]
    with mesh.Mesh() as running:
        nodes = start_mesh(running, story)
        entry = nodes[0].ready['callers']
        with httpx.Client(
            base_url=f'http://{entry}', timeout=CALL_TIMEOUT_S
        ) as client:
            demo = Demo(story, client)
            run_story(demo)
        codes = [node.stop() for node in nodes]
    click.echo(f'nodes stopped with {codes}')
    if demo.failures or any(codes):
        sys.exit(1)
