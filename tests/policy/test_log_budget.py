"""Tests of the rate limit for log lines."""

import unittest

from eelgrasswalk.policy import log_budget

LineCategory = log_budget.LineCategory
BOUNDS = log_budget.LogBounds(routine=2, failure=3, belief=4)


class LogBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = log_budget.LogBudget(BOUNDS)

    def test_lines_of_a_second_are_bounded(self) -> None:
        admitted = [
            self.budget.admit(LineCategory.ROUTINE, 10.0 + step / 100.0)
            for step in range(100)
        ]
        self.assertEqual(2, sum(admitted))

    def test_routine_lines_do_not_displace_failures(self) -> None:
        for _ in range(50):
            self.budget.admit(LineCategory.ROUTINE, 10.0)
        self.assertTrue(self.budget.admit(LineCategory.FAILURE, 10.0))

    def test_omitted_lines_are_reported_once(self) -> None:
        for _ in range(5):
            self.budget.admit(LineCategory.ROUTINE, 10.0)
        self.assertEqual({'routine': 3}, self.budget.take_omitted(10.5))
        self.assertEqual({}, self.budget.take_omitted(11.5))

    def test_omitted_lines_are_reported_at_most_once_a_second(self) -> None:
        for _ in range(3):
            self.budget.admit(LineCategory.ROUTINE, 10.0)
        self.budget.take_omitted(10.1)
        self.budget.admit(LineCategory.ROUTINE, 10.2)
        self.assertEqual({}, self.budget.take_omitted(10.3))
        self.assertEqual({'routine': 1}, self.budget.take_omitted(11.0))
