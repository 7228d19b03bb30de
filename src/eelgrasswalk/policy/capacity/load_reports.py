"""The newest load that a target reports of itself, and its credibility.

A target may report nothing, report what was true long ago, repeat a value or
be wrong. All its calls pass the node beside it, so that the node can compare
the counts with its own; a slowdown can't be compared and is bounded instead.
"""

import dataclasses
import enum
import typing

from ... import ports

# A report says nothing after this time.
MAX_AGE_S = 1.0
# Calls by which the counts may differ from the node's own at any load, as some
# are on their way; with many calls, the share by which they may differ.
TOLERANCE_CALLS = 8
TOLERANCE_SHARE = 0.5
# Slowdowns beyond these are taken for these.
MIN_SLOWDOWN = 0.1
MAX_SLOWDOWN = 10.0
# The slowdown changes many times per second; one that is the same in so many
# reports over such a time is stuck.
STUCK_REPORTS = 20
STUCK_S = 2.0
USUAL_SLOWDOWN = 1.0

Report: typing.TypeAlias = ports.LoadReport | ports.MalformedLoad | None


class Flaw(enum.Enum):
    """Why a report is ignored. The value is a label of a metric."""

    MALFORMED = 'malformed'
    MISSING = 'missing'
    OVER_SLOTS = 'over-slots'
    FEWER_THAN_SENT = 'fewer-than-sent'
    MORE_THAN_SENT = 'more-than-sent'


@dataclasses.dataclass(frozen=True, slots=True)
class Expected:
    """What the node itself knows of its target's load.

    Args:
        fewest: Calls that were sent and have no answer.
        most: The same, with those that the target may still run though
            nobody waits for them.
        slots: Calls that the target runs at a time, by its check-ins.
    """

    fewest: int
    most: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """What is known of a target's load.

    Args:
        report: The newest credible report, within bounds.
        age_s: Seconds since it arrived.
        trust: How far its counts may be relied on, from 1 for a new report
            down to 0 at MAX_AGE_S.
        slowdown_trust: The same for its slowdown; 0 while that is stuck.
    """

    report: ports.LoadReport
    age_s: float
    trust: float
    slowdown_trust: float

    def compute_slowdown(self) -> float | None:
        """Return the slowdown weighted by its trust; None if not stated."""
        if not self.report.has_slowdown:
            return None
        excess = self.report.slowdown - USUAL_SLOWDOWN
        return USUAL_SLOWDOWN + excess * self.slowdown_trust


class LoadReports:
    """Keeps the newest credible report of one run of a target.

    Attributes:
        is_reporting: Whether the target has ever sent a report.
    """

    def __init__(self) -> None:
        self._newest: ports.LoadReport | None = None
        self._newest_at = 0.0
        self.is_reporting = False
        self._slowdown = USUAL_SLOWDOWN
        self._same_since = 0.0
        self._same_until = 0.0
        self._same_reports = 0

    def record(
        self,
        report: Report,
        now: float,
        expected: Expected,
    ) -> Flaw | None:
        """Record what an answer of the target reports.

        Args:
            report: The report; None for an answer without one.
            now: Monotonic time in seconds.
            expected: What the node knows at this moment.

        Returns:
            Why the report is ignored; None if it is not. An answer without
            a report is no flaw of a target that has never sent one.
        """
        if report is None:
            return Flaw.MISSING if self.is_reporting else None
        self.is_reporting = True
        if isinstance(report, ports.MalformedLoad):
            return Flaw.MALFORMED
        self._watch_slowdown(report.slowdown, now)
        flaw = _find_flaw(report, expected)
        if flaw is None:
            self._newest = _bound(report, expected)
            self._newest_at = now
        return flaw

    def measure_age(self, now: float) -> float | None:
        """Return seconds since the newest report; None without one."""
        if self._newest is None:
            return None
        return max(0.0, now - self._newest_at)

    def find(self, now: float) -> Known | None:
        """Return what is known; None when nothing new enough is."""
        age_s = self.measure_age(now)
        if self._newest is None or age_s is None or age_s >= MAX_AGE_S:
            return None
        trust = 1.0 - age_s / MAX_AGE_S
        if not self._is_stuck():
            return Known(self._newest, age_s, trust, trust)
        usual = dataclasses.replace(self._newest, slowdown=USUAL_SLOWDOWN)
        return Known(usual, age_s, trust, 0.0)

    def _watch_slowdown(self, slowdown: float, now: float) -> None:
        if slowdown != self._slowdown or self._same_reports == 0:
            self._slowdown = slowdown
            self._same_since = now
            self._same_reports = 0
        self._same_reports += 1
        self._same_until = now

    def _is_stuck(self) -> bool:
        return (
            self._slowdown != USUAL_SLOWDOWN
            and self._same_reports >= STUCK_REPORTS
            and self._same_until - self._same_since >= STUCK_S
        )


def _find_flaw(report: ports.LoadReport, expected: Expected) -> Flaw | None:
    if report.running > report.slots:
        return Flaw.OVER_SLOTS
    calls = report.running + report.waiting
    if calls < expected.fewest - _compute_tolerance(expected.fewest):
        return Flaw.FEWER_THAN_SENT
    if calls > expected.most + _compute_tolerance(expected.most):
        return Flaw.MORE_THAN_SENT
    return None


def _compute_tolerance(calls: int) -> float:
    return max(TOLERANCE_CALLS, TOLERANCE_SHARE * calls)


def _bound(report: ports.LoadReport, expected: Expected) -> ports.LoadReport:
    """Return a report without the values that nothing confirms."""
    slots = min(report.slots, expected.slots)
    slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, report.slowdown))
    if slots == report.slots and slowdown == report.slowdown:
        return report
    return ports.LoadReport(
        running=min(report.running, slots),
        waiting=report.waiting + max(0, report.running - slots),
        slots=slots,
        slowdown=slowdown,
        has_slowdown=report.has_slowdown,
    )
