"""Tests of the decisions on evacuated data centres."""

import random
import unittest

from eelgrasswalk.policy.placement import balance
from eelgrasswalk.policy.placement import evacuation

NONE: frozenset[str] = frozenset()
ZONES = ('a', 'b', 'c')


def mark(
    *, evacuated: tuple[str, ...] = (), lifted: tuple[str, ...] = ()
) -> evacuation.Marks:
    return evacuation.Marks(frozenset(evacuated), frozenset(lifted))


class FindChangeTest(unittest.TestCase):
    def test_changes_add_and_remove(self) -> None:
        change = evacuation.find_change(
            frozenset('ab'),
            mark(evacuated=('c',), lifted=('a',)),
            is_complete=False,
        )
        self.assertEqual(
            evacuation.Change(frozenset('bc'), frozenset('c'), frozenset('a')),
            change,
        )

    def test_full_read_ends_evacuations_whose_row_is_missing(self) -> None:
        change = evacuation.find_change(
            frozenset('ab'), mark(evacuated=('b',)), is_complete=True
        )
        assert change is not None
        self.assertEqual(frozenset('b'), change.evacuated)
        self.assertEqual(frozenset('a'), change.lifted)

    def test_known_state_is_no_change(self) -> None:
        for is_complete in (False, True):
            self.assertIsNone(
                evacuation.find_change(
                    frozenset('a'),
                    mark(evacuated=('a',)),
                    is_complete=is_complete,
                )
            )
        self.assertIsNone(
            evacuation.find_change(
                NONE, mark(lifted=('a',)), is_complete=False
            )
        )

    def test_replay_of_rows_ends_with_the_rows_that_exist(self) -> None:
        """Rows come in batches, and some reads are full.

        Guards against a set that drifts from the table.
        """
        source = random.Random(7)
        rows: set[str] = set()
        known = NONE
        for _ in range(500):
            begun: set[str] = set()
            lifted: set[str] = set()
            for _ in range(source.randrange(3)):
                zone = source.choice(ZONES)
                has_row = source.random() < 0.5
                (rows.add if has_row else rows.discard)(zone)
                (begun.add if has_row else begun.discard)(zone)
                (lifted.discard if has_row else lifted.add)(zone)
            is_complete = source.random() < 0.2
            marks = evacuation.Marks(frozenset(begun), frozenset(lifted))
            if is_complete:
                marks = evacuation.Marks(frozenset(rows))
            change = evacuation.find_change(
                known, marks, is_complete=is_complete
            )
            if change is not None:
                self.assertEqual(known - change.evacuated, change.lifted)
                self.assertEqual(change.evacuated - known, change.begun)
                known = change.evacuated
            self.assertEqual(rows, known)


class KeepRemainingTest(unittest.TestCase):
    def test_upstreams_of_evacuated_data_centres_are_left_out(self) -> None:
        upstreams = [
            balance.Upstream(f'n-{zone}', zone, 'back') for zone in ZONES
        ]
        remaining = evacuation.keep_remaining(upstreams, frozenset('ac'))
        self.assertEqual(['n-b'], [each.node_id for each in remaining])
        self.assertEqual(
            [], list(evacuation.keep_remaining(upstreams, frozenset(ZONES)))
        )

    def test_without_evacuations_nothing_is_copied(self) -> None:
        upstreams = [balance.Upstream('n', 'a', 'back')]
        self.assertIs(upstreams, evacuation.keep_remaining(upstreams, NONE))
