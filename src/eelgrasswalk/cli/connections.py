"""Opens the platform and nodes over HTTP for operators' programs."""

import collections.abc
import contextlib

import httpx

from ..operations import fleet
from ..operations import revisions
from . import terminal


class HttpConnections:
    """Connections of the real programs."""

    def open_revisions(
        self, platform: str
    ) -> contextlib.AbstractAsyncContextManager[revisions.Revisions]:
        """Open the accepted versions at the platform's address."""
        raise terminal.Failure(
            terminal.ExitCode.FAILED, 'The platform client is not wired yet.'
        )

    @contextlib.asynccontextmanager
    async def open_fleet(
        self,
    ) -> collections.abc.AsyncIterator[fleet.FleetClient]:
        """Open a client of nodes."""
        limits = httpx.Limits(max_keepalive_connections=0)
        async with httpx.AsyncClient(limits=limits, trust_env=False) as client:
            yield fleet.FleetClient(client)
