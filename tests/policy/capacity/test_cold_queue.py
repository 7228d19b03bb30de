"""Tests of the queue in front of a target that is or may be cold."""

import unittest

from eelgrasswalk import verdict
from eelgrasswalk.policy import admission
from eelgrasswalk.policy.capacity import cold_start
from eelgrasswalk.policy.capacity import slot_queue
from tests.policy.capacity import test_cold_start
from tests.policy.capacity import test_slot_queue


class ColdQueueTest(unittest.TestCase):
    def build(self, *, slots: int) -> slot_queue.SlotQueue:
        self.cold = test_cold_start.build_warm(0.0)
        return slot_queue.SlotQueue(
            test_slot_queue.SETTINGS, slots=slots, cold=self.cold
        )

    def offer(
        self, queue: slot_queue.SlotQueue, call_id: int, now: float
    ) -> list[admission.Action]:
        return queue.offer(
            test_slot_queue.build_candidate(
                call_id, objective_at=now + 5.0, deadline=now + 9.0
            ),
            now,
        )

    def test_call_above_the_limit_is_refused_instead_of_queued(self) -> None:
        queue = self.build(slots=100)
        self.cold.assume(0.0)
        actions = [self.offer(queue, number, 0.1)[0] for number in range(50)]
        started = [a for a in actions if isinstance(a, admission.Start)]
        self.assertEqual(8, len(started))
        refused = actions[-1]
        assert isinstance(refused, admission.Refuse)
        self.assertIs(verdict.Reason.OVERLOAD, refused.reason)
        self.assertGreater(refused.retry_after_s, 0.0)
        self.assertEqual(0, queue.queued)
        self.assertEqual(42, self.cold.refused)

    def test_calls_that_wait_when_coldness_begins_are_refused(self) -> None:
        """Each free slot would start one, as fast as the target answers."""
        queue = self.build(slots=2)
        for number in range(12):
            self.offer(queue, number, 0.0)
            self.cold.take(0.0)
        self.assertEqual(10, queue.queued)
        self.cold.assume(0.1)
        actions = queue.expire(0.1)
        self.assertEqual(10, len(actions))
        self.assertTrue(all(isinstance(a, admission.Refuse) for a in actions))
        self.assertEqual(0, queue.queued)
        self.assertIsNone(queue.next_event_at())

    def test_calls_that_wait_for_a_slot_start_within_the_limit(self) -> None:
        """Coldness began after a pause, so that the window has room."""
        queue = self.build(slots=1)
        self.cold.assume(0.0)
        for number in range(20):
            self.offer(queue, number, 0.1)
        started = [0]
        refused = []
        while started and queue.in_flight:
            actions = queue.finish(started[-1], 0.2, ok=True)
            started = [
                a.call_id for a in actions if isinstance(a, admission.Start)
            ]
            refused += [a for a in actions if isinstance(a, admission.Refuse)]
        self.assertEqual(0, queue.queued)
        self.assertEqual(12, len(refused))

    def test_call_admitted_while_warm_is_withheld_when_sent(self) -> None:
        """The target may become cold while a call awaits a connection."""
        queue = self.build(slots=100)
        for number in range(30):
            self.offer(queue, number, 0.0)
        self.cold.assume(0.1)
        sent = sum(queue.confirm_start(number, 0.2) for number in range(30))
        self.assertEqual(8, sent)
        self.assertEqual(22, self.cold.refused)

    def test_service_without_cold_targets_is_not_limited(self) -> None:
        queue = slot_queue.SlotQueue(test_slot_queue.SETTINGS, slots=100)
        queue.cold.begin_run(0.0)
        for number in range(100):
            self.assertEqual(
                [admission.Start(number)], self.offer(queue, number, 0.0)
            )
            self.assertTrue(queue.confirm_start(number, 0.0))
        self.assertIsInstance(queue.cold, cold_start.ColdStart)
