"""Limits the rate at which calls to one target start.

It handles a target in trouble that names the calls per second that it accepts
from all nodes together, far below what its slots could run. All calls to a
target pass the node beside it, so its token bucket holds the limit for the
whole fleet.
"""

# Burst that the bucket allows, as seconds of the named rate.
BURST_S = 0.5
# A target that names less than this is still sent calls at this rate, in calls
# per second, as only an answer shows that the limit has ended.
MIN_CALLS_PER_S = 0.5
_ROUNDING = 1e-9


class StartRate:
    """Token bucket for the starts of calls; without limit until one is set.

    Times are in seconds of a monotonic clock.

    Attributes:
        calls_per_s: The limit in force, in calls per second; None for none.
    """

    def __init__(self) -> None:
        self.calls_per_s: float | None = None
        self._tokens = 0.0
        self._filled_at = 0.0

    def set_limit(self, calls_per_s: float | None, now: float) -> None:
        """Set or lift the limit.

        A new limit starts with a single token, since the target has just had
        calls at a higher rate.

        Args:
            calls_per_s: Calls per second; None for no limit.
            now: Current time.
        """
        if calls_per_s is None:
            self.calls_per_s = None
            return
        calls_per_s = max(calls_per_s, MIN_CALLS_PER_S)
        if self.calls_per_s is None:
            self._tokens = 1.0
            self._filled_at = now
        else:
            self._refill(now)
        self.calls_per_s = calls_per_s
        self._tokens = min(self._tokens, self._depth)

    def may_start(self, now: float) -> bool:
        """Return whether a call may start."""
        return self.compute_wait(now) <= _ROUNDING

    @property
    def next_start_at(self) -> float | None:
        """When the next call may start; None without a limit."""
        if self.calls_per_s is None:
            return None
        return self._filled_at + (1.0 - self._tokens) / self.calls_per_s

    def take(self, now: float) -> None:
        """Count a call that starts."""
        if self.calls_per_s is not None:
            self._refill(now)
            self._tokens -= 1.0

    def compute_wait(self, now: float, *, ahead: int = 0) -> float:
        """Return the seconds until the next call may start.

        Args:
            now: Current time.
            ahead: Calls that start before it.
        """
        if self.calls_per_s is None:
            return 0.0
        self._refill(now)
        return max(0.0, 1.0 + ahead - self._tokens) / self.calls_per_s

    def compute_load(self, now: float, *, waiting: int) -> float:
        """Return the use of the limit; 1.0 if no call may start.

        Args:
            now: Current time.
            waiting: Calls that wait for their start.
        """
        if self.calls_per_s is None:
            return 0.0
        self._refill(now)
        spent = self._depth - self._tokens + waiting
        return max(0.0, spent) / self._depth

    @property
    def _depth(self) -> float:
        assert self.calls_per_s is not None
        return max(1.0, BURST_S * self.calls_per_s)

    def _refill(self, now: float) -> None:
        assert self.calls_per_s is not None
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._tokens = min(
            self._depth, self._tokens + elapsed_s * self.calls_per_s
        )
