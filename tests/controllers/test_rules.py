"""Tests of putting rules in force."""

import collections.abc
import unittest

from eelgrasswalk import ports
from eelgrasswalk.controllers import rules
from eelgrasswalk.policy import call_rules
from eelgrasswalk.policy import freshness
from eelgrasswalk.policy.placement import evacuation

LIMITS = call_rules.ListenerLimits(1, 1, 1.0, 1.0)


class Source:
    """Reads a version from a row."""

    table = 'op'

    def decode(
        self, rows: collections.abc.Iterable[ports.Row]
    ) -> call_rules.Rules | None:
        for row in rows:
            assert row.value is not None
            return call_rules.Rules(int(row.value), (), (), (), LIMITS)
        return None

    def decode_evacuations(
        self, rows: collections.abc.Iterable[ports.Row]
    ) -> evacuation.Marks:
        return evacuation.Marks()


def build_rows(*values: bytes) -> ports.Rows:
    return ports.Rows(
        tuple(ports.Row('config', value, 1) for value in values), 1
    )


class RuleKeeperTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fresh = freshness.Freshness(3.0)
        self.applied: list[int] = []
        self.keeper = rules.RuleKeeper(
            Source(),
            self.fresh,
            lambda table: self.applied.append(table.version),
        )

    def test_newer_versions_are_put_in_force(self) -> None:
        self.keeper.take_all(build_rows(b'4'), 10.0)
        self.keeper.take_changes(build_rows(b'7'), 11.0)
        self.assertEqual([4, 7], self.applied)
        self.assertTrue(self.fresh.is_fresh(13.9))

    def test_older_version_is_never_put_in_force(self) -> None:
        self.keeper.take_all(build_rows(b'7'), 10.0)
        self.keeper.take_all(build_rows(b'4'), 11.0)
        table = self.keeper.get_table()
        assert table is not None
        self.assertEqual(7, table.version)

    def test_no_change_confirms(self) -> None:
        self.keeper.take_all(build_rows(b'7'), 10.0)
        self.keeper.take_changes(build_rows(), 12.0)
        self.assertTrue(self.fresh.is_fresh(14.9))

    def test_store_with_an_older_version_confirms_nothing(self) -> None:
        """It was restored and may have lost a version newer than this one."""
        self.keeper.take_all(build_rows(b'7'), 10.0)
        with self.assertLogs('eelgrasswalk', 'WARNING'):
            self.keeper.take_all(build_rows(b'4'), 12.0)
        self.keeper.take_changes(build_rows(), 12.5)
        self.assertFalse(self.fresh.is_fresh(13.0))
        self.keeper.take_changes(build_rows(b'7'), 13.0)
        self.assertTrue(self.fresh.is_fresh(15.9))

    def test_version_at_another_node_must_arrive_first(self) -> None:
        self.keeper.take_all(build_rows(b'7'), 10.0)
        self.keeper.note_newer(8)
        self.keeper.take_changes(build_rows(), 12.0)
        self.assertFalse(self.fresh.is_fresh(13.0))
        self.keeper.take_changes(build_rows(b'8'), 13.0)
        self.assertTrue(self.fresh.is_fresh(15.9))

    def test_no_change_after_an_unreadable_version_confirms_nothing(
        self,
    ) -> None:
        self.keeper.take_all(build_rows(b'7'), 10.0)
        with self.assertLogs('eelgrasswalk', 'ERROR'):
            self.keeper.take_changes(build_rows(b'x'), 12.0)
        self.keeper.take_changes(build_rows(), 12.5)
        self.assertFalse(self.fresh.is_fresh(13.0))

    def test_unreadable_version_confirms_nothing(self) -> None:
        """It may have withdrawn a key."""
        self.keeper.take_all(build_rows(b'7'), 10.0)
        with self.assertLogs('eelgrasswalk', 'ERROR'):
            self.keeper.take_changes(build_rows(b'x'), 12.0)
        self.assertEqual([7], self.applied)
        self.assertFalse(self.fresh.is_fresh(13.0))
