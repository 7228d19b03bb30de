"""Messages between the holders, owners and standbys of quota slots."""

import dataclasses
import typing

import cbor2

from . import lease
from . import quota


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """A holder's report to a slot's owner, and its request for tokens.

    Args:
        slot: The slot.
        epoch: Epoch of the slot as known to the holder; 0 if unknown.
        holder: The holder.
        sequence: Number of the message; grows with each message to the same
            owner. The holder ignores a late answer to an earlier message.
        used: Tokens used since the first message of this epoch.
        held: Granted tokens that the holder keeps; it returns all other
            unused ones.
        need: Tokens needed by waiting requests.
        prefetch: Tokens needed soon.
    """

    slot: quota.Slot
    epoch: int
    holder: lease.Process
    sequence: int
    used: float
    held: float
    need: float
    prefetch: float


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """An owner's answer to a token request.

    Args:
        slot: The slot.
        epoch: Epoch of the slot.
        sequence: Sequence number of the request.
        tokens: Tokens granted.
        ttl_s: Seconds after the request was sent at which these tokens and
            all others of the slot that the holder has expire.
        level: Tokens left in the bucket.
        wait_s: Seconds that the holder should wait before its next request.
    """

    slot: quota.Slot
    epoch: int
    sequence: int
    tokens: float
    ttl_s: float
    level: float
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Location of a slot, the answer to a request at the wrong node.

    Args:
        slot: The slot.
        epoch: Newest epoch known to the sender; 0 if it knows none.
        owner: Node id of the owner; empty if unknown.
        standby: Node id of the standby; empty if unknown or none.
        slots: Number of slots of the account; 0 if unknown.
    """

    slot: quota.Slot
    epoch: int
    owner: str
    standby: str
    slots: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A slot and the epoch in which its owner claims it.

    Args:
        slot: The slot.
        epoch: The owner's epoch.
    """

    slot: quota.Slot
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseRequest:
    """An owner's request that its standby promise not to take over.

    Args:
        owner: The owner.
        sequence: Number of the request; grows with each one.
        claims: Claims to the slots whose records name this standby.
    """

    owner: lease.Process
    sequence: int
    claims: tuple[Claim, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Promise:
    """A standby's answer to a promise request.

    Args:
        standby: The standby.
        sequence: Sequence number of the request.
        claims: The claims for which it promises not to take over.
    """

    standby: lease.Process
    sequence: int
    claims: tuple[Claim, ...]


Message: typing.TypeAlias = (
    TokenRequest | Grant | Location | PromiseRequest | Promise
)

_KINDS: tuple[type[Message], ...] = (
    TokenRequest,
    Grant,
    Location,
    PromiseRequest,
    Promise,
)


class MessageError(ValueError):
    """Bytes do not contain a valid message or record."""


def encode(message: Message) -> bytes:
    """Return a message encoded as CBOR."""
    kind = _KINDS.index(type(message))
    return cbor2.dumps([kind, *_flatten(message)])


def decode(content: bytes) -> Message:
    """Return the message decoded from CBOR.

    Raises:
        MessageError: The bytes do not contain a valid message.
    """
    try:
        kind, *values = cbor2.loads(content)
        return _build(_KINDS[kind], values)
    except (
        ArithmeticError,
        cbor2.CBORDecodeError,
        AttributeError,
        LookupError,
        TypeError,
        ValueError,
    ) as error:
        raise MessageError(str(error)) from error


def _flatten(value: typing.Any) -> typing.Any:
    if isinstance(value, tuple):
        return [_flatten(item) for item in value]
    if dataclasses.is_dataclass(value):
        names = value.__dataclass_fields__
        return [_flatten(getattr(value, name)) for name in names]
    return value


def _build(kind: type[Message], values: list[typing.Any]) -> Message:
    first, *rest = values
    if kind is TokenRequest:
        epoch, holder, *numbers = rest
        return TokenRequest(
            quota.Slot(*first), int(epoch), lease.Process(*holder), *numbers
        )
    if kind is PromiseRequest or kind is Promise:
        sequence, values = rest
        claims = tuple(
            Claim(quota.Slot(*slot), int(epoch)) for slot, epoch in values
        )
        return kind(lease.Process(*first), int(sequence), claims)
    if kind is Grant:
        return Grant(quota.Slot(*first), *rest)
    return Location(quota.Slot(*first), *rest)


def encode_record(record: quota.Record, token: bytes) -> bytes:
    """Return a lease record encoded as the value of a row.

    Args:
        record: The record.
        token: Random bytes that make the value of each write unique.
    """
    return cbor2.dumps([*_flatten(record), token])


def decode_record(content: bytes) -> quota.Record:
    """Return the lease record decoded from the value of a row.

    Raises:
        MessageError: The value does not contain a valid record.
    """
    try:
        epoch, owner, standby, renewal, payload, _ = cbor2.loads(content)
        return lease.Record(
            epoch,
            None if owner is None else lease.Process(*owner),
            None if standby is None else lease.Process(*standby),
            renewal,
            None if payload is None else quota.Handover(*payload),
        )
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise MessageError(str(error)) from error


def encode_layout(slots: int, token: bytes) -> bytes:
    """Return an account's number of slots encoded as the value of a row.

    Args:
        slots: Number of slots.
        token: Random bytes that make the value of each write unique.
    """
    return cbor2.dumps([slots, token])


def decode_layout(content: bytes) -> int:
    """Return an account's number of slots decoded from the value of a row.

    Raises:
        MessageError: The value does not contain a number of slots.
    """
    try:
        slots, _ = cbor2.loads(content)
        return int(slots)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise MessageError(str(error)) from error
