"""Tests of the bodies of the platform's protocol."""

import unittest

import cbor2
import hypothesis
from hypothesis import strategies

from eelgrasswalk.platform import codec
from eelgrasswalk.platform import protocols

_VERSIONS = strategies.none() | strategies.text(max_size=4)
_OPERATIONS = strategies.one_of(
    strategies.builds(
        protocols.Put, strategies.text(), strategies.binary(), _VERSIONS
    ),
    strategies.builds(protocols.Delete, strategies.text(), strategies.text()),
    strategies.builds(protocols.Check, strategies.text(), _VERSIONS),
)


class CodecTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=50)
    @hypothesis.given(strategies.lists(_OPERATIONS, max_size=4))
    def test_operations_survive(
        self, operations: list[protocols.Operation]
    ) -> None:
        body = codec.encode_operations(operations)
        self.assertEqual(tuple(operations), codec.decode_operations(body))

    def test_conflict_survives(self) -> None:
        row = protocols.Row('a', b'v', '3')
        conflict = protocols.Conflict(('a', 'b'), (row,))
        body = codec.encode_conflict(conflict)
        self.assertEqual(conflict, codec.decode_conflict(body))

    def test_other_bodies_are_rejected(self) -> None:
        for body in (b'', b'\xff', cbor2.dumps(5), cbor2.dumps([['put']])):
            with self.assertRaises(codec.MalformedError):
                codec.decode_operations(body)
