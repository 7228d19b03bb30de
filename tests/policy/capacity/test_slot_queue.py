"""Tests of the queue in front of a target: bursts, slow targets, retries."""

import bisect
import heapq
import unittest

from eelgrasswalk import verdict
from eelgrasswalk.document import model
from eelgrasswalk.policy import admission
from eelgrasswalk.policy.capacity import slot_queue

SETTINGS = slot_queue.SlotSettings(max_utilization=1.0)


def build_candidate(
    call_id: int,
    *,
    importance: model.Importance = model.Importance.NORMAL,
    objective_at: float = 1.0,
    deadline: float = 5.0,
    depth: int = 0,
    route: str = 'browse',
    root_hash: float = 0.0,
    route_importance: int = 0,
) -> slot_queue.Candidate:
    return slot_queue.Candidate(
        call_id=call_id,
        importance=importance,
        account='',
        root_hash=root_hash,
        root_started_at=0.0,
        deadline=deadline,
        depth=depth,
        route=route,
        objective_at=objective_at,
        route_importance=route_importance,
    )


def build_busy(slots: int = 1, service_s: float = 0.1) -> slot_queue.SlotQueue:
    """Return a queue with a known service time and no free slot at 0."""
    queue = slot_queue.SlotQueue(SETTINGS, slots=slots)
    for call_id in range(1000, 1100):
        queue.offer(build_candidate(call_id, deadline=9e9), -service_s)
        queue.finish(call_id, 0.0, ok=True)
    for call_id in range(2000, 2000 + slots):
        queue.offer(build_candidate(call_id, deadline=9e9), 0.0)
    return queue


class SlotQueueTest(unittest.TestCase):
    def test_free_slot_starts_at_once(self) -> None:
        queue = slot_queue.SlotQueue(SETTINGS, slots=2)
        self.assertEqual(
            [admission.Start(1)], queue.offer(build_candidate(1), 0.0)
        )

    def test_some_slots_are_left_free(self) -> None:
        queue = slot_queue.SlotQueue(slot_queue.SlotSettings(), slots=17)
        self.assertLess(queue.limit, 17)
        self.assertGreaterEqual(queue.limit, 15)

    def test_no_slot_of_a_small_target_is_left_free(self) -> None:
        for slots in (1, 2, 7):
            queue = slot_queue.SlotQueue(
                slot_queue.SlotSettings(), slots=slots
            )
            self.assertEqual(slots, queue.limit)

    def test_small_target_serves_what_its_slots_can(self) -> None:
        """Replays steady calls that use nine tenths of two slots."""
        queue = slot_queue.SlotQueue(slot_queue.SlotSettings(), slots=2)
        service_s = 0.3
        ends: list[tuple[float, int]] = []
        started = 0
        for call_id in range(400):
            now = call_id * service_s / 1.8
            actions: list[admission.Action] = []
            while ends and ends[0][0] <= now:
                end, ended = heapq.heappop(ends)
                actions += queue.finish(ended, end, ok=True)
            actions += queue.offer(
                build_candidate(
                    call_id, objective_at=now + 1.0, deadline=now + 3.0
                ),
                now,
            )
            for action in actions:
                if isinstance(action, admission.Start):
                    started += 1
                    heapq.heappush(ends, (now + service_s, action.call_id))
        self.assertGreater(started, 0.97 * 400)

    def test_nested_calls_go_before_root_calls(self) -> None:
        queue = build_busy()
        queue.offer(
            build_candidate(1, importance=model.Importance.CRITICAL), 0.0
        )
        queue.offer(build_candidate(2, depth=1), 0.0)
        self.assertEqual(
            [admission.Start(2)], queue.finish(2000, 0.1, ok=True)
        )

    def test_route_decides_among_equally_important_accounts(self) -> None:
        queue = build_busy()
        queue.offer(build_candidate(1, depth=1, route_importance=2), 0.0)
        queue.offer(build_candidate(2, depth=1, route_importance=0), 0.0)
        self.assertEqual(
            [admission.Start(2)], queue.finish(2000, 0.1, ok=True)
        )

    def test_more_important_goes_first(self) -> None:
        queue = build_busy()
        queue.offer(build_candidate(1), 0.0)
        queue.offer(
            build_candidate(2, importance=model.Importance.CRITICAL), 0.0
        )
        self.assertEqual(
            [admission.Start(2)], queue.finish(2000, 0.1, ok=True)
        )

    def test_least_slack_goes_first(self) -> None:
        queue = build_busy()
        queue.offer(build_candidate(1, objective_at=2.0), 0.0)
        queue.offer(build_candidate(2, objective_at=0.5), 0.0)
        self.assertEqual(
            [admission.Start(2)], queue.finish(2000, 0.1, ok=True)
        )

    def test_burst_is_refused_beyond_what_meets_the_objective(self) -> None:
        """Calls that would miss their objective must not be queued."""
        queue = build_busy(slots=1, service_s=0.1)
        refused = []
        for call_id in range(30):
            refused += queue.offer(build_candidate(call_id), 0.0)
        self.assertTrue(
            all(
                isinstance(action, admission.Refuse)
                and action.reason is verdict.Reason.OVERLOAD
                and action.retry_after_s > 0.0
                for action in refused
            )
        )
        self.assertGreaterEqual(queue.queued, 7)
        self.assertLessEqual(queue.queued, 10)

    def test_everything_admitted_is_answered_in_time(self) -> None:
        queue = build_busy(slots=1, service_s=0.1)
        for call_id in range(30):
            queue.offer(build_candidate(call_id), 0.0)
        now = 0.1
        running = 2000
        while True:
            actions = queue.finish(running, now, ok=True)
            starts = [a for a in actions if isinstance(a, admission.Start)]
            if not starts:
                break
            running = starts[0].call_id
            now += 0.1
        self.assertEqual(0, queue.queued)
        self.assertLessEqual(now, 1.0 + 1e-9)

    def test_slow_target_refuses_calls_that_would_be_late(self) -> None:
        queue = build_busy(slots=1, service_s=0.1)
        queue.offer(build_candidate(1), 0.0)
        at = queue.next_event_at()
        assert at is not None
        self.assertLess(at, 1.0)
        actions = queue.expire(at)
        self.assertEqual([1], [action.call_id for action in actions])
        self.assertIsInstance(actions[0], admission.Refuse)

    def test_nested_call_may_wait_until_its_deadline(self) -> None:
        queue = build_busy(slots=1, service_s=0.1)
        queue.offer(build_candidate(1, depth=1, objective_at=0.0), 0.0)
        self.assertEqual(1, queue.queued)

    def test_nested_overload_is_ordered_by_root_hash(self) -> None:
        """All calls of some roots succeed rather than some calls of all."""
        queue = build_busy(slots=1, service_s=0.1)
        for call_id in range(15):
            queue.offer(build_candidate(call_id, depth=1, root_hash=0.9), 0.0)
        queue.offer(build_candidate(100, depth=1, root_hash=0.1), 0.0)
        self.assertEqual(
            [admission.Start(100)], queue.finish(2000, 0.05, ok=True)
        )

    def test_nested_overload_shortens_the_wait(self) -> None:
        queue = build_busy(slots=1, service_s=0.1)
        refused = []
        for call_id in range(60):
            refused += queue.offer(build_candidate(call_id, depth=1), 0.0)
        # By their deadlines alone, 48 could wait.
        self.assertLess(queue.queued, 40)

    def test_slow_moment_of_the_host_does_not_distort_the_mean(self) -> None:
        queue = build_busy(slots=1, service_s=0.1)
        queue.finish(2000, 0.1, ok=True)
        queue.slowdown = 2.5
        for call_id in range(40):
            queue.offer(build_candidate(call_id), 0.1)
            queue.finish(call_id, 0.35, ok=True)
        self.assertAlmostEqual(0.25, queue.estimate_service('browse') or 0.0)
        queue.slowdown = 1.0
        self.assertAlmostEqual(0.1, queue.estimate_service('browse') or 0.0)

    def test_start_is_expected_when_running_calls_end(self) -> None:
        queue = build_busy(slots=1, service_s=0.1)
        self.assertAlmostEqual(0.1, queue.estimate_start(0.0))
        self.assertAlmostEqual(0.04, queue.estimate_start(0.06))
        queue.offer(build_candidate(1), 0.06)
        self.assertAlmostEqual(0.14, queue.estimate_start(0.06))
        # The running call is a long one.
        self.assertAlmostEqual(0.2, queue.estimate_start(0.11))

    def test_start_is_expected_at_once_with_a_free_slot(self) -> None:
        queue = build_busy(slots=2)
        queue.finish(2000, 0.1, ok=True)
        self.assertEqual(0.0, queue.estimate_start(0.1))

    def test_service_of_a_route_without_calls_is_unknown(self) -> None:
        """The mean over other routes would pass for a fast target."""
        self.assertIsNone(build_busy().estimate_service('other'))

    def test_cancelled_call_leaves_the_queue(self) -> None:
        queue = build_busy()
        queue.offer(build_candidate(1), 0.0)
        queue.cancel(1, 0.05)
        self.assertEqual([], queue.finish(2000, 0.1, ok=True))
        self.assertEqual(0.0, queue.estimate_backlog(0.1))

    def test_call_with_too_little_time_is_refused(self) -> None:
        queue = build_busy(slots=2, service_s=0.1)
        queue.finish(2001, 0.1, ok=True)
        actions = queue.offer(build_candidate(1, deadline=0.14), 0.1)
        assert isinstance(actions[0], admission.Refuse)
        self.assertIs(verdict.Reason.DEADLINE, actions[0].reason)

    def test_calls_that_time_out_together_refuse_no_others(self) -> None:
        """Replays a few endless answers beside calls of the same route."""
        queue = slot_queue.SlotQueue(SETTINGS, slots=60)
        slow = range(1000, 1012)
        for call_id in slow:
            queue.offer(build_candidate(call_id, deadline=3.0), 0.0)
        for call_id in range(100):
            now = 0.03 * call_id
            offered = build_candidate(call_id, deadline=now + 0.6)
            self.assertEqual(
                [admission.Start(call_id)], queue.offer(offered, now)
            )
            queue.finish(call_id, now + 0.01, ok=True)
        for call_id in slow:
            offered = build_candidate(call_id + 100, deadline=3.6)
            self.assertEqual(
                [admission.Start(call_id + 100)], queue.offer(offered, 3.0)
            )
            queue.finish(call_id, 3.0, ok=True)

    def test_slow_target_refuses_short_calls_once_half_is_used(self) -> None:
        """Replays a target that hangs, which short calls must not fill."""
        queue = slot_queue.SlotQueue(SETTINGS, slots=8)
        for call_id in range(100):
            queue.offer(build_candidate(call_id, deadline=9e9), -1.0)
            queue.finish(call_id, 0.0, ok=True)
        actions = [
            queue.offer(build_candidate(call_id, deadline=0.4), 0.0)[0]
            for call_id in range(1000, 1006)
        ]
        self.assertEqual(
            [admission.Start] * 4 + [admission.Refuse] * 2,
            [type(action) for action in actions],
        )

    def test_call_with_half_the_expected_time_is_started(self) -> None:
        queue = build_busy(slots=2, service_s=0.1)
        queue.finish(2001, 0.1, ok=True)
        self.assertEqual(
            [admission.Start(1)],
            queue.offer(build_candidate(1, deadline=0.16), 0.1),
        )

    def test_resize_ends_a_drain(self) -> None:
        queue = slot_queue.SlotQueue(SETTINGS, slots=1)
        queue.drain(0.0)
        refused = queue.offer(build_candidate(1), 0.0)
        self.assertIsInstance(refused[0], admission.Refuse)
        queue.resize(1)
        self.assertEqual(
            [admission.Start(2)], queue.offer(build_candidate(2), 0.0)
        )


class NamedRateTest(unittest.TestCase):
    """Replays a target that names far fewer calls than its slots run."""

    RATE = 10.0
    OFFERED_PER_S = 40
    SECONDS = 20

    def replay(
        self, *, objective_s: float = 1.2
    ) -> tuple[slot_queue.SlotQueue, dict[int, float], int]:
        """Return the queue, the start of each call and the refusals.

        Every fourth call is important.
        """
        queue = slot_queue.SlotQueue(SETTINGS, slots=125)
        queue.limit_rate(self.RATE, 0.0)
        starts: dict[int, float] = {}
        refused = 0
        events: list[tuple[float, int, str]] = [
            (number / self.OFFERED_PER_S, number, 'offer')
            for number in range(self.SECONDS * self.OFFERED_PER_S)
        ]
        heapq.heapify(events)
        while events:
            now, number, kind = heapq.heappop(events)
            if kind == 'offer':
                actions = queue.offer(
                    build_candidate(
                        number,
                        importance=(
                            model.Importance.NORMAL
                            if number % 4
                            else model.Importance.CRITICAL
                        ),
                        objective_at=now + objective_s,
                        deadline=now + 5.0,
                    ),
                    now,
                )
            elif kind == 'end':
                actions = queue.finish(number, now, ok=True)
            else:
                actions = queue.expire(now)
            for action in actions:
                if isinstance(action, admission.Start):
                    starts[action.call_id] = now
                    heapq.heappush(events, (now + 0.06, action.call_id, 'end'))
                else:
                    refused += 1
            due = queue.next_event_at()
            if due is not None:
                heapq.heappush(events, (max(now + 1e-6, due), 0, 'expire'))
        return queue, starts, refused

    def test_calls_start_at_the_named_rate(self) -> None:
        _, starts, refused = self.replay()
        times = sorted(starts.values())
        for index, first in enumerate(times):
            inside = bisect.bisect_left(times, first + 4.0) - index
            self.assertLessEqual(inside, 1.5 * 4.0 * self.RATE + 5.0)
        self.assertGreater(len(times), 0.95 * self.SECONDS * self.RATE)
        self.assertEqual(
            self.SECONDS * self.OFFERED_PER_S, len(times) + refused
        )

    def test_important_calls_use_the_rate_first(self) -> None:
        _, starts, _ = self.replay()
        offered = self.SECONDS * self.OFFERED_PER_S // 4
        important = sum(number % 4 == 0 for number in starts)
        self.assertGreater(important, 0.95 * offered)

    def test_started_calls_can_meet_their_objective(self) -> None:
        _, starts, _ = self.replay(objective_s=0.5)
        for number, started in starts.items():
            waited_s = started - number / self.OFFERED_PER_S
            self.assertLess(waited_s, 0.5)

    def test_load_tells_that_the_rate_is_used_up(self) -> None:
        queue = slot_queue.SlotQueue(SETTINGS, slots=125)
        queue.limit_rate(self.RATE, 0.0)
        queue.offer(build_candidate(1), 0.0)
        self.assertGreaterEqual(queue.compute_load(0.0), 1.0)

    def test_lifted_limit_starts_what_waits(self) -> None:
        queue = slot_queue.SlotQueue(SETTINGS, slots=125)
        queue.limit_rate(self.RATE, 0.0)
        queue.offer(build_candidate(1), 0.0)
        queue.offer(build_candidate(2), 0.0)
        self.assertEqual([admission.Start(2)], queue.limit_rate(None, 0.01))
