"""How old the newest certainty about the configuration is."""

import math


class Freshness:
    """Remembers until when the configuration in force was the newest.

    Keys may be withdrawn by a version that has not arrived. A node that has
    not been told for a while that there is none must not go by its keys.

    Args:
        limit_s: Seconds for which a confirmation counts.
    """

    def __init__(self, limit_s: float) -> None:
        self._limit_s = limit_s
        self._confirmed_at = -math.inf

    def confirm(self, true_at: float) -> None:
        """Take a confirmation.

        Args:
            true_at: When it was true for certain, in seconds of a clock
                that runs through suspension.
        """
        self._confirmed_at = max(self._confirmed_at, true_at)

    def get_age(self, now: float) -> float:
        """Return the seconds since the last certainty."""
        return now - self._confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Return whether keys may be relied on."""
        return now - self._confirmed_at < self._limit_s
