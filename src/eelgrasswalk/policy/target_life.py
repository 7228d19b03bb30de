"""What the node beside a target knows of its lifetime.

Check-ins come late, twice and out of order, also from lifetimes that have
ended. A lifetime that has begun to leave never comes back.
"""

import collections
import dataclasses
import enum

_MOST_DEPARTED = 64


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceReport:
    """What a target says of itself.

    Args:
        target_id: Id of its lifetime.
        born_ms: Unix milliseconds of its start; 0 when not told.
        sequence: Grows with each report of a lifetime.
        slots: Calls that it runs at a time.
        draining: Whether it is leaving.
    """

    target_id: str
    born_ms: int
    sequence: int
    slots: int
    draining: bool


class Change(enum.Enum):
    """What a report has changed."""

    NONE = 'none'
    ARRIVED = 'arrived'
    LEAVING = 'leaving'
    STALE = 'stale'


class TargetLifecycle:
    """The lifetime that this node serves."""

    def __init__(self) -> None:
        self.report: InstanceReport | None = None
        self.leaving_since: float | None = None
        self._departed: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    @property
    def is_ready(self) -> bool:
        """Whether there is a target that is not leaving."""
        return self.report is not None and self.leaving_since is None

    def observe(self, report: InstanceReport, now: float) -> Change:
        """Take a report and return what it has changed."""
        known = self.report
        if known is None or self._is_other(report, known):
            if known is not None and self._is_older(report, known):
                return Change.STALE
            return self._begin(report, now)
        if report.sequence <= known.sequence:
            return Change.STALE
        self.report = report
        if report.draining and self.leaving_since is None:
            self._leave(report, now)
            return Change.LEAVING
        return Change.NONE

    def deregister(self, target_id: str, now: float) -> Change:
        """Take a lifetime's word that it leaves."""
        known = self.report
        if known is None or known.target_id != target_id:
            self._remember((target_id, 0))
            return Change.STALE
        if self.leaving_since is not None:
            return Change.NONE
        self._leave(known, now)
        return Change.LEAVING

    def restore(self, report: InstanceReport) -> None:
        """Go by what an earlier process of this node has known."""
        if self.report is None:
            self.report = report

    def _is_other(self, report: InstanceReport, known: InstanceReport) -> bool:
        return (report.target_id, report.born_ms) != (
            known.target_id,
            known.born_ms or report.born_ms,
        )

    def _is_older(self, report: InstanceReport, known: InstanceReport) -> bool:
        if (report.target_id, report.born_ms) in self._departed:
            return True
        if report.born_ms and known.born_ms:
            return report.born_ms < known.born_ms
        return False

    def _begin(self, report: InstanceReport, now: float) -> Change:
        if (report.target_id, report.born_ms) in self._departed:
            return Change.STALE
        self.report = report
        self.leaving_since = None
        if report.draining or (report.target_id, 0) in self._departed:
            self._leave(report, now)
            return Change.LEAVING
        return Change.ARRIVED

    def _leave(self, report: InstanceReport, now: float) -> None:
        self.leaving_since = now
        self._remember((report.target_id, report.born_ms))

    def _remember(self, lifetime: tuple[str, int]) -> None:
        self._departed[lifetime] = None
        if len(self._departed) > _MOST_DEPARTED:
            self._departed.popitem(last=False)
