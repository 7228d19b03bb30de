"""Tests of the platform's budget and circuit breaker."""

import unittest

from eelgrasswalk.platform import limits


class BudgetTest(unittest.TestCase):
    def test_gives_its_burst_and_then_its_rate(self) -> None:
        budget = limits.Budget(10, 2, 0.0)
        self.assertEqual(0.0, budget.take(1, 0.0))
        self.assertEqual(0.0, budget.take(1, 0.0))
        self.assertAlmostEqual(0.1, budget.take(1, 0.0))
        self.assertEqual(0.0, budget.take(1, 0.1))

    def test_a_cost_above_the_burst_is_paid_later(self) -> None:
        budget = limits.Budget(10, 2, 0.0)
        self.assertEqual(0.0, budget.take(5, 0.0))
        self.assertAlmostEqual(0.4, budget.take(1, 0.0))

    def test_a_clock_that_goes_back_adds_nothing(self) -> None:
        budget = limits.Budget(10, 1, 5.0)
        self.assertEqual(0.0, budget.take(1, 5.0))
        self.assertGreater(budget.take(1, 4.0), 0.0)


class CircuitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.circuit = limits.Circuit(limits.CircuitLimits(2, 1.0, 3.0))

    def open(self) -> None:
        self.circuit.record_failure(0.0)
        self.circuit.record_failure(0.0)

    def test_opens_after_failures_in_a_row(self) -> None:
        self.circuit.record_failure(0.0)
        self.assertTrue(self.circuit.allows(0.0))
        self.circuit.record_success()
        self.circuit.record_failure(0.0)
        self.assertTrue(self.circuit.allows(0.0))
        self.circuit.record_failure(0.0)
        self.assertFalse(self.circuit.allows(0.9))

    def test_lets_one_probe_through(self) -> None:
        self.open()
        self.assertTrue(self.circuit.allows(1.0))
        self.assertFalse(self.circuit.allows(1.0))
        self.circuit.record_success()
        self.assertTrue(self.circuit.allows(1.0))

    def test_stays_open_longer_after_each_failed_probe(self) -> None:
        self.open()
        self.assertTrue(self.circuit.allows(1.0))
        self.circuit.record_failure(1.0)
        self.assertFalse(self.circuit.allows(2.9))
        self.assertTrue(self.circuit.allows(3.0))
        self.circuit.record_failure(3.0)
        self.assertTrue(self.circuit.allows(6.0))
