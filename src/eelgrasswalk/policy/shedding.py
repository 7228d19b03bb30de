"""Controls the load shedding level of a node from its offered load."""

import dataclasses
import math

from . import levels

BUCKETS_PER_IMPORTANCE = 64
BUCKETS = levels.CLASSES * BUCKETS_PER_IMPORTANCE


@dataclasses.dataclass(frozen=True, slots=True)
class SheddingSettings:
    """Settings of load shedding.

    Args:
        window_s: Time between two changes of the level, in seconds.
        queue_delay_s: Minimum queue delay within a window above which the
            target counts as overloaded, in seconds.
        queue_delay_service_times: The same as a multiple of the mean service
            time; the longer of both applies. A short queue keeps the target
            busy and is no overload.
        history_weight: Factor applied to the histogram counts of past windows
            when a new window begins.
        min_decrease: Share of the admitted load that an overloaded window
            removes in addition to the share that was refused.
        max_decrease: Largest share that one window may remove.
        max_increment: Largest increase in one window, in buckets.
        idle_ratio: Utilization of the limit below which the level rises by
            max_increment immediately.
        idle_s: Seconds without a call after which everything is admitted.
    """

    window_s: float = 0.1
    queue_delay_s: float = 0.005
    queue_delay_service_times: float = 0.5
    history_weight: float = 0.8
    min_decrease: float = 0.03
    max_decrease: float = 0.5
    max_increment: int = 32
    idle_ratio: float = 0.6
    idle_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of the target at the end of a window.

    Args:
        in_flight: Calls that are running.
        limit: Calls that may run concurrently.
        service_s: Mean service time in seconds; 0 if unknown.
    """

    in_flight: int
    limit: int
    service_s: float


class LevelController:
    """Adjusts a cutoff over importance and root hash once per window.

    On overload the cutoff falls by the share that was refused, looked up in
    a histogram of the offered roots. Otherwise it rises by an increment that
    doubles with each window without overload. Only roots that the level
    admits count as signs of overload: others use spare capacity and are
    expected to wait or be refused.

    Args:
        settings: Window length, thresholds and increments.
    """

    def __init__(self, settings: SheddingSettings) -> None:
        self._settings = settings
        self._cutoff = BUCKETS
        self._increment = 1
        self._window_ends_at = 0.0
        self._offered = [0.0] * BUCKETS
        self._refusals = 0
        self._starts = 0
        self._delay_s = 0.0
        self._min_delay_s = math.inf
        self._mean_delay_s = 0.0

    @property
    def window_ends_at(self) -> float:
        """When end_window is due, in seconds."""
        return self._window_ends_at

    def observe_offer(self, importance: int, root_hash: float) -> None:
        """Count an offered call."""
        bucket = int((importance + root_hash) * BUCKETS_PER_IMPORTANCE)
        self._offered[min(bucket, BUCKETS - 1)] += 1.0

    def observe_start(
        self, importance: int, root_hash: float, queue_delay_s: float
    ) -> None:
        """Count a started call and its queue delay."""
        if self.admits(importance, root_hash):
            self._starts += 1
            self._delay_s += queue_delay_s
            if queue_delay_s < self._min_delay_s:
                self._min_delay_s = queue_delay_s

    def observe_refusal(self, importance: int, root_hash: float) -> None:
        """Count a call that was refused because of overload."""
        if self.admits(importance, root_hash):
            self._refusals += 1

    def admits(self, importance: int, root_hash: float) -> bool:
        """Return whether the level admits a root."""
        position = (importance + root_hash) * BUCKETS_PER_IMPORTANCE
        return position < self._cutoff

    def end_window(self, now: float, load: Load) -> None:
        """Update the level and begin the next window.

        Args:
            now: The time, in seconds.
            load: Current load of the target.
        """
        self._mean_delay_s = self._delay_s / max(1, self._starts)
        if now - self._window_ends_at > self._settings.idle_s:
            self._cutoff = BUCKETS
            self._increment = 1
        elif self._is_overloaded(load):
            self._decrease()
        elif self._cutoff < BUCKETS:
            self._increase(load)
        self._begin_window(now)

    def level(self) -> levels.Level:
        """Return the current level."""
        if self._cutoff == BUCKETS:
            return levels.Level(levels.CLASSES - 1, 1.0, self._mean_delay_s)
        cutoff = self._cutoff / BUCKETS_PER_IMPORTANCE
        return levels.make_level(cutoff, self._mean_delay_s)

    def _begin_window(self, now: float) -> None:
        self._window_ends_at = now + self._settings.window_s
        history_weight = self._settings.history_weight
        self._offered = [count * history_weight for count in self._offered]
        self._refusals = 0
        self._starts = 0
        self._delay_s = 0.0
        self._min_delay_s = math.inf

    def _is_overloaded(self, load: Load) -> bool:
        if self._refusals:
            return True
        if not self._starts:
            return False
        # A queue that empties from time to time indicates a burst, not
        # overload. Up to about one service time of delay is normal, as a call
        # may wait for a slot that a less important call holds.
        settings = self._settings
        wait_s = settings.queue_delay_service_times * load.service_s
        return self._min_delay_s > max(settings.queue_delay_s, wait_s)

    def _increase(self, load: Load) -> None:
        most = self._settings.max_increment
        if load.in_flight < self._settings.idle_ratio * load.limit:
            self._increment = most
        self._cutoff = min(BUCKETS, self._cutoff + self._increment)
        self._increment = min(most, 2 * self._increment)

    def _decrease(self) -> None:
        self._increment = 1
        settings = self._settings
        below = sum(self._offered[: self._cutoff])
        cut = self._refusals / max(1.0, below)
        keep = below * (
            1.0 - min(settings.max_decrease, settings.min_decrease + cut)
        )
        total = 0.0
        for bucket in range(self._cutoff):
            total += self._offered[bucket]
            if total > keep:
                self._cutoff = max(1, bucket)
                return
