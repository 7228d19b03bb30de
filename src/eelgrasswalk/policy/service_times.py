"""How long a target takes for the calls of each route."""

# Weight of the newest call in the mean; about the last ten calls count.
WEIGHT = 0.1
# Routes come and go with versions of the configuration.
MOST_ROUTES = 4096


class ServiceTimes:
    """Moving means by route."""

    def __init__(self) -> None:
        self._by_route: dict[str, float] = {}
        self.mean_s = 0.0

    def observe(self, route: str, service_s: float) -> None:
        """Take the time that one call took."""
        known = self._by_route.get(route)
        if known is None:
            if len(self._by_route) >= MOST_ROUTES:
                self._by_route.clear()
            self._by_route[route] = service_s
        else:
            self._by_route[route] = known + WEIGHT * (service_s - known)
        self.mean_s += WEIGHT * (service_s - self.mean_s)

    def estimate(self, route: str) -> float:
        """Return the expected time of a call; 0 when nothing is known."""
        return self._by_route.get(route, self.mean_s)
