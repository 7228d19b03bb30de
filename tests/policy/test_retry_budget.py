"""Tests of the fleet-wide retry budget."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from eelgrasswalk.policy import retry_budget

BOUNDS = retry_budget.RetryBounds(ratio=0.2, window_s=10.0, slack=49.0)


def take(
    budget: retry_budget.RetryBudget,
    service: str,
    now: float,
    *,
    nodes: int,
    is_leaf: bool = True,
) -> bool:
    """Acquire one retry, by default for a call that makes no others."""
    return budget.acquire(service, now, nodes, is_leaf=is_leaf)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_to_a_failing_service_are_bounded(self) -> None:
        budget = retry_budget.RetryBudget(BOUNDS)
        taken = 0
        for call in range(1000):
            now = call * 0.01
            budget.count_call('leaf', now)
            taken += take(budget, 'leaf', now, nodes=16)
        self.assertLessEqual(taken, 0.2 * 1000 + 49.0 / 16)

    def test_budget_is_replenished(self) -> None:
        budget = retry_budget.RetryBudget(BOUNDS)
        while take(budget, 'leaf', 0.0, nodes=1):
            pass
        self.assertFalse(take(budget, 'leaf', 5.0, nodes=1))
        self.assertTrue(take(budget, 'leaf', 11.0, nodes=1))

    def test_services_have_separate_budgets(self) -> None:
        budget = retry_budget.RetryBudget(BOUNDS)
        while take(budget, 'leaf', 0.0, nodes=1):
            pass
        self.assertTrue(take(budget, 'other', 0.0, nodes=1))

    @hypothesis.given(
        strategies.integers(1, 40),
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 2.0), strategies.booleans()
            ),
            max_size=120,
        ),
    )
    def test_node_stays_within_its_share(
        self, nodes: int, steps: list[tuple[float, bool]]
    ) -> None:
        """A node that takes its whole share stays within it."""
        budget = retry_budget.RetryBudget(BOUNDS)
        now = 0.0
        calls: list[float] = []
        retries: list[float] = []
        for pause, is_call in steps:
            now += pause
            if is_call:
                calls.append(now)
                budget.count_call('leaf', now)
            while take(budget, 'leaf', now, nodes=nodes):
                retries.append(now)
        for end in retries:
            window = [at for at in retries if end - 10.0 < at <= end]
            sent = [at for at in calls if end - 20.0 < at <= end]
            allowed = 0.2 * len(sent) + 49.0 / nodes
            self.assertLessEqual(len(window), allowed + 1e-9)

    def test_calls_that_make_others_use_a_smaller_share(self) -> None:
        """Calls made by a retried call count as retries themselves."""
        budget = retry_budget.RetryBudget(BOUNDS)
        for _ in range(1000):
            budget.count_call('middle', 0.0)
        taken = 0
        while take(budget, 'middle', 0.0, nodes=16, is_leaf=False):
            taken += 1
        self.assertLessEqual(taken, 0.3 * (0.2 * 1000 + 49.0 / 16))
        self.assertTrue(take(budget, 'middle', 0.0, nodes=16, is_leaf=True))


class GreyServiceTest(unittest.TestCase):
    """Every target of the service refuses 45 of 100 calls."""

    refused = 0.45
    calls_per_root = 4
    roots_per_s = 100
    grey_s = 6.0

    def serve(self) -> float:
        """Return the share of root requests whose calls were all served."""
        budget = retry_budget.RetryBudget(BOUNDS)
        source = random.Random(7)
        served = 0
        roots = int(self.grey_s * self.roots_per_s)
        for number in range(-10 * self.roots_per_s, roots):
            now = 100.0 + number / self.roots_per_s
            is_served = all(
                self.call(budget, now, source, is_grey=number >= 0)
                for _ in range(self.calls_per_root)
            )
            served += number >= 0 and is_served
        return served / roots

    def call(
        self,
        budget: retry_budget.RetryBudget,
        now: float,
        source: random.Random,
        *,
        is_grey: bool,
    ) -> bool:
        """Return whether a call was served, possibly after retries."""
        budget.count_call('leaf', now)
        while is_grey and source.random() < self.refused:
            if not take(budget, 'leaf', now, nodes=16):
                return False
        return True

    def test_retries_save_nearly_as_many_roots_as_possible(self) -> None:
        """About two thirds of the bound are for calls that make no others."""
        calls = 10 * self.roots_per_s * self.calls_per_root
        retries = 0.65 * BOUNDS.ratio * calls
        per_call = self.refused / (1.0 - self.refused)
        saved = retries / (per_call * self.calls_per_root)
        share = saved / (self.grey_s * self.roots_per_s)
        lucky = (1.0 - self.refused) ** self.calls_per_root
        possible = share + (1.0 - share) * lucky
        self.assertGreaterEqual(self.serve(), 0.9 * possible)
