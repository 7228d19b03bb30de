import dataclasses
import random
import unittest

from eelgrasswalk.controllers import seeds
from eelgrasswalk.platform import memory
from eelgrasswalk.platform import protocols
from tests.policy import member_network


class FakeMesh:
    def __init__(self, local_member, members):
        self.local_member = local_member
        self.members = members
        self.seeds = set()

    def list_members(self):
        return self.members

    def add_seeds(self, addresses):
        self.seeds.update(addresses)


class UnavailableTable:
    async def list(self, prefix, *, after='', limit=1000):
        return protocols.Unavailable('down')


class TestSeeds(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = memory.MemoryTable()
        self.members = [
            member_network.make_member(number) for number in range(6)
        ]

    def _make(self, number, members=None, table=None):
        mesh = FakeMesh(self.members[number], members or self.members)
        rows = seeds.Seeds(
            mesh,
            table or self.table,
            clock=lambda: 0.0,
            rng=random.Random(number),
        )
        return mesh, rows

    def _list_keys(self):
        return [row.key for row in self.table.scan(seeds.PREFIX).rows]

    async def test_few_members_keep_rows_that_all_find(self):
        for number in range(6):
            _, rows = self._make(number)
            await rows.refresh()
        self.assertEqual(
            ['seeds/a/node-0000', 'seeds/a/node-0001', 'seeds/a/node-0002'],
            self._list_keys(),
        )
        mesh, rows = self._make(5)
        await rows.read()
        self.assertEqual(
            {item.address for item in self.members[:3]}, mesh.seeds
        )

    async def test_row_goes_with_its_member(self):
        _, rows = self._make(0)
        await rows.refresh()
        await rows.withdraw()
        self.assertEqual([], self._list_keys())

    async def test_moved_member_rewrites_its_row(self):
        _, rows = self._make(0)
        await rows.refresh()
        moved = dataclasses.replace(self.members[0], ip='10.9.9.9')
        self.members[0] = moved
        _, rows = self._make(0)
        await rows.refresh()
        row = self.table.read('seeds/a/node-0000').row
        self.assertEqual(moved.address, seeds.read_row(row).address)

    async def test_outage_changes_nothing(self):
        mesh, rows = self._make(0, table=UnavailableTable())
        await rows.read()
        await rows.refresh()
        self.assertEqual(set(), mesh.seeds)

    async def test_rows_that_make_no_sense_are_passed_over(self):
        for key, value in (
            ('seeds/a/x', b'{'),
            ('seeds/a/y', b'{"ip": 1}'),
            ('seeds/z', b'{}'),
        ):
            await self.table.put(key, value, expected=None)
        mesh, rows = self._make(0)
        await rows.read()
        self.assertEqual(set(), mesh.seeds)


if __name__ == '__main__':
    unittest.main()
