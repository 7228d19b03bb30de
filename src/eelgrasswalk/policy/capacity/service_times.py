"""Mean service times of a target by route.

The host of a target may be slower for moments. Times are kept as they would
be at its usual speed, so that such a moment does not distort the means.
"""

# The mean covers about the last ten calls.
EWMA_WEIGHT = 0.1
# Bounds the memory, as configuration changes add and remove routes.
MAX_ROUTES = 4096


class ServiceTimes:
    """Exponentially weighted mean service times by route.

    Attributes:
        mean_s: Mean over all routes in seconds at the usual speed; 0 if
            unknown.
    """

    def __init__(self) -> None:
        self._by_route: dict[str, float] = {}
        self.mean_s = 0.0

    def observe(
        self, route: str, service_s: float, *, slowdown: float = 1.0
    ) -> None:
        """Record the service time of one call.

        Args:
            route: Name of its route.
            service_s: Seconds from start to end.
            slowdown: Slowdown of the host meanwhile; 1.0 is the usual speed.
        """
        service_s /= slowdown
        known = self._by_route.get(route)
        if known is None:
            if len(self._by_route) >= MAX_ROUTES:
                self._by_route.clear()
            self._by_route[route] = service_s
        else:
            self._by_route[route] = known + EWMA_WEIGHT * (service_s - known)
        self.mean_s += EWMA_WEIGHT * (service_s - self.mean_s)

    def estimate(self, route: str) -> float:
        """Return the expected seconds at the usual speed; 0 if unknown."""
        return self._by_route.get(route, self.mean_s)

    def find(self, route: str) -> float | None:
        """Return the same for a route that has been observed, else None."""
        return self._by_route.get(route)
