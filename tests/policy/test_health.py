"""Tests of target health."""

import unittest

from eelgrasswalk.policy import health


class TargetHealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.health = health.TargetHealth(
            health.HealthSettings(failure_threshold=3)
        )

    def check(self, ok: bool, answers: int) -> bool:
        return self.health.observe_check(ok=ok, answers=answers)

    def test_consecutive_failures_make_the_target_unhealthy(self) -> None:
        usable = [self.check(False, 5) for _ in range(3)]
        self.assertEqual([True, True, False], usable)

    def test_target_that_responds_to_calls_stays_healthy(self) -> None:
        usable = [self.check(False, answers) for answers in range(10)]
        self.assertEqual([True] * 10, usable)

    def test_one_success_makes_the_target_healthy(self) -> None:
        for _ in range(3):
            self.check(False, 5)
        self.assertTrue(self.check(True, 5))

    def test_a_response_makes_the_target_healthy(self) -> None:
        for _ in range(3):
            self.check(False, 5)
        self.assertTrue(self.check(False, 6))
