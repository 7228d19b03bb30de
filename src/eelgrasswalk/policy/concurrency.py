"""Adaptive concurrency limit of one target."""

import dataclasses
import math

MIN_SAMPLES = 10
SAMPLES_PER_SLOT = 2
SPREAD_SHARE = 0.25
MAX_LATE_WINDOWS = 10
MAX_WINDOW_S = 1.0
UNSATURATED_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ConcurrencySettings:
    """Settings of the adaptive limit.

    Args:
        window_s: Shortest time between two changes, in seconds.
        tolerance: Service time over its minimum that counts as overload.
        hinted_tolerance: The same while the target reports that it is full.
        decrease: Factor of the limit on overload.
        min_fraction: Share of the slots below which the limit never falls.
        start_fraction: Share of the slots that a cold target gets.
        ramp_s: Seconds over which a cold target gets all slots.
        failure_ratio: Share of failures that counts as overload.
        report_max_age_s: Seconds for which a load report is a hint.
    """

    window_s: float = 0.1
    tolerance: float = 2.0
    hinted_tolerance: float = 1.5
    decrease: float = 0.8
    min_fraction: float = 0.1
    start_fraction: float = 0.2
    ramp_s: float = 1.0
    failure_ratio: float = 0.1
    report_max_age_s: float = 2.0


class ConcurrencyLimit:
    """Follows what a target can run at a time, never above its slots.

    Service times that grow while the limit is in use lower it, unless the
    throughput falls along with it: then the target, or something below it,
    is slower as such, fewer calls at a time would not help, and the longer
    service time becomes the new minimum.

    Args:
        settings: The settings.
        slots: Calls that the target runs at a time.
    """

    def __init__(self, settings: ConcurrencySettings, *, slots: int) -> None:
        self._settings = settings
        self._slots = max(1, slots)
        self._limit = max(1.0, settings.start_fraction * self._slots)
        self._started_at = math.inf
        self._ramping = True
        self._step = 1.0
        self._base_s = math.inf
        self._mean_s = 0.0
        self._own_s = 0.0
        self._low_s = 0.0
        self._previous: tuple[float, float] | None = None
        self._full_until = -math.inf
        self._last_report: tuple[int, int] | None = None
        self._window_began_at = 0.0
        self._window_ends_at = 0.0
        self._sum_s = 0.0
        self._own_sum_s = 0.0
        self._min_s = math.inf
        self._count = 0
        self._failures = 0
        self._saturated = False

    @property
    def limit(self) -> int:
        """Calls that may run at a time."""
        return max(1, min(int(self._limit), self._slots))

    @property
    def service_s(self) -> float:
        """Recent mean service time in seconds; 0 if unknown."""
        return self._mean_s

    @property
    def expected_s(self) -> float:
        """Seconds in which most calls have ended."""
        spread_s = self._mean_s - self._low_s
        return self._mean_s + SPREAD_SHARE * spread_s

    def resize(self, slots: int) -> None:
        """Change the number of slots."""
        slots = max(1, slots)
        if self._started_at == math.inf:
            cold = self._settings.start_fraction * slots
            self._limit = max(1.0, cold)
        else:
            self._limit *= slots / self._slots
        self._slots = slots

    def observe_start(self, in_flight: int, now: float) -> None:
        """Note that a call started.

        Args:
            in_flight: Calls running, this one included.
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
        """Note that a call finished.

        Args:
            service_s: Seconds that the target took.
            own_s: The same without the time that it waited for calls of
                its own, which a lower limit would not shorten.
            now: The time, in seconds.
            ok: False if the target refused the call or was lost.
        """
        self._count += 1
        if ok:
            self._sum_s += service_s
            self._own_sum_s += own_s
            if service_s < self._min_s:
                self._min_s = service_s
        else:
            self._failures += 1
        wait_s = 0.0
        if self._count < max(MIN_SAMPLES, SAMPLES_PER_SLOT * self.limit):
            wait_s = MAX_LATE_WINDOWS * self._settings.window_s
        if now >= self._window_ends_at + wait_s:
            self._end_window(now)

    def observe_report(self, in_flight: int, slots: int, now: float) -> None:
        """Note the target's own report, which only narrows the tolerance.

        A report that never changes is stuck and says nothing.
        """
        report = (in_flight, slots)
        if report != self._last_report and in_flight >= slots:
            self._full_until = now + self._settings.report_max_age_s
        elif in_flight < slots:
            self._full_until = now
        self._last_report = report

    def _begin_window(self, now: float) -> None:
        self._window_began_at = now
        length_s = max(self._settings.window_s, 2.0 * self._mean_s)
        self._window_ends_at = now + min(length_s, MAX_WINDOW_S)
        self._sum_s = 0.0
        self._own_sum_s = 0.0
        self._min_s = math.inf
        self._count = 0
        self._failures = 0
        self._saturated = False

    def _end_window(self, now: float) -> None:
        successes = self._count - self._failures
        elapsed = max(now - self._window_began_at, 1e-6)
        if successes:
            self._mean_s = self._sum_s / successes
            self._own_s = self._own_sum_s / successes
            self._low_s = self._min_s
        self._adjust(successes / elapsed, now)
        self._begin_window(now)

    def _adjust(self, rate: float, now: float) -> None:
        settings = self._settings
        if self._failures >= max(3.0, settings.failure_ratio * self._count):
            self._previous = None
            self._decrease()
            return
        self._learn_base(rate)
        tolerance = settings.tolerance
        if now < self._full_until:
            tolerance = settings.hinted_tolerance
        slowdown = self._own_s / max(self._base_s, 1e-9)
        if self._saturated and slowdown > tolerance:
            self._previous = (self._limit, rate)
            self._decrease()
            return
        self._previous = None
        if slowdown < (1.0 + tolerance) / 2.0 or not self._saturated:
            self._increase()

    def _learn_base(self, rate: float) -> None:
        if self._own_s <= self._base_s:
            self._base_s = self._own_s
            return
        if not self._saturated:
            # Without contention, a longer time is another mix of calls.
            self._base_s += UNSATURATED_WEIGHT * (self._own_s - self._base_s)
            return
        if self._previous is None:
            return
        limit, previous_rate = self._previous
        shrink = 1.0 - self._limit / limit
        if rate < previous_rate * (1.0 - 0.5 * shrink):
            self._base_s = self._own_s

    def _decrease(self) -> None:
        self._ramping = False
        self._step = 1.0
        floor = max(1.0, self._settings.min_fraction * self._slots)
        self._limit = max(floor, self._limit * self._settings.decrease)

    def _increase(self) -> None:
        if self._ramping:
            return
        self._limit = min(self._slots, self._limit + self._step)
        self._step *= 2.0

    def _advance_ramp(self, now: float) -> None:
        settings = self._settings
        age = now - self._started_at
        share = settings.start_fraction + age / settings.ramp_s
        self._limit = max(self._limit, min(1.0, share) * self._slots)
        self._ramping = share < 1.0
