"""A rolling planned stop of every node under load cuts no request."""

import asyncio
import unittest

import httpx

from eelgrasswalk.bench import mesh
from tests.integration import setups

CALLERS = 8


class RollingStopTest(unittest.IsolatedAsyncioTestCase):
    async def test_rolling_stop_cuts_no_request(self) -> None:
        running = self.enterContext(mesh.Mesh())
        setup = setups.start_pair(running, per_service=2)
        self.done = asyncio.Event()
        self.outcomes: list[str] = []
        # The first node is the callers' entry, and is stopped as well.
        entries = [f'http://{node.ready["callers"]}' for node in setup.nodes]
        callers = [
            asyncio.create_task(self.call_until_done(entries))
            for _ in range(CALLERS)
        ]
        for index in (3, 2, 1):
            await self.wait_for_calls(50)
            process = setup.nodes[index]
            entries.remove(f'http://{process.ready["callers"]}')
            self.assertEqual(0, await asyncio.to_thread(process.stop))
            replacement = await asyncio.to_thread(setup.restart, index)
            entries.append(f'http://{replacement.ready["callers"]}')
        await self.wait_for_calls(50)
        self.done.set()
        await asyncio.gather(*callers)
        self.assertEqual({'200'}, set(self.outcomes), setup.describe())

    async def wait_for_calls(self, count: int) -> None:
        wanted = len(self.outcomes) + count
        while len(self.outcomes) < wanted:
            await asyncio.sleep(0.01)

    async def call_until_done(self, entries: list[str]) -> None:
        headers = {'x-api-key': setups.KEY}
        turn = 0
        async with httpx.AsyncClient(headers=headers, timeout=20) as client:
            while not self.done.is_set():
                turn += 1
                base = entries[turn % len(entries)]
                path = ('/back/item?ms=5', '/front/item?ms=5')[turn % 2]
                try:
                    answer = await client.get(base + path)
                except httpx.HTTPError as error:
                    self.outcomes.append(repr(error))
                else:
                    self.outcomes.append(setups.name_outcome(answer))
