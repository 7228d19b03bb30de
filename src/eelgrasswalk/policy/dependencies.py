"""Learns which services the target of a route depends on."""

import collections.abc

EWMA_WEIGHT = 0.05
NEEDED_RATIO = 0.5


class Dependencies:
    """Services that most requests of a route need.

    Services that only few requests need are excluded, since shedding by their
    level would refuse requests that do not need them.

    Args:
        weight: Weight of the newest request in the moving average.
        threshold: Share of requests above which a service counts as needed.
    """

    def __init__(
        self, *, weight: float = EWMA_WEIGHT, threshold: float = NEEDED_RATIO
    ) -> None:
        self._weight = weight
        self._threshold = threshold
        self._shares: dict[str, dict[str, float]] = {}
        self._needed: dict[str, tuple[str, ...]] = {}

    def observe(
        self, route: str, services: collections.abc.Collection[str]
    ) -> None:
        """Record which services one answered request called.

        Args:
            route: Route of the request.
            services: Services that the target called for it.
        """
        shares = self._shares.get(route)
        if shares is None:
            self._shares[route] = dict.fromkeys(services, 1.0)
            self._needed[route] = tuple(services)
            return
        if not shares and not services:
            return
        for service in services:
            shares.setdefault(service, 0.0)
        for service, share in shares.items():
            called = 1.0 if service in services else 0.0
            shares[service] = share + self._weight * (called - share)
        self._needed[route] = tuple(
            service
            for service, share in shares.items()
            if share > self._threshold
        )

    def list_services(self, route: str) -> tuple[str, ...]:
        """Return the services that most requests of a route need."""
        return self._needed.get(route, ())
