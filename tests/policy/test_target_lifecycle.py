"""Tests of the lifecycle of target instances."""

import unittest

from eelgrasswalk.policy import target_lifecycle

Change = target_lifecycle.Change


def build_report(
    target_id: str = 'i-1',
    *,
    born_ms: int = 1000,
    sequence: int = 1,
    draining: bool = False,
) -> target_lifecycle.InstanceReport:
    return target_lifecycle.InstanceReport(
        target_id, born_ms, sequence, 8, draining
    )


class TargetLifecycleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.life = target_lifecycle.TargetLifecycle()
        self.life.observe(build_report(sequence=5), 0.0)
        self.life.confirm('i-1@1000')

    def test_confirmed_instance_is_ready(self) -> None:
        self.assertTrue(self.life.is_ready)

    def test_late_report_is_stale(self) -> None:
        change = self.life.observe(build_report(sequence=4), 1.0)
        self.assertIs(Change.STALE, change)

    def test_drain_is_final(self) -> None:
        leaving = build_report(sequence=6, draining=True)
        self.assertIs(Change.LEAVING, self.life.observe(leaving, 1.0))
        self.life.observe(build_report(sequence=7), 2.0)
        self.assertFalse(self.life.is_ready)
        self.assertEqual(1.0, self.life.leaving_since)

    def test_deregistration_of_the_instance_starts_a_drain(self) -> None:
        self.assertIs(Change.LEAVING, self.life.deregister('i-1', 3.0))
        self.assertFalse(self.life.is_ready)

    def test_deregistration_of_another_instance_is_ignored(self) -> None:
        self.assertIs(Change.STALE, self.life.deregister('i-0', 3.0))
        self.assertTrue(self.life.is_ready)

    def test_later_instance_replaces(self) -> None:
        new = build_report('i-2', born_ms=2000)
        self.assertIs(Change.ARRIVED, self.life.observe(new, 1.0))

    def test_check_in_of_an_earlier_instance_is_stale(self) -> None:
        self.life.observe(build_report('i-2', born_ms=2000), 1.0)
        late = build_report('i-1', born_ms=1000, sequence=99)
        self.assertIs(Change.STALE, self.life.observe(late, 2.0))
        assert self.life.report is not None
        self.assertEqual('i-2', self.life.report.target_id)

    def test_same_id_with_a_later_start_is_a_new_instance(self) -> None:
        self.life.deregister('i-1', 1.0)
        again = build_report('i-1', born_ms=3000, sequence=1)
        self.assertIs(Change.ARRIVED, self.life.observe(again, 2.0))
        self.assertTrue(self.life.is_ready)

    def test_drained_instance_does_not_return(self) -> None:
        self.life.observe(build_report('i-2', born_ms=2000), 1.0)
        self.life.deregister('i-2', 2.0)
        late = build_report('i-2', born_ms=2000, sequence=9)
        self.assertIsNot(Change.ARRIVED, self.life.observe(late, 3.0))
        self.assertFalse(self.life.is_ready)


class RestartTest(unittest.TestCase):
    """A departure may have been acknowledged before the process started."""

    def setUp(self) -> None:
        self.life = target_lifecycle.TargetLifecycle()

    def restore(self, *, draining: bool = False) -> target_lifecycle.Change:
        stored = build_report(sequence=-1, draining=draining)
        return self.life.restore(stored, 0.0)

    def test_stored_state_alone_does_not_make_an_instance_ready(self) -> None:
        self.assertIs(Change.UNCONFIRMED, self.restore())
        self.assertFalse(self.life.is_ready)

    def test_one_check_in_that_may_be_late_is_not_enough(self) -> None:
        self.restore()
        change = self.life.observe(build_report(sequence=12), 1.0)
        self.assertIs(Change.UNCONFIRMED, change)
        self.assertFalse(self.life.is_ready)

    def test_two_check_ins_confirm_an_instance(self) -> None:
        self.restore()
        self.life.observe(build_report(sequence=12), 1.0)
        change = self.life.observe(build_report(sequence=13), 2.5)
        self.assertIs(Change.ARRIVED, change)
        self.assertTrue(self.life.is_ready)

    def test_late_check_ins_in_any_order_do_not_confirm(self) -> None:
        self.life.observe(build_report(sequence=12), 1.0)
        for sequence in (12, 11):
            late = build_report(sequence=sequence)
            self.assertIs(Change.STALE, self.life.observe(late, 1.1))
        self.assertFalse(self.life.is_ready)

    def test_health_check_confirms_only_the_run_that_was_asked(self) -> None:
        self.restore()
        self.life.observe(build_report('i-2', born_ms=2000), 1.0)
        self.assertIs(Change.NONE, self.life.confirm('i-1@1000'))
        self.assertFalse(self.life.is_ready)
        self.assertIs(Change.ARRIVED, self.life.confirm('i-2@2000'))
        self.assertTrue(self.life.is_ready)

    def test_stored_drain_is_final(self) -> None:
        self.assertIs(Change.LEAVING, self.restore(draining=True))
        for sequence in (12, 13):
            self.life.observe(build_report(sequence=sequence), 1.0)
        self.assertIs(Change.NONE, self.life.confirm('i-1@1000'))
        self.assertFalse(self.life.is_ready)

    def test_departure_of_an_unconfirmed_instance_starts_a_drain(
        self,
    ) -> None:
        self.restore()
        self.assertIs(Change.LEAVING, self.life.deregister('i-1', 1.0))
        self.assertIs(Change.NONE, self.life.confirm('i-1@1000'))
        self.assertFalse(self.life.is_ready)

    def test_later_instances_need_no_confirmation(self) -> None:
        self.life.observe(build_report(), 0.0)
        self.life.confirm('i-1@1000')
        new = build_report('i-2', born_ms=2000)
        self.assertIs(Change.ARRIVED, self.life.observe(new, 1.0))
        self.assertTrue(self.life.is_ready)
