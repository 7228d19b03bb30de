"""At-most-once claims: format of claim rows and decisions based on them.

A node claims the idempotency key of a non-idempotent request by a
conditional write before the request runs. A node that finds the claim of
another one does not run the request, unless the holder has released the claim
because the request verifiably did not run.
"""

import dataclasses
import enum
import hashlib
import typing

import cbor2

from .. import verdict

KEY_PREFIX = 'claims/'


class ClaimState(enum.Enum):
    """State of a claim."""

    CLAIMED = 'claimed'
    ANSWERED = 'answered'
    RELEASED = 'released'


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer to a request, stored to be replayed for its retries.

    Args:
        status: HTTP status code.
        headers: Name and value pairs.
        body: The body; empty if it is stored as an object.
        object_name: Name of the object that holds the body, or empty.
        is_complete: Whether the body was stored.
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
        token: 16 random bytes, unique to the attempt to claim.
        fingerprint: Digest of the request that the key was used for.
        claimed_at: Seconds since the epoch.
        state: State of the claim.
        answer: The stored answer; None until there is one.
    """

    token: bytes
    fingerprint: bytes
    claimed_at: float
    state: ClaimState = ClaimState.CLAIMED
    answer: StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Acquire:
    """The key is free and may be claimed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The request has run and its stored answer is to be replayed."""

    answer: StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class InProgress:
    """The request is running, has run, or the holder of its claim died."""


@dataclasses.dataclass(frozen=True, slots=True)
class Mismatch:
    """The key was used for a different request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The request has run and its answer is no longer stored."""


Decision: typing.TypeAlias = Acquire | Replay | InProgress | Mismatch | Expired


class MalformedError(ValueError):
    """The row is not a valid claim."""


def decide(
    found: Claim | None,
    *,
    fingerprint: bytes,
    now: float,
    retention_s: float,
    abandoned: typing.Container[bytes] = (),
) -> Decision:
    """Decide how to handle a request after looking up its key.

    Args:
        found: The claim in the table; None if there is none.
        fingerprint: Digest of the request.
        now: Seconds since the epoch.
        retention_s: Seconds for which answers are replayed.
        abandoned: Tokens of claims that this node attempted and abandoned
            before the request ran.
    """
    if found is None or found.state is ClaimState.RELEASED:
        return Acquire()
    if found.fingerprint != fingerprint:
        return Mismatch()
    if found.state is ClaimState.CLAIMED:
        return Acquire() if found.token in abandoned else InProgress()
    assert found.answer is not None
    if now - found.claimed_at > retention_s or not found.answer.is_complete:
        return Expired()
    return Replay(found.answer)


def make_row_key(account: str, idempotency_key: str) -> str:
    """Return the row key of a claim, distinct for each client account."""
    name = cbor2.dumps([account, idempotency_key])
    return KEY_PREFIX + hashlib.sha256(name).hexdigest()


def make_fingerprint(method: str, target: str, body: bytes) -> bytes:
    """Return the digest that distinguishes requests with the same key."""
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
    """Decode a claim from CBOR.

    Raises:
        MalformedError: The bytes are not a valid claim.
    """
    try:
        token, fingerprint, claimed_at, state, *rest = cbor2.loads(value)
        return Claim(
            bytes(token),
            bytes(fingerprint),
            float(claimed_at),
            ClaimState(state),
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
    """Return the part of an answer that is stored in its claim row."""
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
