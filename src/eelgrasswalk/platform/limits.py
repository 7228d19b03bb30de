"""Limits on the use of the platform: a budget and a circuit breaker."""

import dataclasses


class Budget:
    """A token bucket whose time comes from its caller.

    Args:
        rate: Tokens a second.
        burst: Most tokens that it holds.
        now: Seconds of the caller's clock.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated = now

    def take(self, cost: float, now: float) -> float:
        """Take tokens if they are there.

        A cost above the burst is taken when the bucket is full.

        Args:
            cost: Tokens to take.
            now: Seconds of the caller's clock.

        Returns:
            0 if they were taken, otherwise the seconds until they will be
            there.
        """
        passed = max(0.0, now - self._updated)
        self._updated = now
        self._tokens = min(self._burst, self._tokens + passed * self._rate)
        needed = min(cost, self._burst)
        if self._tokens >= needed:
            self._tokens -= cost
            return 0.0
        return (needed - self._tokens) / self._rate


@dataclasses.dataclass(frozen=True, slots=True)
class CircuitLimits:
    """When the circuit opens and for how long.

    Args:
        failures: Failures in a row that open it.
        first_open_s: Seconds that it stays open at first.
        longest_open_s: Most seconds that it stays open; the time doubles
            with every probe that fails.
    """

    failures: int = 5
    first_open_s: float = 0.5
    longest_open_s: float = 5.0


class Circuit:
    """A circuit breaker that lets one probe through when its time is up."""

    def __init__(self, limits: CircuitLimits) -> None:
        self._limits = limits
        self._failures = 0
        self._open_s = limits.first_open_s
        self._open_until: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether the circuit waits for a probe to succeed."""
        return self._open_until is not None

    def allows(self, now: float) -> bool:
        """Tell whether a request may be sent; it then counts as the probe.

        Args:
            now: Seconds of the caller's clock.
        """
        if self._open_until is None:
            return True
        if now < self._open_until:
            return False
        self._open_until = now + self._open_s
        return True

    def record_success(self) -> None:
        """Close the circuit."""
        self._failures = 0
        self._open_s = self._limits.first_open_s
        self._open_until = None

    def record_failure(self, now: float) -> None:
        """Count a failure and open the circuit when it is one too many."""
        self._failures += 1
        if self._open_until is not None:
            longest = self._limits.longest_open_s
            self._open_s = min(self._open_s * 2, longest)
            self._open_until = now + self._open_s
        elif self._failures >= self._limits.failures:
            self._open_until = now + self._open_s
