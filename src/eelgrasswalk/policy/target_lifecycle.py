"""Lifecycle of the target instance beside this node.

An instance is one run of the target's process. Its check-ins may arrive late,
twice or out of order, also after the instance has ended. An instance that has
begun to drain never becomes ready again.

It handles a node that is restarted, perhaps with all others and during an
outage of the store, after an earlier process has acknowledged that the
instance leaves. Neither the stored state nor a single check-in shows that the
instance is still ready: both may be older than its departure. The instance
itself remembers the departure, so a process that has just started goes by
what the instance says now.
"""

import collections
import dataclasses
import enum

# Sequence number of a report that was not heard but read from the store.
STORED_SEQUENCE = -1
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
    UNCONFIRMED = 'unconfirmed'
    STALE = 'stale'


class TargetLifecycle:
    """Tracks the target instance that this node serves.

    The first instance that is ready is confirmed by its answer to a health
    check, or by a second check-in: a check-in that is late is the last one.

    Attributes:
        report: Last report of the instance; None before the first.
        leaving_since: When it began to drain, in seconds; None until then.
    """

    def __init__(self) -> None:
        self.report: InstanceReport | None = None
        self.leaving_since: float | None = None
        self._is_confirmed = False
        self._drained: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    @property
    def is_ready(self) -> bool:
        """Whether there is a confirmed instance that is not draining."""
        return self._is_confirmed and self._is_staying

    @property
    def unconfirmed_run(self) -> str:
        """Id of the run that has yet to be confirmed; empty for none."""
        if self.report is None or self._is_confirmed or not self._is_staying:
            return ''
        return self.report.run_id

    @property
    def _is_staying(self) -> bool:
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
        if not self.unconfirmed_run:
            return Change.NONE
        if current.sequence == STORED_SEQUENCE:
            return Change.UNCONFIRMED
        return self.confirm(report.run_id)

    def confirm(self, run_id: str) -> Change:
        """Record that an instance is ready at present."""
        if not run_id or run_id != self.unconfirmed_run:
            return Change.NONE
        self._is_confirmed = True
        return Change.ARRIVED

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

    def restore(self, report: InstanceReport, now: float) -> Change:
        """Adopt the state that an earlier process of this node had stored.

        Args:
            report: The state, with STORED_SEQUENCE.
            now: Current time, in seconds.
        """
        if self.report is not None:
            return Change.STALE
        return self._begin(report, now)

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
        if not self._is_confirmed:
            return Change.UNCONFIRMED
        return Change.ARRIVED

    def _begin_drain(self, report: InstanceReport, now: float) -> None:
        self.leaving_since = now
        self._remember_drained((report.target_id, report.born_ms))

    def _remember_drained(self, instance: tuple[str, int]) -> None:
        self._drained[instance] = None
        if len(self._drained) > _MAX_DRAINED:
            self._drained.popitem(last=False)
