"""Tests of the codec of messages between nodes."""

import unittest

import cbor2
import hypothesis
from hypothesis import strategies

from eelgrasswalk import verdict
from eelgrasswalk.transport import codec
from eelgrasswalk.transport import frames
from eelgrasswalk.transport import message

ATTEMPT = bytes(range(16))
FEEDBACK = frames.Feedback(
    importance=1, fraction=0.5, queue_delay_s=0.25, unspent=2
)
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
)

PLAIN = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.floats(),
        strategies.binary(max_size=20),
        strategies.text(max_size=20),
        strategies.just(ATTEMPT),
    ),
    lambda inner: strategies.lists(inner, max_size=6),
    max_leaves=24,
)


class CodecTest(unittest.TestCase):
    def test_messages_survive_the_wire(self) -> None:
        for item in MESSAGES:
            with self.subTest(type(item).__name__):
                data = codec.encode_message(item)
                self.assertEqual(item, codec.decode_message(data))

    def test_header_with_line_break_is_refused(self) -> None:
        request = message.Request('GET', '/x', ((b'a', b'b\r\nc: d'),), b'')
        fields = cbor2.loads(codec.encode_message(CALL))
        fields[14] = [list(pair) for pair in request.headers]
        with self.assertRaises(codec.DecodeError):
            codec.decode_message(cbor2.dumps(fields))

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(strategies.binary(max_size=400))
    def test_any_bytes_decode_or_are_refused(self, data: bytes) -> None:
        self.decode(data)

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.integers(0, 14), strategies.lists(PLAIN, max_size=18)
    )
    def test_any_fields_decode_or_are_refused(
        self, number: int, fields: list[object]
    ) -> None:
        self.decode(cbor2.dumps([number, *fields]))

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
