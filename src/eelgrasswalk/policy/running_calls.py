"""The requests that a target runs, by their ids.

Calls that a target makes name the request that they serve, so that their
ends can be held against its route and its outcome.
"""

import collections
import dataclasses

from . import service_times

# Runs of a route without a call of their own after which it is taken for one
# whose runs make none.
LEAST_RUNS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Urgency:
    """How important a request and the calls made for it are.

    Args:
        importance: By its client account, or its route.
        route_importance: By the route of its root.
    """

    importance: int
    route_importance: int


@dataclasses.dataclass(slots=True)
class _Running:
    route: str
    urgency: Urgency
    has_failed_call: bool = False


class RunningCalls:
    """What one target runs at the moment."""

    def __init__(self) -> None:
        self._by_id: dict[str, _Running] = {}
        self._runs: collections.Counter[str] = collections.Counter()
        self._calling: set[str] = set()
        self._has_unknown = False

    def begin(self, request_id: str, route: str, urgency: Urgency) -> None:
        """Note that the target runs a request; one without id is not kept."""
        if request_id:
            self._by_id[request_id] = _Running(route, urgency)

    def end(self, request_id: str) -> bool:
        """Note that it no longer runs a request.

        Returns:
            Whether a call that it made for the request has failed.
        """
        running = self._by_id.pop(request_id, None)
        if running is None:
            return False
        if len(self._runs) >= service_times.MAX_ROUTES:
            self._runs.clear()
        self._runs[running.route] += 1
        return running.has_failed_call

    def find_route(self, request_id: str) -> str | None:
        """Return the route of a request that it runs, or None."""
        running = self._by_id.get(request_id)
        return None if running is None else running.route

    def find_urgency(self, request_id: str) -> Urgency | None:
        """Return how important a request is that it runs, or None."""
        running = self._by_id.get(request_id)
        return None if running is None else running.urgency

    def note_failed_call(self, request_id: str) -> None:
        """Note that a call made for a request has failed."""
        running = self._by_id.get(request_id)
        if running is not None:
            running.has_failed_call = True

    def note_call(self, request_id: str) -> None:
        """Note that the target makes a call for a request.

        Args:
            request_id: The request; one that does not run, or an empty id,
                may be of any route.
        """
        running = self._by_id.get(request_id)
        if running is None:
            self._has_unknown = True
        else:
            self._calling.add(running.route)

    def makes_calls(self, route: str) -> bool:
        """Return whether runs of a route make calls, or may make some."""
        if self._has_unknown or route in self._calling:
            return True
        return self._runs[route] < LEAST_RUNS
