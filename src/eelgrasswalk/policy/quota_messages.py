"""Messages between the holders, owners and standbys of quota slots."""

import dataclasses
import typing

import cbor2

from . import lease
from . import quota


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """A holder reports to an owner and asks for tokens.

    Args:
        slot: The slot.
        epoch: Epoch of the slot as the holder knows it; 0 if it does not.
        holder: The holder.
        sequence: Grows with each message to the same owner. The holder
            never uses an answer to an earlier one that it has not had.
        used: Tokens used since the first message of this epoch.
        held: Tokens granted and unused; all others are given back.
        need: Tokens that waiting requests need.
        ahead: Tokens that are soon needed.
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
    """An owner's answer.

    Args:
        slot: The slot.
        epoch: Its epoch.
        sequence: Sequence number of the message that it answers.
        tokens: Tokens granted.
        life_s: Seconds from the sending of the request until these and all
            tokens held become unusable.
        level: Tokens left in the bucket.
        wait_s: Seconds after which it is worth asking again.
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
    """Where a slot is, for a holder that asked the wrong node.

    Args:
        slot: The slot.
        epoch: The newest epoch that the sender knows; 0 if it knows none.
        owner: Node of the owner; empty if unknown.
        standby: Node of the standby; empty if unknown or none.
        slots: Number of slots of the account; 0 if unknown.
    """

    slot: quota.Slot
    epoch: int
    owner: str
    standby: str
    slots: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """An owner's claim to a slot.

    Args:
        slot: The slot.
        epoch: The owner's epoch.
    """

    slot: quota.Slot
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseRequest:
    """An owner asks its standby to stand back.

    Args:
        owner: The owner.
        sequence: Grows with each request.
        claims: The slots that name this standby.
    """

    owner: lease.Process
    sequence: int
    claims: tuple[Claim, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Promise:
    """A standby's answer.

    Args:
        standby: The standby.
        sequence: Sequence number of the request.
        claims: The claims for which it stands back.
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
    """The bytes hold no message."""


def encode(message: Message) -> bytes:
    """Return a message as CBOR."""
    kind = _KINDS.index(type(message))
    return cbor2.dumps([kind, *_flatten(message)])


def decode(content: bytes) -> Message:
    """Return the message in CBOR bytes.

    Raises:
        MessageError: There is none.
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
    """Return a record as the value of a row.

    Args:
        record: The record.
        token: Random bytes that tell this write from all others.
    """
    return cbor2.dumps([*_flatten(record), token])


def decode_record(content: bytes) -> quota.Record:
    """Return the record in the value of a row.

    Raises:
        MessageError: There is none.
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
    """Return the number of an account's slots as the value of a row."""
    return cbor2.dumps([slots, token])


def decode_layout(content: bytes) -> int:
    """Return the number of an account's slots in the value of a row.

    Raises:
        MessageError: There is none.
    """
    try:
        slots, _ = cbor2.loads(content)
        return int(slots)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise MessageError(str(error)) from error
