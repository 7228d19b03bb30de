"""Tests of the table in memory."""

import unittest

from eelgrasswalk.platform import memory
from eelgrasswalk.platform import protocols


class MemoryTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = memory.MemoryTable()

    def test_a_transaction_is_all_or_nothing(self) -> None:
        self.table.commit((protocols.Put('a', b'1', None),))
        outcome = self.table.commit(
            (protocols.Put('b', b'1', None), protocols.Put('a', b'2', None))
        )
        self.assertIsInstance(outcome, protocols.Conflict)
        self.assertEqual(('a',), outcome.keys)
        self.assertEqual(b'1', outcome.find('a').value)
        self.assertEqual(protocols.Missing(), self.table.read('b'))

    def test_a_version_never_comes_back(self) -> None:
        first = self.table.commit((protocols.Put('a', b'1', None),))
        self.table.commit((protocols.Delete('a', first.version),))
        second = self.table.commit((protocols.Put('a', b'1', None),))
        self.assertNotEqual(first.version, second.version)

    def test_a_check_guards_a_transaction(self) -> None:
        outcome = self.table.commit(
            (protocols.Check('a', '1'), protocols.Put('b', b'1', None))
        )
        self.assertEqual(protocols.Conflict(('a',), ()), outcome)

    def test_lists_in_order_and_in_pages(self) -> None:
        for key in ('p/3', 'p/1', 'q', 'p/2'):
            self.table.commit((protocols.Put(key, b'', None),))
        page = self.table.scan('p/', limit=2)
        self.assertEqual(['p/1', 'p/2'], [row.key for row in page.rows])
        page = self.table.scan('p/', after='p/2')
        self.assertEqual(['p/3'], [row.key for row in page.rows])
