"""Tests of the limit on the rate of starts."""

import bisect
import unittest

from eelgrasswalk.policy.capacity import start_rate

WINDOW_S = 4.0


class StartRateTest(unittest.TestCase):
    def test_no_limit_until_one_is_set(self) -> None:
        rate = start_rate.StartRate()
        for _ in range(1000):
            self.assertTrue(rate.may_start(0.0))
            rate.take(0.0)
        self.assertEqual(0.0, rate.compute_load(0.0, waiting=3))

    def count_starts(self, calls_per_s: float, offered_per_s: float) -> int:
        """Return the most starts in any window of a steady overload."""
        rate = start_rate.StartRate()
        rate.set_limit(calls_per_s, 0.0)
        starts = []
        # A pause halfway fills the bucket.
        for number in range(int(40 * offered_per_s)):
            now = number / offered_per_s
            if 18.0 < now < 22.0:
                continue
            if rate.may_start(now):
                rate.take(now)
                starts.append(now)
        return max(
            bisect.bisect_left(starts, first + WINDOW_S) - index
            for index, first in enumerate(starts)
        )

    def test_starts_stay_within_the_limit_and_use_it(self) -> None:
        """Replays twice and ten times the rate that a target names."""
        for calls_per_s in (0.7, 3.0, 26.9, 110.0):
            for factor in (2.0, 10.0):
                with self.subTest(rate=calls_per_s, factor=factor):
                    most = self.count_starts(calls_per_s, factor * calls_per_s)
                    allowed = 1.5 * calls_per_s * WINDOW_S + 5.0
                    self.assertLessEqual(most, allowed)
                    self.assertGreaterEqual(most, calls_per_s * WINDOW_S - 1.0)

    def test_target_that_accepts_nothing_is_asked_now_and_then(self) -> None:
        rate = start_rate.StartRate()
        rate.set_limit(0.0, 0.0)
        rate.take(0.0)
        self.assertFalse(rate.may_start(0.1))
        self.assertTrue(rate.may_start(4.0))
        self.assertLessEqual(self.count_starts(0.0, 50.0), 5)

    def test_wait_counts_the_calls_ahead(self) -> None:
        rate = start_rate.StartRate()
        rate.set_limit(10.0, 0.0)
        rate.take(0.0)
        self.assertAlmostEqual(0.1, rate.compute_wait(0.0))
        self.assertAlmostEqual(0.4, rate.compute_wait(0.0, ahead=3))

    def test_lifted_limit_no_longer_holds(self) -> None:
        rate = start_rate.StartRate()
        rate.set_limit(1.0, 0.0)
        rate.take(0.0)
        rate.set_limit(None, 0.0)
        self.assertTrue(rate.may_start(0.0))

    def test_changed_limit_gives_no_new_burst(self) -> None:
        rate = start_rate.StartRate()
        rate.set_limit(10.0, 0.0)
        rate.take(0.0)
        for number in range(100):
            rate.set_limit(10.0 + number % 2, 0.0)
        self.assertFalse(rate.may_start(0.0))

    def test_load_tells_a_used_up_limit(self) -> None:
        rate = start_rate.StartRate()
        rate.set_limit(10.0, 0.0)
        rate.take(0.0)
        self.assertAlmostEqual(1.0, rate.compute_load(0.0, waiting=0))
        self.assertGreater(rate.compute_load(0.0, waiting=5), 1.5)
        self.assertAlmostEqual(0.0, rate.compute_load(9.0, waiting=0))
