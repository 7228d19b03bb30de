"""The HTTP listener for callers and for the target's own calls."""

import asyncio

from .. import verdict
from . import budget
from . import client_account
from . import message
from . import pacing
from . import response_order
from . import server_connection

SWEEP_INTERVAL_S = 1.0

Handler = server_connection.Handler
Limits = server_connection.Limits


class HttpServer:
    """Accepts connections and hands whole requests to a handler.

    Args:
        handler: Answers each request.
        limits: What is accepted.
        bodies: Budget for bodies of requests; None for no bound.
        may_overlap: Tells whether a request may run at the same time as
            others of its connection. By default none may.
        account: Counts what clients hold; None for no bound.
        spare_connections: Connections beyond the limit of the account that
            this listener may have.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        limits: Limits,
        bodies: budget.ByteBudget | None = None,
        may_overlap: response_order.MayOverlap | None = None,
        account: client_account.ClientAccount | None = None,
        spare_connections: int = 0,
    ) -> None:
        self.handler = handler
        self.may_overlap = may_overlap or _never_overlap
        self.bodies = bodies
        self.account = account
        self.spare_connections = spare_connections
        self.turns = pacing.Turns()
        self.limits = limits
        self.leaving = False
        self.draining = False
        self.connections: set[server_connection.ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> tuple[str, int]:
        """Listen, and return the address that was bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self.build_protocol, host, port, backlog=1024
        )
        self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        address = self._server.sockets[0].getsockname()
        return address[0], address[1]

    def build_protocol(self) -> asyncio.Protocol:
        """Return the protocol of one new connection."""
        return server_connection.ServerConnection(
            self, asyncio.get_running_loop()
        )

    def announce(self) -> None:
        """Tell callers on each answer to come back on a new connection."""
        self.leaving = True

    async def drain(self) -> None:
        """Wait until every request that has been started is answered.

        New connections are not accepted. Requests that wait behind others of
        their connection are not run; it closes before them. Requests that are
        still being received are refused once they are whole.
        """
        self.announce()
        self.draining = True
        if self._server is not None:
            self._server.close()
        finished = []
        for connection in list(self.connections):
            future = connection.finish_up()
            if future is not None:
                finished.append(future)
        if finished:
            await asyncio.wait(finished)

    def end_running(self, answer: verdict.Response) -> None:
        """Give every request that still runs an answer, and close.

        Args:
            answer: The answer, which must be true of all of them.
        """
        for connection in list(self.connections):
            connection.end_running(answer)

    async def stop(self) -> None:
        """Drain, then close what is left."""
        await self.drain()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self.connections):
            connection.close()

    def check_timeouts(self, now: float) -> None:
        """End what has been idle or slow for too long."""
        for connection in list(self.connections):
            connection.check_timeouts(now)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self.check_timeouts(loop.time())
        self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep)


def _never_overlap(request: message.Request) -> bool:
    return False
