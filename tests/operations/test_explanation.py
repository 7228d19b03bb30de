"""Tests of telling from logs what became of a request."""

import datetime as dt
import json
import typing
import unittest

from eelgrasswalk.operations import explanation
from eelgrasswalk.operations import log_lines

START = 1_780_000_000.0


def write_line(
    at: float, node_id: str, event: int, **fields: typing.Any
) -> str:
    """Return a line as a node writes it."""
    time = dt.datetime.fromtimestamp(START + at, dt.UTC).isoformat()
    return json.dumps(
        {'node_id': node_id, 'event': event, 'time': time, **fields}
    )


def write_call(
    at: float,
    node_id: str,
    request: str,
    outcome: str,
    reason: str,
    **fields: typing.Any,
) -> str:
    return write_line(
        at,
        node_id,
        5002,
        request=request,
        outcome=outcome,
        reason=reason,
        **fields,
    )


def write_attempt(
    at: float,
    node_id: str,
    request: str,
    outcome: str,
    reason: str,
    latency_ms: float = 10.0,
    **fields: typing.Any,
) -> str:
    return write_line(
        at,
        node_id,
        5003,
        request=request,
        outcome=outcome,
        reason=reason,
        latency_ms=latency_ms,
        **fields,
    )


def read(*texts: str) -> list[log_lines.LogLine]:
    return list(log_lines.read_lines(texts, log_lines.Skipped()))


class LogLinesTest(unittest.TestCase):
    def test_text_in_front_of_a_line_is_ignored(self) -> None:
        (line,) = read('pod-1 stdout ' + write_line(1.5, 'n1', 1001, a=2))
        self.assertEqual(('n1', 1001), (line.node_id, line.event))
        self.assertAlmostEqual(START + 1.5, line.at, places=3)
        self.assertEqual({'a': 2}, line.fields)

    def test_other_text_is_counted(self) -> None:
        skipped = log_lines.Skipped()
        texts = ('', 'no line', '{"time": 3}', '{"broken', '[1]')
        self.assertEqual([], list(log_lines.read_lines(texts, skipped)))
        self.assertEqual(4, skipped.lines)


class TellStoryTest(unittest.TestCase):
    def tell(self, request_id: str, *texts: str) -> explanation.Story:
        story = explanation.tell_story(read(*texts), request_id)
        assert story is not None
        return story

    def test_unknown_request(self) -> None:
        lines = read(write_call(0.0, 'n1', 'a', 'answered', '200'))
        self.assertIsNone(explanation.tell_story(lines, 'b'))

    def test_failure_furthest_down_tells_the_cause(self) -> None:
        story = self.tell(
            'a',
            write_call(0.3, 'n1', 'a', 'answered', '500'),
            write_attempt(0.29, 'n2', 'a', 'answered', '500'),
            write_call(0.2, 'n2', 'c', 'not-run', 'overload', parent='a'),
            write_attempt(
                0.19, 'n3', 'c', 'not-run', 'overload', running=15, limit=15
            ),
            write_call(0.1, 'n2', 'd', 'answered', '200', parent='a'),
            write_call(0.2, 'n9', 'x', 'not-run', 'deadline'),
        )
        assert story.decisive is not None
        self.assertEqual('n3', story.decisive.node_id)
        self.assertIn('more work', story.cause)
        self.assertIn('running 15', story.cause)
        self.assertEqual(5, len(story.steps))
        self.assertEqual([1, 1, 1, 0, 0], [s.depth for s in story.steps])

    def test_story_of_a_call_names_the_requests_above_it(self) -> None:
        story = self.tell(
            'c',
            write_call(0.3, 'n1', 'a', 'answered', '500'),
            write_call(0.2, 'n2', 'c', 'may-have-run', 'deadline', parent='a'),
        )
        assert story.decisive is not None
        self.assertEqual('c', story.decisive.request_id)

    def test_refusal_by_the_request_itself_goes_before_calls_below(
        self,
    ) -> None:
        story = self.tell(
            'a',
            write_call(0.3, 'n1', 'a', 'may-have-run', 'link-lost'),
            write_call(0.2, 'n2', 'c', 'answered', '500', parent='a'),
        )
        self.assertIn('link', story.cause)

    def test_silent_owner_of_a_rate_is_a_cause_of_its_own(self) -> None:
        story = self.tell(
            'a',
            write_call(
                0.3, 'n1', 'a', 'not-run', 'quota', owner_is_silent=True
            ),
        )
        self.assertIn('did not answer', story.cause)

    def test_answered_request_has_no_cause(self) -> None:
        story = self.tell('a', write_call(0.3, 'n1', 'a', 'answered', '200'))
        self.assertIsNone(story.decisive)

    def test_clocks_are_corrected_by_pairs_of_lines(self) -> None:
        """The host of n2 is an hour ahead; the order is still right."""
        attempts = [{'node': 'n2', 'outcome': '200', 'ms': 20.0}]
        texts = []
        for number in range(3):
            name = f'p{number}'
            texts.append(
                write_call(
                    number, 'n1', name, 'answered', '200', attempts=attempts
                )
            )
            texts.append(
                write_attempt(number + 3599.995, 'n2', name, 'answered', '200')
            )
        story = self.tell(
            'a',
            *texts,
            write_call(10.0, 'n1', 'a', 'answered', '500'),
            write_attempt(3609.99, 'n2', 'a', 'answered', '500'),
        )
        self.assertAlmostEqual(3600.0, story.offsets['n2'], places=3)
        self.assertEqual(['n2', 'n1'], [s.line.node_id for s in story.steps])

    def test_beliefs_of_the_nodes_on_the_way_are_part_of_it(self) -> None:
        story = self.tell(
            'a',
            write_line(-500.0, 'n1', 3001, version=6),
            write_line(-100.0, 'n1', 3001, version=7),
            write_line(-1.0, 'n1', 3102, account='lake'),
            write_line(-1.0, 'n9', 3102, account='lake'),
            write_line(-60.0, 'n1', 3003),
            write_line(5.0, 'n1', 3004),
            write_call(
                0.0,
                'n1',
                'a',
                'not-run',
                'quota',
                omitted={'routine': 5, 'failure': 2},
            ),
        )
        beliefs = [s.line.event for s in story.steps if s.is_belief]
        self.assertEqual([3001, 3102], beliefs)
        self.assertEqual(7, story.steps[0].line.fields['version'])
        self.assertEqual(7, story.omitted)


class CountCausesTest(unittest.TestCase):
    def test_calls_are_counted_once_within_the_span(self) -> None:
        lines = read(
            write_call(1.0, 'n1', 'a', 'not-run', 'quota', account='lake'),
            write_call(2.0, 'n1', 'b', 'not-run', 'quota', account='lake'),
            write_call(9.0, 'n1', 'c', 'not-run', 'quota', account='lake'),
            write_attempt(1.0, 'n2', 'd', 'not-run', 'overload'),
        )
        counts = explanation.count_causes(
            line for line in lines if line.lies_within(START, START + 5.0)
        )
        self.assertEqual({('', 'lake', 'not-run', 'quota'): 2}, counts)
