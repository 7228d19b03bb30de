"""Fleet-wide retry budget that needs no coordination between nodes.

Each node may retry a share of the calls that it sends itself and has a fixed
part of the fleet's slack. These shares add up to the fleet's bound, whatever
the nodes know about each other.

The budget also serves services whose targets are healthy but refuse a large
part of their calls. A root request that needs several such calls succeeds
only if each of them is retried until it is served. Retries are therefore
granted while the budget lasts, not divided among more root requests than
they can save.
"""

import collections
import dataclasses

BUCKET_COUNT = 20
# Shares of the bound that a node uses for calls whose execution makes no calls
# and for calls whose execution may make some. The latter is smaller because
# calls made by a retried call also count as retries at the services that they
# go to. Together the shares leave a small reserve.
LEAF_SHARE = 0.65
INNER_SHARE = 0.3


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


@dataclasses.dataclass(slots=True)
class _Bucket:
    index: int
    calls: int = 0
    retries: int = 0


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
        self._services: dict[str, collections.deque[_Bucket]] = {}

    def count_call(self, service: str, now: float) -> None:
        """Count the first attempt of a call."""
        self._find_bucket(service, now).calls += 1

    def acquire(
        self,
        service: str,
        now: float,
        nodes: int,
        *,
        is_leaf: bool,
    ) -> bool:
        """Acquire one retry and return whether the budget had one left.

        Args:
            service: The service that the retry is sent to.
            now: Monotonic time in seconds.
            nodes: Number of nodes that share the slack, including this one.
            is_leaf: Whether the call's execution makes no calls itself.
        """
        bucket = self._find_bucket(service, now)
        buckets = self._services[service]
        calls = sum(item.calls for item in buckets)
        retries = sum(item.retries for item in buckets)
        allowed = self.bounds.ratio * calls
        allowed += self.bounds.slack / max(1, nodes)
        limit = (LEAF_SHARE if is_leaf else INNER_SHARE) * allowed
        if retries + 1 > limit:
            return False
        bucket.retries += 1
        return True

    def _find_bucket(self, service: str, now: float) -> _Bucket:
        index = int(now / self._bucket_s)
        buckets = self._services.setdefault(service, collections.deque())
        if not buckets or buckets[-1].index != index:
            buckets.append(_Bucket(index))
        while buckets[0].index < index - BUCKET_COUNT:
            buckets.popleft()
        return buckets[-1]
