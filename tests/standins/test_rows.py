"""Tests of the operator's rows at the stand-in store."""

import json
import typing
import unittest

from eelgrasswalk.standins import rows
from eelgrasswalk.transport import message


class EvacuationRowsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = rows.RowsStandin()

    async def ask(self, path: str) -> tuple[int, dict[str, typing.Any]]:
        request = message.Request('GET', path, (), b'')
        answer = await self.store.handle(request)
        return answer.status, json.loads(answer.body)

    async def list_keys(self) -> list[str]:
        _, fields = await self.ask('/-/rows-get?table=op&part=')
        return [row['key'] for row in fields['rows']]

    async def test_read_has_the_rows_in_force(self) -> None:
        """A reader that replaces its set must not keep a removed row."""
        self.store.evacuate('dc-0')
        self.store.evacuate('dc-1')
        self.store.lift('dc-0')
        self.assertEqual(['evacuate/dc-1'], await self.list_keys())
        self.assertEqual({'dc-1'}, self.store.list_evacuated())

    async def test_feed_names_a_removed_row_as_deleted(self) -> None:
        version = self.store.evacuate('dc-0')
        self.store.lift('dc-0')
        _, fields = await self.ask(f'/-/rows-feed?table=op&after={version}')
        (row,) = fields['rows']
        self.assertEqual('evacuate/dc-0', row['key'])
        self.assertTrue(row['deleted'])
        self.assertNotIn('value', row)
        self.assertGreater(row['ver'], version)

    async def test_feed_has_every_change_in_order(self) -> None:
        for _ in range(2):
            self.store.evacuate('dc-0')
            self.store.lift('dc-0')
        _, fields = await self.ask('/-/rows-feed?table=op&after=0')
        self.assertEqual(
            [False, True, False, True],
            [row.get('deleted', False) for row in fields['rows']],
        )

    async def test_restored_store_brings_a_removed_row_back(self) -> None:
        self.store.evacuate('dc-0')
        copy = self.store.copy()
        self.store.lift('dc-0')
        self.store.evacuate('dc-1')
        self.store.restore(copy)
        self.assertEqual(['evacuate/dc-0'], await self.list_keys())

    async def test_feed_without_history_has_to_begin_anew(self) -> None:
        version = self.store.evacuate('dc-0')
        self.store.lift('dc-0')
        self.store.forget_history()
        status, _ = await self.ask(f'/-/rows-feed?table=op&after={version}')
        self.assertEqual(410, status)
        self.assertEqual([], await self.list_keys())
