"""Fleet-wide retry budget that needs no coordination between nodes.

Each node may retry a share of the calls that it sends itself and has a fixed
part of the fleet's slack. These shares add up to the fleet's bound, whatever
the nodes know about each other.

The budget serves services whose targets are healthy but reject a large part
of their calls. A root request that needs several such calls succeeds only if
each of them is retried until it is served, and the budget suffices for a part
of the roots. It therefore goes to the most important roots first. Less
important calls get what the others leave if their present demand lasts.

Calls made by a retried run are retries as well, at the service that they go
to. They are counted there but cannot be refused, so a call whose run makes
calls is retried only within what the budgets below it leave.
"""

import collections
import dataclasses

from . import running_calls

BUCKET_COUNT = 20
# Share of the ratio that a node uses. The rest covers calls that arrive in
# another window than the one in which they were counted.
USED_SHARE = 0.95
# Share of the slack that a node uses. A process that replaces a killed one
# does not know what that one has used in the same window.
SLACK_SHARE = 0.5
# Least use reported by a node that cannot tell which calls of its target serve
# a retry: calls made by retried runs may use as much of the bound again.
UNTRACKED_USE = 0.7
# Seconds for which a use reported by an upstream counts.
REPORT_TTL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBounds:
    """Fleet-wide bound on retries.

    Args:
        ratio: Retries allowed per call to a service.
        window_s: Window in seconds over which both are counted.
        slack: Retries allowed beyond that in a window, over all nodes.
    """

    ratio: float
    window_s: float
    slack: float


class RetryBudget:
    """This node's share of the bound, for each service.

    Args:
        bounds: Fleet-wide bound.

    Attributes:
        bounds: Fleet-wide bound; may be replaced by one with the same
            window.
    """

    def __init__(self, bounds: RetryBounds) -> None:
        self.bounds = bounds
        self._bucket_s = bounds.window_s / BUCKET_COUNT
        self._windows: dict[str, _Window] = {}
        self._reports: dict[str, _Report] = {}
        self._called_by_target: set[str] = set()

    def count_call(
        self, service: str, now: float, *, is_nested: bool, is_retry: bool
    ) -> None:
        """Count the first attempt of a call.

        Args:
            service: The service that is called.
            now: Monotonic time in seconds.
            is_nested: Whether this node's own target makes the call.
            is_retry: Whether the run that makes the call is a retry, so that
                the call counts as one.
        """
        window = self._find_window(service, now)
        if is_nested:
            self._called_by_target.add(service)
        if is_retry:
            window.count_inherited()
        else:
            window.count_call()

    def record_report(self, service: str, use: float, now: float) -> None:
        """Record which part of the budgets below a service is used.

        Args:
            service: The service whose upstream reports it.
            use: The part, from 0 to 1.
            now: Monotonic time in seconds.
        """
        self._reports[service] = _Report(use, now)

    def compute_nested_use(
        self, now: float, nodes: int, *, is_tracked: bool
    ) -> float:
        """Return which part of the budgets for the target's calls is used.

        Args:
            now: Monotonic time in seconds.
            nodes: Number of nodes that share the slack, including this one.
            is_tracked: Whether it is known which of these calls serve a
                retry.

        Returns:
            The highest part of all services that the target calls, directly
            or not, from 0 to 1.
        """
        if not self._called_by_target:
            return 0.0
        use = max(
            self._compute_use(service, now, nodes)
            for service in self._called_by_target
        )
        return use if is_tracked else max(use, UNTRACKED_USE)

    def acquire(
        self,
        service: str,
        now: float,
        nodes: int,
        *,
        priority: running_calls.Priority,
        makes_calls: bool,
    ) -> bool:
        """Acquire one retry and return whether the budget had one left.

        Args:
            service: The service that the retry is sent to.
            now: Monotonic time in seconds.
            nodes: Number of nodes that share the slack, including this one.
            priority: Priority of the call.
            makes_calls: Whether the call's run may make calls itself.
        """
        window = self._find_window(service, now)
        limit = self._compute_limit(window, nodes)
        if makes_calls:
            limit *= 1.0 - self._get_report(service, now)
        reserved = window.request(priority)
        if window.used + reserved + 1 > limit:
            return False
        window.grant(priority)
        return True

    def _compute_use(self, service: str, now: float, nodes: int) -> float:
        window = self._find_window(service, now)
        use = 0.0
        if window.used:
            limit = self._compute_limit(window, nodes)
            use = min(1.0, window.used / max(1.0, limit))
        return max(use, self._get_report(service, now))

    def _compute_limit(self, window: '_Window', nodes: int) -> float:
        slack = SLACK_SHARE * self.bounds.slack / max(1, nodes)
        return USED_SHARE * self.bounds.ratio * window.calls + slack

    def _get_report(self, service: str, now: float) -> float:
        report = self._reports.get(service)
        if report is None or now - report.received_at >= REPORT_TTL_S:
            return 0.0
        return report.use

    def _find_window(self, service: str, now: float) -> '_Window':
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        window.advance(int(now / self._bucket_s))
        return window


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """Use of the budgets below a service, from 0 to 1."""

    use: float
    received_at: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    index: int
    calls: int = 0
    used: int = 0
    requested: collections.Counter[running_calls.Priority] = dataclasses.field(
        default_factory=collections.Counter
    )
    granted: collections.Counter[running_calls.Priority] = dataclasses.field(
        default_factory=collections.Counter
    )


class _Window:
    """Calls and retries of one service in the last window.

    Attributes:
        used: Retries in the window, with those of retried runs.
    """

    def __init__(self) -> None:
        self.used = 0
        self._calls = 0
        self._buckets: collections.deque[_Bucket] = collections.deque()

    @property
    def calls(self) -> int:
        """Calls in the window.

        The oldest bucket lies partly before the window. Its retries count,
        its calls do not, so that the bound holds in every window.
        """
        oldest = self._buckets[0]
        if oldest.index > self._buckets[-1].index - BUCKET_COUNT:
            return self._calls
        return self._calls - oldest.calls

    def advance(self, index: int) -> None:
        """Begin a bucket if its time has come, and drop the oldest ones."""
        buckets = self._buckets
        if buckets and buckets[-1].index == index:
            return
        buckets.append(_Bucket(index))
        while buckets[0].index < index - BUCKET_COUNT:
            dropped = buckets.popleft()
            self._calls -= dropped.calls
            self.used -= dropped.used

    def count_call(self) -> None:
        """Count a call."""
        self._calls += 1
        self._buckets[-1].calls += 1

    def count_inherited(self) -> None:
        """Count a call made by a retried run."""
        self.used += 1
        self._buckets[-1].used += 1

    def grant(self, priority: running_calls.Priority) -> None:
        """Count a retry."""
        self.used += 1
        self._buckets[-1].used += 1
        self._buckets[-1].granted[priority] += 1

    def request(self, priority: running_calls.Priority) -> int:
        """Record that a retry is wanted.

        Args:
            priority: Priority of the call.

        Returns:
            Retries to leave for more important calls, which get as many in
            each window as they want now.
        """
        newest = self._buckets[-1]
        newest.requested[priority] += 1
        granted = 0
        demand = 0
        for bucket in self._buckets:
            granted += _count_before(bucket.granted, priority)
            # The newest bucket is incomplete.
            if bucket.index >= newest.index - 1:
                requested = _count_before(bucket.requested, priority)
                demand = max(demand, requested)
        return max(0, BUCKET_COUNT * demand - granted)


def _count_before(
    counts: collections.Counter[running_calls.Priority],
    priority: running_calls.Priority,
) -> int:
    return sum(count for key, count in counts.items() if key < priority)
