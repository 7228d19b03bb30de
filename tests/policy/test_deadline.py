"""Tests of deadlines."""

import unittest

from eelgrasswalk.policy import deadline


class ParseTimeoutTest(unittest.TestCase):
    def test_seconds(self) -> None:
        self.assertEqual(
            deadline.parse_timeout('2.5'), deadline.RequestedTimeout(2.5)
        )
        self.assertEqual(deadline.parse_timeout(None), deadline.NoTimeout())

    def test_rejects_what_is_not_positive_and_finite(self) -> None:
        for value in ('', 'x', '0', '-1', 'nan', 'inf', '1' * 99):
            with self.subTest(value=value):
                parsed = deadline.parse_timeout(value)
                self.assertIsInstance(parsed, deadline.InvalidTimeout)


class ComputeDeadlineTest(unittest.TestCase):
    def test_default_and_named(self) -> None:
        compute = deadline.compute_deadline
        self.assertEqual(compute(10.0, 3.0), 13.0)
        given = deadline.RequestedTimeout(1.0)
        self.assertEqual(compute(10.0, 3.0, timeout=given), 11.0)

    def test_child_never_extends_its_parent(self) -> None:
        found = deadline.compute_deadline(
            10.0, 3.0, timeout=deadline.RequestedTimeout(60.0), parent=11.5
        )
        self.assertEqual(found, 11.5)

    def test_each_hop_reduces(self) -> None:
        reduce_remaining = deadline.reduce_remaining
        self.assertEqual(reduce_remaining(2.0, 0.5), deadline.Remaining(1.5))
        self.assertEqual(reduce_remaining(2.0, -9.0), deadline.Remaining(2.0))
        self.assertEqual(reduce_remaining(2.0, 2.0), deadline.Expired())
