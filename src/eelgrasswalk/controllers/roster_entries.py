"""Entries of nodes as they are stored and sent.

Rows may come from another writer, so every field is checked: a value of
another type would end the comparison of entries, and with it the feed.
"""

import dataclasses
import ipaddress
import typing

import msgspec

from ..policy import roster
from ..policy.capacity import cold_start

Number: typing.TypeAlias = typing.Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
Seconds: typing.TypeAlias = typing.Annotated[
    float, msgspec.Meta(ge=0.0, le=cold_start.MAX_COLD_S + 1.0)
]
Text: typing.TypeAlias = typing.Annotated[str, msgspec.Meta(max_length=200)]


class EntryFields(msgspec.Struct, frozen=True):
    """The fields of roster.Entry, with the values that they may have."""

    node_id: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    incarnation: Number
    revision: Number
    service: Text
    data_centre: Text
    host: Text
    port: typing.Annotated[int, msgspec.Meta(ge=1, lt=2**16)]
    state: roster.TargetState
    target_id: Text = ''
    slots: typing.Annotated[int, msgspec.Meta(ge=0, lt=2**31)] = 0
    stopping: bool = False
    secluded: bool = False
    born_ms: Number = 0
    cold_s: Seconds = 0.0


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(EntryFields)


def encode_entry(entry: roster.Entry) -> bytes:
    """Encode an entry for the store and for messages."""
    fields = dataclasses.asdict(entry)
    if not entry.cold_s:
        # Most services have no cold targets.
        del fields['cold_s']
    return _ENCODER.encode(fields)


def decode_entry(value: bytes) -> roster.Entry | None:
    """Decode an entry; return None if it is malformed."""
    try:
        fields = _DECODER.decode(value)
        ipaddress.ip_address(fields.host)
    except (ValueError, RecursionError):
        return None
    return roster.Entry(**msgspec.structs.asdict(fields))
