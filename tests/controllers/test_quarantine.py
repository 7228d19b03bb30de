"""Tests that quarantines reach other nodes and outlast them in the store."""

import asyncio
import random
import unittest
import unittest.mock

from eelgrasswalk import ports
from eelgrasswalk.controllers import quarantine as keeper
from eelgrasswalk.controllers import quarantine_messages as messages
from eelgrasswalk.filters import isolation
from eelgrasswalk.policy import dissemination
from eelgrasswalk.policy import quarantine
from tests.controllers import fake_store

DIGEST = bytes(12)
SUBJECT = quarantine.Subject('GET', '/pages/7', 'lake')
RECORD = quarantine.Record(DIGEST, SUBJECT, 2, since_ms=1)
CRASH = isolation.Crash('node-a', 'run-1', (DIGEST, b'a' * 12), RECORD)
GROUP = ('node-a', 'node-b', 'node-c')


class QuarantineKeeperTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = fake_store.FakeStore()
        self.confined = quarantine.Quarantine()
        self.group: list[str] = list(GROUP)
        self.sent: list[tuple[str, bytes]] = []
        self.keeper = self.build_keeper('node-a')
        self.addAsyncCleanup(self.keeper.stop)

    def build_keeper(self, node_id: str) -> keeper.QuarantineKeeper:
        return keeper.QuarantineKeeper(
            node_id=node_id,
            service='back',
            confined=self.confined,
            store=self.store,
            list_group=lambda: self.group,
            send=lambda node_id, topic, payload: self.sent.append(
                (node_id, payload)
            ),
            source=random.Random(1),
        )

    def build_rows(self, value: bytes | None, version: int = 7) -> ports.Rows:
        return ports.Rows((ports.Row('back', value, version),), version)

    async def test_crash_is_told_to_the_other_nodes(self) -> None:
        self.keeper.report_crash(CRASH)
        self.assertEqual(
            ['node-b', 'node-c'], [node_id for node_id, _ in self.sent]
        )
        listener = unittest.mock.Mock(spec=keeper.Listener)
        other = self.build_keeper('node-b')
        other.listener = listener
        other.receive('node-a', self.sent[0][1])
        listener.receive_crash.assert_called_once_with(CRASH)
        await other.stop()

    async def test_other_news_reaches_the_listener(self) -> None:
        listener = unittest.mock.Mock(spec=keeper.Listener)
        other = self.build_keeper('node-b')
        other.listener = listener
        self.keeper.report_running([DIGEST])
        self.keeper.report_record(RECORD)
        self.keeper.report_cleared(DIGEST)
        async with asyncio.timeout(5.0):
            while len(self.sent) < 6:
                await asyncio.sleep(0.01)
        for _, payload in self.sent[::2]:
            other.receive('node-a', payload)
        listener.receive_running.assert_called_once_with('node-a', (DIGEST,))
        listener.receive_record.assert_called_once_with(RECORD)
        listener.receive_cleared.assert_called_once_with(DIGEST)
        await other.stop()

    async def test_news_is_passed_on_a_limited_number_of_times(self) -> None:
        """Nodes that know different nodes might pass it on for ever."""
        self.group = [f'node-{number}' for number in range(100)]
        notice = messages.RunningNotice(
            'back', 'node-0', dissemination.MAX_HOPS, (DIGEST,)
        )
        child = dissemination.list_children('node-0', 'node-0', self.group)[0]
        other = self.build_keeper(child)
        for hops in (2, 1):
            self.sent.clear()
            other.receive(
                'node-0',
                messages.encode_notice(
                    messages.RunningNotice('back', 'node-0', hops, (DIGEST,))
                ),
            )
            self.assertEqual(hops > 1, bool(self.sent))
        self.assertLessEqual(len(self.sent), dissemination.FANOUT)
        self.assertEqual(notice.hops, dissemination.MAX_HOPS)
        await other.stop()

    async def test_malformed_message_is_dropped(self) -> None:
        listener = unittest.mock.Mock(spec=keeper.Listener)
        self.keeper.listener = listener
        wrong = messages.encode_notice(
            messages.RunningNotice('other', 'node-b', 1, (DIGEST,))
        )
        for payload in (b'', b'\xff', b'\x91' * 50_000, wrong):
            self.keeper.receive('node-b', payload)
        listener.receive_running.assert_not_called()

    async def test_record_is_written_to_the_store(self) -> None:
        await self.keeper.start()
        self.confined.merge(RECORD, 0.0)
        self.store.outcomes = [ports.Written(8)]
        self.keeper.report_crash(CRASH)
        await fake_store.settle()
        ((key, value, expected),) = self.store.written
        self.assertEqual(('back', 0), (key, expected))
        self.assertEqual([RECORD], messages.decode_records(value))

    async def test_records_of_two_nodes_are_merged(self) -> None:
        other = quarantine.Record(b'b' * 12, SUBJECT, 3)
        await self.keeper.start()
        self.confined.merge(RECORD, 0.0)
        row = ports.Row('back', messages.encode_records([other]), 9)
        self.store.outcomes = [ports.Conflict(row), ports.Written(10)]
        self.keeper.report_crash(CRASH)
        async with asyncio.timeout(5.0):
            while len(self.store.written) < 2:
                await asyncio.sleep(0.01)
        _, value, expected = self.store.written[1]
        self.assertEqual(9, expected)
        self.assertCountEqual([RECORD, other], messages.decode_records(value))

    async def test_write_is_repeated_until_the_store_is_back(self) -> None:
        await self.keeper.start()
        self.confined.merge(RECORD, 0.0)
        self.store.outcomes = [
            ports.Unavailable('down'),
            ports.Unknown('lost'),
            ports.Written(8),
        ]
        self.keeper.report_crash(CRASH)
        async with asyncio.timeout(5.0):
            while self.store.outcomes:
                await asyncio.sleep(0.01)

    async def test_node_that_starts_learns_from_the_store(self) -> None:
        """All nodes were killed together, and have forgotten everything."""
        value = messages.encode_records([RECORD])
        self.keeper.take_all(self.build_rows(value), 0.0)
        self.assertIs(
            quarantine.Standing.REFUSED,
            self.confined.find_standing(DIGEST, 0.0),
        )

    async def test_change_in_the_store_reaches_the_listener(self) -> None:
        """An operator has lifted a quarantine."""
        listener = unittest.mock.Mock(spec=keeper.Listener)
        self.keeper.listener = listener
        lifted = RECORD.build_lifted()
        value = messages.encode_records([lifted])
        self.keeper.take_changes(self.build_rows(value), 0.0)
        listener.receive_record.assert_called_once_with(lifted)

    async def test_malformed_row_changes_nothing(self) -> None:
        self.confined.merge(RECORD, 0.0)
        for value in (
            b'',
            b'[' * 50_000,
            b'{}',
            b'[{"digest":"zz"}]',
            b'[{"digest":"' + b'0' * 24 + b'","revision":1e999}]',
        ):
            with self.assertLogs('eelgrasswalk'):
                self.keeper.take_changes(self.build_rows(value), 0.0)
        self.assertEqual([RECORD], self.confined.list_records())

    async def test_record_that_the_store_lost_is_written_again(self) -> None:
        await self.keeper.start()
        self.confined.merge(RECORD, 0.0)
        self.store.outcomes = [ports.Written(8)]
        with unittest.mock.patch.multiple(
            keeper, MIN_WRITE_DELAY_S=0.0, MAX_WRITE_DELAY_S=0.01
        ):
            self.keeper.take_all(ports.Rows((), 5, era=1), 0.0)
        async with asyncio.timeout(5.0):
            while self.store.outcomes:
                await asyncio.sleep(0.01)

    async def test_record_of_a_node_that_was_killed_is_written(self) -> None:
        """It found the request guilty, and told others before the store."""
        await self.keeper.start()
        other = self.build_keeper('node-b')
        other.report_crash(isolation.Crash('node-b', 'run-2', (), RECORD))
        self.store.outcomes = [ports.Written(8)]
        with unittest.mock.patch.multiple(
            keeper, MIN_WRITE_DELAY_S=0.0, MAX_WRITE_DELAY_S=0.01
        ):
            self.keeper.receive('node-b', self.sent[0][1])
        async with asyncio.timeout(5.0):
            while self.store.outcomes:
                await asyncio.sleep(0.01)
        await other.stop()
