"""Messages between nodes about the configuration, in CBOR."""

import dataclasses
import typing
import zlib

import cbor2

TOPIC = 'configuration'
LONGEST_PACKED_BYTES = 200_000
LONGEST_DOCUMENT_BYTES = 16_777_216


class MalformedError(ValueError):
    """A message does not hold what it should."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Asks for the version in force and its document.

    Args:
        above: The document is wanted only if its version is higher.
    """

    above: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tell:
    """Tells the version in force.

    Args:
        version: The version; 0 for none.
        digest: SHA-256 of the document's bytes, in hexadecimal.
        content: The document's bytes; empty when it was not wanted, or is
            too long for one message.
    """

    version: int
    digest: str
    content: bytes


Message: typing.TypeAlias = Ask | Tell


def encode_message(message: Message) -> bytes:
    """Return a message as CBOR."""
    match message:
        case Ask(above):
            return cbor2.dumps(['ask', above])
        case Tell(version, digest, content):
            packed = zlib.compress(content) if content else b''
            if len(packed) > LONGEST_PACKED_BYTES:
                packed = b''
            return cbor2.dumps(['tell', version, digest, packed])
        case _:
            typing.assert_never(message)


def decode_message(payload: bytes) -> Message:
    """Read a message from its CBOR.

    Raises:
        MalformedError: The payload is no message.
    """
    try:
        match cbor2.loads(payload):
            case ['ask', int(above)]:
                return Ask(above)
            case ['tell', int(version), str(digest), bytes(packed)]:
                return Tell(version, digest, _unpack(packed))
    except (cbor2.CBORDecodeError, zlib.error) as error:
        raise MalformedError(str(error)) from error
    raise MalformedError('unknown message')


def _unpack(packed: bytes) -> bytes:
    if not packed:
        return b''
    content = zlib.decompressobj().decompress(packed, LONGEST_DOCUMENT_BYTES)
    if len(content) >= LONGEST_DOCUMENT_BYTES:
        raise MalformedError('the document is too long')
    return content
