import unittest

from eelgrasswalk.policy import member_seeds
from tests.policy import member_network


def _make_row(record):
    return member_seeds.SeedRow(
        record.node_id, record.data_centre, record.address
    )


class TestPlanRows(unittest.TestCase):
    def setUp(self):
        self.members = [
            member_network.make_member(
                number, boot=member_network.BOOT + number
            )
            for number in range(10)
        ]
        self.rows = [_make_row(item) for item in self.members]

    def _plan(self, number, rows, present=None, alone_s=0.0):
        return member_seeds.plan_rows(
            self.members[number],
            self.members if present is None else present,
            rows,
            alone_s=alone_s,
        )

    def test_longest_running_members_of_the_data_centre_write(self):
        plans = [self._plan(number, []) for number in range(10)]
        writers = [plan.write for plan in plans]
        self.assertEqual([True] * 3 + [False] * 7, writers)

    def test_holder_does_not_write_twice(self):
        self.assertFalse(self._plan(0, self.rows[:3]).write)

    def test_surplus_row_is_deleted_once_the_holders_have_theirs(self):
        self.assertEqual((), self._plan(5, self.rows[4:6]).delete)
        plan = self._plan(5, self.rows[:6])
        self.assertEqual(('node-0005',), plan.delete)

    def test_first_holder_deletes_rows_of_absent_members(self):
        present = self.members[:5]
        plan = self._plan(0, self.rows[:7], present)
        self.assertEqual(('node-0005', 'node-0006'), plan.delete)
        self.assertEqual((), self._plan(1, self.rows[:7], present).delete)

    def test_rows_of_other_data_centres_are_not_deleted(self):
        other = member_network.make_member(20, data_centre='b')
        plan = self._plan(0, [*self.rows[:3], _make_row(other)])
        self.assertEqual((), plan.delete)

    def test_lone_member_waits_for_seeds_until_the_timeout(self):
        alone = self.members[9:]
        self.assertTrue(self._plan(9, [], alone).write)
        self.assertFalse(self._plan(9, self.rows[:3], alone, 1.0).write)
        self.assertTrue(self._plan(9, self.rows[:3], alone, 10.0).write)


if __name__ == '__main__':
    unittest.main()
