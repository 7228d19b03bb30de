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
