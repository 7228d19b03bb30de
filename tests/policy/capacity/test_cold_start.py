"""Tests of the limit on the starts of calls at a cold target."""

import bisect
import random
import unittest

from eelgrasswalk.policy.capacity import cold_start

SETTINGS = cold_start.ColdSettings(
    per_s=5.5, start_s=20.0, overage=1.5, slack=8.0
)


def count_most(starts: list[float]) -> int:
    """Return the most starts in any closed window of one second."""
    return max(
        (
            bisect.bisect_right(starts, first + 1.0) - index
            for index, first in enumerate(starts)
        ),
        default=0,
    )


def compute_bound(settings: cold_start.ColdSettings) -> float:
    return settings.per_s * settings.overage + settings.slack


def offer(
    cold: cold_start.ColdStart,
    source: random.Random,
    *,
    begin: float,
    end: float,
    calls_per_s: float,
) -> list[float]:
    """Replay many independent callers; return when calls started."""
    starts = []
    now = begin + source.expovariate(calls_per_s)
    while now < end:
        if cold.may_start(now):
            cold.take(now)
            starts.append(now)
        now += source.expovariate(calls_per_s)
    return starts


def build_cold(
    settings: cold_start.ColdSettings = SETTINGS, now: float = 0.0
) -> cold_start.ColdStart:
    """Return one whose process has started with a target set."""
    cold = cold_start.ColdStart(settings)
    cold.begin_run(now)
    return cold


def build_warm(now: float) -> cold_start.ColdStart:
    """Return one whose target has said long ago that it is warm."""
    cold = build_cold(now=now - 100.0)
    cold.confirm_warm(now - 99.0, now - 99.0)
    return cold


class ColdStartTest(unittest.TestCase):
    def test_full_load_keeps_to_the_limit_and_uses_it(self) -> None:
        """Replays a target that starts cold under 300 calls a second."""
        for seed in range(5):
            with self.subTest(seed=seed):
                starts = offer(
                    build_cold(),
                    random.Random(seed),
                    begin=0.0,
                    end=19.0,
                    calls_per_s=300.0,
                )
                self.assertLessEqual(count_most(starts), SETTINGS.limit)
                self.assertGreaterEqual(len(starts), 0.95 * 19 * 8)

    def test_restarts_of_the_node_keep_to_the_bound(self) -> None:
        """A restarted node has forgotten what it sent a moment before."""
        for settings in (
            SETTINGS,
            cold_start.ColdSettings(20.0, 20.0, 1.5, 8.0),
            cold_start.ColdSettings(3.0, 20.0, 1.0, 0.0),
            cold_start.ColdSettings(0.5, 20.0, 2.0, 1.0),
        ):
            for seed in range(20):
                source = random.Random(seed)
                starts: list[float] = []
                begin = 0.0
                while begin < 15.0:
                    end = begin + source.uniform(1.0, 5.0)
                    starts += offer(
                        build_cold(settings, begin),
                        source,
                        begin=begin,
                        end=end,
                        calls_per_s=400.0,
                    )
                    begin = end + source.uniform(0.0, 0.3)
                with self.subTest(settings=settings, seed=seed):
                    self.assertLessEqual(
                        count_most(starts), compute_bound(settings)
                    )
                    self.assertTrue(starts)

    def test_at_least_one_call_starts(self) -> None:
        settings = cold_start.ColdSettings(0.3, 20.0, 1.0, 2.0)
        cold = build_cold(settings)
        starts = offer(
            cold, random.Random(1), begin=0.0, end=10.0, calls_per_s=50.0
        )
        self.assertEqual(1, count_most(starts))

    def test_target_that_becomes_cold_under_load_gets_a_pause(self) -> None:
        """The calls of the last second were not limited."""
        cold = build_warm(0.0)
        offer(cold, random.Random(1), begin=0.0, end=5.0, calls_per_s=300.0)
        cold.announce(10.0, 5.0)
        starts = offer(
            cold, random.Random(2), begin=5.0, end=14.0, calls_per_s=300.0
        )
        self.assertGreaterEqual(starts[0], 6.0)
        self.assertLessEqual(count_most(starts), SETTINGS.limit)

    def test_warm_target_is_not_limited(self) -> None:
        cold = build_warm(0.0)
        for _ in range(1000):
            self.assertTrue(cold.may_start(0.0))
            cold.take(0.0)

    def test_service_without_cold_targets_is_not_limited(self) -> None:
        cold = cold_start.ColdStart(None)
        cold.begin_run(0.0)
        cold.announce(9.0, 0.0)
        for _ in range(1000):
            self.assertTrue(cold.may_start(0.1))
            cold.take(0.1)
        self.assertFalse(cold.is_cold(0.1))
        self.assertFalse(cold.is_idle(100.0))
        self.assertEqual(0.0, cold.compute_left(0.1))

    def test_assumption_ends_by_itself(self) -> None:
        """Without any response, the target would be limited for ever."""
        cold = build_cold()
        self.assertTrue(cold.is_unsettled(19.9))
        self.assertFalse(cold.is_cold(20.0))
        self.assertFalse(cold.is_unsettled(20.0))

    def test_response_asked_for_before_the_event_proves_nothing(
        self,
    ) -> None:
        cold = build_warm(0.0)
        cold.assume(5.0)
        self.assertFalse(cold.confirm_warm(4.9, 5.1))
        self.assertTrue(cold.is_unsettled(5.1))
        cold.confirm_cold(30.0, 4.9, 5.1)
        self.assertTrue(cold.is_unsettled(5.1))
        self.assertAlmostEqual(30.0, cold.compute_left(5.1))
        self.assertTrue(cold.confirm_warm(5.2, 5.3))
        self.assertFalse(cold.is_cold(5.3))

    def test_response_replaces_the_assumption(self) -> None:
        cold = build_cold()
        cold.confirm_cold(3.0, 0.1, 0.2)
        self.assertFalse(cold.is_unsettled(0.2))
        self.assertTrue(cold.is_cold(3.1))
        self.assertFalse(cold.is_cold(3.2))

    def test_check_in_without_coldness_does_not_show_a_warm_target(
        self,
    ) -> None:
        """It may have been sent before the event."""
        cold = build_cold()
        cold.announce(0.0, 1.0)
        self.assertTrue(cold.is_cold(1.0))

    def test_late_check_in_does_not_shorten_coldness(self) -> None:
        cold = build_cold()
        cold.confirm_cold(10.0, 0.1, 0.1)
        self.assertFalse(cold.announce(2.0, 1.0))
        self.assertAlmostEqual(9.1, cold.compute_left(1.0))

    def test_check_in_that_begins_or_extends_coldness_is_news(self) -> None:
        cold = build_warm(0.0)
        self.assertTrue(cold.announce(5.0, 0.0))
        cold.confirm_cold(5.0, 0.1, 0.1)
        self.assertFalse(cold.announce(3.7, 1.5))
        self.assertTrue(cold.announce(8.0, 1.5))
        self.assertTrue(cold.is_unsettled(1.5))

    def test_longest_coldness_is_bounded(self) -> None:
        cold = build_warm(0.0)
        cold.announce(1e9, 0.0)
        self.assertEqual(cold_start.MAX_COLD_S, cold.compute_left(0.0))

    def test_pause_without_calls_makes_the_target_doubtful(self) -> None:
        cold = build_warm(0.0)
        cold.take(0.0)
        self.assertFalse(cold.is_idle(1.4))
        self.assertTrue(cold.is_idle(1.5))
        cold.assume(1.5)
        self.assertFalse(cold.is_idle(1.5))
        self.assertTrue(cold.may_start(1.5))

    def test_new_run_has_had_no_calls(self) -> None:
        cold = build_warm(0.0)
        cold.take(0.0)
        cold.begin_run(0.1)
        self.assertTrue(cold.may_start(0.1))

    def test_call_that_waited_for_a_connection_is_counted_when_sent(
        self,
    ) -> None:
        """Connections that open together would let calls out in a burst."""
        cold = build_cold()
        taken = []
        for number in range(16):
            now = 1.0 + number / 7.9
            if cold.may_start(now):
                cold.take(now)
                taken.append(now)
        sent = [now for now in taken if cold.move(now, 3.2)]
        self.assertEqual(SETTINGS.limit, len(sent))
        self.assertFalse(cold.may_start(3.3))

    def test_call_admitted_while_warm_is_counted_when_sent(self) -> None:
        cold = build_warm(0.0)
        cold.assume(0.2)
        sent = [cold.move(0.1, 0.3) for _ in range(20)]
        self.assertEqual(SETTINGS.limit, sum(sent))

    def test_limits_that_arrive_after_the_target_hold(self) -> None:
        """A node hears of its target before the configuration is read."""
        cold = cold_start.ColdStart(None)
        cold.begin_run(0.0)
        cold.take(4.9)
        cold.change_settings(SETTINGS, 5.0)
        self.assertFalse(cold.may_start(5.1))
        self.assertTrue(cold.may_start(6.1))
        self.assertTrue(cold.is_unsettled(6.1))
        self.assertFalse(cold.is_cold(20.0))

    def test_wait_tells_when_a_call_may_start(self) -> None:
        cold = build_cold()
        for number in range(8):
            cold.take(2.0 + number / 100)
        self.assertAlmostEqual(0.5, cold.compute_wait(2.5), places=6)
        self.assertFalse(cold.may_start(3.0))
        self.assertTrue(cold.may_start(3.000_001))
