"""Tests of load shedding levels and of the caller's level table."""

import math
import unittest

import hypothesis
from hypothesis import strategies

from eelgrasswalk.document import model
from eelgrasswalk.policy import levels
from eelgrasswalk.policy import shedding

STRICT = levels.Level(model.Importance.NORMAL, 0.25, 0.05)


class LevelTest(unittest.TestCase):
    def test_sheds_by_importance_then_hash(self) -> None:
        admits = levels.admits
        self.assertTrue(admits(STRICT, model.Importance.HIGH, 0.99))
        self.assertTrue(admits(STRICT, model.Importance.NORMAL, 0.2))
        self.assertFalse(admits(STRICT, model.Importance.NORMAL, 0.25))
        self.assertFalse(admits(STRICT, model.Importance.LOW, 0.0))

    @hypothesis.settings(derandomize=True, max_examples=100)
    @hypothesis.given(
        strict=strategies.floats(0.0, 4.0),
        loose=strategies.floats(0.0, 4.0),
        importance=strategies.integers(0, 3),
        root_hash=strategies.floats(0.0, 1.0, exclude_max=True),
    )
    def test_stricter_level_keeps_a_subset_of_roots(
        self, strict: float, loose: float, importance: int, root_hash: float
    ) -> None:
        strict, loose = sorted((strict, loose))
        if levels.admits(
            levels.make_level(strict, 0.0), importance, root_hash
        ):
            level = levels.make_level(loose, 0.0)
            self.assertTrue(levels.admits(level, importance, root_hash))

    def test_combined_level_is_the_strictest(self) -> None:
        level = levels.combine_levels(levels.OPEN, [None, STRICT])
        self.assertEqual(level, STRICT)


class LevelTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = levels.LevelTable()

    def admits(self, now: float, *, is_nested: bool = False) -> bool:
        decision = self.table.admits(
            'leaf', model.Importance.NORMAL, 0.5, now, is_nested=is_nested
        )
        return isinstance(decision, levels.Admit)

    def test_sheds_early_by_the_returned_level(self) -> None:
        self.assertTrue(self.admits(0.0))
        self.table.observe('leaf', 'n1', STRICT, 0.0)
        self.assertFalse(self.admits(0.1))
        self.assertTrue(self.admits(0.1, is_nested=True))

    def test_stale_level_recovers_within_a_second(self) -> None:
        closed = levels.Level(0, 0.0, 1.0)
        self.table.observe('leaf', 'n1', closed, 0.0)
        self.assertFalse(self.admits(0.1))
        self.assertTrue(self.admits(0.9))
        self.table.observe('leaf', 'n1', levels.OPEN, 0.95)
        for step in range(10):
            self.assertTrue(self.admits(1.0 + step / 100))

    def test_stale_level_is_probed_by_few(self) -> None:
        closed = levels.Level(0, 0.0, 1.0)
        self.table.observe('leaf', 'n1', closed, 0.0)
        probes = sum(self.admits(step / 1000) for step in range(2000))
        self.assertGreaterEqual(probes, 2)
        self.assertLessEqual(probes, 4)

    def test_unconfirmed_level_is_forgotten(self) -> None:
        self.table.observe('leaf', 'n1', STRICT, 0.0)
        for step in range(10):
            self.assertTrue(self.admits(levels.MAX_LEVEL_AGE_S + step / 100))

    def test_one_wrong_upstream_has_no_effect(self) -> None:
        for index in range(100):
            now = index * 0.1
            self.table.observe('leaf', 'n1', STRICT, now)
            self.table.observe('leaf', 'n2', levels.OPEN, now)
            self.table.observe('leaf', 'n3', levels.OPEN, now)
            self.assertTrue(self.admits(now + 0.05))

    def test_nan_level_admits_everything(self) -> None:
        self.table.observe('leaf', 'n1', levels.Level(0, math.nan, 0.0), 0.0)
        self.assertTrue(self.admits(0.0))

    def test_departed_upstream_is_forgotten(self) -> None:
        self.table.observe('leaf', 'n1', STRICT, 0.0)
        self.table.forget('leaf', 'n1')
        self.assertTrue(self.admits(0.0))


class LevelControllerTest(unittest.TestCase):
    def run_window(
        self, control: shedding.LevelController, now: float, capacity: int
    ) -> None:
        # The queue starts the most important calls first.
        for index in range(100):
            importance, root_hash = index // 25, (index % 25) / 25
            control.observe_offer(importance, root_hash)
            if index < capacity:
                control.observe_start(importance, root_hash, 0.0)
            else:
                control.observe_refusal(importance, root_hash)
        control.end_window(now, shedding.Load(10, 10, 0.0))

    def test_falls_to_capacity_and_recovers_within_two_seconds(self) -> None:
        control = shedding.LevelController(shedding.SheddingSettings())
        control.end_window(0.0, shedding.Load(0, 10, 0.0))
        now = 0.0
        for _ in range(5):
            now += 0.2
            self.run_window(control, now, 50)
        level = control.level()
        self.assertTrue(levels.admits(level, 0, 0.99))
        self.assertFalse(levels.admits(level, 2, 0.1))
        self.assertGreater(levels.compute_cutoff(level), 1.5)
        for _ in range(10):
            now += 0.2
            self.run_window(control, now, 100)
        self.assertEqual(levels.compute_cutoff(control.level()), 4.0)
