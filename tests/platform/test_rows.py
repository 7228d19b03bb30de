"""Tests of the store's client against the stand-in."""

import typing
import unittest
import unittest.mock

from eelgrasswalk import ports
from eelgrasswalk import verdict
from eelgrasswalk.platform import rows
from eelgrasswalk.standins import rows as standin
from eelgrasswalk.transport import http_client


class RowsTestCase(unittest.IsolatedAsyncioTestCase):
    """A client and a stand-in that it speaks with."""

    async def asyncSetUp(self) -> None:
        self.standin = standin.RowsStandin()
        port = await self.standin.start()
        self.addAsyncCleanup(self.standin.stop)
        self.store = rows.PlatformRows('127.0.0.1', port)
        self.addAsyncCleanup(self.store.close)


class PlatformRowsTest(RowsTestCase):
    async def test_written_row_is_read(self) -> None:
        written = await self.store.put('nodes', 'n1', b'\x00x', expected=0)
        assert isinstance(written, ports.Written), written
        found = await self.store.read('nodes')
        assert isinstance(found, ports.Rows), found
        self.assertEqual(
            (ports.Row('n1', b'\x00x', written.version),), found.rows
        )
        self.assertEqual(written.version, found.version)

    async def test_table_of_several_pages_is_read_whole(self) -> None:
        for number in range(standin.MOST_ROWS + 20):
            self.standin.put('nodes', f'n{number:04}', b'x')
        found = await self.store.read('nodes')
        assert isinstance(found, ports.Rows), found
        self.assertEqual(standin.MOST_ROWS + 20, len(found.rows))

    async def test_conflict_tells_the_row_as_it_is(self) -> None:
        version = self.standin.put('nodes', 'n1', b'theirs')
        outcome = await self.store.put('nodes', 'n1', b'mine', expected=0)
        self.assertEqual(
            ports.Conflict(ports.Row('n1', b'theirs', version)), outcome
        )

    async def test_conflict_with_a_missing_row(self) -> None:
        outcome = await self.store.put('nodes', 'n1', b'mine', expected=7)
        self.assertEqual(ports.Conflict(None), outcome)

    async def test_feed_tells_changes_and_removals(self) -> None:
        version = self.standin.put('nodes', 'n1', b'a')
        self.standin.remove('nodes', 'n1')
        self.standin.put('other', 'n2', b'b')
        found = await self.store.watch('nodes', version, 0.0)
        assert isinstance(found, ports.Rows), found
        self.assertEqual(
            [('n1', None)], [(row.key, row.value) for row in found.rows]
        )
        self.assertGreater(found.version, version)
        self.assertGreater(found.store_s, 0.0)

    async def test_feed_without_history_says_so(self) -> None:
        version = self.standin.put('nodes', 'n1', b'a')
        self.standin.put('nodes', 'n1', b'b')
        self.standin.forget_history()
        found = await self.store.watch('nodes', version, 0.0)
        self.assertEqual(ports.HistoryGone(), found)

    async def test_removal_needs_the_version(self) -> None:
        version = self.standin.put('nodes', 'n1', b'a')
        outcome = await self.store.remove('nodes', 'n1', expected=version + 1)
        self.assertIsInstance(outcome, ports.Conflict)
        outcome = await self.store.remove('nodes', 'n1', expected=version)
        self.assertIsInstance(outcome, ports.Written)
        self.assertIsNone(self.standin.read('nodes', 'n1'))

    async def test_refusals_have_no_effect(self) -> None:
        for status in (429, 503):
            self.standin.faults.status = status
            with self.subTest(status):
                outcome = await self.store.put('nodes', 'n1', b'', expected=0)
                self.assertIsInstance(outcome, ports.Unavailable)
                found = await self.store.read('nodes')
                self.assertIsInstance(found, ports.Unavailable)

    async def test_lost_answer_leaves_doubt(self) -> None:
        self.standin.faults.lose_writes = 1
        outcome = await self.store.put('nodes', 'n1', b'mine', expected=0)
        self.assertIsInstance(outcome, ports.Unknown)
        self.assertEqual(b'mine', self.standin.read('nodes', 'n1'))

    async def test_unreachable_store_has_no_effect(self) -> None:
        await self.standin.stop()
        store = rows.PlatformRows('127.0.0.1', 1)
        outcome = await store.put('nodes', 'n1', b'mine', expected=0)
        self.assertIsInstance(outcome, ports.Unavailable)


class MalformedAnswersTest(RowsTestCase):
    async def test_malformed_answers_are_no_answers(self) -> None:
        """They ended the tasks that follow the store's tables."""
        for body in (
            b'[' * 50_000,
            b'{"rows":[7]}',
            b'{"rows":[{"value":"","ver":1}]}',
            b'{"rows":[{"key":"a","value":"a","ver":1}]}',
            b'{"rows":[],"ver":1e999}',
            b'{"rows":7}',
        ):
            response = verdict.Response(200, (), body)
            with unittest.mock.patch.object(
                self.store,
                '_send',
                return_value=http_client.Received(response),
            ):
                for answer in (
                    await self.store.read('nodes'),
                    await self.store.watch('nodes', 0, 0.0),
                ):
                    self.assertIsInstance(answer, ports.Unavailable, body[:40])
                written = await self.store.put('a', 'b', b'', expected=0)
                self.assertIsInstance(written, ports.Unknown, body[:40])


class RestoredRowsTest(RowsTestCase):
    """Versions grow across restores, though the store's own go back."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.copy = self.standin.copy()

    async def restore(self) -> None:
        self.standin.restore(self.copy)
        await self.store.read('nodes')

    async def test_versions_grow(self) -> None:
        written = await self.store.put('nodes', 'n1', b'a', expected=0)
        assert isinstance(written, ports.Written), written
        await self.restore()
        again = await self.store.put('nodes', 'n1', b'a', expected=0)
        assert isinstance(again, ports.Written), again
        self.assertGreater(again.version, written.version)

    async def test_pages_from_before_and_after_a_restore_are_not_mixed(
        self,
    ) -> None:
        for number in range(standin.MOST_ROWS + 1):
            self.standin.put('nodes', f'n{number:04}', b'x')
        copy = self.standin.copy()
        get = self.store._get

        async def restore_after_first(
            *args: typing.Any,
        ) -> typing.Any:
            answer = await get(*args)
            self.standin.restore(copy)
            return answer

        with unittest.mock.patch.object(
            self.store, '_get', restore_after_first
        ):
            found = await self.store.read('nodes')
        self.assertIsInstance(found, ports.Unavailable)

    async def test_watch_from_before_a_restore_has_no_history(self) -> None:
        written = await self.store.put('nodes', 'n1', b'a', expected=0)
        assert isinstance(written, ports.Written), written
        self.standin.restore(self.copy)
        for _ in range(3):
            self.standin.put('nodes', 'n2', b'b')
        found = await self.store.watch('nodes', written.version, 0.0)
        self.assertEqual(ports.HistoryGone(), found)

    async def test_number_that_was_given_out_again_is_another_version(
        self,
    ) -> None:
        written = await self.store.put('nodes', 'n1', b'a', expected=0)
        assert isinstance(written, ports.Written), written
        await self.restore()
        number = self.standin.put('nodes', 'n1', b'of another writer')
        self.assertEqual(written.version, number)
        outcome = await self.store.remove(
            'nodes', 'n1', expected=written.version
        )
        self.assertIsInstance(outcome, ports.Conflict)
