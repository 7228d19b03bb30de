"""Tests of expected finish times: uneven speeds, waits and old reports."""

import dataclasses
import math
import random
import typing
import unittest

from eelgrasswalk.policy.placement import balance
from eelgrasswalk.policy.placement import finish_time
from eelgrasswalk.policy.placement import spread

NOW = 10.0


class ReportTest(unittest.TestCase):
    def estimate(
        self, *, now: float = NOW, sent: int = 0, load: float = 1.0
    ) -> float:
        report = finish_time.Report(0.3, 1.5, NOW)
        return report.estimate(0.1, now, sent=sent, slots=2, load=load)

    def test_call_ends_after_its_wait_and_its_service(self) -> None:
        self.assertAlmostEqual(0.45, self.estimate())

    def test_wait_passes(self) -> None:
        self.assertAlmostEqual(0.25, self.estimate(now=NOW + 0.2))
        self.assertAlmostEqual(0.15, self.estimate(now=NOW + 0.9))

    def test_clock_that_goes_back_adds_no_wait(self) -> None:
        self.assertAlmostEqual(0.45, self.estimate(now=NOW - 5.0))

    def test_calls_since_the_report_wait_before_it(self) -> None:
        self.assertAlmostEqual(0.45 + 3 * 0.075, self.estimate(sent=3))

    def test_target_with_free_slots_costs_less(self) -> None:
        """Otherwise all callers fill the fastest target at once."""
        costs = [self.estimate(load=load) for load in (0.0, 0.5, 1.0)]
        self.assertEqual(sorted(costs), costs)
        self.assertLess(costs[0], costs[-1])

    def test_report_is_used_for_a_second(self) -> None:
        report = finish_time.Report(0.0, 1.0, NOW)
        self.assertTrue(report.is_new(NOW + 1.0))
        self.assertFalse(report.is_new(NOW + 1.01))
        self.assertFalse(finish_time.NO_REPORT.is_new(-math.inf + NOW))


class RouteMeansTest(unittest.TestCase):
    def setUp(self) -> None:
        self.means = finish_time.RouteMeans()

    def record(self, service_s: float, route: str) -> finish_time.Report:
        times = finish_time.Times(0.0, service_s)
        return self.means.record('leaf', route, times, NOW)

    def test_slowness_holds_for_calls_of_other_routes(self) -> None:
        """Reports of short and of long routes must be comparable."""
        for _ in range(400):
            for slowness in (0.5, 1.5):
                short = self.record(0.1 * slowness, 'short')
                long = self.record(2.0 * slowness, 'long')
            self.assertAlmostEqual(short.slowness, long.slowness)
        self.assertAlmostEqual(1.5, short.slowness, delta=0.05)

    def test_first_report_does_not_outweigh_the_next(self) -> None:
        for service_s in (9.0, *[0.1] * 80):
            self.record(service_s, 'short')
        mean_s = self.means.find('leaf', 'short')
        assert mean_s is not None
        self.assertLess(mean_s, 0.3)

    def test_memory_is_bounded(self) -> None:
        for number in range(2 * finish_time.MAX_ROUTES + 1):
            self.record(0.1, f'route-{number}')
        self.assertIsNone(self.means.find('leaf', 'route-0'))
        self.assertIsNone(self.means.find('other', 'short'))


class SpreadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.random = random.Random(7)
        self.spread = self.build({'n0': 'dc0', 'n1': 'dc0'})

    def build(self, places: dict[str, str]) -> spread.LoadAwareBalancer:
        built = spread.LoadAwareBalancer(
            spread.LoadAwareSettings(), data_centre='dc0'
        )
        built.replace(
            'leaf',
            [
                balance.Upstream(node_id, data_centre, 'leaf', slots=10)
                for node_id, data_centre in places.items()
            ],
            0.0,
        )
        return built

    def report(
        self,
        node_id: str,
        times: tuple[float, float] | None,
        *,
        load: float = 0.5,
        now: float = NOW,
        **options: typing.Any,
    ) -> None:
        self.spread.start(node_id, now)
        fields: dict[str, typing.Any] = {
            'route': 'browse',
            'outcome': balance.Outcome.ANSWERED,
            'latency_s': 0.1,
            'load': load,
            'failure_rate': 0.0,
            'times': None if times is None else finish_time.Times(*times),
        }
        self.spread.finish(node_id, now, **(fields | options))

    def choose(self, now: float = NOW, **options: typing.Any) -> set[str]:
        """Return the ids of all that are chosen."""
        found = set()
        for _ in range(60):
            pair = (self.random.random(), self.random.random())
            chosen = self.spread.choose(
                'leaf', now, pair, route='browse', **options
            )
            assert chosen is not None
            found.add(chosen.node_id)
        return found

    def test_faster_upstream_is_chosen_though_its_load_is_higher(self) -> None:
        self.report('n0', (0.0, 0.05), load=0.9)
        self.report('n1', (0.0, 0.16), load=0.4)
        self.assertEqual({'n0'}, self.choose())

    def test_upstream_with_less_work_left_is_chosen(self) -> None:
        """The load counts calls, however long they take."""
        self.report('n0', (0.8, 0.1), load=1.0)
        self.report('n1', (0.1, 0.1), load=1.1)
        self.assertEqual({'n1'}, self.choose())

    def test_load_decides_unless_both_reports_are_new(self) -> None:
        self.report('n0', (0.0, 0.05), load=0.9, now=NOW - 1.1)
        # The load of an old report counts less.
        self.report('n1', (0.0, 0.16), load=0.1)
        self.assertEqual({'n1'}, self.choose())

    def test_load_decides_unless_both_tell_their_times(self) -> None:
        """Nodes of an earlier release and plain targets tell none."""
        self.report('n0', (0.0, 0.05), load=0.9)
        self.report('n1', None, load=0.4)
        self.assertEqual({'n1'}, self.choose())

    def test_target_that_states_no_slowdown_any_more_is_not_compared(
        self,
    ) -> None:
        self.report('n0', (0.0, 0.05), load=0.9)
        self.report('n1', (0.0, 0.16), load=0.4)
        self.report('n0', None, load=0.9)
        self.assertEqual({'n1'}, self.choose())

    def test_load_decides_for_a_route_without_reports(self) -> None:
        self.report('n0', (0.0, 0.05), load=0.9)
        self.report('n1', (0.0, 0.16), load=0.4)
        pair = (0.1, 0.9)
        chosen = self.spread.choose('leaf', NOW, pair, route='other')
        assert chosen is not None
        self.assertEqual('n1', chosen.node_id)

    def test_calls_sent_meanwhile_spread_the_next(self) -> None:
        """One report must not draw all calls until the next one."""
        self.report('n0', (0.0, 0.1))
        self.report('n1', (0.0, 0.105))
        self.assertEqual({'n0'}, self.choose())
        for _ in range(2):
            self.spread.start('n0', NOW)
        self.assertEqual({'n1'}, self.choose())

    def test_failing_upstream_is_avoided_though_it_ends_sooner(self) -> None:
        self.report('n0', (0.0, 0.05), failure_rate=1.0)
        self.report('n1', (0.0, 0.1))
        self.assertEqual({'n1'}, self.choose())

    def test_remote_upstream_must_end_clearly_sooner(self) -> None:
        for remote_s, expected in ((0.12, 'n0'), (0.08, 'n1')):
            self.spread = self.build({'n0': 'dc0', 'n1': 'dc1'})
            self.report('n0', (0.0, 0.15), load=1.5)
            self.report('n1', (0.0, remote_s), load=1.5)
            with self.subTest(remote_s):
                self.assertEqual({expected}, self.choose())

    def test_local_upstream_with_free_slots_is_used_as_before(self) -> None:
        self.spread = self.build({'n0': 'dc0', 'n1': 'dc1'})
        self.report('n0', (0.0, 0.15), load=0.5)
        self.report('n1', (0.0, 0.02), load=0.5)
        self.assertEqual({'n0'}, self.choose())

    def test_run_that_replaces_another_has_no_report(self) -> None:
        self.report('n0', (0.0, 0.05), load=0.9)
        self.report('n1', (0.0, 0.16), load=0.4)
        new = balance.Upstream('n0', 'dc0', 'leaf', 10, run_id='i-1@2')
        kept = balance.Upstream('n1', 'dc0', 'leaf', slots=10)
        self.spread.replace('leaf', [new, kept], NOW)
        new = dataclasses.replace(new, cold_until=NOW + 9.0)
        self.spread.replace('leaf', [new, kept], NOW)
        self.assertEqual({'n1'}, self.choose())
