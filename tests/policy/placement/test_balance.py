"""Tests of the latency-aware balancer."""

import collections
import random
import unittest

from eelgrasswalk.policy.placement import balance

Outcome = balance.Outcome


def make_upstreams(
    count: int, data_centre: str = 'dc1'
) -> list[balance.Upstream]:
    return [
        balance.Upstream(f'{data_centre}-n{index}', data_centre, 'leaf')
        for index in range(count)
    ]


class BalancerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.balancer = balance.Balancer(
            balance.BalanceSettings(), data_centre='dc1', node_id='me'
        )
        self.rng = random.Random(4)
        self.now = 0.0

    def choose(self, *, excluded: frozenset[str] = frozenset()) -> str | None:
        pair = (self.rng.random(), self.rng.random())
        found = self.balancer.choose('leaf', self.now, pair, excluded=excluded)
        return None if found is None else found.node_id

    def finish(
        self,
        node_id: str,
        outcome: Outcome = Outcome.ANSWERED,
        latency_s: float = 0.01,
        queue_delay_s: float = 0.0,
    ) -> None:
        self.balancer.finish(
            node_id,
            self.now,
            outcome=outcome,
            latency_s=latency_s,
            queue_delay_s=queue_delay_s,
        )

    def run_calls(
        self, count: int, latencies: dict[str, float] | None = None
    ) -> collections.Counter[str]:
        """Run calls at 1000 a second and count them by upstream."""
        counts: collections.Counter[str] = collections.Counter()
        running: list[tuple[float, str, float]] = []
        for _ in range(count):
            self.now += 0.001
            for call in [c for c in running if c[0] <= self.now]:
                running.remove(call)
                self.finish(call[1], latency_s=call[2])
            node_id = self.choose()
            assert node_id is not None
            counts[node_id] += 1
            latency_s = (latencies or {}).get(node_id, 0.01)
            self.balancer.start(node_id, self.now)
            running.append((self.now + latency_s, node_id, latency_s))
        return counts

    def test_no_upstream(self) -> None:
        self.assertIsNone(self.choose())
        self.balancer.replace('leaf', make_upstreams(1), self.now)
        self.assertIsNone(self.choose(excluded=frozenset({'dc1-n0'})))

    def test_spreads_over_equal_upstreams(self) -> None:
        self.balancer.replace('leaf', make_upstreams(4), self.now)
        counts = self.run_calls(2000)
        self.assertEqual(len(counts), 4)
        self.assertLess(max(counts.values()), 700)

    def test_new_upstream_starts_slowly(self) -> None:
        self.balancer.replace('leaf', make_upstreams(3), self.now)
        self.run_calls(1000)
        self.balancer.replace('leaf', make_upstreams(4), self.now)
        counts = self.run_calls(500)
        self.assertLess(counts['dc1-n3'], 125)
        self.run_calls(3000)
        self.assertGreater(self.run_calls(1000)['dc1-n3'], 150)

    def test_slow_upstream_gets_less(self) -> None:
        self.balancer.replace('leaf', make_upstreams(4), self.now)
        counts = self.run_calls(3000, {'dc1-n0': 0.1})
        self.assertLess(counts['dc1-n0'], 300)
        self.assertGreater(counts['dc1-n0'], 0)

    def test_fast_answers_attract_no_extra_calls(self) -> None:
        self.balancer.replace('leaf', make_upstreams(4), self.now)
        counts = self.run_calls(3000, {'dc1-n0': 0.0001})
        self.assertLess(counts['dc1-n0'], 1500)

    def test_local_data_centre_is_preferred_until_spillover(self) -> None:
        local, remote = make_upstreams(2), make_upstreams(2, 'dc2')
        self.balancer.replace('leaf', local + remote, self.now)
        counts = self.run_calls(200)
        self.assertTrue(all(name.startswith('dc1') for name in counts))
        for upstream in local:
            self.balancer.start(upstream.node_id, self.now)
            self.finish(upstream.node_id, queue_delay_s=0.5)
        counts = self.run_calls(20)
        self.assertTrue(any(name.startswith('dc2') for name in counts))

    def test_ejection_is_bounded(self) -> None:
        upstreams = make_upstreams(6)
        self.balancer.replace('leaf', upstreams, self.now)
        for upstream in upstreams:
            for _ in range(10):
                self.balancer.start(upstream.node_id, self.now)
                self.finish(upstream.node_id, Outcome.FAILED)
        ejected = self.balancer.list_ejected('leaf', self.now)
        self.assertEqual(len(ejected), 2)
        self.assertIsNotNone(self.choose())
        self.assertEqual(self.balancer.list_ejected('leaf', 2.0), [])

    def test_ejections_grow_only_while_others_answer(self) -> None:
        for others_answer, ejected_s in ((False, 1.0), (True, 4.0)):
            self.setUp()
            self.balancer.replace('leaf', make_upstreams(3), self.now)
            for _ in range(3):
                self.now += 10.0
                for _ in range(5):
                    for name in ('dc1-n0', 'dc1-n1', 'dc1-n2'):
                        failed = name == 'dc1-n0' or not others_answer
                        outcome = Outcome.ANSWERED
                        self.balancer.start(name, self.now)
                        if failed:
                            outcome = Outcome.FAILED
                        self.finish(name, outcome)
            for waited_s, expected in ((0.9, 1), (1.1, 0)):
                at = self.now + waited_s * ejected_s
                ejected = self.balancer.list_ejected('leaf', at)
                self.assertEqual(len(ejected), expected)

    def test_stalled_upstream_is_avoided(self) -> None:
        self.balancer.replace('leaf', make_upstreams(2), self.now)
        self.run_calls(2000, {'dc1-n0': 1e9})
        counts = self.run_calls(500, {'dc1-n0': 1e9})
        self.assertLess(counts['dc1-n0'], 25)

    def test_leaving_upstream_gets_no_new_call(self) -> None:
        self.balancer.replace('leaf', make_upstreams(2), self.now)
        self.balancer.start('dc1-n0', self.now)
        self.finish('dc1-n0', Outcome.LEAVING)
        self.assertEqual(set(self.run_calls(100)), {'dc1-n1'})

    def test_upstream_that_has_left_is_tried_again(self) -> None:
        """With a static member list, no update announces its restart."""
        self.balancer.replace('leaf', make_upstreams(1), self.now)
        self.balancer.start('dc1-n0', self.now)
        self.finish('dc1-n0', Outcome.LEAVING)
        self.assertIsNone(self.choose())
        self.now += balance.BalanceSettings().leaving_cooldown_s
        self.assertEqual('dc1-n0', self.choose())

    def test_subset_is_bounded_and_spread_over_callers(self) -> None:
        upstreams = make_upstreams(40) + make_upstreams(40, 'dc2')
        seen: collections.Counter[str] = collections.Counter()
        for index in range(40):
            self.balancer = balance.Balancer(
                balance.BalanceSettings(subset_size=8),
                data_centre='dc1',
                node_id=f'caller-{index}',
            )
            self.balancer.replace('leaf', upstreams, self.now)
            counts = self.run_calls(100)
            self.assertLessEqual(len(counts), 8)
            seen.update(counts.keys())
        self.assertGreater(len(seen), 30)
