"""Routing and account rules that apply to calls.

All configuration sources are decoded into these types, so that the call path
does not depend on the source of a rule.
"""

import dataclasses
import hashlib
import typing

from ..document import model


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Share of the calls of a route that one service receives.

    Args:
        service: Name of the service.
        weight: Weight relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRule:
    """A route: the calls that it matches and how they are handled.

    Args:
        name: Name of the route.
        hostname: Host name that calls are addressed to.
        prefix: Path prefix to match; the longest match wins.
        shares: Services that receive the calls, by weight; at least one.
        importance: Importance class; less important calls are shed first.
        idempotent: Whether calls may safely run more than once.
        open_to_all: Whether calls are accepted without an API key.
        timeout_s: Longest time until a caller gets a response, in seconds.
        objective_s: Latency objective, in seconds.
        max_upstreams: Number of upstreams that one call may be sent to.
        regions: Regions in which its calls may run; empty for all.
    """

    name: str
    hostname: str
    prefix: str
    shares: tuple[Share, ...]
    importance: model.Importance
    idempotent: bool
    open_to_all: bool
    timeout_s: float
    objective_s: float
    max_upstreams: int
    regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class AccountRule:
    """A client account.

    Args:
        name: Name of the client account.
        keys: Valid API keys.
        rate: Calls per second across all hosts; 0 for no limit.
        burst: Calls that may arrive at once.
        importance: Overrides the importance of the route unless None.
        regions: Regions in which its calls may run; empty for all.
    """

    name: str
    keys: tuple[str, ...]
    rate: float
    burst: float
    importance: model.Importance | None = None
    regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRule:
    """A service.

    Args:
        name: Name of the service.
        connections: Connections that one upstream accepts from all callers
            together; 0 if not specified.
        health_path: Path at which an upstream tells whether it is healthy;
            empty if not specified.
        cold_per_s: Calls per second that a cold upstream tolerates; 0 if the
            service has no cold upstreams.
        cold_start_s: Seconds for which an upstream is cold after it starts.
    """

    name: str
    connections: int
    health_path: str = ''
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits on the connections of callers.

    Args:
        header_bytes: Maximum size of the request line and headers together.
        body_bytes: Maximum size of a request body.
        header_timeout_s: Seconds within which a request has to arrive.
        idle_timeout_s: Seconds for which a connection may be idle.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """A complete version of the configuration.

    Args:
        version: Version number, which increases with every change.
        routes: All routes.
        accounts: All client accounts.
        services: All services.
        limits: Limits on the connections of callers.
    """

    version: int
    routes: tuple[RouteRule, ...]
    accounts: tuple[AccountRule, ...]
    services: tuple[ServiceRule, ...]
    limits: ListenerLimits


class RuleTable:
    """Rules indexed for lookup by API key, host name and path.

    Args:
        rules: The current rules.
    """

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.version = rules.version
        self.accounts = {item.name: item for item in rules.accounts}
        self.services = {item.name: item for item in rules.services}
        # Whether any route or account limits where its calls may run.
        self.has_homes = any(route.regions for route in rules.routes) or any(
            account.regions for account in rules.accounts
        )
        self._by_key = {
            _hash_key(key.encode('latin-1', 'replace')): account
            for account in rules.accounts
            for key in account.keys
        }
        self._by_host: dict[str, dict[str, RouteRule]] = {}
        for route in rules.routes:
            host = self._by_host.setdefault(route.hostname, {})
            host[route.prefix] = route

    @property
    def needs_keys(self) -> bool:
        """Whether any client accounts are defined."""
        return bool(self.accounts)

    def find_account(self, key: bytes) -> AccountRule | None:
        """Return the client account of an API key, or None."""
        return self._by_key.get(_hash_key(key))

    def find_route(self, hostname: str, path: str) -> RouteRule | None:
        """Return the route with the longest matching prefix, or None."""
        prefixes = self._by_host.get(hostname)
        if prefixes is None:
            return None
        end = len(path)
        while True:
            end = path.rfind('/', 0, end)
            if end < 0:
                return None
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route


class WeightedRoundRobin:
    """Distributes calls among services by smooth weighted round robin.

    Each call adds the weight of every share to its credit. The share with the
    highest credit is chosen, and the sum of the weights is deducted from it,
    so that any sequence of calls approximates the weights.
    """

    def __init__(self) -> None:
        self._credits: dict[str, tuple[tuple[Share, ...], list[float]]] = {}

    def choose(self, route: RouteRule, start: float) -> str:
        """Return the service that takes the next call of a route.

        Args:
            route: The route.
            start: Random initial credit, 0 <= value < 1, so that nodes that
                start together do not choose in the same order.
        """
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        total = sum(share.weight for share in shares)
        known = self._credits.get(route.name)
        if known is None or known[0] != shares:
            credits = [share.weight * start for share in shares]
            known = self._credits[route.name] = (shares, credits)
        credits = known[1]
        for index, share in enumerate(shares):
            credits[index] += share.weight
        best = max(range(len(shares)), key=credits.__getitem__)
        credits[best] -= total
        return shares[best].service


def _hash_key(key: bytes) -> bytes:
    return hashlib.sha256(key).digest()


GetRuleTable: typing.TypeAlias = typing.Callable[[], RuleTable | None]
