"""Tests of refusing roots while downstream calls lack capacity."""

import unittest

from eelgrasswalk import verdict
from eelgrasswalk.policy import root_share

SETTINGS = root_share.ShareSettings()


class RootShareTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shares = root_share.RootShares(SETTINGS)
        self.route: str | None = 'browse'
        self.now = 0.0

    def pass_intervals(
        self, count: int, *, capacity_failures: int, calls: int
    ) -> None:
        """Record the same number of the target's calls in each interval."""
        for _ in range(count):
            for number in range(calls):
                self.shares.observe(
                    self.route, number < capacity_failures, self.now
                )
            self.now += SETTINGS.interval_s

    def test_admits_all_roots_without_capacity_failures(self) -> None:
        self.pass_intervals(10, capacity_failures=0, calls=20)
        self.assertTrue(self.shares.admits('browse', 0.999, self.now))

    def test_tolerates_individual_capacity_failures(self) -> None:
        self.pass_intervals(10, capacity_failures=1, calls=20)
        self.assertTrue(self.shares.admits('browse', 0.999, self.now))

    def test_capacity_failures_reduce_admitted_share(self) -> None:
        self.pass_intervals(10, capacity_failures=10, calls=20)
        self.assertFalse(self.shares.admits('browse', 0.5, self.now))
        self.assertTrue(self.shares.admits('browse', 0.01, self.now))
        self.assertGreater(
            self.shares.get_capacity_failure_ratio('browse'), 0.4
        )

    def test_share_never_falls_below_minimum(self) -> None:
        self.pass_intervals(100, capacity_failures=20, calls=20)
        self.assertEqual(
            SETTINGS.min_share, self.shares.compute_share('browse', self.now)
        )

    def test_share_recovers_within_four_seconds(self) -> None:
        self.pass_intervals(100, capacity_failures=20, calls=20)
        self.pass_intervals(16, capacity_failures=0, calls=20)
        self.assertEqual(1.0, self.shares.compute_share('browse', self.now))

    def test_share_recovers_without_calls(self) -> None:
        self.pass_intervals(100, capacity_failures=20, calls=20)
        for _ in range(20):
            self.now += SETTINGS.interval_s
            self.shares.admits('browse', 0.999, self.now)
        self.assertEqual(1.0, self.shares.compute_share('browse', self.now))

    def test_too_few_calls_change_nothing(self) -> None:
        self.pass_intervals(10, capacity_failures=2, calls=2)
        self.assertEqual(1.0, self.shares.compute_share('browse', self.now))

    def test_other_routes_are_not_affected(self) -> None:
        self.pass_intervals(10, capacity_failures=20, calls=20)
        self.assertTrue(self.shares.admits('book', 0.999, self.now))

    def test_calls_of_an_unknown_route_count_for_all(self) -> None:
        self.route = None
        self.pass_intervals(10, capacity_failures=20, calls=20)
        self.assertFalse(self.shares.admits('book', 0.999, self.now))

    def test_late_calls_of_requests_that_have_ended_count_for_none(
        self,
    ) -> None:
        self.pass_intervals(1, capacity_failures=0, calls=20)
        self.route = None
        self.pass_intervals(10, capacity_failures=20, calls=20)
        self.assertTrue(self.shares.admits('book', 0.999, self.now))


class IsCapacityFailureTest(unittest.TestCase):
    def test_overload_refusal(self) -> None:
        refusal = verdict.NotRun(verdict.Reason.OVERLOAD)
        self.assertTrue(root_share.is_capacity_failure(refusal, 0.0))

    def test_no_answer_in_time(self) -> None:
        doubt = verdict.MayHaveRun(verdict.Reason.DEADLINE)
        self.assertTrue(root_share.is_capacity_failure(doubt, 0.0))

    def test_lost_target_is_no_capacity_failure(self) -> None:
        doubt = verdict.MayHaveRun(verdict.Reason.TARGET_LOST)
        self.assertFalse(root_share.is_capacity_failure(doubt, 1.0))

    def test_error_response_counts_if_downstream_calls_fail(self) -> None:
        failed = verdict.Answered(verdict.Response(500, (), b''))
        self.assertTrue(root_share.is_capacity_failure(failed, 0.2))
        self.assertFalse(root_share.is_capacity_failure(failed, 0.0))

    def test_answer_never_counts(self) -> None:
        answered = verdict.Answered(verdict.Response(200, (), b''))
        self.assertFalse(root_share.is_capacity_failure(answered, 1.0))
