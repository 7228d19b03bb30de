"""Tests of at-most-once claims."""

import dataclasses
import unittest

from eelgrasswalk import verdict
from eelgrasswalk.policy import idempotency

RESPONSE = verdict.Response(201, ((b'a', b'b'),), b'body')
ANSWER = idempotency.make_stored_answer(RESPONSE)
CLAIM = idempotency.Claim(b'token', b'print', 100.0)
ANSWERED = dataclasses.replace(
    CLAIM, state=idempotency.ClaimState.ANSWERED, answer=ANSWER
)


class DecideTest(unittest.TestCase):
    def decide(
        self,
        found: idempotency.Claim | None,
        *,
        fingerprint: bytes = b'print',
        now: float = 110.0,
        abandoned: tuple[bytes, ...] = (),
    ) -> idempotency.Decision:
        return idempotency.decide(
            found,
            fingerprint=fingerprint,
            now=now,
            retention_s=10.0,
            abandoned=abandoned,
        )

    def test_a_free_key_is_acquired(self) -> None:
        released = dataclasses.replace(
            CLAIM, state=idempotency.ClaimState.RELEASED
        )
        for found in (None, released):
            self.assertEqual(idempotency.Acquire(), self.decide(found))

    def test_a_claim_of_another_is_never_acquired(self) -> None:
        decision = self.decide(CLAIM, now=1e9)
        self.assertEqual(idempotency.InProgress(), decision)

    def test_an_abandoned_claim_is_acquired(self) -> None:
        decision = self.decide(CLAIM, abandoned=(b'token',))
        self.assertEqual(idempotency.Acquire(), decision)

    def test_an_answer_is_replayed_until_it_expires(self) -> None:
        self.assertEqual(idempotency.Replay(ANSWER), self.decide(ANSWERED))
        decision = self.decide(ANSWERED, now=110.1)
        self.assertEqual(idempotency.Expired(), decision)

    def test_an_answer_without_its_body_is_expired(self) -> None:
        answer = idempotency.make_stored_answer(RESPONSE, is_complete=False)
        found = dataclasses.replace(ANSWERED, answer=answer)
        self.assertEqual(idempotency.Expired(), self.decide(found))

    def test_a_key_belongs_to_one_request(self) -> None:
        for found in (CLAIM, ANSWERED):
            decision = self.decide(found, fingerprint=b'other')
            self.assertEqual(idempotency.Mismatch(), decision)


class RowTest(unittest.TestCase):
    def test_claims_round_trip(self) -> None:
        for claim in (CLAIM, ANSWERED):
            value = idempotency.encode_claim(claim)
            self.assertEqual(claim, idempotency.decode_claim(value))

    def test_other_rows_are_rejected(self) -> None:
        for value in (b'', b'\x05', b'\x80', b'\x84\x01\x02\x03\x04'):
            with self.assertRaises(idempotency.MalformedError):
                idempotency.decode_claim(value)

    def test_accounts_have_distinct_keys(self) -> None:
        keys = {
            idempotency.make_row_key(account, key)
            for account, key in (('a', 'b'), ('', 'ab'), ('ab', ''))
        }
        self.assertEqual(3, len(keys))

    def test_requests_have_distinct_fingerprints(self) -> None:
        prints = {
            idempotency.make_fingerprint(method, target, body)
            for method, target, body in (
                ('POST', '/a', b'b'),
                ('POST', '/', b'ab'),
                ('PUT', '/a', b'b'),
                ('POST', '/a', b''),
            )
        }
        self.assertEqual(4, len(prints))
