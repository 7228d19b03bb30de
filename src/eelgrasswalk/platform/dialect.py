"""How callers and targets of the platform speak of calls."""

import re

from .. import ports
from .. import verdict
from ..policy import deadline
from ..policy.capacity import cold_start
from ..transport import message
from . import names

_MS_PER_S = 1000.0
_MAX_DEADLINE_DIGITS = 12
_RATE = re.compile(rb'\d{1,9}(\.\d{1,9})?')
# At most 1,000,000 each; the length bounds the work for any header.
_LOAD = re.compile(rb'(\d{1,7}),(\d{1,7}),(\d{1,7})(?:,(\d{1,7}))?')
_MAX_LOAD_FIGURE = 1_000_000
_PERCENT = 100
_USUAL_SLOWDOWN = b'100'
_MALFORMED_LOAD = ports.MalformedLoad()
_COLD_MS = re.compile(rb'\d{1,9}(\.\d{1,9})?')
_ABSENT = deadline.NoTimeout()

_NOT_RUN_STATUS = {
    verdict.Reason.BAD_REQUEST: 400,
    verdict.Reason.KEY_MISSING: 401,
    verdict.Reason.KEY_UNKNOWN: 401,
    verdict.Reason.NO_ROUTE: 404,
    verdict.Reason.BODY_TOO_LARGE: 413,
    verdict.Reason.HEADERS_TOO_LARGE: 431,
    verdict.Reason.QUOTA: 429,
    # Ends the client's retries.
    verdict.Reason.QUARANTINED: 400,
}
_IN_DOUBT_STATUS = {verdict.Reason.DEADLINE: 504}

# The system sets these itself, whatever a caller sends.
_OWN = frozenset(
    (
        names.DEADLINE,
        names.ACCOUNT,
        names.TARGET_ID,
        names.CALLER_SERVICE,
        names.AUTHORIZATION,
    )
)
# The length is told anew with the answer that is passed on.
_FRAMING = frozenset((b'content-length',))


class PlatformDialect:
    """Implements ports.Dialect."""

    def read_request_id(self, headers: message.Headers) -> str:
        """Return the caller's id of a request; empty when there is none."""
        value = message.find_header(headers, names.REQUEST_ID)
        return '' if value is None else value.decode('latin-1')

    def find_root_id(self, request_id: str) -> str:
        """Return the id of a call's root request; empty when it has no id.

        A target puts its own request's id in front of those of its calls.
        Nothing promises that, so it serves as a hint only.
        """
        return request_id.partition(names.ID_SEPARATOR)[0]

    def find_parent_id(self, request_id: str) -> str:
        """Return the id of the request that made a call; empty if unknown.

        It is a hint as well.
        """
        return request_id.rpartition(names.ID_SEPARATOR)[0]

    def read_head(self, headers: message.Headers) -> ports.CallHead:
        """Return what the headers of a call say."""
        # The first of several headers of a name counts.
        fields = dict(headers[::-1])
        request_id = fields.get(names.REQUEST_ID, b'')
        host = fields.get(b'host', b'').partition(b':')[0]
        return ports.CallHead(
            request_id=request_id.decode('latin-1'),
            hostname=host.decode('latin-1').lower(),
            key=_read_key(fields.get(names.AUTHORIZATION)),
            timeout=_read_timeout(fields.get(names.DEADLINE)),
        )

    def build_forwarded(
        self, headers: message.Headers, *, account: str, service: str
    ) -> message.Headers:
        """Return the headers that travel to the target."""
        kept = message.strip_headers(headers, remove=_OWN)
        added = [(names.CALLER_SERVICE, service.encode('latin-1', 'replace'))]
        if account:
            name = account.encode('latin-1', 'replace')
            added.append((names.ACCOUNT, name))
        return (*kept, *added)

    def build_delivered(
        self, headers: message.Headers, *, remaining_s: float, target_id: str
    ) -> message.Headers:
        """Return the headers that the target gets."""
        remaining = b'%d' % max(1, int(remaining_s * _MS_PER_S))
        return (
            *headers,
            (names.DEADLINE, remaining),
            (names.TARGET_ID, target_id.encode('latin-1', 'replace')),
        )

    def find_echo(self, headers: message.Headers) -> bytes | None:
        """Return the id that a request or its answer carries, or None."""
        return message.find_header(headers, names.REQUEST_ID)

    def read_notice(
        self, response: verdict.Response
    ) -> ports.TargetNotice | None:
        """Return what a target's answer says of the target."""
        if not _is_from_target(response.status):
            return None
        headers = response.headers
        limit = message.find_header(headers, names.RATE_LIMIT)
        calls_per_s = None if limit is None else _parse_rate(limit)
        leaving = message.find_header(headers, names.LEAVING) == b'1'
        if calls_per_s is not None or leaving:
            return ports.TargetNotice(calls_per_s, leaving)
        if limit is not None or (
            message.find_header(headers, names.STAMP) is None
        ):
            # Malformed, or not certainly the target's own words.
            return None
        return ports.TargetNotice()

    def read_load(
        self, response: verdict.Response
    ) -> ports.LoadReport | ports.MalformedLoad | None:
        """Return the load that a target's answer reports; None for none."""
        value = message.find_header(response.headers, names.LOAD)
        if value is None or not _is_from_target(response.status):
            return None
        return _parse_load(value)

    def read_target_id(self, response: verdict.Response) -> str:
        """Return the id of the target that answered; empty if not told."""
        value = message.find_header(response.headers, names.ANSWERING_ID)
        return '' if value is None else value.decode('latin-1')

    def read_cold_s(self, response: verdict.Response) -> float | None:
        """Return how long a target remains cold, as its health answer says.

        Args:
            response: The answer to a health check.

        Returns:
            Seconds; 0 if it is not cold; None if the value is malformed.
        """
        value = message.find_header(response.headers, names.COLD_REMAINING)
        if value is None:
            return 0.0
        if _COLD_MS.fullmatch(value) is None:
            return None
        cold_s = float(value) / _MS_PER_S
        return cold_s if cold_s <= cold_start.MAX_COLD_S else None

    def judge(self, response: verdict.Response) -> verdict.Verdict:
        """Return what a target's answer says of its call."""
        headers = response.headers
        if not message.is_valid_status(response.status):
            return _build_unknown('the answer has an invalid status')
        if response.status == 421 or (
            message.find_header(headers, names.NOT_RUN) is not None
        ):
            return verdict.NotRun(
                verdict.Reason.TARGET_REFUSED, retry_elsewhere=True
            )
        if message.find_header(headers, names.STAMP) is None:
            return _build_unknown('the answer has no stamp')
        if message.find_header(headers, b'content-encoding') is not None:
            return _build_unknown(
                'the answer is encoded, which nobody asked for'
            )
        kept = message.strip_headers(headers, remove=_FRAMING)
        return verdict.Answered(
            verdict.Response(response.status, kept, response.body)
        )

    def render(self, outcome: verdict.Verdict) -> verdict.Response:
        """Return the answer for the caller."""
        if isinstance(outcome, verdict.Answered):
            if message.is_valid_status(outcome.response.status):
                return outcome.response
            # The node beside the target is of a release that takes any.
            return _build_answer(502, verdict.Reason.ANSWER_INCOMPLETE, None)
        if isinstance(outcome, verdict.MayHaveRun):
            status = _IN_DOUBT_STATUS.get(outcome.reason, 502)
            return _build_answer(status, outcome.reason, None)
        status = _NOT_RUN_STATUS.get(outcome.reason, 503)
        return _build_answer(status, outcome.reason, outcome.retry_after_s)


def _read_key(value: bytes | None) -> bytes | None:
    if value is None or value[:7].lower() != names.BEARER:
        return None
    return value[7:].strip()


def _read_timeout(value: bytes | None) -> deadline.Timeout:
    if value is None:
        return _ABSENT
    if not value.isdigit() or len(value) > _MAX_DEADLINE_DIGITS:
        return deadline.InvalidTimeout('The deadline is not in milliseconds.')
    return deadline.RequestedTimeout(int(value) / _MS_PER_S)


def _is_from_target(status: int) -> bool:
    """Return whether an answer with a status may speak for its target.

    With 421 another target answers at the address; with an invalid status
    nothing else of the answer can be relied on.
    """
    return status != 421 and message.is_valid_status(status)


def _parse_load(value: bytes) -> ports.LoadReport | ports.MalformedLoad:
    match = _LOAD.fullmatch(value)
    if match is None:
        return _MALFORMED_LOAD
    running, waiting, slots, slowdown = map(int, match.groups(_USUAL_SLOWDOWN))
    if max(running, waiting, slots, slowdown) > _MAX_LOAD_FIGURE:
        return _MALFORMED_LOAD
    return ports.LoadReport(
        running,
        waiting,
        slots,
        slowdown / _PERCENT,
        has_slowdown=match.group(4) is not None,
    )


def _parse_rate(value: bytes) -> float | None:
    """Return a rate per second, or None if it is malformed."""
    if _RATE.fullmatch(value) is None:
        return None
    return float(value)


def _build_unknown(detail: str) -> verdict.MayHaveRun:
    return verdict.MayHaveRun(verdict.Reason.ANSWER_INCOMPLETE, detail)


def _build_answer(
    status: int, reason: verdict.Reason, retry_after_s: float | None
) -> verdict.Response:
    headers = [(b'content-type', b'text/plain')]
    if retry_after_s is not None:
        headers.append((names.RETRY_AFTER, b'%.3f' % retry_after_s))
    return verdict.Response(
        status, tuple(headers), reason.value.encode('ascii') + b'\n'
    )
