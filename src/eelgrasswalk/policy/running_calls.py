"""Requests that a target is running, by their IDs.

Each call that a target makes carries the ID of the request that it serves, so
its outcome can be attributed to the route and the outcome of that request.
"""

import collections
import dataclasses

from .capacity import service_times

# A route counts as one that makes no calls of its own once so many requests
# have finished without any.
MIN_RUNS = 20
# Calls without a known parent per run of the target up to which they are
# attributed to other callers of the same routes, or to runs that have just
# ended. A target that does not pass on IDs makes at least one for each run of
# the routes that call.
TOLERATED_UNMATCHED = 0.05
# Runs after which the counts are halved, so that they follow the target.
COUNTED_RUNS = 1000


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Priority:
    """Priority of a request, which its nested calls inherit.

    The lowest goes first.

    Args:
        importance: Importance of the client account if it sets one, else
            that of the route.
        route_importance: Importance of the root's route.
    """

    importance: int
    route_importance: int


@dataclasses.dataclass(slots=True)
class Run:
    """A request that the target is running.

    Args:
        route: Its route.
        priority: Its priority.
        is_retry: Whether this run is a retry, or serves one.
        has_failed_call: Whether a call that the target made for it failed.
    """

    route: str
    priority: Priority
    is_retry: bool = False
    has_failed_call: bool = False


class RunningCalls:
    """Requests that one target is currently running."""

    def __init__(self) -> None:
        self._by_id: dict[str, Run] = {}
        self._finished: collections.Counter[str] = collections.Counter()
        self._calling_routes: set[str] = set()
        self._runs = 0.0
        self._unmatched = 0.0

    def begin(
        self,
        request_id: str,
        route: str,
        priority: Priority,
        *,
        is_retry: bool = False,
    ) -> None:
        """Record the start of a request; one without an ID is ignored.

        Args:
            request_id: ID of the request.
            route: Its route.
            priority: Its priority.
            is_retry: Whether this run is a retry, or serves one.
        """
        if request_id:
            self._by_id[request_id] = Run(route, priority, is_retry)

    def end(self, request_id: str) -> bool:
        """Record the end of a request.

        Returns:
            Whether a call that the target made for the request failed.
        """
        running = self._by_id.pop(request_id, None)
        if running is None:
            return False
        if len(self._finished) >= service_times.MAX_ROUTES:
            self._finished.clear()
        self._finished[running.route] += 1
        self._runs += 1.0
        if self._runs >= COUNTED_RUNS:
            self._runs /= 2.0
            self._unmatched /= 2.0
        return running.has_failed_call

    def find(self, request_id: str) -> Run | None:
        """Return a running request, or None if it is not known."""
        return self._by_id.get(request_id)

    def record_failed_call(self, request_id: str) -> None:
        """Record that a call made for a request failed."""
        running = self.find(request_id)
        if running is not None:
            running.has_failed_call = True

    def record_call(self, request_id: str) -> None:
        """Record that the target makes a call for a request.

        Args:
            request_id: ID of the request. If it is empty or not running, the
                call may belong to any route.
        """
        running = self.find(request_id)
        if running is None:
            self._unmatched += 1.0
        else:
            self._calling_routes.add(running.route)

    @property
    def is_tracked(self) -> bool:
        """Whether the calls of the target can be matched to its runs."""
        if not self._unmatched:
            return True
        return self._unmatched < TOLERATED_UNMATCHED * self._runs

    def makes_calls(self, route: str) -> bool:
        """Return whether requests of a route make calls, or may do so."""
        if not self.is_tracked or route in self._calling_routes:
            return True
        return self._finished[route] < MIN_RUNS
