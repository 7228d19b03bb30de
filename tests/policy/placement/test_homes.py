"""Tests of the data centres in which requests may run."""

import copy
import unittest

from eelgrasswalk.policy.placement import homes

NONE: frozenset[str] = frozenset()
NORTH = frozenset(('north',))
SOUTH = frozenset(('south',))


class HomesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.homes = homes.Homes({'a': 'north', 'b': 'north', 'c': 'south'})

    def test_no_limit(self) -> None:
        self.assertIsNone(self.homes.find_allowed(NONE, NONE))

    def test_one_limit(self) -> None:
        for route, account in ((NORTH, NONE), (NONE, NORTH)):
            self.assertEqual(
                frozenset('ab'), self.homes.find_allowed(route, account)
            )

    def test_two_limits_both_bind(self) -> None:
        both = self.homes.find_allowed(NORTH | SOUTH, SOUTH)
        self.assertEqual(frozenset('c'), both)
        # An empty result must not be taken for no limit.
        neither = self.homes.find_allowed(NORTH, SOUTH)
        self.assertEqual(NONE, neither)
        self.assertIsNotNone(neither)

    def test_region_without_data_centres_allows_none(self) -> None:
        self.assertEqual(
            NONE, self.homes.find_allowed(frozenset(('east',)), NONE)
        )

    def test_reading_keeps_no_result(self) -> None:
        """Questions must not push the results of calls out of the cache."""
        limits = (NONE, NORTH, SOUTH, NORTH | SOUTH, frozenset(('east',)))
        for route in limits:
            for account in limits:
                before = copy.deepcopy(vars(self.homes))
                found = self.homes.read_allowed(route, account)
                self.assertEqual(before, vars(self.homes))
                self.assertEqual(
                    self.homes.find_allowed(route, account), found
                )

    def test_changed_table_counts_at_once(self) -> None:
        """Results are kept; they must not outlast the table."""
        self.homes.find_allowed(SOUTH, NONE)
        self.homes.set_regions({'a': 'south'})
        self.assertEqual(frozenset('a'), self.homes.find_allowed(SOUTH, NONE))
