"""Adaptive concurrency limit for one target."""

import dataclasses
import math

MIN_SAMPLES = 10
SAMPLES_PER_SLOT = 2
SPREAD_WEIGHT = 0.25
MAX_EXTRA_WINDOWS = 10
MAX_WINDOW_S = 1.0
UNSATURATED_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ConcurrencySettings:
    """Settings of the adaptive concurrency limit.

    Args:
        window_s: Shortest time between two changes of the limit, in seconds.
        max_slowdown: Ratio of the service time to its baseline above which
            the target counts as overloaded.
        reported_full_max_slowdown: The same while the target reports that
            all its slots are in use.
        decrease_factor: Factor by which the limit is multiplied on overload.
        min_fraction: Smallest limit, as a share of the slots.
        initial_fraction: Limit of a cold target, as a share of the slots.
        ramp_duration_s: Seconds in which a cold target gets all its slots.
        failure_ratio: Share of failed calls that counts as overload.
        report_max_age_s: Seconds for which a load report is used.
    """

    window_s: float = 0.1
    max_slowdown: float = 2.0
    reported_full_max_slowdown: float = 1.5
    decrease_factor: float = 0.8
    min_fraction: float = 0.1
    initial_fraction: float = 0.2
    ramp_duration_s: float = 1.0
    failure_ratio: float = 0.1
    report_max_age_s: float = 2.0


class ConcurrencyLimit:
    """Estimates how many calls a target can run, at most its slots.

    The limit is lowered when service times grow while the limit is in use. If
    the throughput then falls along with the limit, the target itself or one
    of its dependencies has become slower. Less concurrency would not help
    in that case, so the longer service time becomes the new baseline.

    Args:
        settings: Window length, thresholds and factors.
        slots: Calls that the target can run concurrently.
    """

    def __init__(self, settings: ConcurrencySettings, *, slots: int) -> None:
        self._settings = settings
        self._slots = max(1, slots)
        self._limit = max(1.0, settings.initial_fraction * self._slots)
        self._started_at = math.inf
        self._ramping = True
        self._increment = 1.0
        self._baseline_s = math.inf
        self._mean_service_s = 0.0
        self._mean_own_s = 0.0
        self._min_service_s = 0.0
        self._before_decrease: tuple[float, float] | None = None
        self._reported_full_until = -math.inf
        self._last_report: tuple[int, int] | None = None
        self._window_began_at = 0.0
        self._window_ends_at = 0.0
        self._service_sum_s = 0.0
        self._own_sum_s = 0.0
        self._window_min_s = math.inf
        self._finished = 0
        self._failures = 0
        self._saturated = False

    @property
    def limit(self) -> int:
        """Calls that may run concurrently."""
        return max(1, min(int(self._limit), self._slots))

    @property
    def service_s(self) -> float:
        """Recent mean service time in seconds; 0 if unknown."""
        return self._mean_service_s

    @property
    def expected_s(self) -> float:
        """Seconds within which most calls finish."""
        spread_s = self._mean_service_s - self._min_service_s
        return self._mean_service_s + SPREAD_WEIGHT * spread_s

    def resize(self, slots: int) -> None:
        """Change the number of slots."""
        slots = max(1, slots)
        if self._started_at == math.inf:
            cold = self._settings.initial_fraction * slots
            self._limit = max(1.0, cold)
        else:
            self._limit *= slots / self._slots
        self._slots = slots

    def observe_start(self, in_flight: int, now: float) -> None:
        """Record that a call started.

        Args:
            in_flight: Running calls, including this one.
            now: The time, in seconds.
        """
        if self._started_at == math.inf:
            self._started_at = now
            self._begin_window(now)
        elif self._ramping:
            self._advance_ramp(now)
        if in_flight >= self.limit:
            self._saturated = True

    def observe_finish(
        self, service_s: float, own_s: float, now: float, ok: bool
    ) -> None:
        """Record that a call finished.

        Args:
            service_s: Service time of the target, in seconds.
            own_s: The same without the time that the target waited for its
                own calls, which a lower limit would not shorten.
            now: The time, in seconds.
            ok: False if the target refused the call or the connection to it
                was lost.
        """
        self._finished += 1
        if ok:
            self._service_sum_s += service_s
            self._own_sum_s += own_s
            if service_s < self._window_min_s:
                self._window_min_s = service_s
        else:
            self._failures += 1
        wait_s = 0.0
        if self._finished < max(MIN_SAMPLES, SAMPLES_PER_SLOT * self.limit):
            wait_s = MAX_EXTRA_WINDOWS * self._settings.window_s
        if now >= self._window_ends_at + wait_s:
            self._end_window(now)

    def observe_report(self, in_flight: int, slots: int, now: float) -> None:
        """Record the target's own load report.

        A report of a full target only makes the limit react to a smaller
        slowdown. A report that is equal to the previous one may be stuck and
        does not extend that period.

        Args:
            in_flight: Calls that the target reports as running.
            slots: Slots that the target reports.
            now: The time, in seconds.
        """
        report = (in_flight, slots)
        if report != self._last_report and in_flight >= slots:
            self._reported_full_until = now + self._settings.report_max_age_s
        elif in_flight < slots:
            self._reported_full_until = now
        self._last_report = report

    def _begin_window(self, now: float) -> None:
        self._window_began_at = now
        length_s = max(self._settings.window_s, 2.0 * self._mean_service_s)
        self._window_ends_at = now + min(length_s, MAX_WINDOW_S)
        self._service_sum_s = 0.0
        self._own_sum_s = 0.0
        self._window_min_s = math.inf
        self._finished = 0
        self._failures = 0
        self._saturated = False

    def _end_window(self, now: float) -> None:
        successes = self._finished - self._failures
        elapsed = max(now - self._window_began_at, 1e-6)
        if successes:
            self._mean_service_s = self._service_sum_s / successes
            self._mean_own_s = self._own_sum_s / successes
            self._min_service_s = self._window_min_s
        self._adjust(successes / elapsed, now)
        self._begin_window(now)

    def _adjust(self, throughput: float, now: float) -> None:
        settings = self._settings
        if self._failures >= max(3.0, settings.failure_ratio * self._finished):
            self._before_decrease = None
            self._decrease()
            return
        self._update_baseline(throughput)
        max_slowdown = settings.max_slowdown
        if now < self._reported_full_until:
            max_slowdown = settings.reported_full_max_slowdown
        slowdown = self._mean_own_s / max(self._baseline_s, 1e-9)
        if self._saturated and slowdown > max_slowdown:
            self._before_decrease = (self._limit, throughput)
            self._decrease()
            return
        self._before_decrease = None
        if slowdown < (1.0 + max_slowdown) / 2.0 or not self._saturated:
            self._increase()

    def _update_baseline(self, throughput: float) -> None:
        if self._mean_own_s <= self._baseline_s:
            self._baseline_s = self._mean_own_s
            return
        if not self._saturated:
            # Without contention, a longer service time comes from a
            # different mix of calls.
            self._baseline_s += UNSATURATED_WEIGHT * (
                self._mean_own_s - self._baseline_s
            )
            return
        if self._before_decrease is None:
            return
        limit, previous_throughput = self._before_decrease
        shrink = 1.0 - self._limit / limit
        if throughput < previous_throughput * (1.0 - 0.5 * shrink):
            self._baseline_s = self._mean_own_s

    def _decrease(self) -> None:
        self._ramping = False
        self._increment = 1.0
        floor = max(1.0, self._settings.min_fraction * self._slots)
        self._limit = max(floor, self._limit * self._settings.decrease_factor)

    def _increase(self) -> None:
        if self._ramping:
            return
        self._limit = min(self._slots, self._limit + self._increment)
        self._increment *= 2.0

    def _advance_ramp(self, now: float) -> None:
        settings = self._settings
        age = now - self._started_at
        share = settings.initial_fraction + age / settings.ramp_duration_s
        self._limit = max(self._limit, min(1.0, share) * self._slots)
        self._ramping = share < 1.0
