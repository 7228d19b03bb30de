"""Tests of the judgement of a target's health."""

import unittest

from eelgrasswalk.policy import health


class TargetHealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.health = health.TargetHealth(health.HealthSettings(failures=3))

    def check(self, ok: bool, answers: int) -> bool:
        return self.health.observe_check(ok=ok, answers=answers)

    def test_failures_in_a_row_take_the_target_out(self) -> None:
        usable = [self.check(False, 5) for _ in range(3)]
        self.assertEqual([True, True, False], usable)

    def test_endpoint_that_lies_takes_no_busy_target_out(self) -> None:
        usable = [self.check(False, answers) for answers in range(10)]
        self.assertEqual([True] * 10, usable)

    def test_one_success_brings_the_target_back(self) -> None:
        for _ in range(3):
            self.check(False, 5)
        self.assertTrue(self.check(True, 5))

    def test_an_answer_brings_the_target_back(self) -> None:
        for _ in range(3):
            self.check(False, 5)
        self.assertTrue(self.check(False, 6))
