"""Tests of the choice among upstreams with cold targets."""

import collections
import dataclasses
import random
import typing
import unittest

from eelgrasswalk.policy.placement import balance
from eelgrasswalk.policy.placement import spread
from tests.policy.placement import test_spread


class ColdSpreadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.random = random.Random(7)
        self.spread = spread.LoadAwareBalancer(
            spread.LoadAwareSettings(), data_centre='dc0'
        )
        self.upstreams = test_spread.build_upstreams()
        self.spread.replace('leaf', self.upstreams, 0.0)

    def choose(self, now: float, **options: typing.Any) -> str:
        pair = (self.random.random(), self.random.random())
        chosen = self.spread.choose('leaf', now, pair, **options)
        assert chosen is not None
        return chosen.node_id

    def count(self, now: float) -> collections.Counter[str]:
        return collections.Counter(self.choose(now) for _ in range(400))

    def replace_cold(self, until: dict[str, float], now: float) -> None:
        self.upstreams = [
            dataclasses.replace(each, cold_until=until[each.node_id])
            if each.node_id in until
            else each
            for each in self.upstreams
        ]
        self.spread.replace('leaf', self.upstreams, now)

    def finish(
        self,
        node_id: str,
        now: float,
        cold_s: float | None,
        outcome: balance.Outcome = balance.Outcome.REFUSED,
    ) -> None:
        self.spread.start(node_id, now)
        self.spread.finish(
            node_id,
            now,
            route='browse',
            outcome=outcome,
            latency_s=0.1,
            load=0.1,
            failure_rate=0.0,
            cold_s=cold_s,
        )

    def test_warm_remote_target_goes_before_a_cold_local_one(self) -> None:
        self.replace_cold({'n0': 20.0, 'n1': 20.0}, 10.0)
        self.assertEqual({'n2', 'n3'}, set(self.count(10.0)))
        self.assertIn('n0', self.count(20.0))

    def test_cold_targets_are_chosen_when_there_are_no_others(self) -> None:
        self.replace_cold({f'n{number}': 20.0 for number in range(4)}, 10.0)
        chosen = {
            self.choose(10.0, excluded={'n0', *excluded})
            for excluded in ({'n1'}, {'n2'}, {'n1', 'n2'})
        }
        self.assertLessEqual({'n3'}, chosen)
        self.assertEqual('n0', self.choose(10.0))

    def test_cold_target_is_left_for_a_call_that_warm_ones_refused(
        self,
    ) -> None:
        self.replace_cold({'n0': 20.0}, 10.0)
        excluded = {'n1', 'n2', 'n3'}
        self.assertEqual('n0', self.choose(10.0, excluded=excluded))

    def test_refusal_tells_callers_that_a_target_is_cold(self) -> None:
        """The entry may be late, or the store away."""
        self.finish('n0', 10.0, 5.0)
        self.assertNotIn('n0', self.count(14.9))
        self.assertIn('n0', self.count(15.0))

    def test_answer_tells_that_a_target_is_warm(self) -> None:
        self.finish('n0', 10.0, 500.0)
        self.finish('n0', 11.0, None)
        self.assertNotIn('n0', self.count(11.0))
        self.finish('n0', 12.0, 0.0, balance.Outcome.ANSWERED)
        self.assertIn('n0', self.count(12.0))

    def test_same_entry_read_again_is_no_news(self) -> None:
        self.replace_cold({'n0': 20.0}, 10.0)
        self.finish('n0', 11.0, 0.0, balance.Outcome.ANSWERED)
        self.replace_cold({'n0': 20.0}, 12.0)
        self.assertIn('n0', self.count(12.0))

    def test_coldness_keeps_what_is_known_of_an_upstream(self) -> None:
        """Its calls in flight would be forgotten otherwise."""
        for _ in range(30):
            self.spread.start('n0', 10.0)
        self.replace_cold({'n0': 10.5}, 10.0)
        self.assertNotIn('n0', self.count(10.6))

    def test_targets_of_a_lifted_evacuation_are_taken_for_cold(self) -> None:
        self.spread.assume_cold(['n0', 'n1', 'unknown'], 30.0)
        self.assertEqual({'n2', 'n3'}, set(self.count(29.9)))
        self.spread.assume_cold(['n0'], 20.0)
        self.assertNotIn('n0', self.count(25.0))
        self.assertIn('n0', self.count(30.0))

    def test_callers_do_not_crowd_on_the_first_warm_target(self) -> None:
        """Replays 40 callers of 8 targets that become warm in turn."""
        upstreams = [
            balance.Upstream(
                f'n{number}', 'dc0', 'leaf', 10, cold_until=10.0 + number
            )
            for number in range(8)
        ]
        callers = [
            spread.LoadAwareBalancer(
                spread.LoadAwareSettings(), data_centre='dc0'
            )
            for _ in range(40)
        ]
        for caller in callers:
            caller.replace('leaf', upstreams, 0.0)
        calls: collections.Counter[str] = collections.Counter()
        for number in range(2000):
            now = 13.5 + number / 10_000
            chosen = callers[number % 40].choose(
                'leaf', now, (self.random.random(), self.random.random())
            )
            assert chosen is not None
            calls[chosen.node_id] += 1
            callers[number % 40].start(chosen.node_id, now)
        self.assertEqual({'n0', 'n1', 'n2', 'n3'}, set(calls))
        self.assertLess(max(calls.values()), 1.3 * 2000 / 4)
