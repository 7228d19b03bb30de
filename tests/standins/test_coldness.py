"""Tests of when a stand-in target is cold."""

import unittest

from eelgrasswalk.standins import coldness


class ColdnessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.coldness = coldness.Coldness()

    def test_counts_requests_of_any_last_second(self) -> None:
        self.coldness.begin('i-1', 0.0, 10.0, reported=True)
        counts = [self.coldness.count(at) for at in (0.5, 0.9, 1.4, 1.6, 9.0)]
        self.assertEqual([1, 2, 3, 3, 1], counts)

    def test_counts_nothing_when_warm(self) -> None:
        self.coldness.begin('i-1', 0.0, 1.0, reported=True)
        self.assertEqual([0, 0], [self.coldness.count(2.0)] * 2)

    def test_bound_holds_from_the_report(self) -> None:
        """Nobody can know of a coldness that was not reported."""
        self.coldness.begin('i-1', 1.0, 5.0, reported=False)
        self.assertEqual(0, self.coldness.count(1.5))
        self.assertEqual([], self.coldness.list_spans(2.0))
        self.coldness.note_reported(2.0)
        self.coldness.note_reported(3.0)
        self.assertEqual(1, self.coldness.count(3.5))
        self.assertEqual(
            [coldness.ColdSpan('i-1', 2.0, 6.0)], self.coldness.list_spans(9.0)
        )

    def test_end_of_a_run_ends_its_coldness(self) -> None:
        self.coldness.begin('i-1', 1.0, 5.0, reported=True)
        self.coldness.end(2.0)
        self.coldness.begin('i-1', 3.0, 5.0, reported=True)
        self.assertEqual(
            [
                coldness.ColdSpan('i-1', 1.0, 2.0),
                coldness.ColdSpan('i-1', 3.0, 4.0),
            ],
            self.coldness.list_spans(4.0),
        )

    def test_reports_whole_milliseconds(self) -> None:
        """A target that is cold for a part of one must not report none."""
        self.coldness.begin('i-1', 0.0, 1.0, reported=True)
        self.assertEqual(1000, self.coldness.get_left_ms(0.0))
        self.assertEqual(1, self.coldness.get_left_ms(0.9999))
        self.assertEqual(0, self.coldness.get_left_ms(1.0))
