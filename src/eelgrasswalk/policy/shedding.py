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
        service_windows: The same in mean service times, if that is longer.
        max_window_s: Longest window in seconds.
        queue_delay_s: Shortest wait in a window that counts as overload.
        memory: Weight of past windows in the histogram.
        keep_ratio: Share of the work started in a window that the level
            keeps after overload.
        max_cut: Share of what the level admits that one window may cut.
        idle_s: Seconds without a call after which everything is admitted.
    """

    window_s: float = 0.1
    service_windows: float = 2.0
    max_window_s: float = 0.5
    queue_delay_s: float = 0.005
    memory: float = 0.5
    keep_ratio: float = 0.97
    max_cut: float = 0.5
    idle_s: float = 1.0


class LevelControl:
    """Moves a cutoff over importance and root hash, once a window.

    On overload the cutoff falls to what was started in the window, read
    from a histogram of the offered roots. Otherwise it rises by a step that
    doubles with each quiet window.
    """

    def __init__(self, settings: SheddingSettings) -> None:
        self._settings = settings
        self._cutoff = BUCKETS
        self._step = 1
        self._last_delay_s = 0.0
        self._window_ends_at = 0.0
        self._offered = [0.0] * BUCKETS
        self._starts = 0.0
        self._refusals = 0
        self._delays = 0
        self._delay_s = 0.0
        self._min_delay_s = math.inf

    def observe_offer(self, importance: int, root_hash: float) -> None:
        """Count an offered call."""
        bucket = int((importance + root_hash) * BUCKETS_PER_CLASS)
        self._offered[min(bucket, BUCKETS - 1)] += 1.0

    def observe_start(self, queue_delay_s: float) -> None:
        """Count a started call and its wait."""
        self._starts += 1.0
        self._delays += 1
        self._delay_s += queue_delay_s
        if queue_delay_s < self._min_delay_s:
            self._min_delay_s = queue_delay_s

    def observe_refusal(self, importance: int, root_hash: float) -> None:
        """Count a call that was refused for overload.

        Only the refusal of what the level admits shows that it is too high.
        """
        if self.admits(importance, root_hash):
            self._refusals += 1

    def admits(self, importance: int, root_hash: float) -> bool:
        """Return whether the level admits a root."""
        place = (importance + root_hash) * BUCKETS_PER_CLASS
        return place < self._cutoff

    def roll(self, now: float, service_s: float) -> None:
        """End the window if its time is over.

        Args:
            now: The time, in seconds.
            service_s: Mean service time in seconds; 0 if unknown.
        """
        if now < self._window_ends_at:
            return
        if now - self._window_ends_at > self._settings.idle_s:
            self._cutoff = BUCKETS
            self._step = 1
            self._last_delay_s = 0.0
            self._offered = [0.0] * BUCKETS
            self._starts = 0.0
            self._begin_window(now, service_s)
            return
        self._last_delay_s = self._delay_s / max(1, self._delays)
        if self._is_overloaded():
            self._lower()
        elif self._cutoff < BUCKETS:
            self._cutoff = min(BUCKETS, self._cutoff + self._step)
            self._step *= 2
        self._begin_window(now, service_s)

    def level(self) -> levels.Level:
        """Return the level of now."""
        if self._cutoff == BUCKETS:
            return levels.Level(levels.CLASSES - 1, 1.0, self._last_delay_s)
        cutoff = self._cutoff / BUCKETS_PER_CLASS
        return levels.make_level(cutoff, self._last_delay_s)

    def _begin_window(self, now: float, service_s: float) -> None:
        settings = self._settings
        length_s = max(settings.window_s, settings.service_windows * service_s)
        self._window_ends_at = now + min(length_s, settings.max_window_s)
        memory = settings.memory
        self._offered = [count * memory for count in self._offered]
        self._starts *= memory
        self._refusals = 0
        self._delays = 0
        self._delay_s = 0.0
        self._min_delay_s = math.inf

    def _is_overloaded(self) -> bool:
        if self._refusals:
            return True
        if not self._delays:
            return False
        # A queue that empties now and then is a burst, not overload.
        return self._min_delay_s > self._settings.queue_delay_s

    def _lower(self) -> None:
        self._step = 1
        below = sum(self._offered[: self._cutoff])
        keep = max(
            self._settings.keep_ratio * self._starts,
            (1.0 - self._settings.max_cut) * below,
        )
        total = 0.0
        for bucket in range(self._cutoff):
            total += self._offered[bucket]
            if total > keep:
                self._cutoff = max(1, bucket)
                return
