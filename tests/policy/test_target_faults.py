"""Tests of how often a target fails by itself."""

import unittest

from eelgrasswalk import verdict
from eelgrasswalk.policy import target_faults

FAILURE = verdict.Answered(verdict.Response(500, (), b''))
ANSWER = verdict.Answered(verdict.Response(200, (), b''))


class TargetFaultsTest(unittest.TestCase):
    def measure(
        self, outcome: verdict.Verdict, *, has_failed_call: bool = False
    ) -> float:
        faults = target_faults.TargetFailures()
        for _ in range(50):
            faults.observe(outcome, has_failed_call=has_failed_call)
        return faults.rate

    def test_failures_count(self) -> None:
        lost = verdict.MayHaveRun(verdict.Reason.TARGET_LOST)
        refused = verdict.NotRun(verdict.Reason.TARGET_REFUSED)
        for outcome in (FAILURE, lost, refused):
            with self.subTest(outcome):
                self.assertGreater(self.measure(outcome), 0.9)

    def test_answers_do_not(self) -> None:
        self.assertEqual(0.0, self.measure(ANSWER))

    def test_failure_for_a_failed_call_does_not(self) -> None:
        self.assertEqual(0.0, self.measure(FAILURE, has_failed_call=True))

    def test_what_says_nothing_of_the_target_does_not(self) -> None:
        for outcome in (
            verdict.MayHaveRun(verdict.Reason.CALLER_GONE),
            verdict.MayHaveRun(verdict.Reason.DEADLINE),
            verdict.NotRun(verdict.Reason.LEAVING),
        ):
            with self.subTest(outcome):
                self.assertEqual(0.0, self.measure(outcome))

    def test_target_that_works_again_is_forgiven(self) -> None:
        faults = target_faults.TargetFailures()
        for _ in range(50):
            faults.observe(FAILURE, has_failed_call=False)
        for _ in range(50):
            faults.observe(ANSWER, has_failed_call=False)
        self.assertLess(faults.rate, 0.01)
