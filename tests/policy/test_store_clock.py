"""Tests of the conversion between the store's and the node's clock."""

import unittest

import hypothesis
from hypothesis import strategies

from eelgrasswalk.policy import store_clock

delays = strategies.floats(0.0, 3.0)
exchanges = strategies.lists(
    strategies.tuples(delays, delays, delays), min_size=1, max_size=20
)


class StoreClockTest(unittest.TestCase):
    def test_long_poll_answer_gets_a_recent_time(self) -> None:
        clock = store_clock.StoreClock()
        clock.estimate_answer_time(100.0, 100.01, 5.005)
        self.assertAlmostEqual(
            102.0, clock.estimate_answer_time(100.01, 102.02, 7.01), delta=0.01
        )

    def test_without_a_store_time_the_request_time_is_used(self) -> None:
        clock = store_clock.StoreClock()
        self.assertEqual(100.0, clock.estimate_answer_time(100.0, 102.0, 0.0))

    def test_reset_of_the_store_clock_is_detected(self) -> None:
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
        """The bound holds however long the message was delayed."""
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

    def test_no_conversion_before_the_first_answer(self) -> None:
        self.assertIsNone(store_clock.StoreClock().to_local_time(5.0, 100.0))

    def test_time_in_the_future_is_rejected(self) -> None:
        clock = store_clock.StoreClock()
        clock.estimate_answer_time(100.0, 100.0, 10.0)
        self.assertIsNone(clock.to_local_time(11.0, 100.5))
