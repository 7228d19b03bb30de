"""Tests of the bound on repeats over the whole fleet."""

import unittest

import hypothesis
from hypothesis import strategies

from eelgrasswalk.policy import retry_budget

BOUNDS = retry_budget.RetryBounds(ratio=0.2, window_s=10.0, slack=49.0)


class RetryBudgetTest(unittest.TestCase):
    def test_a_failing_service_gets_no_storm(self) -> None:
        budget = retry_budget.RetryBudget(BOUNDS)
        taken = 0
        for call in range(1000):
            now = call * 0.01
            budget.count_call('leaf', now)
            taken += budget.take('leaf', now, nodes=16)
        self.assertLessEqual(taken, 0.2 * 1000 + 49.0 / 16)

    def test_budget_comes_back(self) -> None:
        budget = retry_budget.RetryBudget(BOUNDS)
        while budget.take('leaf', 0.0, nodes=1):
            pass
        self.assertFalse(budget.take('leaf', 5.0, nodes=1))
        self.assertTrue(budget.take('leaf', 11.0, nodes=1))

    def test_services_have_budgets_of_their_own(self) -> None:
        budget = retry_budget.RetryBudget(BOUNDS)
        while budget.take('leaf', 0.0, nodes=1):
            pass
        self.assertTrue(budget.take('other', 0.0, nodes=1))

    @hypothesis.given(
        strategies.integers(1, 40),
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 2.0), strategies.booleans()
            ),
            max_size=120,
        ),
    )
    def test_parts_add_up_to_the_fleets_bound(
        self, nodes: int, steps: list[tuple[float, bool]]
    ) -> None:
        """One node takes all that it may; so would the others."""
        budget = retry_budget.RetryBudget(BOUNDS)
        now = 0.0
        calls: list[float] = []
        repeats: list[float] = []
        for pause, is_call in steps:
            now += pause
            if is_call:
                calls.append(now)
                budget.count_call('leaf', now)
            while budget.take('leaf', now, nodes=nodes):
                repeats.append(now)
        for end in repeats:
            window = [at for at in repeats if end - 10.0 < at <= end]
            sent = [at for at in calls if end - 20.0 < at <= end]
            allowed = 0.2 * len(sent) + 49.0 / nodes
            self.assertLessEqual(len(window), allowed + 1e-9)
