"""Tests of the entries of nodes."""

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

    def test_late_news_changes_nothing(self) -> None:
        old = dataclasses.replace(
            ENTRY, revision=1, state=roster.TargetState.DRAINING
        )
        self.assertFalse(self.roster.update(old))
        self.assertIs(ENTRY, self.roster.find('n1'))

    def test_new_incarnation_goes_before_revisions(self) -> None:
        new = dataclasses.replace(ENTRY, incarnation=6, revision=0)
        self.assertTrue(self.roster.update(new))

    def test_forgets_what_is_not_listed(self) -> None:
        self.assertTrue(self.roster.keep_only({'n2'}))
        self.assertEqual([], self.roster.list_entries())

    def test_stopping_node_is_not_usable(self) -> None:
        self.assertTrue(ENTRY.is_usable)
        stopping = dataclasses.replace(ENTRY, stopping=True)
        self.assertFalse(stopping.is_usable)


class ChooseLostTest(unittest.TestCase):
    def test_single_node_that_is_gone(self) -> None:
        self.assertEqual(('n2',), roster.choose_lost(['n2'], reached=8))

    def test_node_that_is_cut_off_takes_nobody_for_gone(self) -> None:
        failing = [f'n{number}' for number in range(12)]
        self.assertEqual((), roster.choose_lost(failing, reached=3))
        self.assertEqual((), roster.choose_lost(['n2'], reached=0))
