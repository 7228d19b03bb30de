"""Tests of the timer that watches links."""

import asyncio
import unittest
import unittest.mock

from eelgrasswalk.transport import liveness

WAIT_S = 5.0


class Counted:
    """Counts its checks.

    Args:
        wanted: Checks after which `enough` is set.
    """

    def __init__(self, wanted: int) -> None:
        self.checks = 0
        self.wanted = wanted
        self.enough = asyncio.Event()

    def check_liveness(self, now: float) -> None:
        self.checks += 1
        if self.checks >= self.wanted:
            self.enough.set()


class WatchTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        patch = unittest.mock.patch.object(liveness, 'INTERVAL_S', 0.001)
        patch.start()
        self.addCleanup(patch.stop)

    async def wait_for(self, item: Counted) -> None:
        await asyncio.wait_for(item.enough.wait(), WAIT_S)

    async def test_many_links_share_one_timer(self) -> None:
        loop = asyncio.get_running_loop()
        watch = liveness.Watch()
        items = [Counted(3) for _ in range(100)]
        with unittest.mock.patch.object(
            loop, 'call_later', wraps=loop.call_later
        ) as call_later:
            for item in items:
                watch.add(item)
            for item in items:
                await item.enough.wait()
            rounds = max(item.checks for item in items)
            self.assertLessEqual(call_later.call_count, rounds + 1)

    async def test_what_is_discarded_is_not_checked(self) -> None:
        watch = liveness.Watch()
        gone, kept = Counted(1), Counted(5)
        watch.add(gone)
        watch.add(kept)
        watch.discard(gone)
        await self.wait_for(kept)
        self.assertEqual(0, gone.checks)

    async def test_watch_begins_again_after_it_had_nothing(self) -> None:
        watch = liveness.Watch()
        first, second = Counted(1), Counted(1)
        watch.add(first)
        await self.wait_for(first)
        watch.discard(first)
        await asyncio.sleep(0.01)
        watch.add(second)
        await self.wait_for(second)
