"""Tests that replay uneven targets: expected finish times against load.

All figures come from virtual time and fixed seeds.
"""

import typing
import unittest

from eelgrasswalk.bench import placement_replay

SEEDS = (1, 2, 3)
LOAD = placement_replay.Choice.LOAD
FINISH = placement_replay.Choice.FINISH_OF_TWO
UNEVEN: dict[str, typing.Any] = {
    'speeds': (0.5, 1.6),
    'has_moments': True,
    'has_tails': True,
}


class PlacementReplayTest(unittest.TestCase):
    def compare(
        self, **options: typing.Any
    ) -> tuple[placement_replay.Figures, placement_replay.Figures]:
        found = placement_replay.compare(SEEDS, (LOAD, FINISH), **options)
        return found[LOAD], found[FINISH]

    def check_better(self, **options: typing.Any) -> None:
        by_load, by_finish = self.compare(**options)
        self.assertLess(by_finish.p99_s, by_load.p99_s)
        self.assertGreater(by_finish.timely_ratio, by_load.timely_ratio)
        # Speed must not be bought by calls that are sent twice.
        self.assertLess(by_finish.p50_s, 1.04 * by_load.p50_s)

    def check_no_worse(self, **options: typing.Any) -> None:
        by_load, by_finish = self.compare(**options)
        self.assertLess(by_finish.p50_s, 1.01 * by_load.p50_s)
        self.assertLess(by_finish.p99_s, 1.01 * by_load.p99_s)
        self.assertGreater(
            by_finish.timely_ratio, by_load.timely_ratio - 0.0005
        )

    def test_targets_of_uneven_speed(self) -> None:
        self.check_better(speeds=(0.5, 1.6))

    def test_uneven_targets_with_slow_moments_and_tails(self) -> None:
        self.check_better(**UNEVEN)

    def test_many_callers_do_not_choose_the_same_target(self) -> None:
        """With more callers, each has older reports of each target."""
        self.check_better(**UNEVEN, callers=64)

    def test_all_clients_of_one_data_centre_move_to_the_other(self) -> None:
        self.check_better(**UNEVEN, is_moved=True, data_centres=2, load=0.65)

    def test_even_targets_are_used_as_well_as_before(self) -> None:
        self.check_no_worse()

    def test_even_targets_with_many_callers(self) -> None:
        self.check_no_worse(callers=64)
