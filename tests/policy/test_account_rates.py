"""Tests for fleet-wide rate limit of client accounts."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from eelgrasswalk.policy import account_rates

SLACK = account_rates.Slack(overage=0.1, tokens=20.0, window_s=5.0)


class ChooseOwnerTest(unittest.TestCase):
    def test_node_order_does_not_matter(self) -> None:
        nodes = [f'n{number}' for number in range(16)]
        self.assertEqual(
            account_rates.choose_owner('lake', nodes),
            account_rates.choose_owner('lake', reversed(nodes)),
        )

    def test_removing_a_node_moves_only_its_own_accounts(self) -> None:
        nodes = [f'n{number}' for number in range(16)]
        for number in range(50):
            account = f'a{number}'
            before = account_rates.choose_owner(account, nodes)
            after = account_rates.choose_owner(account, nodes[1:])
            if before != nodes[0]:
                self.assertEqual(before, after)

    def test_no_owner_without_nodes(self) -> None:
        self.assertIsNone(account_rates.choose_owner('lake', []))


class PeekTest(unittest.TestCase):
    def peek(
        self, owned: account_rates.OwnedAccounts, now: float
    ) -> float | None:
        return owned.peek('lake', now, rate=50.0, burst=50.0)

    def grant(
        self, owned: account_rates.OwnedAccounts, wanted: int, now: float
    ) -> int:
        return owned.grant(
            'lake', [wanted], now, rate=50.0, burst=50.0, slack=SLACK
        ).tokens

    def test_peeking_makes_no_bucket(self) -> None:
        """A bucket that a question makes would start to refill too early."""
        asked = account_rates.OwnedAccounts(0.0)
        other = account_rates.OwnedAccounts(0.0)
        self.assertIsNone(self.peek(asked, 1.0))
        self.assertIsNone(self.peek(asked, 2.0))
        self.assertEqual(
            self.grant(other, 100, 3.0), self.grant(asked, 100, 3.0)
        )

    def test_peeking_tells_what_is_left(self) -> None:
        owned = account_rates.OwnedAccounts(0.0)
        self.grant(owned, 100, 0.0)
        self.assertEqual(self.peek(owned, 0.5), self.peek(owned, 0.5))
        left = self.peek(owned, 0.5)
        assert left is not None
        self.assertEqual(int(left), self.grant(owned, 100, 0.5))

    def test_handover_slows_the_refill(self) -> None:
        """The figure must follow the lower rate after a change of owners."""
        usual = account_rates.OwnedAccounts(-60.0)
        joined = account_rates.OwnedAccounts(-60.0)
        joined.change_owners(lambda account: True, 0.0, has_joined=True)
        for owned in (usual, joined):
            self.grant(owned, 100, 0.0)
        usual_left = self.peek(usual, 0.2)
        joined_left = self.peek(joined, 0.2)
        assert usual_left is not None and joined_left is not None
        self.assertLess(joined_left, usual_left)


class OwnedAccountsTest(unittest.TestCase):
    def test_new_owner_starts_with_a_small_fill(self) -> None:
        owned = account_rates.OwnedAccounts(0.0)
        grant = owned.grant(
            'lake', [100], 0.0, rate=50.0, burst=50.0, slack=SLACK
        )
        initial = account_rates.compute_initial_tokens(
            50.0, burst=50.0, slack=SLACK
        )
        self.assertEqual(int(initial), grant.tokens)

    def test_three_new_owners_in_a_window_stay_within_the_tolerated_excess(
        self,
    ) -> None:
        """Burst, five seconds at the rate and three owners' initial fill.

        A part is left for nodes that reach no owner.
        """
        for rate, burst in ((5.0, 1.0), (50.0, 50.0), (400.0, 800.0)):
            regular = burst + 5.0 * rate
            initial = account_rates.compute_initial_tokens(
                rate, burst=burst, slack=SLACK
            )
            left = 1.1 * regular + 20.0 - regular - 3.0 * initial
            self.assertGreaterEqual(left, initial)

    def test_owner_of_a_small_account_starts_with_tokens(self) -> None:
        """All processes are killed, and a caller with few calls returns."""
        initial = account_rates.compute_initial_tokens(
            2.0, burst=4.0, slack=SLACK
        )
        self.assertEqual(4.0, initial)

    def test_regained_account_starts_with_a_small_fill(self) -> None:
        owned = account_rates.OwnedAccounts(0.0)
        owned.grant('lake', [1], 0.0, rate=50.0, burst=50.0, slack=SLACK)
        owned.change_owners(lambda account: False, 60.0)
        grant = owned.grant(
            'lake', [100], 60.0, rate=50.0, burst=50.0, slack=SLACK
        )
        self.assertLessEqual(
            grant.tokens,
            account_rates.compute_initial_tokens(
                50.0, burst=50.0, slack=SLACK
            ),
        )

    def count_during_handover(
        self, rate: float, burst: float, overlap_s: float
    ) -> float:
        """Return the tokens that two owners grant in five seconds.

        The account asks for far more than its rate. The owner before has
        saved up the burst, and learns of the new one after the overlap.
        """
        before = account_rates.OwnedAccounts(-60.0)
        after = account_rates.OwnedAccounts(-60.0)
        after.change_owners(lambda account: True, 0.0, has_joined=True)
        granted = 0
        for step in range(500):
            now = step / 100.0
            owners = [after, before] if now < overlap_s else [after]
            for owner in owners:
                granted += owner.grant(
                    'lake', [10_000], now, rate=rate, burst=burst, slack=SLACK
                ).tokens
        return granted

    def test_two_owners_at_a_time_stay_within_the_tolerated_excess(
        self,
    ) -> None:
        """A node joins, and nodes learn at different times what it owns.

        Both owners granted the whole rate until then, which exceeds what a
        window allows.
        """
        for rate, burst in ((5.0, 1.0), (50.0, 50.0), (129.0, 129.0)):
            allowed = 1.1 * (burst + 5.0 * rate) + 20.0
            granted = self.count_during_handover(rate, burst, 0.9)
            self.assertLessEqual(granted, allowed, msg=(rate, burst))
        granted = self.count_during_handover(1000.0, 1000.0, 0.9)
        self.assertLessEqual(granted, 1.1 * 6000.0 + 20.0)

    def test_account_within_its_rate_is_not_refused_during_handover(
        self,
    ) -> None:
        """Its calls move to the new owner while nodes learn of it."""
        owned = account_rates.OwnedAccounts(-60.0)
        owned.change_owners(lambda account: True, 0.0, has_joined=True)
        refused = 0
        asked = 0.0
        for step in range(1, 300):
            now = step / 100.0
            moved = min(1.0, now / 0.9)
            asked += 0.9 * 1.29 * moved
            wanted, asked = int(asked), asked % 1.0
            grant = owned.grant(
                'lake', [wanted], now, rate=129.0, burst=129.0, slack=SLACK
            )
            refused += wanted - grant.tokens
        self.assertEqual(0, refused)

    def test_bucket_refills_from_the_change_of_owner_not_the_first_call(
        self,
    ) -> None:
        owned = account_rates.OwnedAccounts(0.0)
        grant = owned.grant(
            'lake', [100], 10.0, rate=50.0, burst=50.0, slack=SLACK
        )
        self.assertEqual(50, grant.tokens)

    def test_account_that_returns_soon_does_not_get_its_burst_twice(
        self,
    ) -> None:
        owned = account_rates.OwnedAccounts(0.0)
        owned.grant('lake', [50], 10.0, rate=10.0, burst=50.0, slack=SLACK)
        owned.keep_only(frozenset(), 11.0, unused_s=SLACK.window_s)
        grant = owned.grant(
            'lake', [50], 12.0, rate=10.0, burst=50.0, slack=SLACK
        )
        self.assertEqual(20, grant.tokens)

    def test_bucket_of_a_removed_account_is_dropped(self) -> None:
        owned = account_rates.OwnedAccounts(0.0)
        owned.grant('lake', [50], 10.0, rate=1.0, burst=50.0, slack=SLACK)
        owned.keep_only(frozenset(), 15.1, unused_s=SLACK.window_s)
        owned.change_owners(lambda account: True, 15.1)
        grant = owned.grant(
            'lake', [1], 15.1, rate=1.0, burst=0.5, slack=SLACK
        )
        self.assertEqual(0, grant.tokens)

    def test_refusal_carries_the_wait_for_the_next_token(self) -> None:
        owned = account_rates.OwnedAccounts(0.0)
        initial = account_rates.compute_initial_tokens(
            10.0, burst=10.0, slack=SLACK
        )
        owned.grant(
            'lake', [int(initial)], 0.0, rate=10.0, burst=10.0, slack=SLACK
        )
        grant = owned.grant(
            'lake', [1], 0.0, rate=10.0, burst=10.0, slack=SLACK
        )
        self.assertEqual(0, grant.tokens)
        self.assertAlmostEqual(0.1, grant.wait_s, places=3)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 1.0), strategies.integers(1, 30)
            ),
            max_size=100,
        )
    )
    def test_no_window_exceeds_rate_and_burst(
        self, requests: list[tuple[float, int]]
    ) -> None:
        owned = account_rates.OwnedAccounts(0.0)
        now = 0.0
        granted: list[tuple[float, int]] = []
        for pause, wanted in requests:
            now += pause
            grant = owned.grant(
                'lake', [wanted], now, rate=20.0, burst=10.0, slack=SLACK
            )
            granted.append((now, grant.tokens))
        for end, _ in granted:
            window = sum(n for at, n in granted if end - 5.0 <= at <= end)
            self.assertLessEqual(window, 20.0 * 5.0 + 10.0 + 1e-6)


class DelayedReductionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reductions = account_rates.DelayedReductions(1.5)
        self.old = account_rates.RateLimit(90.0, 90.0)
        self.new = account_rates.RateLimit(30.0, 30.0)
        self.change(self.old, 0.0)

    def change(
        self, limit: account_rates.RateLimit | None, now: float
    ) -> None:
        self.newest = limit
        limits = {} if limit is None else {'lake': limit}
        self.reductions.change_limits(limits, now)

    def find(self, now: float) -> account_rates.RateLimit:
        assert self.newest is not None
        return self.reductions.find_limit('lake', self.newest, now)

    def test_reduction_applies_after_the_grace_period(self) -> None:
        self.change(self.new, 10.0)
        self.assertEqual(self.old, self.find(10.0))
        self.assertEqual(self.old, self.find(11.4))
        self.assertEqual(self.new, self.find(11.5))
        self.assertEqual(self.new, self.find(11.6))

    def test_increase_applies_at_once(self) -> None:
        higher = account_rates.RateLimit(100.0, 100.0)
        self.change(higher, 10.0)
        self.assertEqual(higher, self.find(10.0))

    def test_reduction_reverted_within_the_grace_period(self) -> None:
        self.change(self.new, 10.0)
        self.change(self.old, 10.5)
        self.assertEqual(self.old, self.find(10.5))
        self.assertEqual(self.old, self.find(20.0))

    def test_limit_of_a_new_account_applies_at_once(self) -> None:
        found = self.reductions.find_limit('creek', self.new, 0.0)
        self.assertEqual(self.new, found)

    def test_old_limit_of_a_quiet_account_ends_before_its_next_call(
        self,
    ) -> None:
        """The grace period begins with the change, not with a look at it."""
        self.change(self.new, 10.0)
        self.assertEqual(self.new, self.find(22.0))

    def test_other_changes_do_not_renew_the_grace_period(self) -> None:
        self.change(self.new, 10.0)
        self.change(self.new, 11.0)
        self.assertEqual(self.old, self.find(11.4))
        self.assertEqual(self.new, self.find(11.5))

    def test_each_of_two_reductions_has_its_own_grace_period(self) -> None:
        lowest = account_rates.RateLimit(5.0, 5.0)
        self.change(self.new, 10.0)
        self.change(lowest, 11.0)
        self.assertEqual(self.old, self.find(11.4))
        self.assertEqual(self.new, self.find(11.5))
        self.assertEqual(lowest, self.find(12.5))

    def test_increase_between_does_not_cut_the_grace_period(self) -> None:
        between = account_rates.RateLimit(60.0, 60.0)
        self.change(self.new, 10.0)
        self.change(between, 11.0)
        self.assertEqual(self.old, self.find(11.4))
        self.assertEqual(between, self.find(11.5))
        self.change(self.new, 30.0)
        self.assertEqual(between, self.find(31.4))
        self.assertEqual(self.new, self.find(31.5))

    def test_account_that_returns_has_its_new_limit(self) -> None:
        self.change(None, 10.0)
        self.change(self.new, 20.0)
        self.assertEqual(self.new, self.find(20.0))


class FallbackTest(unittest.TestCase):
    def test_unreachable_owner_leaves_only_the_slack(self) -> None:
        """The owner is partitioned from all other nodes and still grants."""
        nodes = 16
        rate = 100.0
        fallback = (nodes - 1) * account_rates.compute_fallback_rate(
            rate, nodes=nodes, is_dead=False, slack=SLACK
        )
        window = 5.0 * (rate + fallback) + rate
        bound = 1.1 * (5.0 * rate + rate) + 20.0
        self.assertLessEqual(window, bound)

    def test_dead_owner_leaves_most_of_the_rate(self) -> None:
        nodes = 16
        fallback = (nodes - 1) * account_rates.compute_fallback_rate(
            100.0, nodes=nodes, is_dead=True, slack=SLACK
        )
        self.assertGreater(fallback, 80.0)
        self.assertLessEqual(fallback, 100.0)

    def test_fallback_bucket_starts_without_a_token(self) -> None:
        buckets = account_rates.FallbackBuckets()
        self.assertEqual(0, self.take(buckets, 0.0, random_value=0.0))
        self.assertEqual(1, self.take(buckets, 0.21, random_value=0.0))
        buckets.reset('lake')
        self.assertEqual(0, self.take(buckets, 9.0, random_value=0.99))

    def take(
        self,
        buckets: account_rates.FallbackBuckets,
        now: float,
        *,
        random_value: float,
    ) -> int:
        grant = buckets.take(
            'lake', 0, now, rate=5.0, random_value=random_value
        )
        return grant.tokens

    def test_many_nodes_use_their_rate_from_the_start(self) -> None:
        """The owner of small accounts goes dark for three seconds.

        Each of 64 nodes may admit a call in 13 s; together they may admit
        five a second.
        """
        source = random.Random(3)
        accounts = 40
        rate = account_rates.compute_fallback_rate(
            15.0, nodes=64, is_dead=False, slack=SLACK
        )
        granted = 0
        for _ in range(64):
            buckets = account_rates.FallbackBuckets()
            for account in range(accounts):
                for tenth in range(30):
                    granted += buckets.take(
                        str(account),
                        0,
                        tenth / 10.0,
                        rate=rate,
                        random_value=source.random(),
                    ).tokens
        allowed = accounts * 64 * rate * 3.0
        self.assertGreaterEqual(granted, 0.8 * allowed)
        self.assertLessEqual(granted, 1.1 * allowed)
