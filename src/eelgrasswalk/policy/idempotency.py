"""At-most-once claims: what a claim row says and what follows from it.

A node claims the idempotency key of a non-idempotent request by a
conditional write before the request runs. Whoever finds a claim of another
never runs the request, unless its holder has released it, having proved that
it did not run.
"""

import dataclasses
import enum
import hashlib
import typing

import cbor2

from .. import verdict

KEY_PREFIX = 'claims/'


class State(enum.Enum):
    """What has become of a claim."""

    CLAIMED = 'claimed'
    ANSWERED = 'answered'
    RELEASED = 'released'


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer to a request, kept for its repetitions.

    Args:
        status: HTTP status code.
        headers: Name and value pairs.
        body: The body; empty when it is an object.
        object_name: Name of the object that holds the body, or empty.
        is_whole: Whether the body was kept at all.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b''
    object_name: str = ''
    is_complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim row.

    Args:
        token: Unique to the attempt to claim, 16 random bytes.
        fingerprint: Digest of the request that the key was used for.
        claimed_at: Seconds since the epoch.
        state: What has become of it.
        answer: The answer, once there is one.
    """

    token: bytes
    fingerprint: bytes
    claimed_at: float
    state: State = State.CLAIMED
    answer: StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Acquire:
    """The key is free and may be claimed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The request has run; its answer is to be given again."""

    answer: StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress:
    """The request runs, has run, or its holder has died."""


@dataclasses.dataclass(frozen=True, slots=True)
class Mismatch:
    """The key was used for another request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The request has run and its answer is no longer kept."""


Decision: typing.TypeAlias = Acquire | Replay | InProgress | Mismatch | Expired


class MalformedError(ValueError):
    """A row holds no claim."""


def decide(
    found: Claim | None,
    *,
    fingerprint: bytes,
    now: float,
    retention_s: float,
    abandoned: typing.Container[bytes] = (),
) -> Decision:
    """Tell what to do about a request whose key was looked up.

    Args:
        found: The claim in the table, if any.
        fingerprint: Digest of the request.
        now: Seconds since the epoch.
        retention_s: Seconds that answers are replayed.
        voided: Tokens of this node's own attempts to claim that it gave up
            before anything ran.
    """
    if found is None or found.state is State.RELEASED:
        return Acquire()
    if found.fingerprint != fingerprint:
        return Mismatch()
    if found.state is State.CLAIMED:
        return Acquire() if found.token in abandoned else InProgress()
    assert found.answer is not None
    if now - found.claimed_at > retention_s or not found.answer.is_complete:
        return Expired()
    return Replay(found.answer)


def make_row_key(account: str, idempotency_key: str) -> str:
    """Return the row key of a claim; keys of accounts are kept apart."""
    name = cbor2.dumps([account, idempotency_key])
    return KEY_PREFIX + hashlib.sha256(name).hexdigest()


def make_fingerprint(method: str, target: str, body: bytes) -> bytes:
    """Return the digest that tells requests of one key apart."""
    digest = hashlib.sha256(cbor2.dumps([method, target]))
    digest.update(body)
    return digest.digest()


def encode_claim(claim: Claim) -> bytes:
    """Return a claim as CBOR."""
    packed: list[typing.Any] = [
        claim.token,
        claim.fingerprint,
        claim.claimed_at,
        claim.state.value,
    ]
    if claim.answer is not None:
        packed.append(_pack_answer(claim.answer))
    return cbor2.dumps(packed)


def decode_claim(value: bytes) -> Claim:
    """Read a claim from its CBOR.

    Raises:
        MalformedError: The bytes are no claim.
    """
    try:
        token, fingerprint, claimed_at, state, *rest = cbor2.loads(value)
        return Claim(
            bytes(token),
            bytes(fingerprint),
            float(claimed_at),
            State(state),
            _unpack_answer(rest[0]) if rest else None,
        )
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise MalformedError('not a claim') from error


def make_stored_answer(
    response: verdict.Response,
    *,
    object_name: str = '',
    is_complete: bool = True,
) -> StoredAnswer:
    """Return what is kept of an answer in its claim row."""
    is_inline = is_complete and not object_name
    return StoredAnswer(
        response.status,
        response.headers,
        response.body if is_inline else b'',
        object_name,
        is_complete,
    )


def _pack_answer(answer: StoredAnswer) -> list[typing.Any]:
    return [
        answer.status,
        answer.headers,
        answer.body,
        answer.object_name,
        answer.is_complete,
    ]


def _unpack_answer(packed: list[typing.Any]) -> StoredAnswer:
    status, headers, body, object_name, is_complete = packed
    return StoredAnswer(
        int(status),
        tuple((bytes(name), bytes(value)) for name, value in headers),
        bytes(body),
        str(object_name),
        bool(is_complete),
    )
