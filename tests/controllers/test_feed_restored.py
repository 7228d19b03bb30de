"""Tests of following a table of a store that comes back from a copy."""

import asyncio
import random
import time
import unittest

from eelgrasswalk import ports
from eelgrasswalk.controllers import feed
from eelgrasswalk.platform import rows
from eelgrasswalk.standins import rows as standin

TABLE = 'op'


class Follower:
    """Keeps the last value of each row."""

    def __init__(self) -> None:
        self.values: dict[str, bytes | None] = {}

    def take_all(self, rows: ports.Rows, true_at: float) -> None:
        self.values = {row.key: row.value for row in rows.rows}

    def take_changes(self, rows: ports.Rows, true_at: float) -> None:
        self.values |= {row.key: row.value for row in rows.rows}


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.standin = standin.RowsStandin()
        port = await self.standin.start()
        self.addAsyncCleanup(self.standin.stop)
        self.port = port
        self.follower = Follower()
        self.feed = await self.follow(self.follower)

    async def follow(self, follower: Follower) -> feed.Feed:
        """Return a feed that has read the table and relies on peers."""
        store = rows.PlatformRows('127.0.0.1', self.port)
        self.addAsyncCleanup(store.close)
        made = feed.Feed(
            store,
            TABLE,
            follower,
            wait_s=5.0,
            gather_s=0.0,
            clock=time.monotonic,
            source=random.Random(1),
            watches=False,
            keeps_rows=True,
        )
        self.addAsyncCleanup(made.stop)
        await made.start()
        await made.filled.wait()
        return made

    def write_past(self, lost_version: int) -> None:
        while self.standin.copy().version <= lost_version:
            self.standin.put('other', 'key', b'x')

    async def test_change_is_not_missed_once_versions_pass_the_known_one(
        self,
    ) -> None:
        """No 410 comes then, as the store has the node's version again."""
        copy = self.standin.copy()
        for number in range(5):
            self.standin.put('other', 'key', b'%d' % number)
        self.assertTrue(await self.feed.confirm())
        lost = self.standin.copy().version
        self.standin.restore(copy)
        self.standin.put(TABLE, 'config', b'new')
        self.write_past(lost)
        await self.feed.confirm()
        self.assertEqual(b'new', self.follower.values.get('config'))

    async def test_read_after_a_restore_is_used(self) -> None:
        copy = self.standin.copy()
        for number in range(5):
            self.standin.put('other', 'key', b'%d' % number)
        self.assertTrue(await self.feed.confirm())
        self.standin.restore(copy)
        self.standin.put(TABLE, 'config', b'new')
        self.assertTrue(await self.feed.confirm())
        self.assertEqual(b'new', self.follower.values.get('config'))

    async def test_peer_that_has_not_noticed_a_restore_is_not_believed(
        self,
    ) -> None:
        other = await self.follow(Follower())
        sent: list[feed.Advance] = []
        other.on_advance = sent.append
        copy = self.standin.copy()
        for number in range(5):
            self.standin.put('other', 'key', b'%d' % number)
        self.assertTrue(await other.confirm())
        lost = self.standin.copy().version
        self.standin.restore(copy)
        await self.feed.confirm()
        for advance in sent:
            self.feed.apply_peer_update(advance)
        self.standin.put(TABLE, 'config', b'new')
        self.write_past(lost)
        await self.feed.confirm()
        self.assertEqual(b'new', self.follower.values.get('config'))

    async def test_peer_of_a_later_era_makes_a_node_ask(self) -> None:
        for number in range(5):
            self.standin.put('other', 'key', b'%d' % number)
        self.assertTrue(await self.feed.confirm())
        copy = standin.Copy({}, 1)
        self.standin.restore(copy)
        self.standin.put(TABLE, 'config', b'new')
        other = await self.follow(Follower())
        sent: list[feed.Advance] = []
        other.on_advance = sent.append
        self.assertTrue(await other.confirm())
        for advance in sent:
            self.feed.apply_peer_update(advance)
        async with asyncio.timeout(5.0):
            while self.follower.values.get('config') != b'new':
                await asyncio.sleep(0)
