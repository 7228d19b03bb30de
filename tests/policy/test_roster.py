"""Tests for the roster of nodes."""

import dataclasses
import unittest

from eelgrasswalk.policy import roster

ENTRY = roster.Entry(
    node_id='n1',
    incarnation=5,
    revision=2,
    service='catalogue',
    data_centre='erie',
    host='10.0.0.1',
    port=7000,
    state=roster.TargetState.READY,
)


class RosterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.roster = roster.Roster()
        self.roster.update(ENTRY)

    def test_ignores_an_older_entry(self) -> None:
        old = dataclasses.replace(
            ENTRY, revision=1, state=roster.TargetState.DRAINING
        )
        self.assertFalse(self.roster.update(old))
        self.assertIs(ENTRY, self.roster.find('n1'))

    def test_incarnation_takes_precedence_over_revision(self) -> None:
        new = dataclasses.replace(ENTRY, incarnation=6, revision=0)
        self.assertTrue(self.roster.update(new))

    def test_drained_run_does_not_become_ready_again(self) -> None:
        """Its node restarted from a record older than the drain."""
        run = dataclasses.replace(ENTRY, target_id='i-1', born_ms=7)
        self.roster.update(
            dataclasses.replace(
                run, revision=3, state=roster.TargetState.DRAINING
            )
        )
        self.roster.update(dataclasses.replace(run, incarnation=6))
        found = self.roster.find('n1')
        assert found is not None
        self.assertFalse(found.is_usable)
        self.roster.update(dataclasses.replace(run, incarnation=7, born_ms=8))
        found = self.roster.find('n1')
        assert found is not None
        self.assertTrue(found.is_usable)

    def test_removed_entry_does_not_come_back(self) -> None:
        """A store that was restored from a copy shows it again."""
        self.roster.remove('n1')
        self.assertFalse(self.roster.update(ENTRY))
        self.assertIsNone(self.roster.find('n1'))
        newer = dataclasses.replace(ENTRY, revision=3)
        self.assertTrue(self.roster.update(newer))

    def test_number_of_removed_entries_is_bounded(self) -> None:
        for number in range(roster.MAX_REMOVED + 1):
            entry = dataclasses.replace(ENTRY, node_id=f'm{number}')
            self.roster.update(entry)
            self.roster.remove(entry.node_id)
        self.assertTrue(
            self.roster.update(dataclasses.replace(ENTRY, node_id='m0'))
        )

    def test_removes_nodes_that_are_not_listed(self) -> None:
        self.assertTrue(self.roster.keep_only({'n2'}))
        self.assertEqual([], self.roster.list_entries())

    def test_stopping_node_is_not_usable(self) -> None:
        self.assertTrue(ENTRY.is_usable)
        stopping = dataclasses.replace(ENTRY, stopping=True)
        self.assertFalse(stopping.is_usable)


class ChooseLostTest(unittest.TestCase):
    def test_single_unreachable_node_is_lost(self) -> None:
        self.assertEqual(('n2',), roster.choose_lost(['n2'], reached=8))

    def test_partitioned_node_considers_no_other_lost(self) -> None:
        failing = [f'n{number}' for number in range(12)]
        self.assertEqual((), roster.choose_lost(failing, reached=3))
        self.assertEqual((), roster.choose_lost(['n2'], reached=0))
