"""Tests of evacuations from rows to the gate and the upstreams.

The feeds, the relay and the rules are the real ones; the store is a fake.
"""

import asyncio
import functools
import random
import unittest
import unittest.mock

from eelgrasswalk import ports
from eelgrasswalk.controllers import directory
from eelgrasswalk.controllers import evacuations
from eelgrasswalk.controllers import feed
from eelgrasswalk.controllers import relay
from eelgrasswalk.controllers import rules
from eelgrasswalk.platform import operator_config
from eelgrasswalk.policy import freshness
from eelgrasswalk.policy.placement import evacuation
from eelgrasswalk.policy.placement import spread
from tests.controllers import fake_store
from tests.controllers import test_relay

TABLE = 'op'
CONFIG = b'{"version": %d, "listeners": []}'


def build_row(zone: str, version: int, *, exists: bool = True) -> ports.Row:
    return ports.Row(f'evacuate/{zone}', b'{}' if exists else None, version)


def build_config(number: int, version: int) -> ports.Row:
    return ports.Row('config', CONFIG % number, version)


class EvacuationRulesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fresh = freshness.Freshness(3.0)
        self.applied: list[int] = []
        self.changes: list[evacuation.Change] = []
        self.keeper = rules.RuleKeeper(
            operator_config.OperatorRules(),
            self.fresh,
            lambda table: self.applied.append(table.version),
        )
        self.keeper.on_evacuated = self.changes.append
        self.take_all(build_config(7, 1), version=1)

    def take_all(self, *rows: ports.Row, version: int) -> None:
        self.keeper.take_all(ports.Rows(rows, version, 1.0), 10.0)

    def take(
        self, *rows: ports.Row, version: int, true_at: float = 10.0
    ) -> None:
        self.keeper.take_changes(ports.Rows(rows, version, 1.0), true_at)

    def test_batches_hold_evacuations_the_configuration_or_both(self) -> None:
        self.take(build_row('a', 2), version=2)
        self.assertEqual([7], self.applied)
        self.take(build_config(8, 3), version=3)
        self.assertEqual({'a'}, self.keeper.evacuated)
        batch = (
            build_row('a', 4, exists=False),
            build_config(9, 5),
            build_row('b', 6),
        )
        self.take(*batch, version=6)
        self.assertEqual([7, 8, 9], self.applied)
        self.assertEqual({'b'}, self.keeper.evacuated)

    def test_batch_with_evacuations_only_confirms_the_rules(self) -> None:
        """Keys would stop to count during evacuations otherwise."""
        self.take(build_row('a', 2), version=2, true_at=14.0)
        self.assertTrue(self.fresh.is_fresh(16.9))

    def test_unreadable_configuration_does_not_stop_an_evacuation(
        self,
    ) -> None:
        with self.assertLogs('eelgrasswalk', 'INFO') as logs:
            self.take(
                ports.Row('config', b'x', 2), build_row('a', 3), version=3
            )
        self.assertEqual({'a'}, self.keeper.evacuated)
        self.assertIn(
            3017, [record.__dict__['event'] for record in logs.records]
        )

    def test_row_that_is_written_and_removed_in_a_batch(self) -> None:
        """The last row of a key counts."""
        self.take(
            build_row('a', 2),
            build_row('a', 3, exists=False),
            build_row('b', 4, exists=False),
            build_row('b', 5),
            version=5,
        )
        self.assertEqual({'b'}, self.keeper.evacuated)

    def test_full_read_replaces_the_set(self) -> None:
        """A removed row is missing from it; a restored one is there again."""
        self.take(build_row('a', 2), version=2)
        self.take_all(build_config(7, 1), build_row('b', 3), version=9)
        self.assertEqual({'b'}, self.keeper.evacuated)
        self.assertEqual(frozenset('a'), self.changes[-1].lifted)

    def test_change_is_logged_with_the_version_of_the_store(self) -> None:
        with self.assertLogs('eelgrasswalk', 'INFO') as logs:
            self.take(build_row('a', 2), version=5)
            self.take(build_row('a', 6), version=6)
        (record,) = logs.records
        self.assertEqual(3017, record.__dict__['event'])
        self.assertEqual(5, record.__dict__['version'])
        self.assertEqual(['a'], record.__dict__['begun'])

    def test_other_rows_of_the_table_are_no_evacuations(self) -> None:
        rows = (
            ports.Row('evacuate/', b'{}', 2),
            ports.Row('evacuate', b'{}', 3),
            ports.Row('other/a', b'{}', 4),
        )
        self.take(*rows, version=4)
        self.assertEqual(frozenset(), self.keeper.evacuated)


class EvacuationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.calls = unittest.mock.Mock()
        self.evacuations = evacuations.Evacuations('a', self.calls.upstreams)
        self.evacuations.on_lifted = self.calls.on_lifted
        self.evacuations.on_own_lifted = self.calls.on_own_lifted

    def apply(self, known: str, evacuated: str) -> None:
        change = evacuation.find_change(
            frozenset(known),
            evacuation.Marks(frozenset(evacuated)),
            is_complete=True,
        )
        assert change is not None
        self.evacuations.apply(change)

    def test_coldness_is_assumed_before_calls_are_accepted(self) -> None:
        self.evacuations.set_gate(self.calls.gate)
        self.apply('', 'ab')
        self.calls.reset_mock()
        self.apply('ab', '')
        self.assertEqual(
            [
                unittest.mock.call.on_own_lifted(),
                unittest.mock.call.gate.set_evacuated(False),
                unittest.mock.call.upstreams.set_evacuated(frozenset()),
                # The balancer knows these upstreams only from here on; no
                # call is chosen in between.
                unittest.mock.call.on_lifted(frozenset('ab')),
            ],
            self.calls.mock_calls,
        )

    def test_gate_that_is_built_later_learns_of_it(self) -> None:
        """A node that starts during the evacuation."""
        self.apply('', 'a')
        self.evacuations.set_gate(self.calls.gate)
        self.calls.gate.set_evacuated.assert_called_once_with(True)

    def test_other_data_centres_leave_the_gate_open(self) -> None:
        self.evacuations.set_gate(self.calls.gate)
        self.apply('', 'b')
        self.apply('b', '')
        self.calls.gate.set_evacuated.assert_called_with(False)
        self.calls.on_own_lifted.assert_not_called()


class DirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.directory = directory.Directory(
            spread.LoadAwareBalancer(
                spread.LoadAwareSettings(), data_centre='a'
            )
        )

    def build_peer(
        self, zone: str, state: str = directory.STATE_READY
    ) -> directory.Peer:
        return directory.Peer(
            f'n-{zone}', 'h', 'back', zone, state, unittest.mock.Mock()
        )

    def choose(self) -> str | None:
        found = self.directory.balancer.choose('back', 0.0, (0.1, 0.1))
        return None if found is None else found.node_id

    def test_upstreams_of_an_evacuated_data_centre_are_not_chosen(
        self,
    ) -> None:
        self.directory.replace(map(self.build_peer, 'ab'))
        self.assertEqual('n-a', self.choose())
        self.directory.set_evacuated(frozenset('a'))
        self.assertEqual('n-b', self.choose())
        # News of the nodes must not bring them back.
        self.directory.replace(map(self.build_peer, 'ab'))
        self.assertEqual('n-b', self.choose())
        self.directory.set_evacuated(frozenset('ab'))
        self.assertIsNone(self.choose())
        self.directory.set_evacuated(frozenset())
        self.assertEqual('n-a', self.choose())

    def test_suspect_is_used_if_ready_ones_are_evacuated(self) -> None:
        suspect = self.build_peer('b', directory.STATE_SUSPECT)
        self.directory.replace([self.build_peer('a'), suspect])
        self.directory.set_evacuated(frozenset('a'))
        self.assertEqual('n-b', self.choose())


class Store(test_relay.Store):
    """Holds tables; removed rows are missing from full reads."""

    def __init__(self) -> None:
        super().__init__()
        self.is_away = False

    async def read(  # type: ignore[override]
        self, table: str
    ) -> ports.Rows | ports.Unavailable:
        if self.is_away:
            return ports.Unavailable('away')
        found = await super().read(table)
        rows = tuple(row for row in found.rows if row.value is not None)
        return ports.Rows(rows, found.version, found.store_s)

    async def watch(  # type: ignore[override]
        self, table: str, after: int, wait_s: float
    ) -> ports.Rows | ports.Unavailable:
        if self.is_away:
            return ports.Unavailable('away')
        found = await super().watch(table, after, wait_s)
        return ports.Unavailable('away') if self.is_away else found


class Node:
    """The rules, the feed and the relay of one node."""

    def __init__(self, fleet: 'Fleet', node_id: str) -> None:
        self.keeper = rules.RuleKeeper(
            operator_config.OperatorRules(),
            freshness.Freshness(3.0),
            lambda table: None,
        )
        self.now = 1e6
        self.feed = feed.Feed(
            fleet.store,  # type: ignore[arg-type]
            TABLE,
            self.keeper,
            wait_s=10.0,
            gather_s=0.0,
            clock=lambda: self.now,
            source=random.Random(1),
            watches=False,
            keeps_rows=True,
            max_silence_s=2.0,
        )
        self.relay = relay.Relay(
            node_id,
            {TABLE: self.feed},
            list_nodes=lambda: fleet.node_ids,
            send=functools.partial(fleet.send, node_id),
            source=random.Random(1),
        )


class Fleet:
    """Nodes whose messages reach each other, unless they are lost."""

    def __init__(self, count: int) -> None:
        self.store = Store()
        self.node_ids = [f'n{index}' for index in range(count)]
        self.lost: set[str] = set()
        self.nodes = {name: Node(self, name) for name in self.node_ids}

    def send(
        self, sender: str, node_id: str, topic: str, payload: bytes
    ) -> None:
        if node_id in self.lost or sender in self.lost:
            return
        receiver = self.nodes[node_id].relay
        if topic == relay.TOPIC_ASK:
            receiver.receive_ask(sender, payload)
        else:
            receiver.receive(sender, payload)

    async def start(self) -> None:
        for node in self.nodes.values():
            await node.feed.start()
        await fake_store.settle()
        for node in self.nodes.values():
            node.relay.note_nodes()
        await fake_store.settle()

    async def stop(self) -> None:
        for node in self.nodes.values():
            await node.feed.stop()

    def find_leaf(self) -> str:
        return next(
            name
            for name, node in self.nodes.items()
            if not node.relay.place.children and not node.relay.place.is_root
        )

    def list_sets(self) -> list[frozenset[str]]:
        return [node.keeper.evacuated for node in self.nodes.values()]


class FleetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        patch = unittest.mock.patch.object(feed, 'FIRST_PAUSE_S', 0.0)
        patch.start()
        self.addCleanup(patch.stop)
        self.fleet = Fleet(12)
        self.fleet.store.put(TABLE, 'config', CONFIG % 1)
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)

    async def put(self, zone: str, *, exists: bool = True) -> None:
        value = b'{}' if exists else None
        self.fleet.store.put(TABLE, f'evacuate/{zone}', value)
        await fake_store.settle(60)

    def expect(self, *zones: str) -> None:
        self.assertEqual([frozenset(zones)] * 12, self.fleet.list_sets())

    async def test_all_nodes_follow_rows_that_come_and_go(self) -> None:
        await self.put('a')
        self.expect('a')
        await self.put('b')
        self.expect('a', 'b')
        await self.put('a', exists=False)
        self.expect('b')
        await self.put('a')
        await self.put('b', exists=False)
        self.expect('a')

    async def test_node_misses_no_removal_before_its_parent_read_anew(
        self,
    ) -> None:
        """The parent knows of no removal and must not seem to be complete."""
        await self.put('a')
        name = self.fleet.find_leaf()
        node = self.fleet.nodes[name]
        parent = self.fleet.nodes[node.relay.place.parent or '']
        self.fleet.lost.add(name)
        await self.put('a', exists=False)
        self.fleet.lost.clear()
        self.assertEqual({'a'}, node.keeper.evacuated)
        await parent.feed._read()
        parent.relay._send_updates(
            TABLE, feed.Advance(parent.feed.changed_at, ports.Rows((), 0))
        )
        await fake_store.settle(60)
        self.expect()

    async def test_peer_that_read_anew_answers_with_a_snapshot(self) -> None:
        await self.put('a')
        await self.put('b')
        name = self.fleet.find_leaf()
        node = self.fleet.nodes[name]
        self.fleet.lost.add(name)
        await self.put('a', exists=False)
        for other in self.fleet.nodes.values():
            if other is not node:
                await other.feed._read()
        self.fleet.store.is_away = True
        self.fleet.lost.clear()
        node.relay.ask(TABLE)
        self.expect('b')
        # It can tell others in turn.
        changes = node.feed.get_changes_since(0)
        assert changes is not None
        self.assertTrue(changes.is_snapshot)
        self.assertEqual(
            {'config', 'evacuate/b'}, {row.key for row in changes.rows.rows}
        )

    async def test_peer_that_saw_the_removal_answers_with_changes(
        self,
    ) -> None:
        await self.put('a')
        before = self.fleet.store.version
        await self.put('a', exists=False)
        node = self.fleet.nodes[self.fleet.find_leaf()]
        changes = node.feed.get_changes_since(before)
        assert changes is not None
        self.assertFalse(changes.is_snapshot)
        self.assertEqual(
            [('evacuate/a', None)],
            [(row.key, row.value) for row in changes.rows.rows],
        )

    async def test_old_snapshot_changes_nothing(self) -> None:
        await self.put('a')
        node = self.fleet.nodes[self.fleet.find_leaf()]
        old = feed.Advance(0, ports.Rows((), 1, 1.0), is_snapshot=True)
        node.feed.apply_peer_update(old)
        self.expect('a')

    async def test_evacuation_that_is_lifted_while_the_store_is_away(
        self,
    ) -> None:
        """It holds until the store answers, and ends then."""
        await self.put('a')
        with self.assertLogs('eelgrasswalk', 'INFO'):
            self.fleet.store.is_away = True
            for node in self.fleet.nodes.values():
                node.feed.catch_up()
            self.fleet.store.put(TABLE, 'evacuate/a', None)
            await fake_store.settle(60)
            self.expect('a')
            self.fleet.store.is_away = False
            async with asyncio.timeout(5.0):
                while any(self.fleet.list_sets()):
                    await asyncio.sleep(0)

    async def test_node_starts_from_the_snapshot_of_a_peer(self) -> None:
        """The store does not let it read the table."""
        await self.put('a')
        self.fleet.store.is_away = True
        name = 'n-new'
        node = Node(self.fleet, name)
        self.fleet.nodes[name] = node
        self.fleet.node_ids.append(name)
        with self.assertLogs('eelgrasswalk', 'WARNING'):
            await node.feed.start()
            await fake_store.settle()
        node.relay.note_nodes()
        # Changes alone tell nothing of rows that are older.
        node.feed.apply_peer_update(
            feed.Advance(0, ports.Rows((build_row('b', 99),), 99, 99.0))
        )
        self.assertFalse(node.feed.filled.is_set())
        node.relay.ask_for_unread()
        self.assertTrue(node.feed.filled.is_set())
        self.assertEqual({'a'}, node.keeper.evacuated)
        assert node.keeper.table is not None
        self.assertEqual(1, node.keeper.table.version)

    async def test_root_whose_answer_was_lost_asks_again(self) -> None:
        """Confirmations of peers name no evacuations."""
        root = next(
            node
            for node in self.fleet.nodes.values()
            if node.relay.place.is_root
        )
        self.fleet.store.calls = 0
        root.now += 1.9
        root.relay.check_answers()
        await fake_store.settle()
        self.assertEqual(0, self.fleet.store.calls)
        root.now += 0.2
        root.relay.check_answers()
        await fake_store.settle()
        self.assertEqual(1, self.fleet.store.calls)


class SnapshotWireTest(unittest.TestCase):
    def test_update_of_an_earlier_release_is_no_snapshot(self) -> None:
        update = relay.TableUpdate(TABLE, 0, 5, 1.0)
        encoded = relay._ENCODER.encode([[TABLE, 0, 5, 1.0, []]])
        self.assertEqual([update], relay.decode_updates(b'\0' + encoded))
