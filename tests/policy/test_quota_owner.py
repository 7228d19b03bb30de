import unittest

from eelgrasswalk.policy import lease
from eelgrasswalk.policy import quota
from eelgrasswalk.policy import quota_messages
from eelgrasswalk.policy import quota_owner

SLOT = quota.Slot('account', 0)
HOLDER = lease.Process('h', 1)


def make_ask(sequence, *, used=0.0, held=0.0, need=0.0, prefetch=0.0, epoch=2):
    return quota_messages.TokenRequest(
        SLOT, epoch, HOLDER, sequence, used, held, need, prefetch
    )


class OwnerTest(unittest.TestCase):
    def setUp(self):
        self.owner = quota_owner.Owner(
            SLOT, 2, quota.RateLimit(10.0, 5.0), now=0.0
        )

    def answer(self, now, sequence, *, end=100.0, **fields):
        ask = make_ask(sequence, **fields)
        return self.owner.answer(ask, now=now, end=end)

    def test_starts_empty_after_a_take_over(self):
        self.assertEqual(0.0, self.answer(0.0, 1, need=5.0).tokens)

    def test_starts_full_in_the_first_epoch(self):
        limit = quota.RateLimit(10.0, 5.0)
        owner = quota_owner.Owner(SLOT, 1, limit, now=0.0)
        ask = make_ask(1, need=6.0, epoch=1)
        self.assertEqual(5.0, owner.answer(ask, now=0.0, end=9.0).tokens)

    def test_unused_tokens_keep_their_place(self):
        self.assertEqual(5.0, self.answer(1.0, 1, need=5.0, prefetch=2).tokens)
        self.owner.change_limit(quota.RateLimit(10.0, 5.0), now=1.5)
        self.assertEqual(0.0, self.owner.level)

    def test_lapsed_tokens_count_as_used_when_they_lapse(self):
        self.answer(1.0, 1, need=5.0, prefetch=2)
        lapse = 1.0 + quota.GRANT_TTL_S * (1.0 + lease.CLOCK_RATE_MARGIN)
        self.owner.change_limit(quota.RateLimit(10.0, 5.0), now=lapse + 0.1)
        self.assertAlmostEqual(1.0, self.owner.level)

    def test_unused_tokens_come_back(self):
        self.answer(1.0, 1, need=5.0)
        self.answer(1.0, 2, used=2.0)
        self.assertAlmostEqual(3.0, self.owner.level)

    def test_ignores_repeated_and_overtaken_messages(self):
        self.assertIsNotNone(self.answer(1.0, 2, need=3.0))
        self.assertIsNone(self.answer(1.0, 2, need=3.0))
        self.assertIsNone(self.answer(1.0, 1))
        self.assertAlmostEqual(3.0, self.owner.unused)

    def test_no_grant_outlives_the_lease(self):
        grant = self.answer(1.0, 1, need=1.0, prefetch=2.0, end=1.2)
        self.assertAlmostEqual(0.2, grant.ttl_s)
        self.assertIsNone(self.answer(1.2, 2, need=1.0, end=1.2))

    def test_a_shorter_life_does_not_shorten_the_previous_one(self):
        self.answer(1.0, 1, need=4.0, prefetch=2.0)
        self.answer(1.1, 2, held=4.0, need=1.0, end=1.2)
        self.owner.change_limit(quota.RateLimit(10.0, 5.0), now=1.5)
        self.assertGreaterEqual(self.owner.unused, 4.0)

    def test_ignores_another_epoch(self):
        self.assertIsNone(self.answer(1.0, 1, need=1.0, epoch=3))

    def test_handover_blocks_until_its_tokens_lapse(self):
        owner = quota_owner.Owner(
            SLOT,
            3,
            quota.RateLimit(10.0, 5.0),
            now=0.0,
            handover=quota.Handover(1.0, 4.0),
        )
        owner.change_limit(quota.RateLimit(10.0, 5.0), now=0.5)
        self.assertEqual(1.0, owner.level)
