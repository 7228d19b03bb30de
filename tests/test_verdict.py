"""Tests of the verdict types."""

import unittest

from eelgrasswalk import verdict


class VerdictTest(unittest.TestCase):
    def test_reasons_have_distinct_values(self) -> None:
        values = [reason.value for reason in verdict.Reason]
        self.assertEqual(len(values), len(set(values)))

    def test_refusal_is_immutable(self) -> None:
        refusal = verdict.NotRun(verdict.Reason.QUOTA, 1.0)
        with self.assertRaises(AttributeError):
            refusal.reason = verdict.Reason.OVERLOAD  # type: ignore[misc]
