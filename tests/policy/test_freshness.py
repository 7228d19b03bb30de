"""Tests of the age of confirmations and of their renewal."""

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

    def test_older_confirmation_is_ignored(self) -> None:
        fresh = freshness.Freshness(3.0)
        fresh.confirm(10.0)
        fresh.confirm(9.0)
        self.assertEqual(2.0, fresh.get_age(12.0))


class RefreshPolicyTest(unittest.TestCase):
    refresh_policy = freshness.RefreshPolicy(
        peer_refresh_age_s=1.5,
        root_refresh_age_s=1.2,
        relay_refresh_age_s=2.0,
        jitter_s=0.5,
    )

    def test_roots_ask_before_any_other(self) -> None:
        root_refresh_age_s = self.choose(is_root=True, random_value=0.99)
        relay_refresh_age_s = self.choose(has_children=True, random_value=0.0)
        self.assertLess(root_refresh_age_s, relay_refresh_age_s)

    def test_others_ask_at_random_ages(self) -> None:
        first_s = self.choose(has_children=True, random_value=0.0)
        last_s = self.choose(has_children=True, random_value=0.99)
        self.assertAlmostEqual(0.495, last_s - first_s)

    def test_relaying_nodes_ask_before_those_that_do_not(
        self,
    ) -> None:
        last_s = self.choose(has_children=True, random_value=0.99)
        first_s = self.choose(random_value=0.0)
        self.assertLess(last_s, first_s)

    def choose(
        self,
        *,
        random_value: float,
        is_root: bool = False,
        has_children: bool = False,
    ) -> float:
        return self.refresh_policy.choose_refresh_age(
            is_root=is_root,
            has_children=has_children,
            random_value=random_value,
        )
