import unittest

from eelgrasswalk.policy import lease
from eelgrasswalk.policy import quota
from eelgrasswalk.policy import quota_messages
from eelgrasswalk.policy import quota_owner

SLOT = quota.Slot('account', 0)
HOLDER = lease.Process('h', 1)


def make_request(
    sequence, *, used=0.0, held=0.0, need=0.0, prefetch=0.0, epoch=2
):
    return quota_messages.TokenRequest(
        SLOT, epoch, HOLDER, sequence, used, held, need, prefetch
    )


class OwnerTest(unittest.TestCase):
    def setUp(self):
        self.owner = quota_owner.Owner(
            SLOT, 2, quota.RateLimit(10.0, 5.0), now=0.0
        )

    def answer(self, now, sequence, *, lease_expiry=100.0, **fields):
        request = make_request(sequence, **fields)
        return self.owner.answer(request, now=now, lease_expiry=lease_expiry)

    def test_starts_empty_after_a_takeover(self):
        self.assertEqual(0.0, self.answer(0.0, 1, need=5.0).tokens)

    def test_starts_full_in_the_first_epoch(self):
        limit = quota.RateLimit(10.0, 5.0)
        owner = quota_owner.Owner(SLOT, 1, limit, now=0.0)
        request = make_request(1, need=6.0, epoch=1)
        self.assertEqual(
            5.0, owner.answer(request, now=0.0, lease_expiry=9.0).tokens
        )

    def test_unused_tokens_prevent_a_refill(self):
        self.assertEqual(5.0, self.answer(1.0, 1, need=5.0, prefetch=2).tokens)
        self.owner.change_limit(quota.RateLimit(10.0, 5.0), now=1.5)
        self.assertEqual(0.0, self.owner.level)

    def test_expired_tokens_count_as_used_on_expiry(self):
        self.answer(1.0, 1, need=5.0, prefetch=2)
        expiry = 1.0 + quota.GRANT_TTL_S * (1.0 + lease.CLOCK_RATE_MARGIN)
        self.owner.change_limit(quota.RateLimit(10.0, 5.0), now=expiry + 0.1)
        self.assertAlmostEqual(1.0, self.owner.level)

    def test_returned_tokens_refill_the_bucket(self):
        self.answer(1.0, 1, need=5.0)
        self.answer(1.0, 2, used=2.0)
        self.assertAlmostEqual(3.0, self.owner.level)

    def test_ignores_duplicate_and_reordered_messages(self):
        self.assertIsNotNone(self.answer(1.0, 2, need=3.0))
        self.assertIsNone(self.answer(1.0, 2, need=3.0))
        self.assertIsNone(self.answer(1.0, 1))
        self.assertAlmostEqual(3.0, self.owner.unused)

    def test_no_grant_outlives_the_lease(self):
        grant = self.answer(1.0, 1, need=1.0, prefetch=2.0, lease_expiry=1.2)
        self.assertAlmostEqual(0.2, grant.ttl_s)
        self.assertIsNone(self.answer(1.2, 2, need=1.0, lease_expiry=1.2))

    def test_a_shorter_ttl_does_not_shorten_the_previous_one(self):
        self.answer(1.0, 1, need=4.0, prefetch=2.0)
        self.answer(1.1, 2, held=4.0, need=1.0, lease_expiry=1.2)
        self.owner.change_limit(quota.RateLimit(10.0, 5.0), now=1.5)
        self.assertGreaterEqual(self.owner.unused, 4.0)

    def test_ignores_another_epoch(self):
        self.assertIsNone(self.answer(1.0, 1, need=1.0, epoch=3))

    def test_handover_prevents_a_refill_until_its_tokens_expire(self):
        owner = quota_owner.Owner(
            SLOT,
            3,
            quota.RateLimit(10.0, 5.0),
            now=0.0,
            handover=quota.Handover(1.0, 4.0),
        )
        owner.change_limit(quota.RateLimit(10.0, 5.0), now=0.5)
        self.assertEqual(1.0, owner.level)
