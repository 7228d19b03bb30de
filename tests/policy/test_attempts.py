"""Tests of the table of attempts."""

import unittest

from eelgrasswalk import verdict
from eelgrasswalk.policy import attempts

ATTEMPT = bytes(16)
OTHER = bytes(range(16))


def answer(length: int) -> verdict.Answered:
    return verdict.Answered(verdict.Response(200, (), b'x' * length))


class AttemptTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = attempts.AttemptTable(max_answer_bytes=100)

    def test_unknown_attempt_is_fenced(self) -> None:
        status = self.table.query(ATTEMPT, now=0.0, fence_s=60.0)
        self.assertEqual(attempts.Fenced(), status)
        arrival = self.table.begin(ATTEMPT, expires_at=5.0)
        self.assertIs(attempts.Arrival.FENCED, arrival)

    def test_attempt_that_arrives_twice_runs_once(self) -> None:
        first = self.table.begin(ATTEMPT, expires_at=5.0)
        second = self.table.begin(ATTEMPT, expires_at=5.0)
        self.assertIs(attempts.Arrival.NEW, first)
        self.assertIs(attempts.Arrival.DUPLICATE, second)

    def test_query_returns_running_then_answer(self) -> None:
        self.table.begin(ATTEMPT, expires_at=5.0)
        running = self.table.query(ATTEMPT, now=1.0, fence_s=60.0)
        self.assertEqual(attempts.Running(), running)
        self.table.finish(ATTEMPT, answer(3))
        ended = self.table.query(ATTEMPT, now=1.0, fence_s=60.0)
        self.assertEqual(attempts.Ended(answer(3)), ended)

    def test_dropped_answer_may_have_run(self) -> None:
        self.table.begin(ATTEMPT, expires_at=5.0)
        self.table.finish(ATTEMPT, answer(80))
        self.table.begin(OTHER, expires_at=5.0)
        self.table.finish(OTHER, answer(80))
        status = self.table.query(ATTEMPT, now=1.0, fence_s=60.0)
        assert isinstance(status, attempts.Ended)
        self.assertIsInstance(status.outcome, verdict.MayHaveRun)
        self.assertEqual(80, self.table.answer_bytes)

    def test_header_lines_of_an_answer_count(self) -> None:
        """Thousands of them take far more than a short body."""
        lines = ((b'a', b'b'),) * 4
        self.table.begin(ATTEMPT, expires_at=5.0)
        self.table.finish(
            ATTEMPT, verdict.Answered(verdict.Response(200, lines, b''))
        )
        status = self.table.query(ATTEMPT, now=1.0, fence_s=60.0)
        assert isinstance(status, attempts.Ended)
        self.assertIsInstance(status.outcome, verdict.MayHaveRun)

    def test_record_outlives_the_deadline_of_its_attempt(self) -> None:
        self.table.begin(ATTEMPT, expires_at=5.0)
        self.table.finish(ATTEMPT, answer(1))
        self.table.purge(5.0)
        self.assertEqual(1, len(self.table))
        self.table.purge(5.0 + attempts.RETENTION_MARGIN_S)
        self.assertEqual(0, len(self.table))

    def test_running_attempt_is_never_purged(self) -> None:
        self.table.begin(ATTEMPT, expires_at=5.0)
        self.table.purge(1e9)
        status = self.table.query(ATTEMPT, now=1e9, fence_s=60.0)
        self.assertEqual(attempts.Running(), status)

    def test_acknowledged_answer_is_forgotten(self) -> None:
        self.table.begin(ATTEMPT, expires_at=5.0)
        self.table.finish(ATTEMPT, answer(9))
        self.table.acknowledge(ATTEMPT)
        self.assertEqual(0, len(self.table))
        self.assertEqual(0, self.table.answer_bytes)
