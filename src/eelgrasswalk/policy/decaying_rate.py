"""Rate of recent amounts, such as offered work or refused calls."""

import math


class DecayingRate:
    """Amounts per second, exponentially weighted towards the newest.

    Args:
        time_constant_s: Seconds over which the rate is averaged.
    """

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at a time in seconds."""
        self._decay(now)
        self._sum += amount

    def measure(self, now: float) -> float:
        """Return the rate per second, at a time in seconds."""
        self._decay(now)
        return self._sum / self._time_constant_s

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._at)
        self._at = now
        if self._sum:
            self._sum *= math.exp(-elapsed_s / self._time_constant_s)
