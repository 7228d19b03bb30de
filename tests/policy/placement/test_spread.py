"""Tests of load-aware selection of upstreams."""

import collections
import dataclasses
import random
import typing
import unittest

from eelgrasswalk import verdict
from eelgrasswalk.policy import target_failures
from eelgrasswalk.policy.placement import balance
from eelgrasswalk.policy.placement import spread


def build_upstreams(count: int = 4) -> list[balance.Upstream]:
    return [
        balance.Upstream(f'n{number}', f'dc{number}', 'leaf', slots=10)
        for number in range(count)
    ]


class LoadAwareBalancerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.random = random.Random(7)
        self.spread = spread.LoadAwareBalancer(
            spread.LoadAwareSettings(), data_centre='dc0'
        )
        self.spread.replace('leaf', build_upstreams(), 0.0)
        self.faults = collections.defaultdict(target_failures.TargetFailures)

    def test_leaving_run_gets_no_call_though_its_node_restarts(self) -> None:
        first = dataclasses.replace(build_upstreams(1)[0], run_id='i-1@1')
        self.spread.replace('leaf', [first], 0.0)
        self.spread.mark_leaving('n0', 'i-1@1')
        self.assertIsNone(self.spread.choose('leaf', 1.0, (0.5, 0.5)))
        self.spread.replace('leaf', [], 1.0)
        self.spread.replace('leaf', [first], 2.0)
        self.assertIsNone(self.spread.choose('leaf', 2.0, (0.5, 0.5)))
        new = dataclasses.replace(first, run_id='i-1@2')
        self.spread.replace('leaf', [new], 3.0)
        self.assertEqual('n0', self.choose(3.0))

    def choose(self, now: float = 10.0, **options: typing.Any) -> str:
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
        """Record a call as the only caller of the upstream's target."""
        response = verdict.Response(500 if failed else 200, (), b'')
        faults = self.faults[node_id]
        faults.observe(verdict.Answered(response), has_failed_call=False)
        self.spread.start(node_id, now)
        self.spread.finish(
            node_id,
            now,
            route='browse',
            outcome=outcome,
            latency_s=latency_s,
            load=load,
            failure_rate=faults.rate,
        )

    def count(self, calls: int = 400) -> collections.Counter[str]:
        return collections.Counter(self.choose() for _ in range(calls))

    def test_local_upstream_is_used_while_it_has_free_slots(self) -> None:
        self.assertEqual({'n0'}, set(self.count()))

    def test_calls_spill_over_from_a_loaded_local_upstream(self) -> None:
        self.report('n0', load=2.0)
        self.assertNotIn('n0', self.count())

    def test_slow_upstream_gets_less(self) -> None:
        for _ in range(60):
            self.report('n0', latency_s=0.8, load=0.8)
            for node_id in ('n1', 'n2', 'n3'):
                self.report(node_id, latency_s=0.1, load=0.2)
        self.assertNotIn('n0', self.count())

    def test_call_with_tight_deadline_uses_the_fastest_upstream(
        self,
    ) -> None:
        """The local upstream is idle but its expected latency is too high."""
        for _ in range(60):
            self.report('n0', latency_s=0.4, load=0.1)
            for node_id in ('n1', 'n2'):
                self.report(node_id, latency_s=0.2, load=0.1)
            self.report('n3', latency_s=0.1, load=0.1)
        self.assertEqual('n0', self.choose(route='browse', remaining_s=5.0))
        for _ in range(20):
            chosen = self.choose(route='browse', remaining_s=0.4)
            self.assertEqual('n3', chosen)

    def test_call_with_tight_deadline_avoids_a_full_upstream(self) -> None:
        for _ in range(60):
            for node_id in ('n0', 'n1', 'n2'):
                self.report(node_id, latency_s=0.2, load=0.1)
            self.report('n3', latency_s=0.15, load=1.5)
        self.assertNotEqual('n3', self.choose(route='browse', remaining_s=0.4))

    def test_failing_upstream_is_used_only_as_last_resort(self) -> None:
        for _ in range(60):
            self.report('n0', failed=True, load=0.5)
            for node_id in ('n1', 'n2', 'n3'):
                self.report(node_id, load=0.2)
        self.assertNotIn('n0', self.count())
        only = self.choose(excluded={'n1', 'n2', 'n3'})
        self.assertEqual('n0', only)

    def test_upstream_whose_target_refuses_gets_less(self) -> None:
        """A target may refuse calls although it has free slots."""
        for _ in range(10):
            self.report('n0', outcome=balance.Outcome.REFUSED, failed=True)
            for node_id in ('n1', 'n2', 'n3'):
                self.report(node_id)
        for _ in range(5):
            self.spread.start('n0', 10.0)
        self.assertNotIn('n0', self.count())

    def finish_once(self, *, failure_rate: float | None) -> None:
        self.spread.start('n0', 10.0)
        self.spread.finish(
            'n0',
            10.0,
            route='browse',
            outcome=balance.Outcome.FAILED,
            latency_s=0.1,
            load=0.1,
            failure_rate=failure_rate,
        )

    def test_one_report_of_a_failing_target_is_enough(self) -> None:
        """The reported rate covers the calls of all callers."""
        self.finish_once(failure_rate=0.8)
        self.assertNotIn('n0', self.count())

    def test_idle_local_upstream_that_fails_sometimes_is_avoided(self) -> None:
        self.finish_once(failure_rate=0.25)
        self.assertNotIn('n0', self.count())

    def test_two_refusals_outweigh_a_little_speed(self) -> None:
        """One upstream is faster but refuses calls; the other is slower."""
        self.spread.replace('leaf', build_upstreams(2), 0.0)
        for _ in range(20):
            self.report('n0', latency_s=0.1)
            self.report('n1', latency_s=0.13)
        for _ in range(2):
            self.report('n0', outcome=balance.Outcome.REFUSED, failed=True)
        self.assertNotIn('n0', self.count())

    def test_failing_target_is_tried_again(self) -> None:
        self.finish_once(failure_rate=0.8)
        self.assertEqual('n0', self.choose(60.0))

    def test_failures_that_the_upstream_cannot_report_count_too(self) -> None:
        for _ in range(20):
            self.finish_once(failure_rate=None)
        self.assertNotIn('n0', self.count())

    def test_failures_of_all_upstreams_do_not_change_the_choice(self) -> None:
        for _ in range(60):
            for node_id in ('n0', 'n1', 'n2', 'n3'):
                self.report(node_id, failed=True, load=0.2)
        self.assertEqual({'n0'}, set(self.count()))

    def test_unreachable_upstream_is_avoided_for_a_while(self) -> None:
        self.spread.mark_unreachable('n0', 10.0)
        self.assertNotEqual('n0', self.choose(10.1))
        self.assertEqual('n0', self.choose(11.0))

    def test_unreachable_upstream_is_chosen_if_all_are(self) -> None:
        for node_id in ('n0', 'n1', 'n2', 'n3'):
            self.spread.mark_unreachable(node_id, 10.0)
        self.choose(10.1)

    def test_leaving_upstream_gets_nothing(self) -> None:
        self.report('n0', outcome=balance.Outcome.LEAVING)
        self.assertNotIn('n0', self.count())

    def test_unresponsive_upstream_is_avoided(self) -> None:
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
