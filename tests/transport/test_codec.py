"""Tests of the codec of messages between nodes."""

import math
import unittest
import unittest.mock

import hypothesis
from hypothesis import strategies
import msgspec

from eelgrasswalk import verdict
from eelgrasswalk.transport import codec
from eelgrasswalk.transport import frames
from eelgrasswalk.transport import message

ATTEMPT = bytes(range(16))
FEEDBACK = frames.Feedback(
    importance=1, fraction=0.5, queue_delay_s=0.25, unspent=2
)
# The fields that feedback had before it told of expected times.
EARLIER_FEEDBACK_FIELDS = 13
CALL = frames.Call(
    attempt=ATTEMPT,
    route='stock',
    context=frames.Context(
        account='erie',
        importance=0,
        root_id=ATTEMPT,
        root_hash=0.5,
        root_age_s=1.5,
        depth=2,
    ),
    remaining_s=2.5,
    allowance=1,
    idempotency_key='k',
    request=message.Request('GET', '/x', ((b'a', b'b'),), b'body'),
    body_length=4,
    digest=0,
)
MESSAGES = (
    frames.Challenge(ATTEMPT),
    frames.Hello('n', 1, 2, ATTEMPT, b'proof'),
    frames.Welcome('n', 1, b'proof'),
    CALL,
    frames.Answer(
        attempt=ATTEMPT,
        feedback=FEEDBACK,
        response=verdict.Response(200, ((b'a', b'b'),), b'x'),
        body_length=1,
        digest=0,
    ),
    frames.Failure(
        ATTEMPT,
        FEEDBACK,
        verdict.NotRun(verdict.Reason.OVERLOAD, 1.0, 'busy', True),
    ),
    frames.Failure(
        ATTEMPT, FEEDBACK, verdict.MayHaveRun(verdict.Reason.LINK_LOST)
    ),
    frames.Data(ATTEMPT, b'x'),
    frames.Credit(ATTEMPT, 5),
    frames.Cancel(ATTEMPT),
    frames.Ask((ATTEMPT, ATTEMPT)),
    frames.Known(ATTEMPT),
    frames.Ack((ATTEMPT,)),
    frames.Control('quota', b'x'),
    frames.Goodbye(),
    frames.Probe(),
    frames.ProbeReply(),
)

PLAIN = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(-(1 << 63), (1 << 64) - 1),
        strategies.floats(),
        strategies.binary(max_size=20),
        strategies.text(max_size=20),
        strategies.just(ATTEMPT),
    ),
    lambda inner: strategies.lists(inner, max_size=6),
    max_leaves=24,
)


class CodecTest(unittest.TestCase):
    def test_feedback_without_expected_times_is_read(self) -> None:
        """A node of an earlier release sends fewer fields."""
        fields = msgspec.to_builtins(FEEDBACK)[:EARLIER_FEEDBACK_FIELDS]
        found = msgspec.convert(fields, frames.Feedback)
        self.assertEqual(FEEDBACK, found)

    def test_expected_times_come_after_all_earlier_fields(self) -> None:
        """A node of an earlier release ignores fields that it lacks."""
        names = frames.Feedback.__struct_fields__
        self.assertEqual(
            ('wait_s', 'service_s'), names[EARLIER_FEEDBACK_FIELDS:]
        )

    def test_messages_survive_the_wire(self) -> None:
        for item in MESSAGES:
            with self.subTest(type(item).__name__):
                data = codec.encode_message(item)
                self.assertEqual(item, codec.decode_message(data))

    def test_header_with_line_break_is_refused(self) -> None:
        request = message.Request('GET', '/x', ((b'a', b'b\r\nc: d'),), b'')
        call = msgspec.structs.replace(CALL, request=request)
        with self.assertRaises(codec.DecodeError):
            codec.decode_message(codec.encode_message(call))

    def test_fields_out_of_their_bounds_are_refused(self) -> None:
        for name, value in (
            ('attempt', b'short'),
            ('remaining_s', math.nan),
            ('remaining_s', math.inf),
            ('remaining_s', -1.0),
            ('allowance', -1),
            ('allowance', True),
            ('allowance', 1.5),
            ('route', b'bytes'),
            ('body_length', frames.MAX_BODY_BYTES + 1),
        ):
            with self.subTest(name, value=value):
                call = msgspec.structs.replace(CALL, **{name: value})
                with self.assertRaises(codec.DecodeError):
                    codec.decode_message(codec.encode_message(call))

    def test_too_many_attempts_are_refused(self) -> None:
        many = (ATTEMPT,) * (frames.MAX_ATTEMPTS_IN_ACK + 1)
        with self.assertRaises(codec.DecodeError):
            codec.decode_message(codec.encode_message(frames.Ack(many)))

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(strategies.binary(max_size=400))
    def test_any_bytes_decode_or_are_refused(self, data: bytes) -> None:
        self.decode(data)

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.integers(0, 17), strategies.lists(PLAIN, max_size=18)
    )
    def test_any_fields_decode_or_are_refused(
        self, number: int, fields: list[object]
    ) -> None:
        self.decode(msgspec.msgpack.encode([number, *fields]))

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.sampled_from(MESSAGES),
        strategies.integers(0, 400),
        strategies.binary(min_size=1, max_size=4),
    )
    def test_damaged_messages_decode_or_are_refused(
        self, item: frames.Message, at: int, patch: bytes
    ) -> None:
        data = bytearray(codec.encode_message(item))
        data[at % len(data) : at % len(data) + len(patch)] = patch
        self.decode(bytes(data))

    def decode(self, data: bytes) -> None:
        try:
            item = codec.decode_message(data)
        except codec.DecodeError:
            return
        self.assertIsInstance(item, frames.Message)


class FrameReaderTest(unittest.TestCase):
    def test_messages_come_out_whole_however_they_are_cut(self) -> None:
        data = b''.join(codec.encode_frame(item) for item in MESSAGES)
        for length in (1, 3, 7, 64, len(data)):
            reader = codec.FrameReader()
            found = []
            for start in range(0, len(data), length):
                found += reader.feed(data[start : start + length])
            self.assertEqual(list(MESSAGES), found)

    def test_message_in_single_bytes_is_copied_once(self) -> None:
        """Copied with each byte, a long one takes seconds."""
        request = msgspec.structs.replace(CALL.request, body=b'x' * 10_000)
        call = msgspec.structs.replace(
            CALL, request=request, body_length=10_000
        )
        copied: list[int] = []

        def copy(data: bytearray) -> bytes:
            copied.append(len(data))
            return memoryview(data).tobytes()

        reader = codec.FrameReader()
        received: list[frames.Message] = []
        with unittest.mock.patch.object(codec, 'bytes', copy, create=True):
            for byte in codec.encode_frame(call):
                received += reader.feed(b'%c' % byte)
        self.assertEqual([call], received)
        self.assertLess(sum(copied), 3 * 10_000)

    def test_message_longer_than_allowed_is_refused_by_its_length(
        self,
    ) -> None:
        length = frames.MAX_MESSAGE_BYTES + 1
        reader = codec.FrameReader()
        with self.assertRaises(codec.DecodeError):
            list(reader.feed(length.to_bytes(4, 'big')))

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(strategies.lists(strategies.binary(max_size=60)))
    def test_any_stream_is_read_or_refused(self, parts: list[bytes]) -> None:
        reader = codec.FrameReader()
        try:
            for part in parts:
                list(reader.feed(part))
        except codec.DecodeError:
            return
