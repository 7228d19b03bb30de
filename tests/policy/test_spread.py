"""Tests of the choice of upstreams by their load."""

import collections
import random
import unittest

from eelgrasswalk.policy import balance
from eelgrasswalk.policy import spread


def build_upstreams(count: int = 4) -> list[balance.Upstream]:
    return [
        balance.Upstream(f'n{number}', f'dc{number}', 'leaf', slots=10)
        for number in range(count)
    ]


class SpreadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.random = random.Random(7)
        self.spread = spread.Spread(spread.SpreadSettings(), data_centre='dc0')
        self.spread.replace('leaf', build_upstreams(), 0.0)

    def choose(self, now: float = 10.0, **options: set[str]) -> str:
        pair = (self.random.random(), self.random.random())
        chosen = self.spread.choose('leaf', now, pair, **options)
        assert chosen is not None
        return chosen.node_id

    def report(
        self,
        node_id: str,
        *,
        load: float = 0.0,
        latency_s: float = 0.1,
        failed: bool = False,
        outcome: balance.Outcome = balance.Outcome.ANSWERED,
        now: float = 10.0,
    ) -> None:
        self.spread.start(node_id, now)
        self.spread.finish(
            node_id,
            now,
            route='browse',
            outcome=outcome,
            latency_s=latency_s,
            load=load,
            failed=failed,
        )

    def count(self, calls: int = 400) -> collections.Counter[str]:
        return collections.Counter(self.choose() for _ in range(calls))

    def test_near_upstream_is_taken_while_it_has_room(self) -> None:
        self.assertEqual({'n0'}, set(self.count()))

    def test_loaded_near_upstream_spills(self) -> None:
        self.report('n0', load=2.0)
        self.assertNotIn('n0', self.count())

    def test_slow_upstream_gets_less(self) -> None:
        for _ in range(60):
            self.report('n0', latency_s=0.8, load=0.8)
            for node_id in ('n1', 'n2', 'n3'):
                self.report(node_id, latency_s=0.1, load=0.2)
        self.assertNotIn('n0', self.count())

    def test_failing_upstream_gets_less_but_not_nothing_left(self) -> None:
        for _ in range(60):
            self.report('n0', failed=True, load=0.5)
            for node_id in ('n1', 'n2', 'n3'):
                self.report(node_id, load=0.2)
        self.assertNotIn('n0', self.count())
        only = self.choose(excluded={'n1', 'n2', 'n3'})
        self.assertEqual('n0', only)

    def test_upstream_whose_target_refuses_gets_less(self) -> None:
        """Grey targets refuse calls though they have room."""
        for _ in range(10):
            self.report('n0', outcome=balance.Outcome.REFUSED, failed=True)
            for node_id in ('n1', 'n2', 'n3'):
                self.report(node_id)
        for _ in range(5):
            self.spread.start('n0', 10.0)
        self.assertNotIn('n0', self.count())

    def test_service_that_fails_as_a_whole_is_spread_as_before(self) -> None:
        for _ in range(60):
            for node_id in ('n0', 'n1', 'n2', 'n3'):
                self.report(node_id, failed=True, load=0.2)
        self.assertEqual({'n0'}, set(self.count()))

    def test_unreachable_upstream_is_avoided_for_a_while(self) -> None:
        self.spread.mark_down('n0', 10.0)
        self.assertNotEqual('n0', self.choose(10.1))
        self.assertEqual('n0', self.choose(11.0))

    def test_all_unreachable_are_better_than_none(self) -> None:
        for node_id in ('n0', 'n1', 'n2', 'n3'):
            self.spread.mark_down(node_id, 10.0)
        self.choose(10.1)

    def test_leaving_upstream_gets_nothing(self) -> None:
        self.report('n0', outcome=balance.Outcome.LEAVING)
        self.assertNotIn('n0', self.count())

    def test_silent_upstream_is_avoided(self) -> None:
        self.spread.start('n0', 10.0)
        self.assertNotEqual('n0', self.choose(11.0))

    def test_own_calls_count_until_the_next_report(self) -> None:
        for _ in range(20):
            self.spread.start('n0', 10.0)
        self.assertNotIn('n0', self.count())

    def test_removed_upstream_is_not_chosen(self) -> None:
        self.spread.replace('leaf', build_upstreams()[1:], 10.0)
        self.assertNotIn('n0', self.count())

    def test_unknown_service_has_no_upstream(self) -> None:
        self.assertIsNone(self.spread.choose('none', 0.0, (0.0, 0.0)))
