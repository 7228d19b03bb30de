import unittest

from eelgrasswalk.policy import lease
from eelgrasswalk.policy import quota
from eelgrasswalk.policy import quota_holder
from eelgrasswalk.policy import quota_messages

SLOT = quota.Slot('account', 0)


class HolderTest(unittest.TestCase):
    def setUp(self):
        self.account = quota_holder.AccountTokens(
            lease.Process('h', 1), 'account', quota.RateLimit(10.0, 5.0)
        )
        self.slot_tokens = self.account.by_slot[0]
        self.locate(1, 'a', 'b')

    def locate(self, epoch, owner, standby, now=0.0):
        location = quota_messages.Location(SLOT, epoch, owner, standby)
        return self.slot_tokens.update_location(location, now=now)

    def grant(self, request, tokens, now, *, ttl_s=0.5, wait_s=0.0):
        return self.slot_tokens.accept(
            quota_messages.Grant(
                SLOT,
                request.epoch,
                request.sequence,
                tokens,
                ttl_s,
                0.0,
                wait_s,
            ),
            now=now,
        )

    def test_uses_a_granted_token(self):
        self.assertEqual(quota.NeedTokens(), self.account.admit(0.0))
        action = self.account.plan_request(1, now=0.0)
        self.assertEqual('a', action.node_id)
        self.assertTrue(self.grant(action.message, 1.0, 0.01))
        self.assertEqual(quota.Admitted(), self.account.take(0.01))

    def test_ttl_starts_with_the_request(self):
        action = self.account.plan_request(1, now=0.0)
        self.grant(action.message, 2.0, 0.4)
        self.assertEqual(2.0, self.account.count(0.49))
        self.assertEqual(0.0, self.account.count(0.5))

    def test_a_late_answer_is_not_used(self):
        first = self.account.plan_request(1, now=0.0).message
        self.assertTrue(self.account.expire_requests(1.0))
        self.account.plan_request(1, now=2.0)
        self.assertFalse(self.grant(first, 1.0, 2.0))
        self.assertEqual(0.0, self.account.count(2.0))

    def test_asks_the_standby_of_an_unresponsive_owner(self):
        self.account.plan_request(1, now=0.0)
        self.account.expire_requests(1.0)
        self.assertEqual('b', self.account.plan_request(1, now=1.0).node_id)

    def test_refuses_at_once_while_all_slots_are_empty(self):
        action = self.account.plan_request(1, now=0.0)
        self.grant(action.message, 0.0, 0.01, wait_s=0.3)
        refused = self.account.take(0.11)
        self.assertAlmostEqual(0.2, refused.retry_after_s)

    def test_waits_for_the_first_answer_of_an_owner(self):
        """After a start of the mesh, slots have no owner for a moment."""
        self.account.plan_request(1, now=0.0)
        self.account.expire_requests(1.0)
        self.account.plan_request(1, now=1.0)
        self.account.expire_requests(2.0)
        self.assertEqual(quota.NeedTokens(), self.account.take(2.0))

    def test_drops_tokens_of_an_earlier_epoch(self):
        action = self.account.plan_request(1, now=0.0)
        self.grant(action.message, 2.0, 0.01)
        self.assertTrue(self.locate(2, 'b', '', now=0.02))
        self.assertEqual(0.0, self.account.count(0.02))
        self.assertFalse(self.locate(1, 'a', '', now=0.02))

    def test_returns_unused_tokens(self):
        action = self.account.plan_request(2, now=0.0)
        self.grant(action.message, 2.0, 0.01)
        self.account.take(0.01)
        (returned,) = self.account.return_tokens(0.02, force=True)
        self.assertEqual(
            (1.0, 0.0), (returned.message.used, returned.message.held)
        )
        self.assertEqual(0.0, self.account.count(0.02))
