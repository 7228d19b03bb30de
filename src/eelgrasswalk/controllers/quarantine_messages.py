"""Messages and rows about crashes and quarantined requests."""

import typing

import msgspec

from ..policy import quarantine
from ..policy import request_digest

MAX_DIGESTS = 256
MAX_TEXT = 256

Digest: typing.TypeAlias = typing.Annotated[
    bytes,
    msgspec.Meta(
        min_length=request_digest.DIGEST_BYTES,
        max_length=request_digest.DIGEST_BYTES,
    ),
]
Digests: typing.TypeAlias = typing.Annotated[
    tuple[Digest, ...], msgspec.Meta(max_length=MAX_DIGESTS)
]
HexDigest: typing.TypeAlias = typing.Annotated[
    str,
    msgspec.Meta(pattern=f'^[0-9a-f]{{{2 * request_digest.DIGEST_BYTES}}}$'),
]
Number: typing.TypeAlias = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Text: typing.TypeAlias = typing.Annotated[
    str, msgspec.Meta(max_length=MAX_TEXT)
]


class RecordFields(msgspec.Struct, frozen=True):
    """A quarantine record in the store and in messages.

    Args:
        digest: Digest of the request in hexadecimal digits.
        method: Its HTTP method.
        target: Its path with query, cut if it is long.
        account: Its client account; empty on an open route.
        crashes: Targets that it is known to have crashed.
        tries: Tries that have crashed another target.
        revision: Grows with each change.
        lifted: Whether the request may be run again.
        since_ms: Unix milliseconds of its beginning.
    """

    digest: HexDigest
    method: Text = ''
    target: Text = ''
    account: Text = ''
    crashes: Number = 0
    tries: Number = 0
    revision: Number = 1
    lifted: bool = False
    since_ms: Number = 0


Records: typing.TypeAlias = typing.Annotated[
    tuple[RecordFields, ...], msgspec.Meta(max_length=quarantine.MAX_RECORDS)
]


class CrashNotice(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A target of a service has crashed.

    Args:
        service: The service.
        origin: Node beside the target.
        hops: How often the message may still be passed on.
        run_id: Run of the target that has ended.
        digests: Digests of the requests that it ran.
        record: Quarantine of the request that has caused it, if one has.
    """

    service: Text
    origin: Text
    hops: Number
    run_id: Text
    digests: Digests
    record: RecordFields | None = None


class ClearedNotice(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Suspects have got an answer; fields as above."""

    service: Text
    origin: Text
    hops: Number
    digests: Digests


class RecordNotice(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A quarantine has changed; fields as above."""

    service: Text
    origin: Text
    hops: Number
    record: RecordFields


class RunningNotice(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Suspects run at the target of the origin; fields as above."""

    service: Text
    origin: Text
    hops: Number
    digests: Digests


Notice: typing.TypeAlias = (
    CrashNotice | ClearedNotice | RecordNotice | RunningNotice
)

_NOTICE_ENCODER = msgspec.msgpack.Encoder()
_NOTICE_DECODER = msgspec.msgpack.Decoder(Notice)
_ROW_ENCODER = msgspec.json.Encoder()
_ROW_DECODER = msgspec.json.Decoder(Records)


def encode_notice(notice: Notice) -> bytes:
    """Encode a message."""
    return _NOTICE_ENCODER.encode(notice)


def decode_notice(payload: bytes) -> Notice:
    """Decode a message.

    Raises:
        ValueError: The payload is malformed.
    """
    try:
        return _NOTICE_DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise ValueError(f'not a message on crashes: {error}') from error


def pass_on(notice: Notice) -> Notice:
    """Return a message as it is passed on to further nodes."""
    return msgspec.structs.replace(notice, hops=max(0, notice.hops - 1))


def encode_records(
    records: typing.Iterable[quarantine.Record],
) -> bytes:
    """Encode the records of a service as the value of its row."""
    return _ROW_ENCODER.encode([build_fields(each) for each in records])


def decode_records(value: bytes) -> list[quarantine.Record]:
    """Decode the value of a service's row.

    Raises:
        ValueError: The value is malformed.
    """
    try:
        found = _ROW_DECODER.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ValueError(f'not quarantine records: {error}') from error
    return [build_record(fields) for fields in found]


def build_fields(record: quarantine.Record) -> RecordFields:
    """Return a record as it is stored and sent."""
    return RecordFields(
        digest=record.digest.hex(),
        method=record.subject.method[:MAX_TEXT],
        target=record.subject.target[:MAX_TEXT],
        account=record.subject.account[:MAX_TEXT],
        crashes=record.crashes,
        tries=record.tries,
        revision=record.revision,
        lifted=record.lifted,
        since_ms=record.since_ms,
    )


def build_record(fields: RecordFields) -> quarantine.Record:
    """Return a record that was stored or sent."""
    return quarantine.Record(
        digest=bytes.fromhex(fields.digest),
        subject=quarantine.Subject(
            fields.method, fields.target, fields.account
        ),
        crashes=fields.crashes,
        tries=fields.tries,
        revision=fields.revision,
        lifted=fields.lifted,
        since_ms=fields.since_ms,
    )
