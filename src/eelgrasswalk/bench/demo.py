"""A small mesh on this machine: calls through it and their outcomes."""

import collections
import concurrent.futures
import dataclasses
import os
import pathlib
import subprocess
import sys

import click
import httpx

from . import mesh
from . import report

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / 'examples'
CALL_TIMEOUT_S = 20.0
BURST_CALLS = 120
SURGE_CALLS = 200
SURGE_THREADS = 100
SLOW_MS = 300


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """What the demo does in one mesh.

    Args:
        mesh: Name of the mesh, and of its example document.
        data_centre: Where its nodes are.
        account: A client account of the example.
        key: Its key.
        small_key: Key of an account with a small burst.
        large_key: Key of the account with the largest burst.
        front: Service that calls the other one.
        front_path: A path of the front service.
        back: Service that is called.
        back_path: A path of the back service.
    """

    mesh: str
    data_centre: str
    account: str
    key: str
    small_key: str
    large_key: str
    front: str
    front_path: str
    back: str
    back_path: str


STORIES = {
    'lakeshore': Story(
        mesh='lakeshore',
        data_centre='erie',
        account='erie',
        small_key='demo-lakeshore-dunkirk-1',
        large_key='demo-lakeshore-cleveland-1',
        key='demo-lakeshore-erie-1',
        front='catalogue',
        front_path='/catalogue/finishes',
        back='inventory',
        back_path='/stock/finishes',
    ),
    'cebollati': Story(
        mesh='cebollati',
        data_centre='lascano',
        account='chacra-parao',
        small_key='demo-cebollati-tambo-averias-1',
        large_key='demo-cebollati-arrozal-del-este-1',
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

    def check_quota(self) -> None:
        """Send more than an account's burst at once."""
        statuses = self._send_many(
            BURST_CALLS, self.story.front_path, self.story.small_key
        )
        click.echo(f'     {BURST_CALLS} calls of a small account: {statuses}')
        self._expect('over its rate: some answered', statuses[200] > 0)
        self._expect('over its rate: the rest 429', statuses[429] > 0)

    def check_overload(self) -> None:
        """Send far more than the back service can run."""
        path = f'{self.story.back_path}?ms={SLOW_MS}'
        statuses = self._send_many(SURGE_CALLS, path, self.story.large_key)
        click.echo(f'     {SURGE_CALLS} slow calls at once: {statuses}')
        self._expect('overload: some answered', statuses[200] > 0)
        self._expect('overload: the rest shed as not run', statuses[503] > 0)

    def _send_many(
        self, count: int, path: str, key: str
    ) -> collections.Counter[int]:
        def send(_: int) -> int:
            answer = self.client.get(path, headers={'x-api-key': key})
            return answer.status_code

        with concurrent.futures.ThreadPoolExecutor(SURGE_THREADS) as pool:
            return collections.Counter(pool.map(send, range(count)))

    def _expect(self, title: str, good: bool) -> None:
        self.failures += not good
        click.echo(f'{"ok  " if good else "FAIL"} {title}')


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The processes of the demo."""

    platform: str
    nodes: tuple[mesh.Process, ...]


def start_mesh(running: mesh.Mesh, story: Story) -> Started:
    """Start the platform and two nodes for each of the two services."""
    platform = running.start_standin('platform')
    url = f'http://{platform.ready["addresses"][0]}'
    services = (story.front, story.front, story.back, story.back)
    count = len(services)
    ports = mesh.find_free_ports(2 * count)
    calls, gossip = ports[:count], ports[count:]
    options = []
    for port in calls:
        options += ['--listen', '127.0.0.1:0', '--node', f'127.0.0.1:{port}']
    targets = running.start_standin('target', '--ms', '5', *options)
    nodes = []
    for index, service in enumerate(services):
        settings = {
            'node_id': f'{service}-{index}',
            'host': f'host-{index}',
            'data_centre': story.data_centre,
            'service': service,
            'mesh_secret': mesh.SECRET,
            'target': {'address': targets.ready['addresses'][index]},
            'platform': {'url': url},
            'seeds': [f'127.0.0.1:{gossip[0]}'],
            'listen': {
                'target_calls': f'127.0.0.1:{calls[index]}',
                'gossip': f'127.0.0.1:{gossip[index]}',
            },
        }
        nodes.append(running.start_node(settings))
        report.report_progress(f'node {settings["node_id"]} is ready')
    return Started(url, tuple(nodes))


def run_operator(started: Started, *arguments: str) -> None:
    """Run the operators' command line and show what it prints."""
    click.echo(f'$ eelgrasswalk {" ".join(arguments)}')
    subprocess.run(
        [sys.executable, '-m', 'eelgrasswalk.cli.operator', *arguments],
        env={
            **os.environ,
            'EELGRASSWALK_PLATFORM': started.platform,
            'EELGRASSWALK_NODE': started.nodes[0].ready['admin'],
        },
        stderr=subprocess.DEVNULL,
        check=True,
    )


def run_story(demo: Demo, started: Started) -> None:
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
    demo.check_quota()
    demo.check_overload()
    run_operator(
        started, 'key', 'withdraw', story.account, 'demo-1', '--yes', '--wait'
    )
    demo.check('withdrawn key', story.front_path, 403, x_api_key=key)


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
        started = start_mesh(running, story)
        entry = started.nodes[0].ready['callers']
        with httpx.Client(
            base_url=f'http://{entry}',
            timeout=CALL_TIMEOUT_S,
            limits=httpx.Limits(max_connections=SURGE_THREADS),
        ) as client:
            run_operator(
                started,
                'apply',
                str(EXAMPLES / f'{story.mesh}.yaml'),
                '--yes',
                '--wait',
            )
            demo = Demo(story, client)
            run_story(demo, started)
        codes = mesh.stop_all(started.nodes)
    click.echo(f'nodes stopped with {codes}')
    if demo.failures or any(codes):
        sys.exit(1)
