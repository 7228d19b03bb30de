"""Tests of how callers and targets speak."""

import unittest

import hypothesis
import hypothesis.strategies

from eelgrasswalk import ports
from eelgrasswalk import verdict
from eelgrasswalk.platform import dialect
from eelgrasswalk.policy import deadline
from eelgrasswalk.policy import retries

DIALECT = dialect.PlatformDialect()
INVALID_STATUSES = (-1, 0, 99, 600, 999)


def build_answer(
    status: int, *headers: tuple[bytes, bytes]
) -> verdict.Response:
    return verdict.Response(status, headers, b'body')


class ReadTest(unittest.TestCase):
    def test_deadline_is_in_milliseconds(self) -> None:
        """A parser of seconds once cut every deadline to 0.6 s."""
        for value, seconds in ((b'8000', 8.0), (b'5', 0.005)):
            timeout = DIALECT.read_head(
                ((b'request-deadline', value),)
            ).timeout
            self.assertEqual(deadline.RequestedTimeout(seconds), timeout)

    def test_missing_deadline(self) -> None:
        self.assertEqual(deadline.NoTimeout(), DIALECT.read_head(()).timeout)

    def test_malformed_deadline(self) -> None:
        for value in (b'', b'-1', b'1.5', b'1e3', b'9' * 13, b'soon'):
            with self.subTest(value):
                headers = ((b'request-deadline', value),)
                self.assertIsInstance(
                    DIALECT.read_head(headers).timeout, deadline.InvalidTimeout
                )

    def test_key_comes_with_its_scheme(self) -> None:
        headers = ((b'authorization', b'bearer secret'),)
        self.assertEqual(b'secret', DIALECT.read_head(headers).key)
        self.assertIsNone(
            DIALECT.read_head(((b'authorization', b'Basic x'),)).key
        )
        self.assertIsNone(DIALECT.read_head(()).key)

    def test_calls_of_targets_name_their_root_and_parent(self) -> None:
        headers = ((b'attempt-id', b'9c41.b7e2.a35f'),)
        request_id = DIALECT.read_request_id(headers)
        self.assertEqual('9c41', DIALECT.find_root_id(request_id))
        self.assertEqual('9c41.b7e2', DIALECT.find_parent_id(request_id))

    def test_call_of_a_client_is_its_own_root(self) -> None:
        headers = ((b'attempt-id', b'9c41'),)
        request_id = DIALECT.read_request_id(headers)
        self.assertEqual('9c41', DIALECT.find_root_id(request_id))
        self.assertEqual('', DIALECT.find_parent_id(request_id))

    def test_hostname_has_no_port(self) -> None:
        headers = ((b'host', b'Shop.Example:80'),)
        self.assertEqual('shop.example', DIALECT.read_head(headers).hostname)


class HeadersTest(unittest.TestCase):
    def test_own_headers_are_never_taken_from_callers(self) -> None:
        forwarded = DIALECT.build_forwarded(
            (
                (b'attempt-id', b'a1'),
                (b'authorization', b'Bearer secret'),
                (b'caller-service', b'forged'),
                (b'tenant-id', b'forged'),
                (b'target-instance', b'forged'),
                (b'request-deadline', b'9999'),
                (b'connection', b'close, x-hop'),
                (b'x-hop', b'1'),
                (b'x-end', b'2'),
            ),
            account='lake',
            service='orders',
        )
        self.assertEqual(
            {
                b'attempt-id': b'a1',
                b'x-end': b'2',
                b'caller-service': b'orders',
                b'tenant-id': b'lake',
            },
            dict(forwarded),
        )

    def test_open_route_names_no_account(self) -> None:
        forwarded = DIALECT.build_forwarded((), account='', service='orders')
        self.assertNotIn(b'tenant-id', dict(forwarded))

    def test_target_gets_what_is_left_and_who_may_run_it(self) -> None:
        delivered = DIALECT.build_delivered(
            ((b'attempt-id', b'a1'),), remaining_s=1.2345, target_id='i-7'
        )
        self.assertEqual(
            {
                b'attempt-id': b'a1',
                b'request-deadline': b'1234',
                b'target-instance': b'i-7',
            },
            dict(delivered),
        )


class NoticeTest(unittest.TestCase):
    def read(self, *headers: tuple[bytes, bytes]) -> ports.TargetNotice | None:
        return DIALECT.read_notice(build_answer(200, *headers))

    def test_limit_is_a_decimal_number(self) -> None:
        for value, rate in ((b'25.6', 25.6), (b'8', 8.0), (b'0', 0.0)):
            self.assertEqual(
                ports.TargetNotice(rate), self.read((b'server-limit', value))
            )

    def test_stamped_answer_without_limit_lifts_it(self) -> None:
        self.assertEqual(
            ports.TargetNotice(), self.read((b'response-stamp', b's'))
        )

    def test_target_that_is_leaving(self) -> None:
        self.assertEqual(
            ports.TargetNotice(None, True),
            self.read((b'server-leaving', b'1')),
        )
        self.assertEqual(
            ports.TargetNotice(8.0, True),
            self.read((b'server-limit', b'8'), (b'server-leaving', b'1')),
        )

    def test_answers_that_are_no_evidence(self) -> None:
        self.assertIsNone(self.read())
        for value in (b'', b'-1', b'nan', b'1e3', b'many', b'1.2.3'):
            with self.subTest(value):
                self.assertIsNone(
                    self.read(
                        (b'server-limit', value), (b'response-stamp', b's')
                    )
                )

    def test_another_target_at_the_address_says_nothing(self) -> None:
        answer = build_answer(421, (b'server-limit', b'5'))
        self.assertIsNone(DIALECT.read_notice(answer))

    def test_answer_with_an_invalid_status_says_nothing(self) -> None:
        """A target in trouble would have limited or drained its node."""
        for status in INVALID_STATUSES:
            for header in (
                (b'server-limit', b'5'),
                (b'server-leaving', b'1'),
                (b'response-stamp', b's'),
            ):
                answer = build_answer(status, header)
                self.assertIsNone(DIALECT.read_notice(answer), answer)


class LoadTest(unittest.TestCase):
    def read(
        self, *values: bytes, status: int = 200
    ) -> ports.LoadReport | ports.MalformedLoad | None:
        headers = [(b'server-load', value) for value in values]
        return DIALECT.read_load(build_answer(status, *headers))

    def test_three_or_four_figures(self) -> None:
        for value, report in (
            (b'3,1,8', ports.LoadReport(3, 1, 8, 1.0)),
            (b'3,1,8,250', ports.LoadReport(3, 1, 8, 2.5)),
            (b'0,0,0,0', ports.LoadReport(0, 0, 0, 0.0)),
            (b'1000000,1000000,1000000', ports.LoadReport(*[1_000_000] * 3)),
        ):
            with self.subTest(value):
                self.assertEqual(report, self.read(value))

    def test_absent_is_not_malformed(self) -> None:
        self.assertIsNone(self.read())

    def test_malformed(self) -> None:
        for value in (
            b'',
            b',',
            b'3',
            b'3,1',
            b'3,1,',
            b',1,8',
            b'3,1,8,',
            b'3,1,8,100,1',
            b'-3,1,8',
            b'+3,1,8',
            b'3.0,1,8',
            b'3,1,8,1e2',
            b'0x3,1,8',
            b'1_0,1,8',
            b'3;1;8',
            b'nan,1,8',
            b'3,1,8\n',
            '٣,1,8'.encode(),
            b'\xb3,1,8',
            b'1000001,0,8',
            b'0,0,8,1000001',
            b'9' * 60_000 + b',0,8',
            b'0,' * 30_000,
        ):
            with self.subTest(value[:20]):
                self.assertEqual(ports.MalformedLoad(), self.read(value))

    def test_any_bytes_are_read_or_malformed(self) -> None:
        @hypothesis.settings(derandomize=True)
        @hypothesis.given(
            hypothesis.strategies.binary(max_size=40)
            | hypothesis.strategies.lists(
                hypothesis.strategies.integers(-2, 1_000_002), max_size=5
            ).map(lambda figures: ','.join(map(str, figures)).encode())
        )
        def check(value: bytes) -> None:
            report = self.read(value)
            if isinstance(report, ports.LoadReport):
                for figure in (report.running, report.waiting, report.slots):
                    self.assertTrue(0 <= figure <= 1_000_000)
                self.assertTrue(0.0 <= report.slowdown <= 10_000.0)
            else:
                self.assertEqual(ports.MalformedLoad(), report)

        check()

    def test_first_of_several_counts(self) -> None:
        self.assertEqual(
            ports.LoadReport(1, 0, 8), self.read(b'1,0,8', b'2,0,8')
        )

    def test_answers_that_do_not_speak_for_the_target(self) -> None:
        for status in (421, *INVALID_STATUSES):
            for value in (b'1,0,8', b'bad'):
                self.assertIsNone(self.read(value, status=status))


class JudgeTest(unittest.TestCase):
    def test_answer_with_an_invalid_status_proves_nothing(self) -> None:
        for status in INVALID_STATUSES:
            for header in (b'response-stamp', b'not-executed'):
                judged = DIALECT.judge(build_answer(status, (header, b'1')))
                assert isinstance(judged, verdict.MayHaveRun), judged
                self.assertIn(judged.reason, retries.RETRYABLE_IF_IDEMPOTENT)

    def test_stamped_answer_is_passed_on_as_it_is(self) -> None:
        for status in (200, 404, 500, 504):
            answer = build_answer(status, (b'response-stamp', b's'))
            self.assertEqual(verdict.Answered(answer), DIALECT.judge(answer))

    def test_answer_that_says_not_run(self) -> None:
        for status in (400, 429, 503):
            answer = build_answer(status, (b'not-executed', b'1'))
            judged = DIALECT.judge(answer)
            assert isinstance(judged, verdict.NotRun)
            self.assertTrue(judged.retry_elsewhere)

    def test_another_lifetime_has_not_run_it(self) -> None:
        judged = DIALECT.judge(build_answer(421, (b'instance-id', b'i-8')))
        self.assertIsInstance(judged, verdict.NotRun)

    def test_other_refusals_prove_nothing(self) -> None:
        for status in (200, 429, 503):
            judged = DIALECT.judge(build_answer(status))
            self.assertIsInstance(judged, verdict.MayHaveRun)

    def test_encoded_answer_is_not_the_targets_body(self) -> None:
        answer = build_answer(
            200, (b'response-stamp', b's'), (b'content-encoding', b'gzip')
        )
        self.assertIsInstance(DIALECT.judge(answer), verdict.MayHaveRun)


class RenderTest(unittest.TestCase):
    def test_invalid_status_from_another_node_is_not_passed_on(self) -> None:
        """A node of an older release takes any status for an answer."""
        for status in INVALID_STATUSES:
            stamped = build_answer(status, (b'response-stamp', b's'))
            answer = DIALECT.render(verdict.Answered(stamped))
            self.assertEqual(502, answer.status)
            self.assertNotIn(b'response-stamp', dict(answer.headers))

    def test_only_proven_refusals_promise(self) -> None:
        promises = {429, 503, 408, 421}
        for reason in verdict.Reason:
            doubt = DIALECT.render(verdict.MayHaveRun(reason))
            self.assertNotIn(doubt.status, promises)
            self.assertGreaterEqual(doubt.status, 500)

    def test_refusal_tells_when_to_come_back(self) -> None:
        refusal = verdict.NotRun(verdict.Reason.OVERLOAD, retry_after_s=0.25)
        answer = DIALECT.render(refusal)
        self.assertEqual(503, answer.status)
        self.assertEqual(b'0.250', dict(answer.headers)[b'retry-after'])

    def test_unknown_key_and_route(self) -> None:
        for reason, status in (
            (verdict.Reason.KEY_MISSING, 401),
            (verdict.Reason.KEY_UNKNOWN, 401),
            (verdict.Reason.NO_ROUTE, 404),
            (verdict.Reason.QUOTA, 429),
            (verdict.Reason.NO_CONFIGURATION, 503),
            (verdict.Reason.DEADLINE, 503),
        ):
            answer = DIALECT.render(verdict.NotRun(reason))
            self.assertEqual(status, answer.status, reason)
