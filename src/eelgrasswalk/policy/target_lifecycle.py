"""Lifecycle of the target instance beside this node.

An instance is one run of the target's process. Its check-ins may arrive late,
twice or out of order, also after the instance has ended. An instance that has
begun to drain never becomes ready again.
"""

import collections
import dataclasses
import enum

_MAX_DRAINED = 64


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceReport:
    """State that a target instance reports in a check-in.

    Args:
        target_id: Id of the instance.
        born_ms: Start of the instance in Unix milliseconds; 0 if unknown.
        sequence: Increases with each report of an instance.
        slots: Number of calls that it runs concurrently.
        draining: Whether it is shutting down.
    """

    target_id: str
    born_ms: int
    sequence: int
    slots: int
    draining: bool

    @property
    def run_id(self) -> str:
        """Id of the instance that no other run has, even of the same id."""
        return f'{self.target_id}@{self.born_ms}'


class Change(enum.Enum):
    """Effect of a report on the known state."""

    NONE = 'none'
    ARRIVED = 'arrived'
    LEAVING = 'leaving'
    STALE = 'stale'


class TargetLifecycle:
    """Tracks the target instance that this node serves.

    Attributes:
        report: Last report of the instance; None before the first.
        leaving_since: When it began to drain, in seconds; None until then.
    """

    def __init__(self) -> None:
        self.report: InstanceReport | None = None
        self.leaving_since: float | None = None
        self._drained: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    @property
    def is_ready(self) -> bool:
        """Whether there is an instance that is not draining."""
        return self.report is not None and self.leaving_since is None

    def observe(self, report: InstanceReport, now: float) -> Change:
        """Record a report and return its effect."""
        current = self.report
        if current is None or self._is_other_instance(report, current):
            if current is not None and self._is_older_instance(
                report, current
            ):
                return Change.STALE
            return self._begin(report, now)
        if report.sequence <= current.sequence:
            return Change.STALE
        self.report = report
        if report.draining and self.leaving_since is None:
            self._begin_drain(report, now)
            return Change.LEAVING
        return Change.NONE

    def deregister(self, target_id: str, now: float) -> Change:
        """Record that an instance deregisters, and return the effect."""
        current = self.report
        if current is None or current.target_id != target_id:
            self._remember_drained((target_id, 0))
            return Change.STALE
        if self.leaving_since is not None:
            return Change.NONE
        self._begin_drain(current, now)
        return Change.LEAVING

    def restore(self, report: InstanceReport) -> None:
        """Adopt the state that an earlier process of this node had stored."""
        if self.report is None:
            self.report = report

    def _is_other_instance(
        self, report: InstanceReport, current: InstanceReport
    ) -> bool:
        return (report.target_id, report.born_ms) != (
            current.target_id,
            current.born_ms or report.born_ms,
        )

    def _is_older_instance(
        self, report: InstanceReport, current: InstanceReport
    ) -> bool:
        if (report.target_id, report.born_ms) in self._drained:
            return True
        if report.born_ms and current.born_ms:
            return report.born_ms < current.born_ms
        return False

    def _begin(self, report: InstanceReport, now: float) -> Change:
        if (report.target_id, report.born_ms) in self._drained:
            return Change.STALE
        self.report = report
        self.leaving_since = None
        if report.draining or (report.target_id, 0) in self._drained:
            self._begin_drain(report, now)
            return Change.LEAVING
        return Change.ARRIVED

    def _begin_drain(self, report: InstanceReport, now: float) -> None:
        self.leaving_since = now
        self._remember_drained((report.target_id, report.born_ms))

    def _remember_drained(self, instance: tuple[str, int]) -> None:
        self._drained[instance] = None
        if len(self._drained) > _MAX_DRAINED:
            self._drained.popitem(last=False)
