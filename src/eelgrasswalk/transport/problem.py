"""Problem documents (RFC 9457) for requests that have no answer."""

import json
import math

from .. import verdict
from . import message

MEMORY_RETRY_S = 1.0

_TYPE_PREFIX = 'urn:eelgrasswalk:problem:'

_NOT_RUN_STATUS = {
    verdict.Reason.BAD_REQUEST: 400,
    verdict.Reason.KEY_MISSING: 401,
    verdict.Reason.KEY_UNKNOWN: 403,
    verdict.Reason.NO_CONTEXT: 401,
    verdict.Reason.NO_ROUTE: 404,
    verdict.Reason.BODY_TOO_LARGE: 413,
    verdict.Reason.HEADERS_TOO_LARGE: 431,
    verdict.Reason.QUOTA: 429,
    verdict.Reason.DUPLICATE: 409,
    verdict.Reason.QUARANTINED: 400,
}

_MAY_HAVE_RUN_STATUS = {
    verdict.Reason.DEADLINE: 504,
    verdict.Reason.LINK_LOST: 504,
    verdict.Reason.DUPLICATE: 409,
}

_TITLES = {
    verdict.Reason.BAD_REQUEST: 'The request is malformed',
    verdict.Reason.KEY_MISSING: 'A key is needed',
    verdict.Reason.KEY_UNKNOWN: 'The key is unknown or withdrawn',
    verdict.Reason.NO_CONTEXT: 'The call has no valid context',
    verdict.Reason.NO_ROUTE: 'No route matches',
    verdict.Reason.BODY_TOO_LARGE: 'The body is too large',
    verdict.Reason.HEADERS_TOO_LARGE: 'The headers are too large',
    verdict.Reason.QUOTA: 'The client account is over its rate',
    verdict.Reason.DEADLINE: 'The deadline does not leave enough time',
    verdict.Reason.OVERLOAD: 'The service is overloaded',
    verdict.Reason.MEMORY: 'The node holds too many bodies',
    verdict.Reason.NO_UPSTREAM: 'No upstream is available',
    verdict.Reason.LEAVING: 'The upstream is leaving',
    verdict.Reason.EVACUATED: 'The data centre is evacuated',
    verdict.Reason.DUPLICATE: 'The idempotency key is in use',
    verdict.Reason.ISOLATED: 'The request may have crashed its target',
    verdict.Reason.QUARANTINED: 'The request crashes its targets',
    verdict.Reason.NO_CONFIGURATION: 'The node has no current configuration',
    verdict.Reason.STORE_UNAVAILABLE: 'The claim store is unavailable',
    verdict.Reason.TARGET_REFUSED: 'The target refused the request',
    verdict.Reason.TARGET_UNREACHABLE: 'The target is unreachable',
    verdict.Reason.FENCED: 'The attempt was fenced',
    verdict.Reason.LINK_LOST: 'The link to the upstream was lost',
    verdict.Reason.TARGET_LOST: 'The target closed the connection',
    verdict.Reason.TARGET_CRASHED: 'The target has ended',
    verdict.Reason.ANSWER_INCOMPLETE: 'The answer was incomplete',
    verdict.Reason.ANSWER_TOO_LARGE: 'The answer is too large',
    verdict.Reason.CALLER_GONE: 'The caller has gone',
    verdict.Reason.INTERNAL: 'The node failed',
}


def render_verdict(outcome: verdict.Verdict) -> verdict.Response:
    """Turn a verdict into the HTTP answer for the caller."""
    if isinstance(outcome, verdict.Answered):
        return outcome.response
    if isinstance(outcome, verdict.NotRun):
        status = _NOT_RUN_STATUS.get(outcome.reason, 503)
        return _build_problem(
            status,
            outcome.reason,
            outcome.detail,
            verdict_name=b'not-run',
            retry_after_s=outcome.retry_after_s,
        )
    status = _MAY_HAVE_RUN_STATUS.get(outcome.reason, 502)
    return _build_problem(
        status,
        outcome.reason,
        outcome.detail,
        verdict_name=b'may-have-run',
    )


def describe_bad_request(detail: str) -> verdict.Response:
    """Answer 400 with a sentence that names the fault."""
    return _refuse(400, verdict.Reason.BAD_REQUEST, detail)


def describe_headers_too_large() -> verdict.Response:
    """Answer 431."""
    return _refuse(431, verdict.Reason.HEADERS_TOO_LARGE, '')


def describe_body_too_large(limit: int) -> verdict.Response:
    """Answer 413 and name the limit in bytes."""
    detail = f'send at most {limit} bytes'
    return _refuse(413, verdict.Reason.BODY_TOO_LARGE, detail)


def describe_memory_full() -> verdict.Response:
    """Answer 503: the node holds too many bodies."""
    return render_verdict(
        verdict.NotRun(verdict.Reason.MEMORY, retry_after_s=MEMORY_RETRY_S)
    )


def describe_leaving() -> verdict.Response:
    """Answer 503: the node is stopping and takes no more requests.

    It asks for no delay, as the next connection reaches another node.
    """
    return render_verdict(verdict.NotRun(verdict.Reason.LEAVING))


def describe_expectation_failed() -> verdict.Response:
    """Answer 417."""
    return _refuse(
        417, verdict.Reason.BAD_REQUEST, 'only 100-continue is supported'
    )


def describe_request_timeout() -> verdict.Response:
    """Answer 408."""
    return _refuse(
        408, verdict.Reason.BAD_REQUEST, 'the request did not arrive in time'
    )


def describe_internal_error(error: Exception) -> verdict.Response:
    """Answer 502 without showing anything of the error but its class."""
    return render_verdict(
        verdict.MayHaveRun(verdict.Reason.INTERNAL, type(error).__name__)
    )


def _refuse(
    status: int, reason: verdict.Reason, detail: str
) -> verdict.Response:
    return _build_problem(status, reason, detail, verdict_name=b'not-run')


def _build_problem(
    status: int,
    reason: verdict.Reason,
    detail: str,
    *,
    verdict_name: bytes,
    retry_after_s: float | None = None,
) -> verdict.Response:
    fields: dict[str, str | int] = {
        'type': _TYPE_PREFIX + reason.value,
        'title': _TITLES[reason],
        'status': status,
        'verdict': verdict_name.decode('ascii'),
    }
    if detail:
        fields['detail'] = detail
    headers = [
        (b'content-type', b'application/problem+json'),
        (message.VERDICT_HEADER, verdict_name),
    ]
    if status == 401:
        headers.append((b'www-authenticate', b'ApiKey'))
    if retry_after_s is not None:
        seconds = max(1, math.ceil(retry_after_s))
        headers.append((b'retry-after', b'%d' % seconds))
    return verdict.Response(
        status=status,
        headers=tuple(headers),
        body=json.dumps(fields).encode(),
    )
