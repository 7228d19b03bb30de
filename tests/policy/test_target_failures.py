"""Tests of the failure rate of a target."""

import unittest

from eelgrasswalk import verdict
from eelgrasswalk.policy import target_failures

FAILURE = verdict.Answered(verdict.Response(500, (), b''))
ANSWER = verdict.Answered(verdict.Response(200, (), b''))


class TargetFailuresTest(unittest.TestCase):
    def measure(
        self, outcome: verdict.Verdict, *, has_failed_call: bool = False
    ) -> float:
        faults = target_failures.TargetFailures()
        for _ in range(50):
            faults.observe(outcome, has_failed_call=has_failed_call)
        return faults.rate

    def test_failures_count(self) -> None:
        lost = verdict.MayHaveRun(verdict.Reason.TARGET_LOST)
        refused = verdict.NotRun(verdict.Reason.TARGET_REFUSED)
        for outcome in (FAILURE, lost, refused):
            with self.subTest(outcome):
                self.assertGreater(self.measure(outcome), 0.9)

    def test_answer_with_an_invalid_status_counts(self) -> None:
        outcome = verdict.MayHaveRun(verdict.Reason.ANSWER_INCOMPLETE)
        self.assertGreater(self.measure(outcome), 0.9)

    def test_successes_do_not_count(self) -> None:
        self.assertEqual(0.0, self.measure(ANSWER))

    def test_failure_caused_by_a_failed_call_does_not_count(self) -> None:
        self.assertEqual(0.0, self.measure(FAILURE, has_failed_call=True))

    def test_unrelated_outcomes_do_not_count(self) -> None:
        for outcome in (
            verdict.MayHaveRun(verdict.Reason.CALLER_GONE),
            verdict.MayHaveRun(verdict.Reason.DEADLINE),
            verdict.NotRun(verdict.Reason.LEAVING),
        ):
            with self.subTest(outcome):
                self.assertEqual(0.0, self.measure(outcome))

    def test_rate_falls_when_the_target_recovers(self) -> None:
        faults = target_failures.TargetFailures()
        for _ in range(50):
            faults.observe(FAILURE, has_failed_call=False)
        for _ in range(50):
            faults.observe(ANSWER, has_failed_call=False)
        self.assertLess(faults.rate, 0.01)
