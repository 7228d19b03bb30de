"""Small meshes of real processes for the tests."""

import collections.abc
import dataclasses
import hashlib
import typing

import httpx
import yaml

from eelgrasswalk.bench import mesh

KEY = 'test-key'
ACCOUNT = 'test'
ANNOUNCE_S = 0.3


@dataclasses.dataclass(slots=True)
class Setup:
    """Nodes with their targets, known to each other from settings.

    Args:
        running: Owns the processes.
        targets: Addresses of the targets.
        nodes: The nodes, one beside each target.
        settings: The settings of the nodes.
    """

    running: mesh.Mesh
    targets: list[str]
    nodes: list[mesh.Process]
    settings: list[dict[str, typing.Any]]

    def restart(self, index: int) -> mesh.Process:
        """Start a node again after it has ended."""
        self.nodes[index] = self.running.start_node(self.settings[index])
        return self.nodes[index]

    def describe(self) -> str:
        """Return the nodes' states for messages of failed checks."""
        return ' '.join(
            f'{node.ready["node_id"]}={node.popen.poll()}'
            for node in self.nodes
        )


def start_pair(running: mesh.Mesh, *, per_service: int) -> Setup:
    """Start nodes of the services `front` and `back`."""
    services = ['front'] * per_service + ['back'] * per_service
    return start_chain(running, services)


def start_chain(
    running: mesh.Mesh,
    services: collections.abc.Sequence[str],
    *,
    route_options: collections.abc.Mapping[str, typing.Any] | None = None,
    node_limits: collections.abc.Mapping[str, typing.Any] | None = None,
) -> Setup:
    """Start one node for each of the named services, in order."""
    count = len(services)
    ports = mesh.find_free_ports(2 * count)
    links, calls = ports[:count], ports[count:]
    options: list[str] = []
    for port in calls:
        options += ['--listen', '127.0.0.1:0', '--node', f'127.0.0.1:{port}']
    target = running.start_standin('target', *options)
    targets = target.ready['addresses']
    document = running.write_file(
        'document.yaml', build_document(services, route_options or {})
    )
    members = [
        {
            'node_id': f'{service}-{index}',
            'service': service,
            'data_centre': 'test',
            'links': f'127.0.0.1:{port}',
        }
        for index, (service, port) in enumerate(
            zip(services, links, strict=True)
        )
    ]
    settings = [
        {
            'node_id': member['node_id'],
            'data_centre': 'test',
            'service': member['service'],
            'mesh_secret': mesh.SECRET,
            'target': {'address': targets[index]},
            'document': str(document),
            'members': members,
            'limits': {'announce_s': ANNOUNCE_S, **(node_limits or {})},
            'listen': {
                'links': member['links'],
                'target_calls': f'127.0.0.1:{calls[index]}',
            },
        }
        for index, member in enumerate(members)
    ]
    nodes = [running.start_node(item) for item in settings]
    return Setup(running, targets, nodes, settings)


def build_document(
    services: collections.abc.Sequence[str],
    route_options: collections.abc.Mapping[str, typing.Any],
) -> str:
    """Return a document with one account and a route to each service."""
    names = list(dict.fromkeys(services))
    return yaml.safe_dump(
        {
            'schema': 1,
            'mesh': 'test',
            'accounts': [
                {
                    'name': ACCOUNT,
                    'rate': 1000,
                    'burst': 1000,
                    'keys': [{'label': 'test', 'digest': compute_digest(KEY)}],
                }
            ],
            'services': [
                {'name': name, 'slots': 20, 'connections': 40}
                for name in names
            ],
            'routes': [
                {
                    'name': name,
                    'service': name,
                    'path_prefix': f'/{name}',
                    'idempotent': True,
                    **route_options,
                }
                for name in names
            ],
        }
    )


def compute_digest(key: str) -> str:
    """Return the digest of a key as documents hold it."""
    return hashlib.sha256(key.encode()).hexdigest()


def name_outcome(answer: httpx.Response) -> str:
    """Return the status, and what the answer says of a failure."""
    if answer.status_code == 200:
        return '200'
    return f'{answer.status_code} {answer.text}'
