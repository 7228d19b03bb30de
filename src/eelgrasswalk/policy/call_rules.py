"""The rules in force for calls: which route, which account, on what terms.

Every source of configuration is decoded into these types, so that the call
path knows nothing of where a rule came from.
"""

import dataclasses
import hashlib
import typing

from ..document import model


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A part of a route's calls that goes to one service.

    Args:
        service: The service.
        weight: Its weight among the shares of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRule:
    """Which calls take a route, and on what terms.

    Args:
        name: Its name.
        hostname: The host that calls name.
        prefix: Matches paths that begin with it; the longest wins.
        shares: Services that answer, by weight; at least one.
        importance: How late it is shed.
        idempotent: Whether running it twice does no harm.
        open_to_all: Whether it runs without a key.
        timeout_s: Seconds that a caller is kept waiting at most.
        objective_s: Seconds within which an answer has its full worth.
        max_upstreams: Upstreams that one call may be sent to.
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


@dataclasses.dataclass(frozen=True, slots=True)
class AccountRule:
    """A client account.

    Args:
        name: Its name.
        keys: The keys in force.
        rate: Calls a second over all hosts together; 0 for no limit.
        burst: Calls that may come at once.
        importance: Goes before the importance of a route; None leaves it
            to the route.
    """

    name: str
    keys: tuple[str, ...]
    rate: float
    burst: float
    importance: model.Importance | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRule:
    """A service.

    Args:
        name: Its name.
        connections: Connections that one upstream accepts from all callers;
            0 when not stated.
    """

    name: str
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLimits:
    """What callers' connections are held to.

    Args:
        header_bytes: Longest request line and headers together.
        body_bytes: Longest body of a request.
        header_timeout_s: Seconds within which a request has to arrive.
        idle_timeout_s: Seconds that a connection may stay without a request.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """One whole version of the configuration.

    Args:
        version: Its version; grows with every change.
        routes: Its routes.
        accounts: Its client accounts.
        services: Its services.
        limits: What callers' connections are held to.
    """

    version: int
    routes: tuple[RouteRule, ...]
    accounts: tuple[AccountRule, ...]
    services: tuple[ServiceRule, ...]
    limits: ListenerLimits


class RuleTable:
    """Rules, prepared for look-up.

    Args:
        rules: The rules in force.
    """

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.version = rules.version
        self.accounts = {item.name: item for item in rules.accounts}
        self.services = {item.name: item for item in rules.services}
        self._by_key = {
            _digest(key.encode('latin-1', 'replace')): account
            for account in rules.accounts
            for key in account.keys
        }
        self._by_host: dict[str, dict[str, RouteRule]] = {}
        for route in rules.routes:
            host = self._by_host.setdefault(route.hostname, {})
            host[route.prefix] = route

    @property
    def needs_keys(self) -> bool:
        """Whether there are client accounts at all."""
        return bool(self.accounts)

    def find_account(self, key: bytes) -> AccountRule | None:
        """Return the client account of a key, or None."""
        return self._by_key.get(_digest(key))

    def find_route(self, hostname: str, path: str) -> RouteRule | None:
        """Return the route with the longest prefix that matches."""
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


class WeightedChoice:
    """Spreads the calls of routes over their shares, smoothly by weight.

    Each share earns its weight with every call; the richest takes the call
    and pays for it, so that any run of calls is close to the weights.
    """

    def __init__(self) -> None:
        self._credits: dict[str, tuple[tuple[Share, ...], list[float]]] = {}

    def choose(self, route: RouteRule, start: float) -> str:
        """Return the service that takes the next call of a route.

        Args:
            route: The route.
            start: A random number, 0 <= value < 1, which keeps nodes that
                begin together from choosing alike.
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


def _digest(key: bytes) -> bytes:
    return hashlib.sha256(key).digest()


Lookup: typing.TypeAlias = typing.Callable[[], RuleTable | None]
