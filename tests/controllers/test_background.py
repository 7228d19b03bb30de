"""Tests that work in the background outlives its failures."""

import asyncio
import unittest
import unittest.mock

from eelgrasswalk.controllers import background


class BackgroundTest(unittest.IsolatedAsyncioTestCase):
    async def test_work_that_fails_is_logged_and_begins_again(self) -> None:
        """A feed ended without a word, and its node followed no table."""
        begun = 0
        is_running = asyncio.Event()

        async def run() -> None:
            nonlocal begun
            begun += 1
            if begun < 3:
                raise RecursionError
            is_running.set()
            await asyncio.Event().wait()

        work = background.Background(run)
        with (
            unittest.mock.patch.object(background, 'PAUSE_S', 0.0),
            self.assertLogs('eelgrasswalk') as logged,
        ):
            await work.start()
            async with asyncio.timeout(5.0):
                await is_running.wait()
        await work.stop()
        self.assertEqual(2, len(logged.records))
        self.assertIn(
            'RecursionError', logged.records[0].__dict__['traceback']
        )
