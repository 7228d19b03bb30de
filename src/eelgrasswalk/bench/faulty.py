"""Meshes of real processes on the platform, behind fault proxies."""

import collections.abc
import contextlib
import dataclasses
import os
import subprocess
import sys
import typing

import httpx

from . import mesh

DATA_CENTRE = 'test'
ANNOUNCE_S = 0.5


@dataclasses.dataclass(slots=True)
class FaultyMesh:
    """Nodes whose links and whose way to the platform can be broken.

    Args:
        running: Owns the processes.
        platform: URL of the platform, without faults.
        control: Client of the fault proxy; route 0 leads to the platform,
            route N to the links of the node N - 1.
        targets: Addresses of the targets.
        settings: The nodes' settings.
        nodes: The nodes.
    """

    running: mesh.Mesh
    platform: str
    control: httpx.Client
    targets: list[str]
    settings: list[dict[str, typing.Any]]
    nodes: list[mesh.Process]

    def run_operator(self, *arguments: str, node: int = 0) -> str:
        """Run the operators' command line; return its output."""
        done = subprocess.run(
            [sys.executable, '-m', 'eelgrasswalk.cli.operator', *arguments],
            env={
                **os.environ,
                'EELGRASSWALK_PLATFORM': self.platform,
                'EELGRASSWALK_NODE': self.nodes[node].ready['admin'],
            },
            capture_output=True,
            text=True,
        )
        if done.returncode:
            raise AssertionError(f'{arguments}: {done.stdout}{done.stderr}')
        return done.stdout

    def apply(self, text: str) -> None:
        """Apply a document and wait until it is in force everywhere."""
        path = self.running.write_file('applied.yaml', text)
        self.run_operator('apply', str(path), '--yes', '--wait')

    def restart(self, index: int) -> mesh.Process:
        """Start a node again after it has ended."""
        self.nodes[index] = self.running.start_node(self.settings[index])
        return self.nodes[index]

    def break_route(self, route: int, fault: str, **values: object) -> None:
        """Apply a fault to a route of the proxy."""
        path = f'/routes/{route}/{fault}'
        self.control.post(path, json=values).raise_for_status()

    def read_status(self, index: int) -> dict[str, typing.Any]:
        """Return what a node says of itself."""
        address = self.nodes[index].ready['admin']
        answer = httpx.get(f'http://{address}/_eelgrasswalk/status')
        answer.raise_for_status()
        status: dict[str, typing.Any] = answer.json()
        return status

    def read_ledger(self, index: int) -> list[dict[str, typing.Any]]:
        """Return what a target ran."""
        url = f'http://{self.targets[index]}/_standin/ledger'
        runs: list[dict[str, typing.Any]] = httpx.get(url).json()
        return runs

    def read_ledgers(self) -> list[dict[str, typing.Any]]:
        """Return what all targets ran."""
        return [
            run
            for index in range(len(self.targets))
            for run in self.read_ledger(index)
        ]

    def behave(self, index: int, **switches: object) -> None:
        """Set switches of a target."""
        url = f'http://{self.targets[index]}/_standin/behave'
        httpx.post(url, json=switches).raise_for_status()

    def behave_platform(self, **switches: object) -> None:
        """Set switches of the platform."""
        url = f'{self.platform}/_standin/behave'
        httpx.post(url, json=switches).raise_for_status()


def start_mesh(
    stack: contextlib.ExitStack, services: collections.abc.Sequence[str]
) -> FaultyMesh:
    """Start a platform, a fault proxy, and a node for each service."""
    running = stack.enter_context(mesh.Mesh())
    platform = running.start_standin('platform').ready['addresses'][0]
    count = len(services)
    ports = mesh.find_free_ports(3 * count)
    calls, links, gossip = (
        ports[index * count : (index + 1) * count] for index in range(3)
    )
    options: list[str] = []
    for port in calls:
        options += ['--listen', '127.0.0.1:0', '--node', f'127.0.0.1:{port}']
    targets = running.start_standin('target', *options).ready['addresses']
    routes = ['--tcp', platform]
    for port in links:
        routes += ['--tcp', f'127.0.0.1:{port}']
    proxy = running.start_standin('faults', *routes).ready
    entries = proxy['addresses']
    settings = [
        {
            'node_id': f'{service}-{index}',
            'host': f'host-{index}',
            'data_centre': DATA_CENTRE,
            'service': service,
            'mesh_secret': mesh.SECRET,
            'target': {'address': targets[index]},
            'platform': {'url': f'http://{entries[0]}'},
            'seeds': [f'127.0.0.1:{gossip[0]}', f'127.0.0.1:{gossip[-1]}'],
            'limits': {'announce_s': ANNOUNCE_S},
            'advertised_links': entries[index + 1],
            'listen': {
                'links': f'127.0.0.1:{links[index]}',
                'target_calls': f'127.0.0.1:{calls[index]}',
                'gossip': f'127.0.0.1:{gossip[index]}',
            },
        }
        for index, service in enumerate(services)
    ]
    control = stack.enter_context(
        httpx.Client(base_url=f'http://{proxy["control"]}')
    )
    return FaultyMesh(
        running=running,
        platform=f'http://{platform}',
        control=control,
        targets=targets,
        settings=settings,
        nodes=running.start_nodes(settings),
    )
