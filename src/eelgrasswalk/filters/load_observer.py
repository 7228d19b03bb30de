"""Takes the load that a target reports from its answers."""

import typing

from .. import clock
from .. import events
from .. import ports
from .. import request_log
from .. import verdict
from ..policy.capacity import load_reports

# A target that reports these has a fault; the others may be a burst.
_LOGGED = frozenset(
    (load_reports.Flaw.MALFORMED, load_reports.Flaw.OVER_SLOTS)
)


class LoadObserver:
    """Keeps what the current run of the target reports.

    Args:
        dialect: Reads the target's answers.
        log: Counts reports that are ignored.
        count_calls: Returns how many calls were sent and have no answer.
        count_abandoned: Returns how many more the target may still run.

    Attributes:
        run_id: Id of the current run of the target; empty without one.
    """

    def __init__(
        self,
        dialect: ports.Dialect,
        log: request_log.RequestLog,
        *,
        count_calls: typing.Callable[[], int],
        count_abandoned: typing.Callable[[], int],
    ) -> None:
        self.run_id = ''
        self._target_id = ''
        self._slots = 0
        self._dialect = dialect
        self._log = log
        self._count_calls = count_calls
        self._count_abandoned = count_abandoned
        self._reports = load_reports.LoadReports()
        self._logged: set[load_reports.Flaw] = set()

    def set_target(self, target_id: str, slots: int, *, run_id: str) -> None:
        """Set the target; what an earlier run has reported is forgotten.

        Args:
            target_id: Id of the target.
            slots: Number of calls that the target runs at a time.
            run_id: Id of this run of the target.
        """
        if run_id != self.run_id:
            self._reports = load_reports.LoadReports()
            self._logged.clear()
        self.run_id = run_id
        self._target_id = target_id
        self._slots = slots

    def observe(self, response: verdict.Response, run_id: str) -> None:
        """Record what an answer to a call or a health check reports.

        Args:
            response: The answer.
            run_id: The run that was current when the request was sent; an
                answer of an earlier run says nothing of this one.
        """
        if run_id != self.run_id or not run_id:
            return
        report = self._dialect.read_load(response)
        if report is None and not self._reports.is_reporting:
            return
        if report is not None and self._is_from_another(response):
            return
        flaw = self._reports.record(
            report, clock.read_boot_time(), self._build_expected(report)
        )
        if flaw is not None:
            self._report_flaw(flaw, report)

    def measure_age(self) -> float | None:
        """Return seconds since the newest report; None without one."""
        return self._reports.measure_age(clock.read_boot_time())

    def find(self) -> load_reports.Known | None:
        """Return what is known; None when nothing new enough is."""
        return self._reports.find(clock.read_boot_time())

    def find_slowdown(self) -> float | None:
        """Return the host's slowdown; None if the target states none."""
        if not self._reports.is_reporting:
            return None
        known = self.find()
        return None if known is None else known.compute_slowdown()

    def _is_from_another(self, response: verdict.Response) -> bool:
        target_id = self._dialect.read_target_id(response)
        return target_id not in ('', self._target_id)

    def _build_expected(
        self, report: load_reports.Report
    ) -> load_reports.Expected:
        calls = most = self._count_calls()
        if (
            isinstance(report, ports.LoadReport)
            and report.running + report.waiting > calls
        ):
            most += self._count_abandoned()
        return load_reports.Expected(calls, most, self._slots)

    def _report_flaw(
        self, flaw: load_reports.Flaw, report: load_reports.Report
    ) -> None:
        self._log.count_ignored_load(flaw.value)
        if flaw not in _LOGGED or flaw in self._logged:
            return
        self._logged.add(flaw)
        events.log(
            events.LOAD_REPORT_IGNORED,
            target=self._target_id,
            cause=flaw.value,
            reported=str(report),
        )
