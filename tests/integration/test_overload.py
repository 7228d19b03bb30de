"""Shedding by importance, and quotas over all hosts, in real processes."""

import asyncio
import collections
import contextlib
import unittest

import httpx

from eelgrasswalk.bench import faulty
from tests.integration import meshes
from tests.integration import setups

RATE = 40.0
BURST = 20
LIMITED_KEY = 'limited-key'
LIMITED = {
    'name': 'limited',
    'rate': RATE,
    'burst': BURST,
    'keys': [{'label': 'test', 'digest': setups.compute_digest(LIMITED_KEY)}],
}
ROUTES = [
    {
        'name': name,
        'service': 'back',
        'path_prefix': f'/{name}',
        'importance': name,
        'idempotent': True,
        'deadline_s': 2.0,
    }
    for name in ('critical', 'low')
]


class OverloadTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        stack = self.enterContext(contextlib.ExitStack())
        services = ('front', 'front', 'back')
        self.mesh = await asyncio.to_thread(faulty.start_mesh, stack, services)
        document = meshes.build_document(
            services, slots=8, routes=ROUTES, accounts=[LIMITED]
        )
        await asyncio.to_thread(self.mesh.apply, document)
        self.client = httpx.AsyncClient(
            timeout=20, limits=httpx.Limits(max_connections=60)
        )
        self.addAsyncCleanup(self.client.aclose)
        self.entries = [
            f'http://{node.ready["callers"]}' for node in self.mesh.nodes
        ]

    async def send(self, entry: int, path: str, key: str) -> int:
        answer = await self.client.get(
            self.entries[entry] + path, headers={'x-api-key': key}
        )
        if answer.status_code != 200:
            self.assertEqual(
                'not-run', answer.headers['eelgrasswalk-verdict'], answer.text
            )
        return answer.status_code

    async def test_most_important_requests_are_shed_last(self) -> None:
        """Low floods at many times the capacity; critical stays within it."""
        stop = asyncio.Event()
        low: collections.Counter[int] = collections.Counter()

        async def flood() -> None:
            while not stop.is_set():
                status = await self.send(0, '/low?ms=100', setups.KEY)
                low[status] += 1

        floods = [asyncio.create_task(flood()) for _ in range(24)]
        while low[503] < 50:
            await asyncio.sleep(0.01)
        critical: collections.Counter[int] = collections.Counter()
        for _ in range(30):
            critical[await self.send(1, '/critical?ms=10', setups.KEY)] += 1
        stop.set()
        await asyncio.gather(*floods)
        self.assertEqual({200: 30}, dict(critical), low)

    async def test_account_is_held_to_its_rate_over_all_hosts(self) -> None:
        """No window of the target's log holds more than rate*t + burst."""
        await asyncio.gather(
            *(
                self.send(index % 3, '/back/item', LIMITED_KEY)
                for index in range(300)
            )
        )
        starts = sorted(run['start'] for run in self.mesh.read_ledger(2))
        worst = 0.0
        for first, begin in enumerate(starts):
            for last in range(first, len(starts)):
                allowed = RATE * (starts[last] - begin) + BURST
                worst = max(worst, last - first + 1 - allowed)
        self.assertLessEqual(worst, 0.0)
        self.assertGreaterEqual(len(starts), BURST // 2)
