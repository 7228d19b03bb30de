"""Tests of following a table."""

import random
import unittest
import unittest.mock

from eelgrasswalk import ports
from eelgrasswalk.controllers import feed
from tests.controllers import fake_store

ROW = ports.Row('config', b'x', 3)


class Follower:
    """Keeps what it was told."""

    def __init__(self) -> None:
        self.told: list[tuple[str, int, float]] = []

    def take_all(self, rows: ports.Rows, true_at: float) -> None:
        self.told.append(('all', rows.version, true_at))

    def take_changes(self, rows: ports.Rows, true_at: float) -> None:
        self.told.append(('changes', rows.version, true_at))


class FeedTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = fake_store.FakeStore()
        self.follower = Follower()
        self.now = 100.0
        self.feed = feed.Feed(
            self.store,
            'op',
            self.follower,
            wait_s=2.0,
            gather_s=0.0,
            clock=lambda: self.now,
            source=random.Random(1),
        )
        patch = unittest.mock.patch.object(feed, 'FIRST_PAUSE_S', 0.0)
        patch.start()
        self.addCleanup(patch.stop)
        self.addAsyncCleanup(self.feed.stop)

    async def run_feed(self) -> None:
        await self.feed.start()
        await fake_store.settle()

    async def test_reads_everything_then_changes(self) -> None:
        self.store.reads = [ports.Rows((), 5)]
        self.store.watches = [ports.Rows((ROW,), 7), ports.Rows((), 7)]
        await self.run_feed()
        self.assertEqual(
            [('all', 5), ('changes', 7), ('changes', 7)],
            [item[:2] for item in self.follower.told],
        )
        self.assertTrue(self.feed.filled.is_set())

    async def test_lost_history_means_reading_again(self) -> None:
        self.store.reads = [ports.Rows((), 5), ports.Rows((ROW,), 9)]
        self.store.watches = [ports.HistoryGone(), ports.Rows((), 9)]
        await self.run_feed()
        self.assertEqual(
            ['all', 'all', 'changes'],
            [item[0] for item in self.follower.told],
        )

    async def test_failure_confirms_nothing(self) -> None:
        self.store.reads = [ports.Unavailable('down'), ports.Rows((), 5)]
        self.store.watches = [ports.Unavailable('down'), ports.Rows((), 5)]
        with self.assertLogs('eelgrasswalk', 'INFO') as logs:
            await self.run_feed()
        self.assertEqual(2, len(self.follower.told))
        self.assertEqual(
            [3003, 3004, 3003, 3004],
            [record.__dict__['event'] for record in logs.records],
        )

    async def test_version_never_goes_back(self) -> None:
        self.store.reads = [ports.Rows((), 9)]
        self.store.watches = [ports.Rows((), 4)]
        asked: list[int] = []
        watch = self.store.watch

        async def note(
            table: str, after: int, wait_s: float
        ) -> fake_store.Answer:
            asked.append(after)
            return await watch(table, after, wait_s)

        self.store.watch = note  # type: ignore[method-assign]
        await self.run_feed()
        self.assertEqual([9, 9], asked)

    async def test_confirmation_is_asked_for_beside_the_waiting_question(
        self,
    ) -> None:
        self.store.reads = [ports.Rows((), 5)]
        await self.run_feed()
        self.store.watches = [ports.Rows((), 5)]
        self.assertTrue(await self.feed.confirm())
        self.assertEqual(2, len(self.follower.told))

    async def test_change_whose_answer_was_lost_is_found(self) -> None:
        """The question that waits is asked again after the change."""
        asked: list[tuple[int, float]] = []
        watch = self.store.watch

        async def note(
            table: str, after: int, wait_s: float
        ) -> fake_store.Answer:
            asked.append((after, wait_s))
            return await watch(table, after, wait_s)

        self.store.watch = note  # type: ignore[method-assign]
        self.store.reads = [ports.Rows((), 5)]
        await self.run_feed()
        self.store.watches = [ports.Rows((ROW,), 8)]
        self.assertTrue(await self.feed.confirm())
        await fake_store.settle()
        self.assertEqual([(5, 2.0), (5, 0.0), (8, 2.0)], asked)

    async def test_confirmation_survives_lost_history(self) -> None:
        self.store.reads = [ports.Rows((), 5)]
        await self.run_feed()
        self.store.watches = [ports.HistoryGone()]
        self.store.reads = [ports.Rows((ROW,), 9)]
        self.assertTrue(await self.feed.confirm())
        self.assertEqual(('all', 9), self.follower.told[-1][:2])

    async def test_store_that_is_back_confirms_at_once(self) -> None:
        waits: list[float] = []
        watch = self.store.watch

        async def note(
            table: str, after: int, wait_s: float
        ) -> fake_store.Answer:
            waits.append(wait_s)
            return await watch(table, after, wait_s)

        self.store.watch = note  # type: ignore[method-assign]
        self.store.reads = [ports.Rows((), 5)]
        self.store.watches = [ports.Unavailable('down'), ports.Rows((), 5)]
        await self.run_feed()
        self.assertEqual([2.0, 0.0, 2.0], waits)
