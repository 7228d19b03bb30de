"""Tests of passing on what the store holds."""

import asyncio
import functools
import random
import unittest
import unittest.mock
import zlib

import hypothesis
from hypothesis import strategies

from eelgrasswalk import ports
from eelgrasswalk.controllers import feed
from eelgrasswalk.controllers import relay
from eelgrasswalk.policy import relay_tree
from tests.controllers import fake_store

TABLE = 'nodes'
OTHER_TABLE = 'op'
NODES = 60


class Store:
    """Holds tables, and counts the calls."""

    def __init__(self) -> None:
        self.calls = 0
        self.version = 1
        self._rows: dict[str, dict[str, ports.Row]] = {}
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Change a row."""
        self.version += 1
        rows = self._rows.setdefault(table, {})
        rows[key] = ports.Row(key, value, self.version)
        self._changed.set()
        self._changed = asyncio.Event()

    def _list(self, table: str, after: int) -> ports.Rows:
        rows = tuple(
            row
            for row in self._rows.get(table, {}).values()
            if row.version > after
        )
        return ports.Rows(rows, self.version, float(self.version))

    async def read(self, table: str) -> ports.Rows:
        """Read a whole table."""
        self.calls += 1
        return self._list(table, 0)

    async def watch(self, table: str, after: int, wait_s: float) -> ports.Rows:
        """Wait for changes."""
        self.calls += 1
        found = self._list(table, after)
        while not found.rows and wait_s:
            await self._changed.wait()
            found = self._list(table, after)
        return found


class Follower:
    """Keeps what it was told."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes | None] = {}

    def take_all(self, rows: ports.Rows, true_at: float) -> None:
        self.rows = {row.key: row.value for row in rows.rows}

    def take_changes(self, rows: ports.Rows, true_at: float) -> None:
        self.rows |= {row.key: row.value for row in rows.rows}


class Node:
    """The feeds and the relay of one node."""

    def __init__(self, fleet: 'Fleet', node_id: str) -> None:
        self.node_id = node_id
        self.followers = {table: Follower() for table in (TABLE, OTHER_TABLE)}
        self.feeds = {
            table: feed.Feed(
                fleet.store,  # type: ignore[arg-type]
                table,
                follower,
                wait_s=10.0,
                gather_s=0.0,
                clock=lambda: 1e6,
                source=random.Random(1),
                watches=False,
                keeps_rows=table == OTHER_TABLE,
            )
            for table, follower in self.followers.items()
        }
        self.relay = relay.Relay(
            node_id,
            self.feeds,
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
        self.sent = 0
        self.nodes = {name: Node(self, name) for name in self.node_ids}

    def send(
        self, sender: str, node_id: str, topic: str, payload: bytes
    ) -> None:
        """Deliver a message, unless its receiver is cut off."""
        self.sent += 1
        if node_id in self.lost:
            return
        receiver = self.nodes[node_id].relay
        if topic == relay.TOPIC_ASK:
            receiver.receive_ask(sender, payload)
        else:
            receiver.receive(sender, payload)

    async def start(self) -> None:
        """Let every node read both tables and find its place."""
        for node in self.nodes.values():
            for each in node.feeds.values():
                await each.start()
        await fake_store.settle()
        for node in self.nodes.values():
            node.relay.note_nodes()
        await fake_store.settle()
        self.store.calls = 0

    async def stop(self) -> None:
        """End every feed."""
        for node in self.nodes.values():
            for each in node.feeds.values():
                await each.stop()

    def list_rows(self, table: str) -> list[dict[str, bytes | None]]:
        """Return what each node knows of a table."""
        return [node.followers[table].rows for node in self.nodes.values()]


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet(NODES)
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)

    async def change(self, value: bytes | None, table: str = TABLE) -> None:
        self.fleet.store.put(table, 'row', value)
        await fake_store.settle(60)

    async def test_all_hear_of_a_change_that_only_the_roots_read(
        self,
    ) -> None:
        for value in (b'a', b'b', None):
            await self.change(value)
            rows = self.fleet.list_rows(TABLE)
            self.assertEqual([{'row': value}] * NODES, rows)
        # Each answer is followed by the next question of its root.
        self.assertEqual(3 * relay_tree.ROOT_COUNT, self.fleet.store.calls)
        self.assertLessEqual(self.fleet.sent, 3 * NODES)

    async def test_node_that_missed_news_asks_once_when_it_hears_more(
        self,
    ) -> None:
        name = self.find_leaf()
        self.fleet.lost.add(name)
        await self.change(b'a')
        self.fleet.lost.clear()
        self.assertEqual({}, self.fleet.nodes[name].followers[TABLE].rows)
        self.fleet.store.calls = 0
        await self.change(b'x', OTHER_TABLE)
        self.assertEqual(
            {'row': b'a'}, self.fleet.nodes[name].followers[TABLE].rows
        )
        # The roots' questions and its own.
        self.assertEqual(relay_tree.ROOT_COUNT + 1, self.fleet.store.calls)

    def find_leaf(self) -> str:
        return next(
            name
            for name, node in self.fleet.nodes.items()
            if not node.relay.place.children
        )

    async def test_news_that_is_too_long_is_read_from_the_store(
        self,
    ) -> None:
        value = random.Random(1).randbytes(relay.MAX_UPDATE_BYTES + 1)
        await self.change(value)
        self.assertEqual([{'row': value}] * NODES, self.fleet.list_rows(TABLE))

    async def test_old_news_changes_nothing(self) -> None:
        await self.change(b'new')
        node = self.fleet.nodes[self.find_leaf()]
        old = relay.TableUpdate(TABLE, 0, 1, 1.0, (('row', b'old', 1),))
        node.relay.receive('n1', relay.encode_updates([old]))
        self.assertEqual({'row': b'new'}, node.followers[TABLE].rows)

    async def test_root_that_is_gone_is_replaced(self) -> None:
        gone = next(
            name
            for name, node in self.fleet.nodes.items()
            if node.relay.place.is_root
        )
        self.fleet.lost.add(gone)
        for each in self.fleet.nodes[gone].feeds.values():
            await each.stop()
        self.fleet.node_ids.remove(gone)
        for node in self.fleet.nodes.values():
            node.relay.note_nodes()
        await self.change(b'a')
        del self.fleet.nodes[gone]
        rows = self.fleet.list_rows(TABLE)
        self.assertEqual([{'row': b'a'}] * (NODES - 1), rows)

    async def test_changes_of_another_table_are_nothing_missed(self) -> None:
        """The store's version grows with every table."""
        name = self.find_leaf()
        await self.change(b'a', OTHER_TABLE)
        self.fleet.lost.add(name)
        for _ in range(3):
            await self.change(b'x')
        self.fleet.lost.clear()
        self.fleet.store.calls = 0
        node = self.fleet.nodes[name]
        told = self.fleet.nodes['n0'].feeds[OTHER_TABLE]
        header = relay.TableUpdate(
            OTHER_TABLE, told.changed_at, self.fleet.store.version, 0.0
        )
        node.relay.receive('n0', relay.encode_updates([header]))
        await fake_store.settle()
        self.assertEqual(0, self.fleet.store.calls)

    async def test_root_waits_at_the_store_once_the_others_are_known(
        self,
    ) -> None:
        feeds = {TABLE: unittest.mock.Mock()}
        starting = relay.Relay(
            'n0',
            feeds,
            list_nodes=lambda: ['n0'],
            send=unittest.mock.Mock(),
            source=random.Random(1),
            settle_s=0.01,
        )
        starting.note_nodes()
        feeds[TABLE].set_watching.assert_not_called()
        await asyncio.sleep(0.05)
        feeds[TABLE].set_watching.assert_called_once_with(True)

    async def test_nodes_that_come_together_move_a_node_once(self) -> None:
        found = 0
        node_ids = ['n0']

        def list_nodes() -> list[str]:
            nonlocal found
            found += 1
            return list(node_ids)

        node = relay.Relay(
            'n0',
            {},
            list_nodes=list_nodes,
            send=unittest.mock.Mock(),
            source=random.Random(1),
            gather_s=0.01,
        )
        for number in range(1, 30):
            node_ids.append(f'n{number}')
            node.note_nodes()
        await asyncio.sleep(0.05)
        self.assertEqual(1, found)
        self.assertEqual(relay_tree.find_place('n0', node_ids), node.place)

    async def test_node_that_nobody_tells_asks_the_store(self) -> None:
        """Its parent knows another set of nodes."""
        name = self.find_leaf()
        self.fleet.lost.add(name)
        await self.change(b'a')
        self.fleet.store.calls = 0
        node = self.fleet.nodes[name]
        nothing = [
            relay.TableUpdate(table, 0, each.version, 0.0)
            for table, each in node.feeds.items()
        ]
        node.relay.receive('n1', relay.encode_updates(nothing))
        now = asyncio.get_running_loop().time()
        node.relay.check_update_times(now + 0.9 * relay.UPDATE_TIMEOUT_S)
        await fake_store.settle()
        self.assertEqual(0, self.fleet.store.calls)
        node.relay.check_update_times(now + 1.1 * relay.UPDATE_TIMEOUT_S)
        await fake_store.settle()
        self.assertEqual({'row': b'a'}, node.followers[TABLE].rows)
        # One question for each table, and none soon after.
        self.assertEqual(2, self.fleet.store.calls)
        node.relay.check_update_times(now + 1.2 * relay.UPDATE_TIMEOUT_S)
        await fake_store.settle()
        self.assertEqual(2, self.fleet.store.calls)

    async def test_table_without_changes_is_not_asked_for(self) -> None:
        """The parent read it when the store's version was lower."""
        node = self.fleet.nodes[self.find_leaf()]
        self.fleet.store.version += 10
        await node.feeds[OTHER_TABLE].confirm()
        self.fleet.store.calls = 0
        now = asyncio.get_running_loop().time()
        with unittest.mock.patch.object(
            asyncio.get_running_loop(), 'time', return_value=now + 1.5
        ):
            header = relay.TableUpdate(OTHER_TABLE, 0, 2, 0.0)
            node.relay.receive('n0', relay.encode_updates([header]))
            header = relay.TableUpdate(TABLE, 0, 10**6, 0.0)
            node.relay.receive('n0', relay.encode_updates([header]))
        await fake_store.settle()
        self.fleet.store.calls = 0
        node.relay.check_update_times(now + 2.5)
        await fake_store.settle()
        self.assertEqual(0, self.fleet.store.calls)

    async def test_node_that_read_a_quiet_table_later_does_not_ask_for_it(
        self,
    ) -> None:
        """The store's version has grown with other tables since.

        The parent learns of that only with its next answer, up to 20 s later;
        the node would poll the store every 2 s until then.
        """
        self.fleet.store.put(OTHER_TABLE, 'row', b'a')
        changed_at = self.fleet.store.version
        for _ in range(3):
            self.fleet.store.put(TABLE, 'row', b'b')
        node = Node(self.fleet, self.find_leaf())
        each = node.feeds[OTHER_TABLE]
        await each.start()
        self.addAsyncCleanup(each.stop)
        await each.filled.wait()
        header = relay.TableUpdate(OTHER_TABLE, 0, changed_at, 0.0)
        now = asyncio.get_running_loop().time()
        with unittest.mock.patch.object(
            asyncio.get_running_loop(), 'time', return_value=now + 1.5
        ):
            node.relay.receive('n0', relay.encode_updates([header]))
        with unittest.mock.patch.object(each, 'catch_up') as catch_up:
            node.relay.check_update_times(now + 2.5)
        catch_up.assert_not_called()

    async def test_table_that_was_read_from_an_empty_store_is_told_of(
        self,
    ) -> None:
        """Its version is 0, and nobody told its children that they know it."""
        fleet = Fleet(NODES)
        fleet.store.version = 0
        await fleet.start()
        name = self.find_leaf()
        node = fleet.nodes[name]
        now = asyncio.get_running_loop().time()
        with unittest.mock.patch.object(
            asyncio.get_running_loop(), 'time', return_value=now + 1.5
        ):
            parent = fleet.nodes[node.relay.place.parent or '']
            fleet.store.version = 1
            await parent.feeds[TABLE].confirm()
        fleet.store.calls = 0
        node.relay.check_update_times(now + 2.5)
        await fake_store.settle()
        self.assertEqual(0, fleet.store.calls)

    async def test_node_that_the_store_refuses_learns_from_any_peer(
        self,
    ) -> None:
        """It was not told of two changes, and its parent may be like it."""
        name = self.find_leaf()
        self.fleet.lost.add(name)
        for value in (b'a', b'b'):
            await self.change(value, OTHER_TABLE)
        self.fleet.lost.clear()
        self.fleet.store.calls = 0
        node = self.fleet.nodes[name]
        node.relay.ask(OTHER_TABLE)
        self.assertEqual({'row': b'b'}, node.followers[OTHER_TABLE].rows)
        self.assertEqual(0, self.fleet.store.calls)

    async def test_peer_that_knows_less_tells_nothing(self) -> None:
        name = self.find_leaf()
        self.fleet.lost.add(name)
        await self.change(b'a', OTHER_TABLE)
        old = self.fleet.nodes[name].feeds[OTHER_TABLE]
        newest = self.fleet.store.version
        self.assertIsNone(old.get_changes_since(newest))

    async def test_rows_that_may_be_removed_are_not_told_later(self) -> None:
        before = self.fleet.store.version
        await self.change(None)
        node = self.fleet.nodes[self.find_leaf()]
        self.assertIsNone(node.feeds[TABLE].get_changes_since(before))

    async def test_news_that_cannot_be_read_is_logged(self) -> None:
        node = self.fleet.nodes[self.find_leaf()]
        with self.assertLogs('eelgrasswalk', 'WARNING') as logs:
            node.relay.receive('n1', b'\0nonsense')
        self.assertEqual(3011, logs.records[0].__dict__['event'])


class NewsTest(unittest.TestCase):
    def test_news_survives_the_wire(self) -> None:
        for value in (b'', b'x' * 100_000):
            items = [relay.TableUpdate(TABLE, 3, 5, 1.5, (('k', value, 4),))]
            payload = relay.encode_updates(items)
            self.assertLess(len(payload), 2_000)
            self.assertEqual(items, relay.decode_updates(payload))

    def test_news_that_unpacks_to_too_much_is_refused(self) -> None:
        data = zlib.compress(bytes(relay.MAX_UNCOMPRESSED_BYTES + 1), level=9)
        self.assertLess(len(data), relay.MAX_UPDATE_BYTES)
        with self.assertRaises(ValueError):
            relay.decode_updates(b'\1' + data)

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(strategies.binary(max_size=300))
    def test_any_bytes_are_read_or_refused(self, data: bytes) -> None:
        for payload in (data, b'\1' + zlib.compress(data)):
            try:
                relay.decode_updates(payload)
            except ValueError:
                continue
