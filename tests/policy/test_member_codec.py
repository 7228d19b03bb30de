import unittest

import cbor2
import hypothesis
from hypothesis import strategies

from eelgrasswalk.policy import member
from eelgrasswalk.policy import member_codec
from eelgrasswalk.policy import member_messages
from tests.policy import member_network

SECRET = b'secret of the mesh'
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=100, deadline=None
)
ADDRESS = member.Address('10.1.2.3', 7000)
BODIES = (
    member_messages.Ping(7, 'node-1'),
    member_messages.IndirectPing(8, 'node-2', ADDRESS),
    member_messages.IndirectPing(8, 'node-2', member.Address('fd00::1', 1)),
    member_messages.Ack(2**32 - 1),
    member_messages.Nack(0),
    member_messages.Gossip(),
    member_messages.Records(),
    member_messages.Sync(bytes(range(256)), True),
)
CHANGE = member.HealthChange(
    'node-3', member.Incarnation(1, 2, 3), member.Health.SUSPECT, 'node-4'
)
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**65), 2**65)
    | strategies.floats()
    | strategies.binary(max_size=20)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=12)
        | strategies.dictionaries(strategies.text(max_size=3), inner)
    ),
    max_leaves=16,
)


def _envelope(body, updates=()):
    return member_messages.Envelope('node-0', 12, body, updates)


class TestCodec(unittest.TestCase):
    def test_messages_round_trip(self):
        updates = (member_network.make_member(3), CHANGE)
        for body in BODIES:
            with self.subTest(body=body):
                sent = _envelope(body, updates)
                datagram = member_codec.encode(sent, SECRET)
                received = member_codec.decode(datagram, SECRET)
                self.assertEqual(sent, received)

    def test_other_secret_is_refused(self):
        datagram = member_codec.encode(_envelope(BODIES[0]), SECRET)
        received = member_codec.decode(datagram, b'other')
        self.assertEqual(member_codec.Undecodable('authentication'), received)

    def test_any_flipped_bit_is_refused(self):
        datagram = member_codec.encode(_envelope(BODIES[0]), SECRET)
        for position in range(8 * len(datagram)):
            changed = bytearray(datagram)
            changed[position // 8] ^= 1 << position % 8
            received = member_codec.decode(bytes(changed), SECRET)
            self.assertIsInstance(received, member_codec.Undecodable)

    def test_too_long_message_is_an_error(self):
        records = tuple(member_network.make_member(i) for i in range(40))
        with self.assertRaises(ValueError):
            member_codec.encode(_envelope(BODIES[5], records), SECRET)

    def test_too_long_datagram_is_refused(self):
        received = member_codec.decode(bytes(1_201), SECRET)
        self.assertEqual(member_codec.Undecodable('length'), received)

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=1_400))
    def test_any_datagram_is_decoded_or_refused(self, datagram):
        received = member_codec.decode(datagram, SECRET)
        self.assertIsInstance(received, member_codec.Undecodable)

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=400))
    def test_any_payload_is_decoded_or_refused(self, payload):
        member_codec.parse(payload)

    @SETTINGS
    @hypothesis.given(strategies.lists(VALUES, min_size=4, max_size=4))
    def test_any_fields_are_decoded_or_refused(self, fields):
        member_codec.parse(
            cbor2.dumps([member_codec.WIRE_FORMAT_VERSION, *fields])
        )

    @SETTINGS
    @hypothesis.given(VALUES, VALUES)
    def test_any_body_and_update_are_decoded_or_refused(self, body, update):
        payload = [member_codec.WIRE_FORMAT_VERSION, 'node', 1, body, [update]]
        member_codec.parse(cbor2.dumps(payload))

    @SETTINGS
    @hypothesis.given(
        strategies.sampled_from(BODIES), strategies.integers(0, 300), VALUES
    )
    def test_damaged_message_is_decoded_or_refused(self, body, at, value):
        sent = _envelope(body, (member_network.make_member(3), CHANGE))
        payload = member_codec.encode(sent, SECRET)[: -member_codec.MAC_BYTES]
        cut = at % len(payload)
        member_codec.parse(payload[:cut] + cbor2.dumps(value))
        member_codec.parse(payload[:cut] + payload[cut + 1 :])


if __name__ == '__main__':
    unittest.main()
