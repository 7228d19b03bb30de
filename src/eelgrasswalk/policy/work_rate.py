"""How much work comes to a target, as a multiple of what it can do."""

import math

# Calls of about the last second count.
MEMORY_S = 1.0


class WorkRate:
    """A decaying sum of the work that has come lately."""

    def __init__(self) -> None:
        self._work_s = 0.0
        self._at = 0.0

    def add(self, work_s: float, now: float) -> None:
        """Note work that has come.

        Args:
            work_s: Seconds for which it takes up a slot.
            now: The time, in seconds.
        """
        self._decay(now)
        self._work_s += work_s

    def measure(self, slots: int, now: float) -> float:
        """Return the work that comes in a second per second of all slots."""
        self._decay(now)
        return self._work_s / MEMORY_S / slots

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._at)
        self._at = now
        self._work_s *= math.exp(-elapsed_s / MEMORY_S)
