"""Opens the platform and nodes over HTTP for operators' programs."""

import collections.abc
import contextlib
import typing

import httpx

from ..platform import http
from . import fleet
from . import revisions
from . import store


class Connections(typing.Protocol):
    """Opens what operators' programs talk to."""

    def open_revisions(
        self, platform: str
    ) -> contextlib.AbstractAsyncContextManager[revisions.Revisions]:
        """Open the accepted versions at the platform's address."""
        ...

    def open_fleet(
        self,
    ) -> contextlib.AbstractAsyncContextManager[fleet.FleetClient]:
        """Open a client of nodes."""
        ...


class HttpConnections:
    """Connections of the real programs."""

    @contextlib.asynccontextmanager
    async def open_revisions(
        self, platform: str
    ) -> collections.abc.AsyncIterator[revisions.Revisions]:
        """Open the accepted versions at the platform's address."""
        url = fleet.format_url(platform)
        async with httpx.AsyncClient(base_url=url, trust_env=False) as client:
            services = http.HttpPlatform(client)
            yield store.StoredRevisions(services, services)

    @contextlib.asynccontextmanager
    async def open_fleet(
        self,
    ) -> collections.abc.AsyncIterator[fleet.FleetClient]:
        """Open a client of nodes."""
        limits = httpx.Limits(max_keepalive_connections=0)
        async with httpx.AsyncClient(limits=limits, trust_env=False) as client:
            yield fleet.FleetClient(client)
