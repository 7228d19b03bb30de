"""Tests of lines and counts of calls, and of the page of metrics."""

import json
import logging
import typing
import unittest

from eelgrasswalk import events
from eelgrasswalk import metrics_page
from eelgrasswalk import request_log
from eelgrasswalk import verdict
from eelgrasswalk.policy import log_budget

ANSWER = verdict.Answered(verdict.Response(200, (), b''))
REFUSAL = verdict.NotRun(verdict.Reason.QUOTA)


class Lines:
    """A stream that keeps its lines."""

    def __init__(self) -> None:
        self.lines: list[dict[str, typing.Any]] = []

    def write(self, text: str) -> int:
        if text.strip():
            self.lines.append(json.loads(text))
        return len(text)

    def flush(self) -> None:
        pass


class RequestLogTest(unittest.TestCase):
    def setUp(self) -> None:
        root = logging.getLogger()
        logger = logging.getLogger('eelgrasswalk')
        self.addCleanup(logger.setLevel, logger.level)
        self.addCleanup(root.setLevel, root.level)
        self.addCleanup(setattr, root, 'handlers', root.handlers)
        self.stream = Lines()
        budget = log_budget.LogBudget(
            log_budget.LogBounds(routine=2, failure=3, belief=4)
        )
        events.configure_logging(
            'info', node_id='n1', stream=self.stream, budget=budget
        )
        self.log = request_log.RequestLog(budget)

    def record(self, outcome: verdict.Verdict, **fields: str) -> None:
        self.log.record(
            events.CALL_ENDED,
            outcome,
            hop='entry',
            service='orders',
            account='lake',
            latency_s=0.03,
            describe=lambda: dict(fields),
        )

    def test_line_says_what_decided(self) -> None:
        self.record(REFUSAL, request='r-1')
        (line,) = self.stream.lines
        self.assertEqual(
            ('r-1', 'not-run', 'quota', 30.0, 'n1'),
            (
                line['request'],
                line['outcome'],
                line['reason'],
                line['latency_ms'],
                line['node_id'],
            ),
        )

    def test_number_of_lines_is_bounded_and_everything_is_counted(
        self,
    ) -> None:
        for _ in range(1000):
            self.record(ANSWER)
            self.record(REFUSAL)
            events.log(events.OWNER_SILENT, account='lake')
        # The thousand may take a few seconds.
        self.assertLess(len(self.stream.lines), 100)
        self.assertEqual(2000, sum(self.log.calls.values()))

    def test_targets_whose_answers_were_given_up_are_bounded(self) -> None:
        for number in range(request_log.MAX_TARGETS + 1):
            for _ in range(2):
                self.log.count_given_up(
                    f'i-{number}', verdict.Reason.ANSWER_TOO_LARGE
                )
        self.assertEqual(request_log.MAX_TARGETS, len(self.log.given_up))
        self.assertEqual({'answer-too-large': 2}, self.log.given_up['i-64'])

    def test_line_that_is_not_written_costs_no_description(self) -> None:
        described: list[int] = []

        def describe() -> dict[str, typing.Any]:
            described.append(1)
            return {}

        for _ in range(1000):
            self.log.record(
                events.CALL_ENDED,
                ANSWER,
                hop='entry',
                service='',
                account='',
                latency_s=0.0,
                describe=describe,
            )
        self.assertLess(len(described), 50)

    def test_page_shows_counts_and_latencies(self) -> None:
        self.record(ANSWER)
        self.record(REFUSAL)
        page = metrics_page.MetricsPage(
            self.log, lambda: {'eelgrasswalk_nodes': ('Nodes', 3.0)}
        ).render()
        text = page.decode()
        self.assertIn(
            'eelgrasswalk_calls_total{account="lake",hop="entry",'
            'outcome="not-run",reason="quota",service="orders"} 1.0',
            text,
        )
        self.assertIn(
            'eelgrasswalk_call_seconds_bucket{hop="entry",le="0.05"} 2.0',
            text,
        )
        self.assertIn('eelgrasswalk_nodes 3.0', text)

    def test_page_shows_load_reports_that_were_ignored(self) -> None:
        for _ in range(2):
            self.log.count_ignored_load('malformed')
        page = metrics_page.MetricsPage(self.log, dict).render().decode()
        self.assertIn(
            'eelgrasswalk_load_reports_ignored_total{cause="malformed"} 2.0',
            page,
        )


class HistogramTest(unittest.TestCase):
    def test_bounds_belong_to_their_buckets(self) -> None:
        histogram = request_log.Histogram()
        histogram.observe(0.005)
        histogram.observe(11.0)
        self.assertEqual(1, histogram.counts[0])
        self.assertEqual(1, histogram.counts[-1])
