"""Offered load of a target, as a multiple of its capacity."""

import math

TIME_CONSTANT_S = 1.0


class WorkRate:
    """Exponentially decaying sum of the recently offered work."""

    def __init__(self) -> None:
        self._work_s = 0.0
        self._at = 0.0

    def add(self, work_s: float, now: float) -> None:
        """Add offered work.

        Args:
            work_s: Seconds for which the work occupies a slot.
            now: The time, in seconds.
        """
        self._decay(now)
        self._work_s += work_s

    def measure(self, slots: int, now: float) -> float:
        """Return the offered load relative to the capacity of all slots.

        Args:
            slots: Calls that the target can run concurrently.
            now: The time, in seconds.
        """
        self._decay(now)
        return self._work_s / TIME_CONSTANT_S / slots

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._at)
        self._at = now
        self._work_s *= math.exp(-elapsed_s / TIME_CONSTANT_S)
