import unittest

from eelgrasswalk.policy import lease
from eelgrasswalk.policy import quota
from eelgrasswalk.policy import quota_messages

SLOT = quota.Slot('account', 2)
PROCESS = lease.Process('a', 7)


class MessagesTest(unittest.TestCase):
    def test_round_trip(self):
        claims = (quota_messages.Claim(SLOT, 3),)
        messages = (
            quota_messages.TokenRequest(
                SLOT, 1, PROCESS, 2, 3.0, 4.0, 5.0, 6.0
            ),
            quota_messages.Grant(SLOT, 1, 2, 3.0, 0.5, 4.0, 0.1),
            quota_messages.Location(SLOT, 1, 'a', 'b', 4),
            quota_messages.PromiseRequest(PROCESS, 1, claims),
            quota_messages.Promise(PROCESS, 1, claims),
        )
        for message in messages:
            content = quota_messages.encode(message)
            self.assertEqual(message, quota_messages.decode(content))

    def test_rejects_invalid_bytes(self):
        for content in (b'', b'\xff', b'\x01', b'\x82\x09\x01', b'\x81\x00'):
            with self.assertRaises(quota_messages.MessageError):
                quota_messages.decode(content)

    def test_records_round_trip(self):
        handover = quota.Handover(1.0, 2.0)
        for record in (
            lease.Record(1, PROCESS, None),
            lease.Record(2, PROCESS, lease.Process('b', 1), 5),
            lease.Record(2, None, None, 6, handover),
        ):
            content = quota_messages.encode_record(record, b'token')
            self.assertEqual(record, quota_messages.decode_record(content))
