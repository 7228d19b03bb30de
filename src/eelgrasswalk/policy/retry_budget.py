"""Bounds repeats of calls over the whole fleet without any agreement.

Each node may repeat a share of the calls that it sends itself, and has a
fixed part of the fleet's slack. The parts add up to the fleet's bound
whatever the nodes know of each other.

Load pattern that it answers: all targets of a service refuse a large part of
their calls, though they are healthy. A root that needs several such calls
gets through only if each of them is repeated until it does, so repeats are
given while there are any, and not spread over more roots than they can save.
"""

import collections
import dataclasses

BUCKETS = 20
# Calls made by a run that was itself a repeat count as repeats as well, at
# the services that they go to. Parts of the bound that a node uses for calls
# whose runs make no others, and for calls whose runs may make some; together
# they leave a little of it.
LEAF_SHARE = 0.65
INNER_SHARE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBounds:
    """The fleet's bound.

    Args:
        ratio: Repeats for each call to a service.
        window_s: Seconds over which they are counted.
        slack: Repeats beyond that in a window, over all nodes.
    """

    ratio: float
    window_s: float
    slack: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    index: int
    calls: int = 0
    repeats: int = 0


class RetryBudget:
    """This node's part of the bound, for each service.

    Args:
        bounds: The fleet's bound.

    Attributes:
        bounds: The same; its window stays as it was.
    """

    def __init__(self, bounds: RetryBounds) -> None:
        self.bounds = bounds
        self._bucket_s = bounds.window_s / BUCKETS
        self._services: dict[str, collections.deque[_Bucket]] = {}

    def count_call(self, service: str, now: float) -> None:
        """Note a call that is sent for the first time."""
        self._find_bucket(service, now).calls += 1

    def acquire(
        self,
        service: str,
        now: float,
        nodes: int,
        *,
        is_leaf: bool,
    ) -> bool:
        """Take one repeat, and return whether there was one.

        Args:
            service: The service that gets the repeat.
            now: The time, in seconds.
            nodes: Nodes that share the slack, this one among them.
            is_leaf: Whether the call's run makes no calls itself.
        """
        bucket = self._find_bucket(service, now)
        buckets = self._services[service]
        calls = sum(item.calls for item in buckets)
        repeats = sum(item.repeats for item in buckets)
        allowed = self.bounds.ratio * calls
        allowed += self.bounds.slack / max(1, nodes)
        planned = (LEAF_SHARE if is_leaf else INNER_SHARE) * allowed
        if repeats + 1 > planned:
            return False
        bucket.repeats += 1
        return True

    def _find_bucket(self, service: str, now: float) -> _Bucket:
        index = int(now / self._bucket_s)
        buckets = self._services.setdefault(service, collections.deque())
        if not buckets or buckets[-1].index != index:
            buckets.append(_Bucket(index))
        while buckets[0].index < index - BUCKETS:
            buckets.popleft()
        return buckets[-1]
