"""Look-up of the client account of a key and of the route of a request."""

import dataclasses
import hashlib
import re
import typing

from ..document import model

# Targets may normalise such segments, so a request could reach the path of
# another route than the one whose rules were checked.
_UNSAFE_PATH = re.compile(
    r'(?:^|/)(?:\.|%2e){1,2}(?:/|;|$)|//|\\|%2f|%5c|%00', re.IGNORECASE
)


@dataclasses.dataclass(frozen=True, slots=True)
class AmbiguousPath:
    """Node and target could interpret the path differently."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoute:
    """No route matches."""


Match: typing.TypeAlias = model.Route | AmbiguousPath | NoRoute


class RoutingTable:
    """Index of a configuration document.

    Args:
        document: The configuration document in force.
        version: Version of the document.
    """

    def __init__(self, document: model.Document, *, version: int) -> None:
        self.document = document
        self.version = version
        self.accounts = {item.name: item for item in document.accounts}
        self.services = {item.name: item for item in document.services}
        self.routes = {item.name: item for item in document.routes}
        self._accounts_by_digest = {
            key.digest: account.name
            for account in document.accounts
            for key in account.keys
        }
        self._ordered = sorted(
            document.routes,
            key=lambda route: (-len(route.path_prefix), not route.methods),
        )

    def find_account(self, key: bytes) -> str | None:
        """Return the client account of a key, or None."""
        digest = hashlib.sha256(key).hexdigest()
        return self._accounts_by_digest.get(digest)

    def find_route(self, method: str, path: str) -> Match:
        """Return the route with the longest prefix that matches."""
        if _UNSAFE_PATH.search(path):
            return AmbiguousPath()
        for route in self._ordered:
            if _match_prefix(path, route.path_prefix) and (
                not route.methods or method in route.methods
            ):
                return route
        return NoRoute()


def _match_prefix(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    return (
        len(path) == len(prefix)
        or prefix.endswith('/')
        or path[len(prefix)] == '/'
    )
