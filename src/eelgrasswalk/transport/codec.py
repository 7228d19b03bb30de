"""The MessagePack codec of messages between nodes, and their framing.

A message is an array whose first item is the number of its type. On the wire
its length precedes it, in four bytes.
"""

import struct
import typing

import msgspec

from . import frames
from . import message

_LENGTH = struct.Struct('!I')
_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[frames.Message] = msgspec.msgpack.Decoder(
    frames.Message
)


class DecodeError(Exception):
    """The bytes are not a message of this protocol."""


def encode_message(item: frames.Message) -> bytes:
    """Encode one message; a body that is not inline stays."""
    return _ENCODER.encode(_cut_body(item))


def encode_frame(item: frames.Message) -> bytes:
    """Encode one message with its length in front."""
    data = encode_message(item)
    return _LENGTH.pack(len(data)) + data


def decode_message(data: bytes | memoryview) -> frames.Message:
    """Decode one message.

    Raises:
        DecodeError: The bytes are not a message of this protocol.
    """
    try:
        item = _DECODER.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise DecodeError(f'not a message: {error!r}') from error
    if isinstance(item, frames.Call):
        _check_headers(item.request.headers)
    elif isinstance(item, frames.Answer):
        _check_headers(item.response.headers)
    return item


class FrameReader:
    """Takes messages out of a stream of bytes.

    The sender chooses how many bytes arrive at a time, so a message is only
    looked at again once it can be whole.

    Args:
        max_message_bytes: Longest message that is taken.

    Attributes:
        max_message_bytes: As above; a change applies to the next message.
    """

    def __init__(
        self, max_message_bytes: int = frames.MAX_MESSAGE_BYTES
    ) -> None:
        self.max_message_bytes = max_message_bytes
        self._held = bytearray()
        self._needed = _LENGTH.size

    def feed(self, data: bytes) -> typing.Iterator[frames.Message]:
        """Return the messages that are whole now.

        Args:
            data: The next bytes of the stream.

        Raises:
            DecodeError: The bytes are not messages of this protocol; the
                stream is of no more use.
        """
        if self._held:
            self._held += data
            if len(self._held) < self._needed:
                return
            data = bytes(self._held)
            self._held.clear()
        start = 0
        self._needed = _LENGTH.size
        while len(data) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(data, start)
            if length > self.max_message_bytes:
                raise DecodeError(
                    f'a message of {length} bytes is longer than '
                    f'{self.max_message_bytes}'
                )
            end = start + _LENGTH.size + length
            if end > len(data):
                self._needed = end - start
                break
            item = decode_message(data[start + _LENGTH.size : end])
            start = end
            yield item
        self._held += data[start:]


def _cut_body(item: frames.Message) -> frames.Message:
    """Return the message without its body if that follows in parts."""
    replace = msgspec.structs.replace
    if isinstance(item, frames.Call) and not frames.is_inline(
        item.request.body
    ):
        return replace(item, request=replace(item.request, body=b''))
    if isinstance(item, frames.Answer) and not frames.is_inline(
        item.response.body
    ):
        return replace(item, response=replace(item.response, body=b''))
    return item


def _check_headers(headers: message.Headers) -> None:
    """Refuse headers that would begin another line of a head."""
    # One search for all headers; this is done for every call and answer.
    joined = b''.join([name + value for name, value in headers])
    if b'\r' in joined or b'\n' in joined or b'\0' in joined:
        raise DecodeError('a header holds a line break')
