"""Tests of the wait until a version is in force."""

import unittest

from eelgrasswalk.cli import progress
from eelgrasswalk.operations import fleet


def make_member(node_id: str) -> fleet.Member:
    return fleet.Member(node_id, node_id, '', 'catalogue', 'ready')


class VanishedTest(unittest.TestCase):
    def test_unconfirmed_node_that_vanishes_is_named(self) -> None:
        one, two, three = map(make_member, ('one', 'two', 'three'))
        seen: dict[str, fleet.Member] = {}
        first = fleet.Progress(1, (one, three), (two,), ())
        first = progress.add_vanished(first, seen, set())
        self.assertEqual(first.dead, ())
        second = fleet.Progress(1, (one,), (), ())
        second = progress.add_vanished(second, seen, {'one', 'three'})
        self.assertTrue(second.complete)
        self.assertEqual(second.dead, (two,))
        self.assertIn(
            'not waited for: two', progress.summarize_progress(second)
        )
