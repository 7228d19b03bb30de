"""Mean service times of a target by route."""

# The mean covers about the last ten calls.
EWMA_WEIGHT = 0.1
# Bounds the memory, as configuration changes add and remove routes.
MAX_ROUTES = 4096


class ServiceTimes:
    """Exponentially weighted mean service times by route.

    Attributes:
        mean_s: Mean over all routes in seconds; 0 if unknown.
    """

    def __init__(self) -> None:
        self._by_route: dict[str, float] = {}
        self.mean_s = 0.0

    def observe(self, route: str, service_s: float) -> None:
        """Record the service time of one call, in seconds."""
        known = self._by_route.get(route)
        if known is None:
            if len(self._by_route) >= MAX_ROUTES:
                self._by_route.clear()
            self._by_route[route] = service_s
        else:
            self._by_route[route] = known + EWMA_WEIGHT * (service_s - known)
        self.mean_s += EWMA_WEIGHT * (service_s - self.mean_s)

    def estimate(self, route: str) -> float:
        """Return the expected service time in seconds; 0 if unknown."""
        return self._by_route.get(route, self.mean_s)
