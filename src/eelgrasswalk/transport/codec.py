"""The CBOR codec of messages between nodes.

A message is an array whose first item is the number of its type.
"""

import typing

import cbor2

from .. import verdict
from . import frames
from . import message

_REASONS = {reason.value: reason for reason in verdict.Reason}


class DecodeError(Exception):
    """The bytes are not a message of this protocol."""


def encode_message(item: frames.Message) -> bytes:
    """Encode one message as CBOR."""
    return cbor2.dumps(_ENCODERS[type(item)](item))


def decode_message(data: bytes) -> frames.Message:
    """Decode one message.

    Raises:
        DecodeError: The bytes are not a message of this protocol.
    """
    try:
        fields = cbor2.loads(data)
        if not isinstance(fields, list):
            raise DecodeError('a message is an array')
        return _DECODERS[fields[0]](*fields[1:])
    except DecodeError:
        raise
    except (
        cbor2.CBORError,
        LookupError,
        TypeError,
        ValueError,
        OverflowError,
        RecursionError,
        MemoryError,
    ) as error:
        raise DecodeError(f'not a message: {error!r}') from error


def _encode_call(item: frames.Call) -> list[typing.Any]:
    request = item.request
    context = item.context
    return [
        4,
        item.attempt,
        item.route,
        context.account,
        context.importance,
        context.root_id,
        context.root_hash,
        context.root_age_s,
        context.depth,
        item.remaining_s,
        item.allowance,
        item.idempotency_key,
        request.method,
        request.target,
        request.headers,
        request.body[: frames.INLINE_BYTES],
        item.body_length,
        item.digest,
        item.objective_s,
    ]


def _decode_call(
    attempt: typing.Any,
    route: typing.Any,
    account: typing.Any,
    importance: typing.Any,
    root_id: typing.Any,
    root_hash: typing.Any,
    root_age_s: typing.Any,
    depth: typing.Any,
    remaining_s: typing.Any,
    allowance: typing.Any,
    idempotency_key: typing.Any,
    method: typing.Any,
    target: typing.Any,
    headers: typing.Any,
    body: typing.Any,
    body_length: typing.Any,
    digest: typing.Any,
    objective_s: typing.Any,
) -> frames.Call:
    context = frames.Context(
        account=_take_text(account),
        importance=_take_count(importance),
        root_id=_take_id(root_id),
        root_hash=_take_number(root_hash),
        root_age_s=_take_number(root_age_s),
        depth=_take_count(depth),
    )
    return frames.Call(
        attempt=_take_id(attempt),
        route=_take_text(route),
        context=context,
        remaining_s=_take_number(remaining_s),
        allowance=_take_count(allowance),
        idempotency_key=_take_text(idempotency_key),
        request=message.Request(
            method=_take_text(method),
            target=_take_text(target),
            headers=_take_headers(headers),
            body=_take_bytes(body),
        ),
        body_length=_take_length(body_length),
        digest=_take_count(digest),
        objective_s=_take_number(objective_s),
    )


def _encode_answer(item: frames.Answer) -> list[typing.Any]:
    response = item.response
    return [
        5,
        item.attempt,
        _list_feedback(item.feedback),
        response.status,
        response.headers,
        response.body[: frames.INLINE_BYTES],
        item.body_length,
        item.digest,
    ]


def _decode_answer(
    attempt: typing.Any,
    feedback: typing.Any,
    status: typing.Any,
    headers: typing.Any,
    body: typing.Any,
    body_length: typing.Any,
    digest: typing.Any,
) -> frames.Answer:
    return frames.Answer(
        attempt=_take_id(attempt),
        feedback=_take_feedback(feedback),
        response=verdict.Response(
            status=_take_count(status),
            headers=_take_headers(headers),
            body=_take_bytes(body),
        ),
        body_length=_take_length(body_length),
        digest=_take_count(digest),
    )


def _encode_failure(item: frames.Failure) -> list[typing.Any]:
    outcome = item.outcome
    fields = [6, item.attempt, _list_feedback(item.feedback)]
    if isinstance(outcome, verdict.MayHaveRun):
        return [*fields, False, outcome.reason.value, outcome.detail]
    return [
        *fields,
        True,
        outcome.reason.value,
        outcome.detail,
        outcome.retry_after_s,
        outcome.retry_elsewhere,
    ]


def _decode_failure(
    attempt: typing.Any,
    feedback: typing.Any,
    not_run: typing.Any,
    reason: typing.Any,
    detail: typing.Any,
    retry_after_s: typing.Any = None,
    retry_elsewhere: typing.Any = False,
) -> frames.Failure:
    outcome: verdict.NotRun | verdict.MayHaveRun
    if not_run is True:
        outcome = verdict.NotRun(
            reason=_REASONS[reason],
            retry_after_s=(
                None if retry_after_s is None else _take_number(retry_after_s)
            ),
            detail=_take_text(detail),
            retry_elsewhere=retry_elsewhere is True,
        )
    else:
        outcome = verdict.MayHaveRun(_REASONS[reason], _take_text(detail))
    return frames.Failure(
        attempt=_take_id(attempt),
        feedback=_take_feedback(feedback),
        outcome=outcome,
    )


def _list_feedback(
    feedback: frames.Feedback,
) -> tuple[int, float, float, int, float, float, float, bool]:
    return (
        feedback.importance,
        feedback.fraction,
        feedback.queue_delay_s,
        feedback.unspent,
        feedback.load,
        feedback.starved,
        feedback.failing,
        feedback.makes_calls,
    )


def _take_feedback(value: typing.Any) -> frames.Feedback:
    importance, fraction, queue_delay_s, unspent, *shares = value
    load, starved, failing, makes_calls = shares
    return frames.Feedback(
        importance=_take_count(importance),
        fraction=_take_number(fraction),
        queue_delay_s=_take_number(queue_delay_s),
        unspent=_take_count(unspent),
        load=_take_number(load),
        starved=_take_number(starved),
        failing=_take_number(failing),
        makes_calls=makes_calls is not False,
    )


def _take_text(value: typing.Any) -> str:
    if type(value) is not str:
        raise DecodeError('text expected')
    return value


def _take_bytes(value: typing.Any) -> bytes:
    if type(value) is not bytes:
        raise DecodeError('bytes expected')
    return value


def _take_id(value: typing.Any) -> bytes:
    if type(value) is not bytes or len(value) != frames.ATTEMPT_BYTES:
        raise DecodeError(f'{frames.ATTEMPT_BYTES} bytes expected')
    return value


def _take_count(value: typing.Any) -> int:
    if type(value) is not int or value < 0 or value >> 64:
        raise DecodeError('a count expected')
    return value


def _take_length(value: typing.Any) -> int:
    length = _take_count(value)
    if length > frames.MAX_BODY_BYTES:
        raise DecodeError(f'a length up to {frames.MAX_BODY_BYTES} expected')
    return length


def _take_number(value: typing.Any) -> float:
    if type(value) is int:
        value = float(value)
    if type(value) is not float or not 0.0 <= value < 1e12:
        raise DecodeError('a number of at least 0 expected')
    return value


def _take_headers(value: typing.Any) -> message.Headers:
    if type(value) is not list:
        raise DecodeError('a list of headers expected')
    headers = tuple([(name, text) for name, text in value])
    # One search for all headers; this is done for every call and answer.
    # Joining them raises TypeError for a name or text that is not bytes.
    joined = b''.join([name + text for name, text in headers])
    if b'\r' in joined or b'\n' in joined or b'\0' in joined:
        raise DecodeError('a header holds a line break')
    return headers


def _take_attempts(value: typing.Any) -> tuple[bytes, ...]:
    if type(value) is not list or len(value) > frames.MAX_ATTEMPTS_IN_ACK:
        raise DecodeError('a list of attempts expected')
    return tuple(_take_id(item) for item in value)


_ENCODERS: dict[type, typing.Callable[[typing.Any], list[typing.Any]]] = {
    frames.Challenge: lambda m: [1, m.nonce],
    frames.Hello: lambda m: [
        2,
        m.node_id,
        m.incarnation,
        m.sequence,
        m.nonce,
        m.proof,
    ],
    frames.Welcome: lambda m: [3, m.node_id, m.incarnation, m.proof],
    frames.Call: _encode_call,
    frames.Answer: _encode_answer,
    frames.Failure: _encode_failure,
    frames.Data: lambda m: [7, m.attempt, m.payload],
    frames.Credit: lambda m: [8, m.attempt, m.length],
    frames.Cancel: lambda m: [9, m.attempt],
    frames.Ask: lambda m: [10, list(m.attempts)],
    frames.Known: lambda m: [11, m.attempt],
    frames.Ack: lambda m: [12, list(m.attempts)],
    frames.Control: lambda m: [13, m.topic, m.payload],
    frames.Goodbye: lambda m: [14],
}

_DECODERS: dict[int, typing.Callable[..., frames.Message]] = {
    1: lambda nonce: frames.Challenge(_take_bytes(nonce)),
    2: lambda node_id, incarnation, sequence, nonce, proof: frames.Hello(
        node_id=_take_text(node_id),
        incarnation=_take_count(incarnation),
        sequence=_take_count(sequence),
        nonce=_take_bytes(nonce),
        proof=_take_bytes(proof),
    ),
    3: lambda node_id, incarnation, proof: frames.Welcome(
        node_id=_take_text(node_id),
        incarnation=_take_count(incarnation),
        proof=_take_bytes(proof),
    ),
    4: _decode_call,
    5: _decode_answer,
    6: _decode_failure,
    7: lambda attempt, payload: frames.Data(
        attempt=_take_id(attempt), payload=_take_bytes(payload)
    ),
    8: lambda attempt, length: frames.Credit(
        attempt=_take_id(attempt), length=_take_length(length)
    ),
    9: lambda attempt: frames.Cancel(_take_id(attempt)),
    10: lambda attempts: frames.Ask(_take_attempts(attempts)),
    11: lambda attempt: frames.Known(_take_id(attempt)),
    12: lambda attempts: frames.Ack(_take_attempts(attempts)),
    13: lambda topic, payload: frames.Control(
        topic=_take_text(topic), payload=_take_bytes(payload)
    ),
    14: frames.Goodbye,
}
