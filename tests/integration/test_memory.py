"""Bodies held in memory have a bound; past it calls are refused."""

import asyncio
import contextlib
import unittest

import httpx

from eelgrasswalk.bench import mesh
from tests.integration import setups

BODY_BYTES = 4_000_000
MEMORY_BYTES = 10_000_000


class MemoryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        stack = self.enterContext(contextlib.ExitStack())
        running = stack.enter_context(mesh.Mesh())
        self.setup = await asyncio.to_thread(
            setups.start_chain,
            running,
            ('front', 'back'),
            route_options={'max_request_bytes': 2 * BODY_BYTES},
            node_limits={'body_memory_bytes': MEMORY_BYTES},
        )
        self.entry = f'http://{self.setup.nodes[0].ready["callers"]}'
        self.admin = self.setup.nodes[0].ready['admin']

    async def read_held(self) -> int:
        async with httpx.AsyncClient() as client:
            answer = await client.get(
                f'http://{self.admin}/_eelgrasswalk/status'
            )
        held: int = answer.json()['body_bytes']
        return held

    async def test_bodies_past_the_bound_are_refused_as_not_run(self) -> None:
        async with httpx.AsyncClient(timeout=20) as client:
            answers = await asyncio.gather(
                *(
                    client.post(
                        f'{self.entry}/back/item?ms=300',
                        content=b'x' * BODY_BYTES,
                        headers={'x-api-key': setups.KEY},
                    )
                    for _ in range(8)
                )
            )
        refused = [item for item in answers if item.status_code != 200]
        self.assertNotEqual([], refused)
        self.assertLess(len(refused), len(answers))
        for answer in refused:
            self.assertEqual(503, answer.status_code, answer.text)
            self.assertIn('not-run', answer.headers['eelgrasswalk-verdict'])

    async def test_memory_is_given_back(self) -> None:
        async with httpx.AsyncClient(timeout=20) as client:
            for _ in range(6):
                answer = await client.get(
                    f'{self.entry}/back/item?bytes={BODY_BYTES}',
                    headers={'x-api-key': setups.KEY},
                )
                self.assertEqual(200, answer.status_code, answer.text)
                self.assertGreaterEqual(len(answer.content), BODY_BYTES)
        self.assertEqual(0, await self.read_held())
