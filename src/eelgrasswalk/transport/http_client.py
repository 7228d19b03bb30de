"""A bounded pool of HTTP connections to one target."""

import asyncio
import collections
import math
import time
import typing

from .. import verdict
from . import budget
from . import client_connection
from . import message
from . import pacing

CONNECT_TIMEOUT_S = 2.0
# Longest answer to a question about the target itself.
MAX_REPORT_BYTES = 65_536
# A target that ends resets its connections one after the other.
RESET_SPREAD_S = 0.002

Headers: typing.TypeAlias = message.Headers
Received = client_connection.Received
NotSent = client_connection.NotSent
Broken = client_connection.Broken
Outcome: typing.TypeAlias = client_connection.Outcome
_Connection = client_connection.ClientConnection


class TargetPool:
    """Sends requests to one target over kept connections.

    Args:
        host: IP address of the target.
        port: TCP port of the target.
        connections: Most connections open at a time.
        bodies: Budget for bodies of answers; None for no bound.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        connections: int,
        bodies: budget.ByteBudget | None = None,
    ) -> None:
        self.connections = connections
        self._bodies = bodies
        self._turns = pacing.Turns()
        self.open_connections = 0
        self._connecting = 0
        self._host = host
        self._port = port
        self._idle: collections.deque[_Connection] = collections.deque()
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    async def send(
        self,
        request: message.Request,
        *,
        max_answer_bytes: int,
        find_echo: typing.Callable[[Headers], bytes | None] | None = None,
        deadline: float = math.inf,
        fresh: bool = False,
        may_send: typing.Callable[[], bool] | None = None,
    ) -> Outcome:
        """Send a request and wait for the whole answer.

        Cancelling the call closes its connection, so that the target sees
        that nobody waits any more.

        Args:
            request: The request.
            max_answer_bytes: Longest answer that is taken.
            find_echo: Returns the id that a request and its answer share.
                An answer with another id is dropped and the next awaited.
            deadline: Loop time at which the wait ends; the connection is
                closed then.
            fresh: Whether to use a connection that has carried no request.
            may_send: Asked when a connection is free; the request is withheld
                if it returns False.

        Raises:
            TimeoutError: The deadline passed before a connection was free.
        """
        connection = None if fresh else self._pop_idle()
        if connection is None:
            acquired = await self._acquire_before(deadline, fresh=fresh)
            if isinstance(acquired, NotSent):
                return acquired
            connection = acquired
        try:
            if may_send is not None and not may_send():
                return NotSent('the request is withheld', is_withheld=True)
            outcome = await connection.exchange(
                request, max_answer_bytes, find_echo, deadline
            )
        finally:
            self._release(connection)
        return outcome

    async def ask(
        self, path: str, *, timeout_s: float
    ) -> verdict.Response | None:
        """Ask the target for its health, its load or the like.

        Args:
            path: The path to get.
            timeout_s: Seconds in which the answer has to be there.

        Returns:
            The answer; None without a whole one in time.
        """
        host = f'{self._host}:{self._port}'.encode()
        request = message.Request('GET', path, ((b'host', host),), b'')
        deadline = asyncio.get_running_loop().time() + timeout_s
        try:
            outcome = await self.send(
                request, max_answer_bytes=MAX_REPORT_BYTES, deadline=deadline
            )
        except TimeoutError:
            return None
        return outcome.response if isinstance(outcome, Received) else None

    async def is_refused(self) -> bool:
        """Return whether the target's host refuses connections.

        A target that has merely closed some connections still has others, or
        accepts a new one.
        """
        await asyncio.sleep(RESET_SPREAD_S)
        if self.open_connections > self._connecting:
            return False
        connection = await self._connect()
        if isinstance(connection, NotSent):
            return connection.is_refusal
        self._release(connection)
        return False

    async def close(self) -> None:
        """Close every idle connection."""
        while self._idle:
            self._idle.pop().close()

    async def _acquire_before(
        self, deadline: float, *, fresh: bool
    ) -> _Connection | NotSent:
        if deadline == math.inf:
            return await self._acquire(fresh=fresh)
        async with asyncio.timeout_at(deadline):
            return await self._acquire(fresh=fresh)

    async def _acquire(self, *, fresh: bool) -> _Connection | NotSent:
        while True:
            connection = None if fresh else self._pop_idle()
            if connection is not None:
                return connection
            if self.open_connections < self.connections:
                return await self._connect()
            if self._idle:
                # Its end is reported later and wakes the next in turn.
                self._idle.popleft().close()
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            try:
                await waiter
            except asyncio.CancelledError:
                if waiter.done() and not waiter.cancelled():
                    self._wake_one()
                raise

    def _pop_idle(self) -> _Connection | None:
        now = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            if connection.usable and now < connection.idle_until:
                return connection
            connection.close()
        return None

    async def _connect(self) -> _Connection | NotSent:
        loop = asyncio.get_running_loop()
        self.open_connections += 1
        self._connecting += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: _Connection(
                        loop, self._forget, self._bodies, self._turns
                    ),
                    self._host,
                    self._port,
                )
        except (OSError, TimeoutError) as error:
            self._forget()
            return NotSent(
                f'connecting to the target failed: {error!r}',
                is_refusal=isinstance(error, ConnectionRefusedError),
            )
        except BaseException:
            self._forget()
            raise
        finally:
            self._connecting -= 1
        return connection

    def _release(self, connection: _Connection) -> None:
        if connection.usable:
            now = time.monotonic()
            connection.idle_until = now + connection.max_idle_s
            self._idle.append(connection)
            self._wake_one()
        else:
            connection.close()

    def _forget(self) -> None:
        self.open_connections -= 1
        self._wake_one()

    def _wake_one(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
