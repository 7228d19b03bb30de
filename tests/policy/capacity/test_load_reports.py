"""Tests of the load that targets report: stale, false, stuck and missing."""

import random
import unittest

from eelgrasswalk import ports
from eelgrasswalk.policy.capacity import load_reports

SLOTS = 40


def expect(
    calls: int, *, abandoned: int = 0, slots: int = SLOTS
) -> load_reports.Expected:
    return load_reports.Expected(calls, calls + abandoned, slots)


class LoadReportsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reports = load_reports.LoadReports()

    def record(
        self,
        *figures: float,
        now: float = 0.0,
        expected: load_reports.Expected | None = None,
    ) -> load_reports.Flaw | None:
        running, waiting, slots, *slowdown = figures
        report = ports.LoadReport(
            int(running), int(waiting), int(slots), *slowdown
        )
        if expected is None:
            expected = expect(int(running + waiting))
        return self.reports.record(report, now, expected)

    def find(self, now: float) -> load_reports.Known:
        known = self.reports.find(now)
        assert known is not None
        return known

    def test_nothing_is_known_without_a_report(self) -> None:
        self.assertIsNone(self.reports.find(0.0))
        self.assertIsNone(self.reports.measure_age(0.0))

    def test_newest_report_counts(self) -> None:
        self.assertIsNone(self.record(3, 0, SLOTS, 1.5))
        self.assertIsNone(self.record(5, 2, SLOTS, 2.5, now=0.1))
        known = self.find(0.1)
        self.assertEqual(ports.LoadReport(5, 2, SLOTS, 2.5), known.report)
        self.assertEqual(1.0, known.trust)

    def test_slowdown_counts_less_with_age(self) -> None:
        """An old slowdown must not distort what is expected now."""
        stated = ports.LoadReport(3, 0, SLOTS, 3.0, has_slowdown=True)
        self.reports.record(stated, 0.0, expect(3))
        slowdowns = [
            self.find(now).compute_slowdown() for now in (0.0, 0.25, 0.5)
        ]
        self.assertEqual([3.0, 2.5, 2.0], slowdowns)

    def test_slowdown_is_unknown_unless_stated(self) -> None:
        self.record(3, 0, SLOTS)
        self.assertIsNone(self.find(0.0).compute_slowdown())

    def test_bounded_report_still_states_its_slowdown(self) -> None:
        stated = ports.LoadReport(3, 0, 2 * SLOTS, 50.0, has_slowdown=True)
        self.reports.record(stated, 0.0, expect(3))
        self.assertEqual(
            load_reports.MAX_SLOWDOWN, self.find(0.0).compute_slowdown()
        )

    def test_trust_ends_with_age(self) -> None:
        self.record(3, 0, SLOTS)
        trusts = [self.find(tenths / 10).trust for tenths in range(10)]
        self.assertEqual(sorted(trusts, reverse=True), trusts)
        self.assertLess(trusts[-1], 0.11)
        self.assertIsNone(self.reports.find(load_reports.MAX_AGE_S))
        self.assertEqual(5.0, self.reports.measure_age(5.0))

    def test_clock_that_goes_back_makes_no_negative_age(self) -> None:
        self.record(3, 0, SLOTS, now=10.0)
        self.assertEqual(0.0, self.find(9.0).age_s)

    def test_missing_counts_only_for_a_target_that_reports(self) -> None:
        self.assertIsNone(self.reports.record(None, 0.0, expect(1)))
        self.record(1, 0, SLOTS)
        self.assertIs(
            load_reports.Flaw.MISSING,
            self.reports.record(None, 0.5, expect(1)),
        )
        self.assertIsNone(self.reports.find(1.0))

    def test_malformed_changes_nothing(self) -> None:
        self.record(1, 0, SLOTS)
        self.assertIs(
            load_reports.Flaw.MALFORMED,
            self.reports.record(ports.MalformedLoad(), 0.5, expect(1)),
        )
        self.assertEqual(0.5, self.find(0.5).age_s)

    def test_false_counts_are_ignored_until_nothing_is_known(self) -> None:
        flaw = load_reports.Flaw
        for figures, sent, cause in (
            ((SLOTS + 1, 0, SLOTS), SLOTS + 1, flaw.OVER_SLOTS),
            ((1, 0, 0), 1, flaw.OVER_SLOTS),
            ((0, 0, SLOTS), 20, flaw.FEWER_THAN_SENT),
            ((SLOTS, 1_000_000, SLOTS), 20, flaw.MORE_THAN_SENT),
            ((SLOTS, 0, SLOTS), 2, flaw.MORE_THAN_SENT),
        ):
            with self.subTest(figures):
                self.reports = load_reports.LoadReports()
                self.record(2, 0, SLOTS)
                for tenths in range(20):
                    now = tenths / 10
                    self.assertIs(
                        cause,
                        self.record(*figures, now=now, expected=expect(sent)),
                    )
                    if now < load_reports.MAX_AGE_S:
                        self.assertEqual(2, self.find(now).report.running)
                self.assertIsNone(self.reports.find(2.0))

    def test_calls_on_their_way_are_no_lie(self) -> None:
        for sent, reported in ((8, 0), (0, 8), (30, 16), (30, 44)):
            with self.subTest(sent=sent, reported=reported):
                self.assertIsNone(
                    self.record(reported, 0, 100, expected=expect(sent))
                )

    def test_abandoned_calls_are_no_lie(self) -> None:
        expected = expect(1, abandoned=30)
        self.assertIsNone(self.record(31, 0, SLOTS, expected=expected))

    def test_slots_are_bounded_by_those_of_check_ins(self) -> None:
        self.record(12, 0, 1_000_000, expected=expect(12, slots=10))
        self.assertEqual(ports.LoadReport(10, 2, 10), self.find(0.0).report)

    def test_slowdown_is_bounded(self) -> None:
        for reported, bounded in (
            (0.0, load_reports.MIN_SLOWDOWN),
            (0.05, load_reports.MIN_SLOWDOWN),
            (3.0, 3.0),
            (10_000.0, load_reports.MAX_SLOWDOWN),
        ):
            self.record(1, 0, SLOTS, reported)
            self.assertEqual(bounded, self.find(0.0).report.slowdown)

    def test_stuck_slowdown_counts_as_usual(self) -> None:
        for tenths in range(40):
            self.record(1, 0, SLOTS, 4.0, now=tenths / 10)
        known = self.find(3.9)
        self.assertEqual(1.0, known.report.slowdown)
        self.assertEqual(0.0, known.slowdown_trust)
        self.assertEqual(1.0, known.trust)
        self.record(1, 0, SLOTS, 4.1, now=4.0)
        self.assertEqual(4.1, self.find(4.0).report.slowdown)
        self.assertEqual(1.0, self.find(4.0).slowdown_trust)

    def test_few_equal_reports_are_not_stuck(self) -> None:
        for second in range(5):
            self.record(1, 0, SLOTS, 4.0, now=float(second))
        self.assertEqual(4.0, self.find(4.0).report.slowdown)

    def test_many_equal_reports_at_once_are_not_stuck(self) -> None:
        for number in range(200):
            self.record(1, 0, SLOTS, 4.0, now=number / 1000)
        self.assertEqual(4.0, self.find(0.2).report.slowdown)


class ReplayTest(unittest.TestCase):
    """Twenty seconds of a target of 40 slots, 100 answers a second."""

    ANSWERS = 2_000
    INTERVAL_S = 0.01

    def setUp(self) -> None:
        self.random = random.Random(20)

    def drift(self, calls: int) -> int:
        return min(60, max(0, calls + self.random.randint(-2, 2)))

    def build(self, calls: int) -> ports.LoadReport:
        """Return an honest report; counts lag by a few calls."""
        calls = max(0, calls + self.random.randint(-4, 4))
        running = min(calls, SLOTS)
        slowdown = self.random.uniform(0.8, 3.0)
        return ports.LoadReport(running, calls - running, SLOTS, slowdown)

    def test_honest_target_is_followed(self) -> None:
        reports = load_reports.LoadReports()
        calls = 20
        for number in range(self.ANSWERS):
            now = number * self.INTERVAL_S
            calls = self.drift(calls)
            report = self.build(calls)
            self.assertIsNone(reports.record(report, now, expect(calls)))
            known = reports.find(now)
            assert known is not None
            self.assertEqual(report, known.report)

    def test_stuck_counts_are_never_believed_far_from_the_load(self) -> None:
        """The target repeats the report of an idle moment."""
        reports = load_reports.LoadReports()
        idle = ports.LoadReport(1, 0, SLOTS)
        calls = 1
        ignored = 0
        for number in range(self.ANSWERS):
            now = number * self.INTERVAL_S
            calls = self.drift(calls)
            ignored += reports.record(idle, now, expect(calls)) is not None
            if calls <= load_reports.TOLERANCE_CALLS:
                continue
            known = reports.find(now)
            if known is not None and known.age_s == 0.0:
                self.assertLessEqual(
                    calls - known.report.running,
                    max(
                        load_reports.TOLERANCE_CALLS,
                        load_reports.TOLERANCE_SHARE * calls,
                    ),
                )
        self.assertGreater(ignored, 0)

    def test_random_lies_stay_within_bounds(self) -> None:
        reports = load_reports.LoadReports()
        calls = 20
        for number in range(self.ANSWERS):
            now = number * self.INTERVAL_S
            calls = self.drift(calls)
            lie = ports.LoadReport(
                self.random.choice((0, 5, 30, 10**6)),
                self.random.choice((0, 5, 30, 10**6)),
                self.random.choice((0, 1, SLOTS, 10**6)),
                self.random.choice((0.0, 1.0, 10**4)),
            )
            reports.record(lie, now, expect(calls))
            known = reports.find(now)
            if known is None:
                continue
            report = known.report
            self.assertLessEqual(report.running, SLOTS)
            self.assertLessEqual(report.slots, SLOTS)
            self.assertLessEqual(report.running + report.waiting, 60 * 1.5)
            self.assertTrue(
                load_reports.MIN_SLOWDOWN
                <= report.slowdown
                <= load_reports.MAX_SLOWDOWN
            )
