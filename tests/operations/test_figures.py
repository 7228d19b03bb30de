"""Tests of the sums in a node's status."""

import unittest

from eelgrasswalk import counters
from eelgrasswalk.operations import figures


def make_kind(
    reason: str = '', *, source: str = 'caller', importance: int = 0
) -> counters.CallKind:
    verdict = 'not-run' if reason else 'answered'
    return counters.CallKind(source, verdict, reason, importance, 'erie')


class FiguresTest(unittest.TestCase):
    def test_sums_by_importance_and_account(self) -> None:
        calls = {
            make_kind(): 7,
            make_kind(source='target'): 5,
            make_kind('overload', importance=3): 2,
            make_kind('overload', importance=-1): 1,
            make_kind('quota'): 4,
        }
        self.assertEqual(
            figures.summarize_calls(calls),
            {
                'answered': 7,
                'refused': {'overload': 3, 'quota': 4},
                'shed': {'critical': 0, 'high': 0, 'normal': 0, 'low': 2},
                'accounts': {'erie': {'sent': 10, 'answered': 7}},
            },
        )
