"""Circuit breaker that stops retries to an overloaded service."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class BreakerSettings:
    """Settings of the retry breaker.

    Args:
        ratio: Retries allowed per request, first attempts only.
        time_constant_s: Seconds in which the counts decay by a factor of e.
        min_retries: Retries that are allowed at any request rate.
    """

    ratio: float = 0.08
    time_constant_s: float = 5.0
    min_retries: float = 1.0


@dataclasses.dataclass(slots=True)
class _Counts:
    requests: float
    retries: float
    updated_at: float


class RetryBreaker:
    """Limits the ratio of retries to first attempts for each service."""

    def __init__(self, settings: BreakerSettings | None = None) -> None:
        self._settings = settings or BreakerSettings()
        self._counts: dict[str, _Counts] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count the first attempt of a request to a service."""
        self._decay(service, now).requests += 1.0

    def count_retry(self, service: str, now: float) -> None:
        """Count a retry of a request to a service."""
        self._decay(service, now).retries += 1.0

    def is_open(self, service: str, now: float) -> bool:
        """Return whether no further retry may be sent to a service."""
        counts = self._decay(service, now)
        allowed = max(
            self._settings.min_retries, self._settings.ratio * counts.requests
        )
        return counts.retries >= allowed

    def _decay(self, service: str, now: float) -> _Counts:
        counts = self._counts.get(service)
        if counts is None:
            counts = _Counts(0.0, 0.0, now)
            self._counts[service] = counts
            return counts
        elapsed = now - counts.updated_at
        if elapsed > 0.0:
            factor = math.exp(-elapsed / self._settings.time_constant_s)
            counts.requests *= factor
            counts.retries *= factor
            counts.updated_at = now
        return counts
