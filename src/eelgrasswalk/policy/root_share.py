"""Limits the root calls that a target starts while its own calls fail.

It handles a downstream service that has lost so much capacity that it cannot
serve all calls of its callers. Each root needs several such calls, so most
roots would fail after their work is done. Root calls are refused before the
target starts them, until the downstream calls of the others succeed.

The admitted share falls with the ratio of calls that fail for lack of
capacity. It recovers in steps that double while no call fails that way. Roots
are selected by their hash, so that a retried root gets the same decision on
every node.
"""

import dataclasses

from .. import verdict
from .capacity import service_times

_CAPACITY_REASONS = frozenset(
    (verdict.Reason.OVERLOAD, verdict.Reason.DEADLINE)
)


@dataclasses.dataclass(frozen=True, slots=True)
class ShareSettings:
    """Settings of the admitted share of roots.

    Args:
        interval_s: Seconds over which calls are counted; a few round trips
            to a downstream service.
        min_calls: Calls that are needed to evaluate an interval.
        tolerated_ratio: Ratio of capacity failures that is ignored, since
            individual ones always occur.
        decrease_per_failure: Decrease of the share, relative to its value,
            per excess ratio of capacity failures; one half, as roots make
            several calls.
        max_decrease: Largest relative decrease of the share in one interval.
        min_share: Share that is always admitted, to detect that downstream
            calls succeed again.
        settling_intervals: Intervals without a decrease after each decrease,
            in which calls of roots started before it still fail.
        first_increment: Increase of the share after the first interval
            without excess failures.
        max_increment: Largest increase of the share in one interval.
        retry_after_s: Seconds after which a refused caller may retry; the
            share needs a few intervals to increase.
    """

    interval_s: float = 0.25
    min_calls: int = 4
    tolerated_ratio: float = 0.05
    decrease_per_failure: float = 0.5
    max_decrease: float = 0.3
    min_share: float = 0.05
    settling_intervals: int = 1
    first_increment: float = 0.02
    max_increment: float = 0.2
    retry_after_s: float = 1.0


class RootShares:
    """Admitted shares of the roots of one target, by route.

    Args:
        settings: Thresholds and steps.
    """

    def __init__(self, settings: ShareSettings) -> None:
        self._settings = settings
        # Applies to all routes while no call could be matched to a route.
        self._unmatched = _Share(settings)
        self._by_route: dict[str, _Share] = {}

    @property
    def retry_after_s(self) -> float:
        """Seconds after which a refused root may be retried."""
        return self._settings.retry_after_s

    def observe(
        self, route: str | None, lacked_capacity: bool, now: float
    ) -> None:
        """Record the outcome of a call that the target made itself.

        Args:
            route: Route of the request that the call served. None if
                unknown, for example because the request has ended; such
                calls count only while no call had a known route.
            lacked_capacity: Whether the call failed for lack of downstream
                capacity.
            now: The time, in seconds.
        """
        if route is not None or not self._by_route:
            self._find(route).observe(lacked_capacity, now)

    def admits(self, route: str, root_hash: float, now: float) -> bool:
        """Return whether the target may start a root call.

        Args:
            route: Route of the root.
            root_hash: Hash of the root, 0 <= hash < 1.
            now: The time, in seconds.
        """
        return root_hash < self.compute_share(route, now)

    def compute_share(self, route: str, now: float) -> float:
        """Return the share of the roots of a route that is admitted."""
        share = self._unmatched.compute(now)
        known = self._by_route.get(route)
        return share if known is None else min(share, known.compute(now))

    def get_capacity_failure_ratio(self, route: str) -> float:
        """Return the ratio of capacity failures among a route's own calls."""
        known = self._by_route.get(route)
        failure_ratio = 0.0 if known is None else known.failure_ratio
        return max(failure_ratio, self._unmatched.failure_ratio)

    def _find(self, route: str | None) -> '_Share':
        if route is None:
            return self._unmatched
        share = self._by_route.get(route)
        if share is None:
            if len(self._by_route) >= service_times.MAX_ROUTES:
                self._by_route.clear()
            share = self._by_route[route] = _Share(self._settings)
        return share


class _Share:
    """Admitted share of the roots of one route.

    Attributes:
        failure_ratio: Ratio of capacity failures in the last evaluated
            interval.
    """

    def __init__(self, settings: ShareSettings) -> None:
        self._settings = settings
        self._share = 1.0
        self._increment = settings.first_increment
        self._ends_at = 0.0
        self._calls = 0
        self._capacity_failures = 0
        self._settling = 0
        self.failure_ratio = 0.0

    def observe(self, lacked_capacity: bool, now: float) -> None:
        """Record the outcome of a call."""
        self._calls += 1
        self._capacity_failures += lacked_capacity
        self._close_interval(now)

    def compute(self, now: float) -> float:
        """Return the admitted share."""
        if self._share < 1.0:
            self._close_interval(now)
        return self._share

    def _close_interval(self, now: float) -> None:
        if now < self._ends_at:
            return
        settings = self._settings
        self._ends_at = now + settings.interval_s
        calls = self._calls
        failure_ratio = self._capacity_failures / calls if calls else 0.0
        self._calls = 0
        self._capacity_failures = 0
        if calls < settings.min_calls and failure_ratio > 0.0:
            return
        self.failure_ratio = failure_ratio
        if failure_ratio > settings.tolerated_ratio:
            self._decrease(failure_ratio)
        else:
            self._increase()

    def _decrease(self, failure_ratio: float) -> None:
        if self._settling > 0:
            self._settling -= 1
            return
        settings = self._settings
        excess = failure_ratio - settings.tolerated_ratio
        decrease_per_failure = min(
            settings.max_decrease, settings.decrease_per_failure * excess
        )
        self._share = max(
            settings.min_share, self._share * (1.0 - decrease_per_failure)
        )
        self._increment = settings.first_increment
        self._settling = settings.settling_intervals

    def _increase(self) -> None:
        self._settling = 0
        self._share = min(1.0, self._share + self._increment)
        self._increment = min(
            self._settings.max_increment, 2.0 * self._increment
        )


def is_capacity_failure(
    outcome: verdict.Verdict, downstream_ratio: float
) -> bool:
    """Return whether a call failed for lack of downstream capacity.

    Args:
        outcome: Outcome of the call.
        downstream_ratio: Ratio of capacity failures among the calls that
            its target makes itself.
    """
    if isinstance(outcome, verdict.Answered):
        return outcome.is_failure and downstream_ratio > 0.0
    return outcome.reason in _CAPACITY_REASONS
