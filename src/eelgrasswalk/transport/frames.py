"""Typed messages between nodes and their CBOR codec.

A message is a CBOR array whose first item is the type's number. Bodies up to
INLINE_BYTES travel inside Call and Answer; the rest follows in Data messages
as far as the receiver has given credit.
"""

import dataclasses
import typing

import cbor2

from .. import verdict
from . import message

INLINE_BYTES = 65_536
DATA_BYTES = 32_768
MAX_MESSAGE_BYTES = 262_144
ATTEMPT_BYTES = 16
NONCE_BYTES = 16
MAX_BODY_BYTES = 1 << 31
MAX_ATTEMPTS_IN_ACK = 1_024

_REASONS = {reason.value: reason for reason in verdict.Reason}


class DecodeError(Exception):
    """The bytes are not a message of this protocol."""


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """First message of the accepting side."""

    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """The dialling side says who it is and proves the mesh secret.

    Args:
        node_id: The dialling node.
        incarnation: Its incarnation.
        sequence: Counts the links it has dialled to this peer; a link with
            a higher sequence replaces every earlier one.
        nonce: Challenge for the accepting side.
        proof: HMAC over both nonces and the fields above.
    """

    node_id: str
    incarnation: int
    sequence: int
    nonce: bytes
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """The accepting side says who it is and proves the mesh secret."""

    node_id: str
    incarnation: int
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """What a call inherits from the root request of its call tree.

    Args:
        account: Client account, or an empty string on an open route.
        importance: Number of the importance, 0 the most important.
        root_id: Identifies the root request.
        root_hash: Position of the root between 0 and 1 for shedding.
        root_age_s: Seconds since the root request started.
        depth: Calls above this one in its tree.
    """

    account: str
    importance: int
    root_id: bytes
    root_hash: float
    root_age_s: float
    depth: int


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One attempt to run a request at an upstream.

    Args:
        attempt: Identifies the attempt, 16 random bytes.
        route: Name of the route.
        context: What the call inherits.
        remaining_s: Seconds left until the deadline.
        allowance: Extra attempts lent to the call's own tree.
        idempotency_key: The caller's own, or an empty string.
        request: The request; its body is cut to INLINE_BYTES on the wire.
        body_length: Length of the whole body.
        digest: Digest of the whole body, 0 when the body is inline.
    """

    attempt: bytes
    route: str
    context: Context
    remaining_s: float
    allowance: int
    idempotency_key: str
    request: message.Request
    body_length: int
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class Feedback:
    """What every answer tells about the upstream and the call tree.

    Args:
        importance: Least importance that is admitted in part.
        fraction: Share of that importance that is admitted.
        queue_delay_s: Seconds that calls wait in the queue.
        unspent: Lent attempts that the call's tree did not use.
    """

    importance: int
    fraction: float
    queue_delay_s: float
    unspent: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The whole answer to an attempt."""

    attempt: bytes
    feedback: Feedback
    response: verdict.Response
    body_length: int
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """An attempt that has no answer: a NotRun or a MayHaveRun."""

    attempt: bytes
    feedback: Feedback
    outcome: verdict.NotRun | verdict.MayHaveRun


@dataclasses.dataclass(frozen=True, slots=True)
class Data:
    """The next part of a body that did not fit inline."""

    attempt: bytes
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Credit:
    """The receiver of a body takes this many bytes more."""

    attempt: bytes
    length: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Nobody waits for this attempt any more."""

    attempt: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Asks what became of attempts whose link was lost."""

    attempts: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """The attempt is running; its outcome comes on this link."""

    attempt: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """The outcomes of these attempts have arrived and may be forgotten."""

    attempts: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Control:
    """A message of a controller, by topic, opaque to the link."""

    topic: str
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Goodbye:
    """The accepting side is stopping and refuses every further call.

    The dialling side closes the link once its last attempt has an outcome.
    """


Message: typing.TypeAlias = (
    Challenge
    | Hello
    | Welcome
    | Call
    | Answer
    | Failure
    | Data
    | Credit
    | Cancel
    | Ask
    | Known
    | Ack
    | Control
    | Goodbye
)


def encode_message(item: Message) -> bytes:
    """Encode one message as CBOR."""
    return cbor2.dumps(_ENCODERS[type(item)](item))


def decode_message(data: bytes) -> Message:
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


def _encode_call(item: Call) -> list[typing.Any]:
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
        request.body[:INLINE_BYTES],
        item.body_length,
        item.digest,
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
) -> Call:
    context = Context(
        account=_take_text(account),
        importance=_take_count(importance),
        root_id=_take_id(root_id),
        root_hash=_take_number(root_hash),
        root_age_s=_take_number(root_age_s),
        depth=_take_count(depth),
    )
    return Call(
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
    )


def _encode_answer(item: Answer) -> list[typing.Any]:
    response = item.response
    return [
        5,
        item.attempt,
        *_list_feedback(item.feedback),
        response.status,
        response.headers,
        response.body[:INLINE_BYTES],
        item.body_length,
        item.digest,
    ]


def _decode_answer(
    attempt: typing.Any,
    importance: typing.Any,
    fraction: typing.Any,
    queue_delay_s: typing.Any,
    unspent: typing.Any,
    status: typing.Any,
    headers: typing.Any,
    body: typing.Any,
    body_length: typing.Any,
    digest: typing.Any,
) -> Answer:
    return Answer(
        attempt=_take_id(attempt),
        feedback=_take_feedback(importance, fraction, queue_delay_s, unspent),
        response=verdict.Response(
            status=_take_count(status),
            headers=_take_headers(headers),
            body=_take_bytes(body),
        ),
        body_length=_take_length(body_length),
        digest=_take_count(digest),
    )


def _encode_failure(item: Failure) -> list[typing.Any]:
    outcome = item.outcome
    fields = [6, item.attempt, *_list_feedback(item.feedback)]
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
    importance: typing.Any,
    fraction: typing.Any,
    queue_delay_s: typing.Any,
    unspent: typing.Any,
    not_run: typing.Any,
    reason: typing.Any,
    detail: typing.Any,
    retry_after_s: typing.Any = None,
    retry_elsewhere: typing.Any = False,
) -> Failure:
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
    return Failure(
        attempt=_take_id(attempt),
        feedback=_take_feedback(importance, fraction, queue_delay_s, unspent),
        outcome=outcome,
    )


def _list_feedback(feedback: Feedback) -> tuple[int, float, float, int]:
    return (
        feedback.importance,
        feedback.fraction,
        feedback.queue_delay_s,
        feedback.unspent,
    )


def _take_feedback(
    importance: typing.Any,
    fraction: typing.Any,
    queue_delay_s: typing.Any,
    unspent: typing.Any,
) -> Feedback:
    return Feedback(
        importance=_take_count(importance),
        fraction=_take_number(fraction),
        queue_delay_s=_take_number(queue_delay_s),
        unspent=_take_count(unspent),
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
    if type(value) is not bytes or len(value) != ATTEMPT_BYTES:
        raise DecodeError(f'{ATTEMPT_BYTES} bytes expected')
    return value


def _take_count(value: typing.Any) -> int:
    if type(value) is not int or value < 0 or value >> 64:
        raise DecodeError('a count expected')
    return value


def _take_length(value: typing.Any) -> int:
    length = _take_count(value)
    if length > MAX_BODY_BYTES:
        raise DecodeError(f'a length up to {MAX_BODY_BYTES} expected')
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
    return tuple(_take_header(pair) for pair in value)


def _take_header(pair: typing.Any) -> tuple[bytes, bytes]:
    if type(pair) is not list or len(pair) != 2:
        raise DecodeError('a header is a pair')
    return _take_field(pair[0]), _take_field(pair[1])


def _take_field(value: typing.Any) -> bytes:
    field = _take_bytes(value)
    if b'\r' in field or b'\n' in field or b'\0' in field:
        raise DecodeError('a header holds a line break')
    return field


def _take_attempts(value: typing.Any) -> tuple[bytes, ...]:
    if type(value) is not list or len(value) > MAX_ATTEMPTS_IN_ACK:
        raise DecodeError('a list of attempts expected')
    return tuple(_take_id(item) for item in value)


_ENCODERS: dict[type, typing.Callable[[typing.Any], list[typing.Any]]] = {
    Challenge: lambda m: [1, m.nonce],
    Hello: lambda m: [
        2,
        m.node_id,
        m.incarnation,
        m.sequence,
        m.nonce,
        m.proof,
    ],
    Welcome: lambda m: [3, m.node_id, m.incarnation, m.proof],
    Call: _encode_call,
    Answer: _encode_answer,
    Failure: _encode_failure,
    Data: lambda m: [7, m.attempt, m.payload],
    Credit: lambda m: [8, m.attempt, m.length],
    Cancel: lambda m: [9, m.attempt],
    Ask: lambda m: [10, list(m.attempts)],
    Known: lambda m: [11, m.attempt],
    Ack: lambda m: [12, list(m.attempts)],
    Control: lambda m: [13, m.topic, m.payload],
    Goodbye: lambda m: [14],
}

_DECODERS: dict[int, typing.Callable[..., Message]] = {
    1: lambda nonce: Challenge(_take_bytes(nonce)),
    2: lambda node_id, incarnation, sequence, nonce, proof: Hello(
        node_id=_take_text(node_id),
        incarnation=_take_count(incarnation),
        sequence=_take_count(sequence),
        nonce=_take_bytes(nonce),
        proof=_take_bytes(proof),
    ),
    3: lambda node_id, incarnation, proof: Welcome(
        node_id=_take_text(node_id),
        incarnation=_take_count(incarnation),
        proof=_take_bytes(proof),
    ),
    4: _decode_call,
    5: _decode_answer,
    6: _decode_failure,
    7: lambda attempt, payload: Data(
        attempt=_take_id(attempt), payload=_take_bytes(payload)
    ),
    8: lambda attempt, length: Credit(
        attempt=_take_id(attempt), length=_take_length(length)
    ),
    9: lambda attempt: Cancel(_take_id(attempt)),
    10: lambda attempts: Ask(_take_attempts(attempts)),
    11: lambda attempt: Known(_take_id(attempt)),
    12: lambda attempts: Ack(_take_attempts(attempts)),
    13: lambda topic, payload: Control(
        topic=_take_text(topic), payload=_take_bytes(payload)
    ),
    14: Goodbye,
}
