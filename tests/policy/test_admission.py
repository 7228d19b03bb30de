"""Tests of admission control."""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from eelgrasswalk import verdict
from eelgrasswalk.document import model
from eelgrasswalk.policy import admission

Importance = model.Importance
Reason = verdict.Reason


def make_candidate(
    call_id: int,
    importance: Importance = Importance.NORMAL,
    account: str = 'a',
    *,
    root_hash: float = 0.0,
    root_started_at: float = 0.0,
    deadline: float = 100.0,
    depth: int = 0,
) -> admission.Candidate:
    return admission.Candidate(
        call_id,
        importance,
        account,
        root_hash,
        root_started_at,
        deadline,
        depth,
    )


def find_started(actions: list[admission.Action]) -> list[int]:
    return [a.call_id for a in actions if isinstance(a, admission.Start)]


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.admission = self.make_busy(1)

    def make_busy(self, slots: int) -> admission.Admission:
        """Return an admission control with all slots in use."""
        settings = admission.AdmissionSettings(min_queue_length=8)
        made = admission.Admission(settings, slots=slots)
        for index in range(made.limit):
            made.offer(make_candidate(-1 - index), 0.0)
        return made

    def drain_order(self) -> list[int]:
        order: list[int] = []
        running = -1
        while self.admission.in_flight:
            actions = self.admission.finish(running, 0.01, ok=True)
            for call_id in find_started(actions):
                order.append(call_id)
                running = call_id
        return order

    def test_orders_by_importance_then_depth_then_root_start(self) -> None:
        offers = (
            make_candidate(1, Importance.LOW, depth=3),
            make_candidate(2, root_started_at=1.0),
            make_candidate(3, root_started_at=2.0, depth=1),
            make_candidate(4, root_started_at=1.5, depth=2),
            make_candidate(5, Importance.CRITICAL, root_started_at=9.0),
        )
        for candidate in offers:
            self.assertEqual(self.admission.offer(candidate, 0.0), [])
        self.assertEqual(self.drain_order(), [5, 4, 3, 2, 1])

    def test_fair_between_accounts(self) -> None:
        for index in range(6):
            self.admission.offer(make_candidate(index, account='big'), 0.0)
        self.admission.offer(make_candidate(10, account='small'), 0.0)
        self.assertIn(10, self.drain_order()[:2])

    def test_least_important_is_shed_first(self) -> None:
        for index in range(8):
            self.admission.offer(make_candidate(index, Importance.LOW), 0.0)
        actions = self.admission.offer(
            make_candidate(9, Importance.CRITICAL), 0.0
        )
        self.assertEqual(len(actions), 1)
        assert isinstance(actions[0], admission.Refuse)
        self.assertEqual(actions[0].reason, Reason.OVERLOAD)
        self.assertLess(actions[0].call_id, 8)
        self.assertGreater(actions[0].retry_after_s, 0.0)
        self.assertEqual(self.drain_order()[0], 9)

    def test_largest_queue_of_an_importance_is_shed_first(self) -> None:
        self.admission.offer(make_candidate(20, account='small'), 0.0)
        for index in range(8):
            self.admission.offer(make_candidate(index, account='big'), 0.0)
        self.assertIn(20, self.drain_order())

    def test_cancelled_call_leaves_the_queue(self) -> None:
        self.admission.offer(make_candidate(1), 0.0)
        self.assertEqual(
            self.admission.cancel(1, 0.0),
            [admission.Refuse(1, Reason.CALLER_GONE, 0.0)],
        )
        self.assertEqual(self.admission.cancel(-1, 0.0), [])
        self.assertEqual(self.admission.finish(-1, 0.1, ok=True), [])

    def test_refuses_call_that_cannot_meet_its_deadline(self) -> None:
        made = admission.Admission(admission.AdmissionSettings(), slots=4)
        now = 0.0
        for index in range(40):
            made.offer(make_candidate(index), now)
            now += 0.2
            made.finish(index, now, ok=True)
        made.offer(make_candidate(100), now)
        actions = made.offer(make_candidate(101, deadline=now + 0.1), now)
        self.assertEqual(
            actions, [admission.Refuse(101, Reason.DEADLINE, 0.0)]
        )

    def test_queue_delay_is_bounded(self) -> None:
        self.admission.offer(make_candidate(1), 0.0)
        at = self.admission.next_event_at()
        assert at is not None
        self.assertEqual(len(self.admission.expire(at)), 1)
        self.assertIsNone(self.admission.next_event_at())

    def test_resize_before_the_first_call_keeps_the_cold_start(self) -> None:
        made = admission.Admission(admission.AdmissionSettings(), slots=1)
        made.resize(100)
        self.assertEqual(made.limit, 20)

    def test_drain_keeps_running_and_queued_calls(self) -> None:
        self.admission.offer(make_candidate(1), 0.0)
        self.assertEqual(self.admission.drain(0.0), [])
        self.assertEqual(
            self.admission.offer(make_candidate(2), 0.0),
            [admission.Refuse(2, Reason.LEAVING, 0.0)],
        )
        self.assertEqual(self.drain_order(), [1])

    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(
        slots=strategies.integers(1, 6),
        steps=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ('offer', 'offer', 'finish', 'cancel', 'expire', 'size')
                ),
                strategies.integers(0, 30),
                strategies.sampled_from(Importance),
                strategies.sampled_from('abc'),
                strategies.floats(0.0, 0.1),
                strategies.integers(0, 2),
            ),
            max_size=120,
        ),
    )
    def test_invariants(self, slots: int, steps: list[tuple]) -> None:
        made = admission.Admission(admission.AdmissionSettings(), slots=slots)
        waiting: dict[int, admission.Candidate] = {}
        running: set[int] = set()
        final: collections.Counter[int] = collections.Counter()
        now = 0.0
        next_id = 0
        for kind, pick, importance, account, elapsed, depth in steps:
            now += elapsed
            actions: list[admission.Action] = []
            if kind == 'offer':
                candidate = make_candidate(
                    next_id,
                    importance,
                    account,
                    root_hash=pick / 31,
                    root_started_at=now,
                    deadline=now + pick / 100,
                    depth=depth,
                )
                waiting[next_id] = candidate
                next_id += 1
                actions = made.offer(candidate, now)
            elif kind == 'finish' and running:
                call_id = sorted(running)[pick % len(running)]
                running.remove(call_id)
                actions = made.finish(call_id, now, ok=pick % 5 > 0)
            elif kind == 'cancel' and next_id:
                actions = made.cancel(pick % next_id, now)
            elif kind == 'expire':
                actions = made.expire(now)
            elif kind == 'size':
                slots = max(slots, 1 + pick % 6)
                made.resize(slots)
            self.check_actions(actions, waiting, running, final, now)
            self.assertLessEqual(made.limit, slots)
            self.assertLessEqual(made.in_flight, slots)
            self.assertEqual(made.in_flight, len(running))
            self.assertEqual(made.queued, len(waiting))
        now += 1000.0
        self.check_actions(made.expire(now), waiting, running, final, now)
        self.assertEqual(made.queued, 0)
        self.assertEqual(
            final, collections.Counter({i: 1 for i in range(next_id)})
        )

    def check_actions(
        self,
        actions: list[admission.Action],
        waiting: dict[int, admission.Candidate],
        running: set[int],
        final: collections.Counter[int],
        now: float,
    ) -> None:
        for action in actions:
            candidate = waiting.pop(action.call_id)
            final[action.call_id] += 1
            if isinstance(action, admission.Start):
                running.add(action.call_id)
                self.assertLess(now, candidate.deadline)
                for other in waiting.values():
                    self.assertLessEqual(
                        candidate.importance, other.importance
                    )
