"""Finds the level at which a node sheds, from what it was offered."""

import dataclasses
import math

from . import levels

BUCKETS_PER_CLASS = 64
BUCKETS = levels.CLASSES * BUCKETS_PER_CLASS


@dataclasses.dataclass(frozen=True, slots=True)
class SheddingSettings:
    """Settings of the level.

    Args:
        window_s: Seconds between two changes.
        queue_delay_s: Shortest wait in a window that counts as overload.
        service_delays: The same in mean service times, if that is longer;
            a short queue keeps the target busy.
        memory: Weight of past windows in the histogram.
        min_cut: Share of what the level admits that a window with overload
            cuts besides the share that was refused.
        max_cut: Share that one window may cut at most.
        max_step: Largest rise in a window, in buckets.
        idle_ratio: Share of the limit in use below which the level rises by
            the largest step at once.
        idle_s: Seconds without a call after which everything is admitted.
    """

    window_s: float = 0.1
    queue_delay_s: float = 0.005
    service_delays: float = 0.5
    memory: float = 0.8
    min_cut: float = 0.03
    max_cut: float = 0.5
    max_step: int = 32
    idle_ratio: float = 0.6
    idle_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What the target is doing when a window ends.

    Args:
        in_flight: Calls running.
        limit: Calls that may run.
        service_s: Mean service time in seconds; 0 if unknown.
    """

    in_flight: int
    limit: int
    service_s: float


class LevelControl:
    """Moves a cutoff over importance and root hash, once a window.

    On overload the cutoff falls by the share that was refused, read from a
    histogram of the offered roots. Otherwise it rises by a step that doubles
    with each quiet window. Only what happens to roots that the level admits
    tells overload: others take what is left, and may wait or be refused.
    """

    def __init__(self, settings: SheddingSettings) -> None:
        self._settings = settings
        self._cutoff = BUCKETS
        self._step = 1
        self._window_ends_at = 0.0
        self._offered = [0.0] * BUCKETS
        self._refusals = 0
        self._starts = 0
        self._delay_s = 0.0
        self._min_delay_s = math.inf
        self._mean_delay_s = 0.0

    @property
    def window_ends_at(self) -> float:
        """When roll is due, in seconds."""
        return self._window_ends_at

    def observe_offer(self, importance: int, root_hash: float) -> None:
        """Count an offered call."""
        bucket = int((importance + root_hash) * BUCKETS_PER_CLASS)
        self._offered[min(bucket, BUCKETS - 1)] += 1.0

    def observe_start(
        self, importance: int, root_hash: float, queue_delay_s: float
    ) -> None:
        """Count a started call and its wait."""
        if self.admits(importance, root_hash):
            self._starts += 1
            self._delay_s += queue_delay_s
            if queue_delay_s < self._min_delay_s:
                self._min_delay_s = queue_delay_s

    def observe_refusal(self, importance: int, root_hash: float) -> None:
        """Count a call that was refused for overload."""
        if self.admits(importance, root_hash):
            self._refusals += 1

    def admits(self, importance: int, root_hash: float) -> bool:
        """Return whether the level admits a root."""
        place = (importance + root_hash) * BUCKETS_PER_CLASS
        return place < self._cutoff

    def roll(self, now: float, load: Load) -> None:
        """End the window.

        Args:
            now: The time, in seconds.
            load: What the target is doing.
        """
        self._mean_delay_s = self._delay_s / max(1, self._starts)
        if now - self._window_ends_at > self._settings.idle_s:
            self._cutoff = BUCKETS
            self._step = 1
        elif self._is_overloaded(load):
            self._lower()
        elif self._cutoff < BUCKETS:
            self._raise(load)
        self._begin_window(now)

    def level(self) -> levels.Level:
        """Return the level of now."""
        if self._cutoff == BUCKETS:
            return levels.Level(levels.CLASSES - 1, 1.0, self._mean_delay_s)
        cutoff = self._cutoff / BUCKETS_PER_CLASS
        return levels.make_level(cutoff, self._mean_delay_s)

    def _begin_window(self, now: float) -> None:
        self._window_ends_at = now + self._settings.window_s
        memory = self._settings.memory
        self._offered = [count * memory for count in self._offered]
        self._refusals = 0
        self._starts = 0
        self._delay_s = 0.0
        self._min_delay_s = math.inf

    def _is_overloaded(self, load: Load) -> bool:
        if self._refusals:
            return True
        if not self._starts:
            return False
        # A queue that empties now and then is a burst, not overload; and a
        # call may have to wait for the next slot behind less important ones.
        settings = self._settings
        wait_s = settings.service_delays * load.service_s
        return self._min_delay_s > max(settings.queue_delay_s, wait_s)

    def _raise(self, load: Load) -> None:
        most = self._settings.max_step
        if load.in_flight < self._settings.idle_ratio * load.limit:
            self._step = most
        self._cutoff = min(BUCKETS, self._cutoff + self._step)
        self._step = min(most, 2 * self._step)

    def _lower(self) -> None:
        self._step = 1
        settings = self._settings
        below = sum(self._offered[: self._cutoff])
        cut = self._refusals / max(1.0, below)
        keep = below * (1.0 - min(settings.max_cut, settings.min_cut + cut))
        total = 0.0
        for bucket in range(self._cutoff):
            total += self._offered[bucket]
            if total > keep:
                self._cutoff = max(1, bucket)
                return
