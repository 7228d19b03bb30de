"""The requests that a target runs, by their ids.

Calls that a target makes name the request that they serve, so that their
ends can be held against its route and its outcome.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class _Running:
    route: str
    has_failed_call: bool = False


class RunningCalls:
    """What one target runs at the moment."""

    def __init__(self) -> None:
        self._by_id: dict[str, _Running] = {}

    def begin(self, request_id: str, route: str) -> None:
        """Note that the target runs a request; one without id is not kept."""
        if request_id:
            self._by_id[request_id] = _Running(route)

    def end(self, request_id: str) -> bool:
        """Note that it no longer runs a request.

        Returns:
            Whether a call that it made for the request has failed.
        """
        running = self._by_id.pop(request_id, None)
        return running is not None and running.has_failed_call

    def find_route(self, request_id: str) -> str | None:
        """Return the route of a request that it runs, or None."""
        running = self._by_id.get(request_id)
        return None if running is None else running.route

    def note_failed_call(self, request_id: str) -> None:
        """Note that a call made for a request has failed."""
        running = self._by_id.get(request_id)
        if running is not None:
            running.has_failed_call = True
