"""Encoding and authentication of the membership protocol's datagrams."""

import dataclasses
import functools
import hashlib
import hmac
import ipaddress
import typing

import cbor2

from . import member
from . import member_messages

MAX_DATAGRAM_BYTES = 1_200
MAC_BYTES = 16
MAX_NAME_BYTES = 64
MAX_INTEGER = 2**63 - 1
MAX_PORT = 65_535
DIGESTS_BYTES = 256
UPDATE_CACHE_SIZE = 2_048
ADDRESS_CACHE_SIZE = 2_048
WIRE_FORMAT_VERSION = 1

_MEMBER_FIELDS = 11
_NESTED_MEMBER_FIELDS = 4
_CHANGE_FIELDS = 6
_ENVELOPE_FIELDS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Undecodable:
    """Result for a datagram that is not a valid message of this mesh.

    Args:
        reason: What is invalid: a part of the message or an exception type.
    """

    reason: str


class _FieldError(Exception):
    """A field has an invalid type or value; the text is its kind."""


def encode(envelope: member_messages.Envelope, secret: bytes) -> bytes:
    """Encode and authenticate one message.

    Args:
        envelope: The message.
        secret: The mesh secret, used as the key of the MAC.

    Returns:
        The datagram.

    Raises:
        ValueError: If the datagram would be longer than `MAX_DATAGRAM_BYTES`.
    """
    payload = cbor2.dumps(
        [
            WIRE_FORMAT_VERSION,
            envelope.sender,
            envelope.config_version,
            _dump_body(envelope.body),
            [_dump_update(update) for update in envelope.updates],
        ]
    )
    datagram = payload + _authenticate(payload, secret)
    if len(datagram) > MAX_DATAGRAM_BYTES:
        raise ValueError(f'datagram too long: {len(datagram)} bytes')
    return datagram


def decode(
    datagram: bytes, secret: bytes
) -> member_messages.Envelope | Undecodable:
    """Authenticate and decode one datagram.

    Args:
        datagram: Untrusted bytes.
        secret: The mesh secret, used as the key of the MAC.

    Returns:
        The message, or the reason why it is invalid.
    """
    if not MAC_BYTES < len(datagram) <= MAX_DATAGRAM_BYTES:
        return Undecodable('length')
    payload = datagram[:-MAC_BYTES]
    mac = datagram[-MAC_BYTES:]
    if not hmac.compare_digest(mac, _authenticate(payload, secret)):
        return Undecodable('authentication')
    return parse(payload)


def parse(payload: bytes) -> member_messages.Envelope | Undecodable:
    """Decode an authenticated payload.

    Args:
        payload: The datagram without its MAC; it may still be malformed.

    Returns:
        The message, or the reason why it is invalid.
    """
    try:
        fields = _read_list(cbor2.loads(payload), _ENVELOPE_FIELDS)
        if fields[0] != WIRE_FORMAT_VERSION:
            return Undecodable('format')
        return member_messages.Envelope(
            _read_name(fields[1]),
            _read_integer(fields[2]),
            _load_body(fields[3]),
            _load_updates(fields[4]),
        )
    except _FieldError as error:
        return Undecodable(str(error))
    except (
        cbor2.CBORDecodeError,
        ArithmeticError,
        LookupError,
        MemoryError,
        OSError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        return Undecodable(type(error).__name__)


@functools.lru_cache(maxsize=UPDATE_CACHE_SIZE)
def measure_update(update: member.Update) -> int:
    """Return the encoded size of an update in bytes."""
    return len(cbor2.dumps(_dump_update(update)))


def _authenticate(payload: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, payload, hashlib.sha256)[:MAC_BYTES]


def _dump_incarnation(incarnation: member.Incarnation) -> list[int]:
    return [
        incarnation.boot,
        incarnation.revision,
        incarnation.refutation,
    ]


@functools.lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def _dump_ip(ip: str) -> bytes:
    return ipaddress.ip_address(ip).packed


def _dump_update(update: member.Update) -> list[object]:
    match update:
        case member.Member():
            return [
                int(update.health),
                update.node_id,
                *_dump_incarnation(update.incarnation),
                _dump_ip(update.ip),
                update.udp_port,
                update.link_port,
                update.service,
                update.slots,
                [
                    update.data_centre,
                    int(update.state),
                    update.admin_port,
                    update.host,
                ],
            ]
        case member.HealthChange():
            return [
                int(update.health),
                update.node_id,
                *_dump_incarnation(update.incarnation),
                update.reporter,
            ]


def _dump_body(body: member_messages.Body) -> list[object]:
    match body:
        case member_messages.Ping():
            return [0, body.sequence, body.probed_id]
        case member_messages.IndirectPing():
            return [
                1,
                body.sequence,
                body.probed_id,
                _dump_ip(body.address.ip),
                body.address.port,
            ]
        case member_messages.Ack():
            return [2, body.sequence]
        case member_messages.Nack():
            return [3, body.sequence]
        case member_messages.Gossip():
            return [4]
        case member_messages.Sync():
            return [5, body.digests, body.is_reply]
        case member_messages.Records():
            return [6]


def _load_body(value: object) -> member_messages.Body:
    match value:
        case [0, sequence, probed_id]:
            return member_messages.Ping(
                _read_integer(sequence), _read_name(probed_id)
            )
        case [1, sequence, probed_id, ip, port]:
            return member_messages.IndirectPing(
                _read_integer(sequence),
                _read_name(probed_id),
                member.Address(_read_ip(ip), _read_port(port)),
            )
        case [2, sequence]:
            return member_messages.Ack(_read_integer(sequence))
        case [3, sequence]:
            return member_messages.Nack(_read_integer(sequence))
        case [4]:
            return member_messages.Gossip()
        case [5, digests, is_reply]:
            return member_messages.Sync(
                _read_digests(digests), _read_flag(is_reply)
            )
        case [6]:
            return member_messages.Records()
    raise _FieldError('body')


def _load_updates(value: object) -> tuple[member.Update, ...]:
    if not isinstance(value, list):
        raise _FieldError('updates')
    return tuple(_load_update(item) for item in value)


def _load_update(value: object) -> member.Update:
    if not isinstance(value, list):
        raise _FieldError('update')
    if len(value) == _MEMBER_FIELDS:
        return _load_member(value)
    fields = _read_list(value, _CHANGE_FIELDS)
    return member.HealthChange(
        _read_name(fields[1]),
        _load_incarnation(fields[2:5]),
        member.Health(_read_integer(fields[0])),
        _read_name(fields[5], empty=True),
    )


def _load_member(fields: list[typing.Any]) -> member.Member:
    data_centre, state, admin_port, host = _read_list(
        fields[10], _NESTED_MEMBER_FIELDS
    )
    return member.Member(
        _read_name(fields[1]),
        _read_ip(fields[5]),
        _read_port(fields[6]),
        _read_port(fields[7]),
        _read_name(fields[8], empty=True),
        _read_integer(fields[9]),
        _read_name(data_centre, empty=True),
        member.MemberState(_read_integer(state)),
        _load_incarnation(fields[2:5]),
        member.Health(_read_integer(fields[0])),
        _read_port(admin_port),
        _read_name(host, empty=True),
    )


def _load_incarnation(fields: list[typing.Any]) -> member.Incarnation:
    boot, revision, refutation = fields
    return member.Incarnation(
        _read_integer(boot),
        _read_integer(revision),
        _read_integer(refutation),
    )


def _read_list(value: object, length: int) -> list[typing.Any]:
    if isinstance(value, list) and len(value) == length:
        return value
    raise _FieldError('list')


def _read_integer(value: object) -> int:
    if type(value) is int and 0 <= value <= MAX_INTEGER:
        return value
    raise _FieldError('integer')


def _read_port(value: object) -> int:
    port = _read_integer(value)
    if port > MAX_PORT:
        raise _FieldError('port')
    return port


def _read_flag(value: object) -> bool:
    if isinstance(value, bool):
        return value
    raise _FieldError('flag')


def _read_name(value: object, *, empty: bool = False) -> str:
    if not isinstance(value, str):
        raise _FieldError('name')
    length = len(value.encode())
    if length > MAX_NAME_BYTES or (not length and not empty):
        raise _FieldError('name')
    return value


def _read_digests(value: object) -> bytes:
    if isinstance(value, bytes) and len(value) == DIGESTS_BYTES:
        return value
    raise _FieldError('digests')


def _read_ip(value: object) -> str:
    if isinstance(value, bytes) and len(value) in (4, 16):
        return _format_ip(value)
    raise _FieldError('ip')


@functools.lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def _format_ip(packed: bytes) -> str:
    return str(ipaddress.ip_address(packed))
