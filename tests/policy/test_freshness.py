"""Tests of the age of the newest certainty."""

import unittest

from eelgrasswalk.policy import freshness


class FreshnessTest(unittest.TestCase):
    def test_nothing_is_fresh_at_first(self) -> None:
        self.assertFalse(freshness.Freshness(3.0).is_fresh(0.0))

    def test_ends_at_the_limit(self) -> None:
        fresh = freshness.Freshness(3.0)
        fresh.confirm(10.0)
        self.assertTrue(fresh.is_fresh(12.99))
        self.assertFalse(fresh.is_fresh(13.0))

    def test_older_confirmation_takes_nothing_back(self) -> None:
        fresh = freshness.Freshness(3.0)
        fresh.confirm(10.0)
        fresh.confirm(9.0)
        self.assertEqual(2.0, fresh.get_age(12.0))


class PatienceTest(unittest.TestCase):
    patience = freshness.Patience(early_s=1.2, late_s=2.0, spread_s=0.5)

    def test_early_nodes_ask_before_any_other(self) -> None:
        early_s = self.patience.choose(is_early=True, random_value=0.99)
        late_s = self.patience.choose(is_early=False, random_value=0.0)
        self.assertLess(early_s, late_s)

    def test_others_do_not_ask_together(self) -> None:
        first_s = self.patience.choose(is_early=False, random_value=0.0)
        last_s = self.patience.choose(is_early=False, random_value=0.99)
        self.assertAlmostEqual(0.495, last_s - first_s)

    def test_all_nodes_name_the_same_few(self) -> None:
        names = [f'n{index}' for index in range(70)]
        early = freshness.choose_early(names)
        self.assertEqual(freshness.EARLY_NODES, len(early))
        self.assertEqual(early, freshness.choose_early(reversed(names)))

    def test_another_takes_the_place_of_a_lost_one(self) -> None:
        names = [f'n{index}' for index in range(70)]
        early = freshness.choose_early(names)
        lost = min(early)
        left = [name for name in names if name != lost]
        self.assertLess(early - {lost}, freshness.choose_early(left))
