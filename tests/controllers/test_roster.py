"""Tests of this node's entry in the store, and of the others'."""

import asyncio
import collections.abc
import dataclasses
import json
import math
import unittest
import unittest.mock

from eelgrasswalk import ports
from eelgrasswalk.controllers import directory
from eelgrasswalk.controllers import roster as roster_keeper
from eelgrasswalk.controllers import roster_entries
from eelgrasswalk.policy import roster
from tests.controllers import fake_store

OWN = roster.Entry(
    node_id='n1',
    incarnation=5,
    revision=0,
    service='orders',
    data_centre='erie',
    host='10.0.0.1',
    port=7000,
    state=roster.TargetState.ABSENT,
)
OTHER = dataclasses.replace(
    OWN, node_id='n2', state=roster.TargetState.READY, target_id='i-2'
)


class Book:
    """Keeps the nodes that it was given last."""

    def __init__(self) -> None:
        self.peers: list[directory.Peer] = []

    def replace(self, peers: collections.abc.Iterable[directory.Peer]) -> None:
        self.peers = list(peers)

    def list_ready(self) -> list[str]:
        return [
            peer.node_id
            for peer in self.peers
            if peer.state == directory.STATE_READY
        ]


class News:
    """Keeps what was sent, and to whom."""

    def __init__(self) -> None:
        self.announced = 0
        self.sent: list[str] = []

    def announce(self, topic: str, payload: bytes) -> None:
        self.announced += 1

    def send(self, node_id: str, topic: str, payload: bytes) -> None:
        self.sent.append(node_id)


def build_row(entry: roster.Entry, version: int = 1) -> ports.Row:
    return ports.Row(
        entry.node_id, roster_entries.encode_entry(entry), version
    )


class EntryTest(unittest.TestCase):
    def test_entry_is_read_as_it_was_written(self) -> None:
        for entry in (OWN, OTHER):
            value = roster_entries.encode_entry(entry)
            self.assertEqual(entry, roster_entries.decode_entry(value))

    def test_entry_of_a_later_release_is_read(self) -> None:
        fields = json.loads(roster_entries.encode_entry(OTHER))
        value = json.dumps({**fields, 'new': [1]}).encode()
        self.assertEqual(OTHER, roster_entries.decode_entry(value))

    def test_entry_of_a_node_without_coldness(self) -> None:
        """Nodes of an earlier release neither write nor know the field."""
        fields = json.loads(roster_entries.encode_entry(OTHER))
        self.assertNotIn('cold_s', fields)
        cold = dataclasses.replace(OTHER, cold_s=7.5)
        value = roster_entries.encode_entry(cold)
        self.assertEqual(cold, roster_entries.decode_entry(value))
        rest = {**json.loads(value)}
        self.assertEqual(7.5, rest.pop('cold_s'))
        self.assertEqual(fields, rest)

    def test_odd_entries_are_none(self) -> None:
        """They ended the task that follows the table, or each call."""
        fields = json.loads(roster_entries.encode_entry(OTHER))
        odd = [
            json.dumps({**fields, name: value}).encode()
            for name, value in (
                ('port', 70_000),
                ('port', 0),
                ('port', '80'),
                ('port', 10**40),
                ('host', 'no such host'),
                ('host', 7),
                ('incarnation', '7'),
                ('incarnation', 1.5),
                ('revision', None),
                ('slots', -1),
                ('slots', math.inf),
                ('service', ['back']),
                ('service', 'x' * 100_000),
                ('target_id', 7),
                ('state', 'asleep'),
                ('state', []),
                ('stopping', 'no'),
                ('born_ms', 10**40),
            )
        ]
        odd += [b'', b'7', b'\xff', b'[' * 50_000, b'{"a":' * 50_000]
        for value in odd:
            with self.subTest(value[-60:]):
                self.assertIsNone(roster_entries.decode_entry(value))


class RosterKeeperTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = fake_store.FakeStore()
        self.book = Book()
        self.news = News()
        self.keeper = roster_keeper.RosterKeeper(
            OWN,
            self.store,
            self.book,
            self.news,
        )
        for name in ('FIRST_PAUSE_S', 'FIRST_WRITE_S'):
            patch = unittest.mock.patch.object(roster_keeper, name, 0.0)
            patch.start()
            self.addCleanup(patch.stop)
        self.addAsyncCleanup(self.keeper.stop)

    async def announce(self) -> None:
        await self.keeper.start()
        self.keeper.change(
            state=roster.TargetState.READY, target_id='i-1', slots=8
        )
        await fake_store.settle()

    async def test_change_is_written_and_told(self) -> None:
        self.keeper.take_all(ports.Rows((build_row(OTHER),), 1), 0.0)
        self.store.outcomes = [ports.Written(4)]
        await self.announce()
        ((key, value, expected),) = self.store.written
        self.assertEqual(('n1', 0), (key, expected))
        entry = roster_entries.decode_entry(value)
        assert entry is not None
        self.assertEqual('i-1', entry.target_id)
        self.assertEqual(1, self.news.announced)
        self.assertTrue(await self.keeper.wait_written(1.0))

    async def test_no_link_is_opened_for_news_that_the_store_has(
        self,
    ) -> None:
        """Links between all nodes would grow with their number squared."""
        self.keeper.take_all(ports.Rows((build_row(OTHER),), 1), 0.0)
        self.store.outcomes = [ports.Written(4)]
        await self.announce()
        self.assertEqual([], self.news.sent)

    async def test_entry_that_a_restored_store_has_lost_is_written_again(
        self,
    ) -> None:
        self.keeper.take_all(ports.Rows((), 1, era=1), 0.0)
        self.store.outcomes = [ports.Written(4), ports.Written(6)]
        await self.announce()
        self.keeper.take_all(ports.Rows((), 5, era=2), 0.0)
        await fake_store.settle()
        self.assertEqual([0, 0], [item[2] for item in self.store.written])
        entry = roster_entries.decode_entry(self.store.written[-1][1])
        assert entry is not None
        self.assertEqual('i-1', entry.target_id)

    async def test_older_entry_in_a_restored_store_is_replaced(self) -> None:
        self.keeper.take_all(ports.Rows((), 1, era=1), 0.0)
        self.store.outcomes = [ports.Written(4), ports.Written(6)]
        await self.announce()
        row = build_row(OWN, 3)
        self.keeper.take_all(ports.Rows((row,), 5, era=2), 0.0)
        await fake_store.settle()
        self.assertEqual([0, 3], [item[2] for item in self.store.written])

    async def test_nodes_missing_after_a_restore_have_time_to_return(
        self,
    ) -> None:
        gone = dataclasses.replace(OTHER, node_id='n3')
        rows = (build_row(OTHER), build_row(gone))
        self.keeper.take_all(ports.Rows(rows, 1, era=1), 0.0)
        with unittest.mock.patch.object(roster_keeper, 'RESTORE_GRACE_S', 0.0):
            self.keeper.take_all(ports.Rows((), 2, era=2), 0.0)
        self.assertEqual(['n2', 'n3'], sorted(self.book.list_ready()))
        again = dataclasses.replace(OTHER, revision=1)
        self.keeper.take_changes(ports.Rows((build_row(again, 3),), 3), 0.0)
        await asyncio.sleep(0.01)
        self.assertEqual(['n2'], self.book.list_ready())

    async def test_node_that_was_removed_unnoticed_returns_without_accounts(
        self,
    ) -> None:
        """Others could not reach it; the removal is in lost history."""
        self.keeper.take_all(ports.Rows((), 1, era=1), 0.0)
        self.store.outcomes = [ports.Written(4), ports.Written(6)]
        await self.announce()
        self.keeper.take_all(ports.Rows((), 5, era=1), 0.0)
        await fake_store.settle()
        self.assertEqual(2, len(self.store.written))
        self.assertTrue(self.keeper.own.secluded)

    async def test_entry_in_the_store_is_not_written_again(self) -> None:
        self.keeper.take_all(ports.Rows((), 1, era=1), 0.0)
        self.store.outcomes = [ports.Written(4)]
        await self.announce()
        row = build_row(self.keeper.own, 4)
        self.keeper.take_all(ports.Rows((row,), 5, era=2), 0.0)
        await fake_store.settle()
        self.assertEqual(1, len(self.store.written))

    async def test_neighbours_are_told_once_while_the_store_is_away(
        self,
    ) -> None:
        self.keeper.list_neighbours = lambda: ('n2', 'n3')
        self.store.outcomes = [ports.Unavailable('down')] * 3
        await self.announce()
        self.assertEqual(['n2', 'n3'], self.news.sent)

    async def test_entry_that_is_passed_on_reaches_the_other_neighbours_once(
        self,
    ) -> None:
        self.keeper.list_neighbours = lambda: ('n3', 'n4')
        payload = roster_entries.encode_entry(OTHER)
        for sender in ('n3', 'n4'):
            self.keeper.receive_passed_on(sender, payload)
        self.assertEqual(['n4'], self.news.sent)
        self.assertIsNotNone(self.keeper.roster.find(OTHER.node_id))

    async def test_entry_of_this_node_that_is_passed_on_changes_nothing(
        self,
    ) -> None:
        stopping = dataclasses.replace(OWN, stopping=True, revision=99)
        self.keeper.receive_passed_on(
            'n2', roster_entries.encode_entry(stopping)
        )
        self.assertFalse(self.keeper.own.stopping)
        self.assertEqual([], self.news.sent)

    async def test_write_that_met_an_earlier_one_is_repeated(self) -> None:
        """The answer to an earlier write was lost."""
        earlier = build_row(OWN, version=7)
        self.store.outcomes = [
            ports.Unknown('lost'),
            ports.Conflict(earlier),
            ports.Written(9),
        ]
        await self.announce()
        self.assertEqual([0, 0, 7], [item[2] for item in self.store.written])

    async def test_entry_that_others_removed_is_written_again(self) -> None:
        self.store.outcomes = [ports.Written(4), ports.Written(6)]
        await self.announce()
        gone = ports.Row('n1', None, 5)
        self.keeper.take_changes(ports.Rows((gone,), 5), 0.0)
        await fake_store.settle()
        self.assertEqual([0, 0], [item[2] for item in self.store.written])

    async def test_node_that_others_took_for_gone_owns_nothing(self) -> None:
        self.store.outcomes = [ports.Written(4), ports.Written(6)]
        await self.announce()
        self.assertEqual(['n1'], self.keeper.list_available())
        gone = ports.Row('n1', None, 5)
        with unittest.mock.patch.object(roster_keeper, 'SECLUSION_S', 0.02):
            self.keeper.take_changes(ports.Rows((gone,), 5), 0.0)
            self.assertEqual([], self.keeper.list_available())
            self.assertTrue(self.keeper.own.is_usable)
            while not self.keeper.list_available():
                await asyncio.sleep(0)

    async def test_node_that_is_gone_is_removed_at_its_version(self) -> None:
        removed: list[tuple[str, int]] = []

        async def remove(
            table: str, key: str, *, expected: int
        ) -> ports.Written:
            removed.append((key, expected))
            return ports.Written(9)

        self.store.remove = remove  # type: ignore[method-assign]
        self.keeper.take_all(
            ports.Rows((build_row(OTHER, version=8),), 8), 0.0
        )
        with self.assertLogs('eelgrasswalk', 'WARNING'):
            await self.keeper.remove('n2')
            await self.keeper.remove('n2')
        self.assertEqual([('n2', 8)], removed)
        self.assertEqual([], self.book.list_ready())

    async def test_waiting_for_a_store_that_is_away_ends(self) -> None:
        await self.announce()
        self.assertFalse(await self.keeper.wait_written(0.01))

    async def test_news_of_peers_go_before_late_rows(self) -> None:
        self.keeper.take_all(ports.Rows((build_row(OTHER),), 1), 0.0)
        self.assertEqual(['n2'], self.book.list_ready())
        leaving = dataclasses.replace(
            OTHER, revision=3, state=roster.TargetState.DRAINING
        )
        self.keeper.receive('n2', roster_entries.encode_entry(leaving))
        self.assertEqual([], self.book.list_ready())
        late = dataclasses.replace(OTHER, revision=2)
        self.keeper.take_changes(ports.Rows((build_row(late),), 2), 0.0)
        self.assertEqual([], self.book.list_ready())

    async def test_removed_node_is_forgotten(self) -> None:
        self.keeper.take_all(ports.Rows((build_row(OTHER),), 1), 0.0)
        self.keeper.take_all(ports.Rows((), 2), 0.0)
        self.assertEqual([], self.book.list_ready())

    async def test_what_another_writer_left_is_ignored(self) -> None:
        rows = (
            ports.Row('n3', b'{', 1),
            ports.Row('n4', b'{"node_id": "n4"}', 2),
            ports.Row('n5', roster_entries.encode_entry(OTHER), 3),
            build_row(OTHER),
        )
        with self.assertLogs('eelgrasswalk', 'WARNING') as logs:
            self.keeper.take_all(ports.Rows(rows, 3), 0.0)
        self.assertEqual(3, len(logs.records))
        self.assertEqual(['n2'], self.book.list_ready())

    async def test_nobody_speaks_for_another_node(self) -> None:
        with self.assertLogs('eelgrasswalk', 'WARNING'):
            self.keeper.receive('n9', roster_entries.encode_entry(OTHER))
        self.assertEqual([], self.book.list_ready())

    async def test_stopping_nodes_own_nothing(self) -> None:
        stopping = dataclasses.replace(OTHER, stopping=True)
        self.keeper.take_all(
            ports.Rows((build_row(OWN), build_row(stopping)), 1), 0.0
        )
        self.assertEqual(['n1'], self.keeper.list_available())
        self.assertEqual(['n1'], self.keeper.list_owners())

    async def test_nodes_whose_target_leaves_own_nothing(self) -> None:
        """Their hosts go with the targets, sometimes without a word."""
        leaving = dataclasses.replace(OTHER, state=roster.TargetState.DRAINING)
        self.keeper.take_all(
            ports.Rows((build_row(OWN), build_row(leaving)), 1), 0.0
        )
        self.assertEqual(['n1', 'n2'], self.keeper.list_available())
        self.assertEqual(['n1'], self.keeper.list_owners())


class ColdEntriesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.book = Book()
        self.keeper = roster_keeper.RosterKeeper(
            OWN, fake_store.FakeStore(), self.book, News()
        )
        self.now = 100.0
        patcher = unittest.mock.patch.object(
            roster_keeper,
            'time',
            unittest.mock.Mock(monotonic=lambda: self.now),
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    def take(self, entry: roster.Entry, version: int) -> float:
        rows = ports.Rows((build_row(entry, version),), version)
        self.keeper.take_changes(rows, 0.0)
        (peer,) = [each for each in self.book.peers if each.node_id == 'n2']
        return peer.cold_until

    def test_coldness_counts_from_when_the_entry_was_first_read(self) -> None:
        """Each change of any entry would prolong it otherwise."""
        cold = dataclasses.replace(OTHER, cold_s=8.0)
        self.assertEqual(108.0, self.take(cold, 1))
        self.now = 105.0
        third = dataclasses.replace(OTHER, node_id='n3')
        self.assertEqual(108.0, self.take(cold, 2))
        self.keeper.receive('n3', roster_entries.encode_entry(third))
        self.assertEqual(108.0, self.take(cold, 3))
        later = dataclasses.replace(cold, revision=1, cold_s=2.0)
        self.assertEqual(107.0, self.take(later, 4))
        warm = dataclasses.replace(OTHER, revision=2)
        self.assertEqual(-math.inf, self.take(warm, 5))
