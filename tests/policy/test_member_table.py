import dataclasses
import itertools
import unittest

import hypothesis
from hypothesis import strategies

from eelgrasswalk.policy import member
from eelgrasswalk.policy import member_table
from tests.policy import member_network

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=100, deadline=None
)
INCARNATIONS = strategies.builds(
    member.Incarnation,
    strategies.integers(1, 2),
    strategies.integers(0, 1),
    strategies.integers(0, 2),
)


@strategies.composite
def _records(draw):
    record = member_network.make_member(draw(strategies.integers(0, 2)))
    return dataclasses.replace(
        record,
        incarnation=draw(INCARNATIONS),
        health=draw(strategies.sampled_from(member.Health)),
    )


def _merge_all(updates):
    table = member_table.MemberTable()
    for update in updates:
        table.merge(update, 0.0)
    return table


def _make_known():
    first = member.Incarnation(0)
    return [
        dataclasses.replace(
            member_network.make_member(number), incarnation=first
        )
        for number in range(3)
    ]


class TestMemberTable(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(strategies.lists(_records(), max_size=8))
    def test_merge_order_does_not_matter_for_known_members(self, records):
        tables = [
            _merge_all([*_make_known(), *order])
            for order in itertools.islice(itertools.permutations(records), 24)
        ]
        tables.append(_merge_all(_make_known() + records + records))
        contents = {
            frozenset((item.node_id, item.precedence) for item in table)
            for table in tables
        }
        self.assertEqual(1, len(contents))
        digests = {table.digest() for table in tables}
        self.assertEqual(1, len(digests))

    def test_death_of_an_unknown_member_is_not_kept(self):
        record = member_network.make_member(1)
        dead = dataclasses.replace(record, health=member.Health.DEAD)
        table = _merge_all([dead])
        self.assertIsNone(table.find(record.node_id))

    @SETTINGS
    @hypothesis.given(strategies.lists(_records(), max_size=8))
    def test_digest_covers_only_present_members(self, records):
        merged = _merge_all(records)
        rebuilt = _merge_all(merged.list_present())
        self.assertEqual(rebuilt.digest(), merged.digest())

    def test_change_for_an_unknown_revision_is_ignored(self):
        record = member_network.make_member(1)
        table = _merge_all([record])
        later = dataclasses.replace(record.incarnation, revision=1)
        change = member.HealthChange(record.node_id, later, member.Health.DEAD)
        self.assertIsNone(table.merge(change, 0.0))

    def test_differing_bucket_is_found(self):
        records = [member_network.make_member(i) for i in range(50)]
        one = _merge_all(records)
        other = _merge_all(records[1:])
        buckets = member_table.find_differences(one.digest(), other.digest())
        self.assertEqual(1, len(buckets))
        self.assertIn(records[0], one.list_bucket(buckets[0]))

    def test_dead_member_is_reaped_after_its_retention_time(self):
        record = member_network.make_member(1)
        dead = dataclasses.replace(record, health=member.Health.DEAD)
        table = _merge_all([record, dead])
        table.reap(9.0, dead_s=10.0, left_s=1.0)
        self.assertEqual([dead], table.list_dead())
        table.reap(10.0, dead_s=10.0, left_s=1.0)
        self.assertIsNone(table.find(record.node_id))


if __name__ == '__main__':
    unittest.main()
