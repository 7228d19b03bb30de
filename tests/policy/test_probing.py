"""Tests of looking for a free slot before a call waits."""

import unittest

from eelgrasswalk.bench import fleet
from eelgrasswalk.policy import probing


class ProbingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.probing = probing.Probing(probing.ProbeSettings())

    def allow(self, *, probes: int = 0, targets: int = 9) -> bool:
        return self.probing.allow(
            'back', probes=probes, targets=targets, random_value=0.5
        )

    def test_call_looks_a_bounded_number_of_times(self) -> None:
        self.assertTrue(self.allow())
        self.assertFalse(self.allow(probes=probing.MOST_PROBES))

    def test_call_for_the_only_target_waits_there(self) -> None:
        self.assertFalse(self.allow(targets=1))

    def test_calls_stop_to_look_while_all_targets_are_busy(self) -> None:
        for _ in range(100):
            self.probing.observe('back', found=False)
        self.assertFalse(self.allow())
        self.assertTrue(
            self.probing.allow('back', probes=0, targets=9, random_value=0.01)
        )
        for _ in range(100):
            self.probing.observe('back', found=True)
        self.assertTrue(self.allow())

    def test_another_service_is_looked_at_by_itself(self) -> None:
        for _ in range(100):
            self.probing.observe('other', found=False)
        self.assertTrue(self.allow())


class ReplayTest(unittest.TestCase):
    def run_fleet(self, *, probes: bool) -> dict[str, float]:
        """Replay 60 callers before 16 targets with 2 slots, nearly full."""
        plan = fleet.Plan(60, 16, 2, 0.9, 20.0, probes=probes)
        figures = fleet.Fleet(plan).run()
        found: dict[str, float] = figures['timely_by_kind']
        return found

    def test_more_calls_are_served_in_time(self) -> None:
        without = self.run_fleet(probes=False)
        with_probes = self.run_fleet(probes=True)
        late = 1.0 - without['root']
        self.assertLess(1.0 - with_probes['root'], 0.5 * late)
        self.assertGreaterEqual(with_probes['look-up'], without['look-up'])
