"""Tests of probing for a free slot before a call queues."""

import unittest

from eelgrasswalk.bench import fleet
from eelgrasswalk.policy.placement import probing


class ProbePolicyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.probing = probing.ProbePolicy(probing.ProbeSettings())

    def should_probe(self, *, probes: int = 0, targets: int = 9) -> bool:
        return self.probing.should_probe(
            'back', probes=probes, targets=targets, random_value=0.5
        )

    def test_probes_per_call_are_bounded(self) -> None:
        self.assertTrue(self.should_probe())
        self.assertFalse(self.should_probe(probes=probing.MAX_PROBES))

    def test_call_to_the_only_target_does_not_probe(self) -> None:
        self.assertFalse(self.should_probe(targets=1))

    def test_probing_stops_while_all_targets_are_busy(self) -> None:
        for _ in range(100):
            self.probing.observe('back', found_free_slot=False)
        self.assertFalse(self.should_probe())
        self.assertTrue(
            self.probing.should_probe(
                'back', probes=0, targets=9, random_value=0.01
            )
        )
        for _ in range(100):
            self.probing.observe('back', found_free_slot=True)
        self.assertTrue(self.should_probe())

    def test_services_are_independent(self) -> None:
        for _ in range(100):
            self.probing.observe('other', found_free_slot=False)
        self.assertTrue(self.should_probe())


class ReplayTest(unittest.TestCase):
    def run_fleet(self, *, probes: bool) -> dict[str, float]:
        """Simulate 60 callers and 16 targets with 2 slots at 90 % load."""
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
