"""Tests of the moment at which an answer was true."""

import unittest

import hypothesis
from hypothesis import strategies

from eelgrasswalk.policy import store_clock

delays = strategies.floats(0.0, 3.0)
exchanges = strategies.lists(
    strategies.tuples(delays, delays, delays), min_size=1, max_size=20
)


class StoreClockTest(unittest.TestCase):
    def test_answer_after_a_wait_is_young(self) -> None:
        clock = store_clock.StoreClock()
        clock.estimate_answer_time(100.0, 100.01, 5.005)
        self.assertAlmostEqual(
            102.0, clock.estimate_answer_time(100.01, 102.02, 7.01), delta=0.01
        )

    def test_without_the_stores_clock_the_question_counts(self) -> None:
        clock = store_clock.StoreClock()
        self.assertEqual(100.0, clock.estimate_answer_time(100.0, 102.0, 0.0))

    def test_clock_that_begins_anew_is_not_believed(self) -> None:
        clock = store_clock.StoreClock()
        clock.estimate_answer_time(100.0, 100.01, 5.0)
        self.assertEqual(
            101.0, clock.estimate_answer_time(101.0, 101.1, 900.0)
        )

    @hypothesis.given(exchanges)
    def test_never_later_than_the_answer_was_formed(
        self, taken: list[tuple[float, float, float]]
    ) -> None:
        clock = store_clock.StoreClock()
        now = 1000.0
        for before, out, back in taken:
            asked_at = now + before
            formed_at = asked_at + out
            now = formed_at + back
            dated = clock.estimate_answer_time(
                asked_at, now, formed_at - 990.0
            )
            self.assertLessEqual(dated, formed_at + 1e-6)
            self.assertGreaterEqual(dated, asked_at - 1e-6)

    @hypothesis.given(
        hypothesis.strategies.floats(0.0, 2.0),
        hypothesis.strategies.floats(0.0, 2.0),
        hypothesis.strategies.floats(0.0, 30.0),
    )
    def test_time_from_another_node_is_never_dated_late(
        self, out: float, back: float, held_up: float
    ) -> None:
        """However long the message was held up on its way."""
        clock = store_clock.StoreClock()
        offset = -990.0
        clock.estimate_answer_time(
            1000.0, 1000.0 + out + back, 1000.0 + out + offset
        )
        said_at = 1010.0
        heard_at = said_at + held_up
        dated = clock.to_local_time(said_at + offset, heard_at)
        assert dated is not None
        self.assertLessEqual(dated, said_at + 1e-6)

    def test_nothing_is_dated_before_the_store_has_answered(self) -> None:
        self.assertIsNone(store_clock.StoreClock().to_local_time(5.0, 100.0))

    def test_time_that_has_not_come_is_not_believed(self) -> None:
        clock = store_clock.StoreClock()
        clock.estimate_answer_time(100.0, 100.0, 10.0)
        self.assertIsNone(clock.to_local_time(11.0, 100.5))
