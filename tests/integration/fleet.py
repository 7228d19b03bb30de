"""A small fleet of node processes on a stand-in of the platform."""

import typing

import httpx

from eelgrasswalk.bench import mesh
from eelgrasswalk.controllers import audit
from eelgrasswalk.document import model
from eelgrasswalk.operations import revisions
from eelgrasswalk.operations import store
from eelgrasswalk.platform import http

SERVICES = ('front', 'front', 'orders', 'orders')


class Fleet:
    """Two entry nodes and two nodes of the orders, on one platform."""

    def __init__(self, running: mesh.Mesh, *, seed: int) -> None:
        self._running = running
        platform = running.start_standin('platform', '--seed', str(seed))
        self.platform = f'http://{platform.ready["addresses"][0]}'
        (self._seed_port,) = mesh.find_free_ports(1)
        targets = running.start_standin(
            'target', *['--listen', '127.0.0.1:0'] * len(SERVICES)
        )
        self.targets = targets.ready['addresses']
        self._settings = [
            self._make_settings(index) for index in range(len(SERVICES))
        ]
        self.processes: list[mesh.Process] = []

    def _make_settings(self, index: int) -> dict[str, typing.Any]:
        gossip = 0 if index else self._seed_port
        return {
            'node_id': f'{SERVICES[index]}-{index}',
            'host': f'host-{index}',
            'data_centre': 'test',
            'service': SERVICES[index],
            'mesh_secret': mesh.SECRET,
            'target': {'address': self.targets[index]},
            'platform': {
                'url': self.platform,
                'reads_per_s': 200.0,
                'writes_per_s': 100.0,
            },
            'seeds': [f'127.0.0.1:{self._seed_port}'],
            'listen': {'gossip': f'127.0.0.1:{gossip}'},
        }

    def start(self) -> None:
        for settings in self._settings:
            self.processes.append(self._running.start_node(settings))

    def replace(self, index: int) -> None:
        """Kill a node and start it anew."""
        self.processes[index].kill()
        node = self._running.start_node(self._settings[index])
        self.processes[index] = node

    def list_entries(self) -> list[str]:
        return [
            f'http://{node.ready["callers"]}'
            for node, service in zip(self.processes, SERVICES, strict=True)
            if service == 'front'
        ]

    async def publish(self, document: model.Document) -> None:
        """Publish a document as the next version."""
        async with httpx.AsyncClient(base_url=self.platform) as client:
            platform = http.HttpPlatform(client)
            opened = store.StoredRevisions(platform, platform)
            head = await opened.read_head()
            base = None
            if isinstance(head, revisions.Found):
                base = head.revision
            outcome = await opened.publish(
                document,
                base=base,
                author=audit.Author('ana', '127.0.0.1', 'test'),
            )
        assert isinstance(outcome, revisions.Published), outcome

    async def behave(self, **changes: object) -> None:
        """Change the platform's behaviour."""
        url = f'{self.platform}/_standin/behave'
        async with httpx.AsyncClient() as client:
            answer = await client.post(url, json=changes)
        answer.raise_for_status()
