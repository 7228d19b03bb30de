"""Learns which services a route's target calls, from the calls it makes."""

import collections.abc

WEIGHT = 0.05
THRESHOLD = 0.5


class Dependencies:
    """Services that most requests of a route need.

    A service that only few requests need does not count, since shedding by
    its level would refuse requests that it has no part in.

    Args:
        weight: Weight of the newest request.
        threshold: Share of requests above which a service is needed.
    """

    def __init__(
        self, *, weight: float = WEIGHT, threshold: float = THRESHOLD
    ) -> None:
        self._weight = weight
        self._threshold = threshold
        self._shares: dict[str, dict[str, float]] = {}
        self._needed: dict[str, tuple[str, ...]] = {}

    def observe(
        self, route: str, services: collections.abc.Collection[str]
    ) -> None:
        """Note which services one answered request called.

        Args:
            route: The request's route.
            services: The services that its target called for it.
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
