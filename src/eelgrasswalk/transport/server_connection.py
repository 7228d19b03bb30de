"""One HTTP connection of a caller: its requests, answered in order."""

import asyncio
import select
import typing

from .. import verdict
from ..policy import client_load
from . import message
from . import problem
from . import read_progress
from . import request_reader
from . import response_head
from . import response_order

PART_BYTES = 131_072
LINGER_S = 2.0
# Most that is still read of a request after its refusal was written.
LINGER_BYTES = 8_388_608
# A connection with a running request is closed for what it holds only when an
# earlier answer has waited for its caller for so long.
MIN_BLOCKED_S = 1.0
# A caller that reads an answer more slowly than this is the first to be closed
# while answers fill the budget of bodies, even when it is the only one.
MIN_STEADY_BYTES_S = 16_384
# Most time for which an answer is taken to go on waiting for its caller.
MAX_WAIT_S = 60.0
# A long answer counts against its connection unless its caller reads at least
# this fast. The budget of bodies bounds a few answers that are read slowly as
# well, but calls are refused for as long as they fill it.
MIN_READ_BYTES_S = 1_000_000
# Time in which a caller begins to read.
READ_GRACE_S = 0.25

Handler = request_reader.Handler
Limits = request_reader.Limits


class Server(request_reader.Server, typing.Protocol):
    """The listener that a connection belongs to."""

    connections: set['ServerConnection']
    spare_connections: int


class ServerConnection(request_reader.RequestReader, asyncio.Protocol):
    """Reads requests, runs them, and writes their answers in order.

    Each started request has one task. The task whose answer is the next to
    be written also writes those behind it that are known by then.

    Args:
        server: The listener that accepted it.
        loop: The running loop.
    """

    def __init__(
        self, server: Server, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(server, loop)
        self._server: Server = server
        self._transport: asyncio.Transport | None = None
        self._order = response_order.ResponseOrder(server.may_overlap)
        # Tasks of the started requests whose handlers run.
        self._tasks: dict[response_order.Exchange, asyncio.Task[None]] = {}
        self._is_writing = False
        # The caller waits for an invitation to send a body, and that for the
        # answers before it.
        self._is_uninvited = False
        # The caller may have sent more than was read.
        self._has_pipelined = False
        self._is_closed = False
        self._last_activity = self._began_at
        self._blocked_at = 0.0
        self._paused_at = 0.0
        self._answer_began_at = self._began_at
        self._written = 0
        self._progress = read_progress.ReadProgress(self._began_at)
        self._account = server.account
        self.charged = 0
        self._writable: asyncio.Future[None] | None = None
        self._linger: asyncio.TimerHandle | None = None
        self._finished: asyncio.Future[None] | None = None

    @property
    def in_progress(self) -> int:
        """Number of requests that are started and not answered yet."""
        return self._order.in_progress

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        if self._account is not None and not self._account.open(
            self, spare=self._server.spare_connections
        ):
            self.shed()
            return
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_sealed = True
        self._transport = None
        self._order.abandon()
        self._server.connections.discard(self)
        self._body.drop()
        self._paced.close()
        self._drop_head()
        if self._account is not None:
            self._account.close(self)
        self.resume_writing()
        if self._linger is not None:
            self._linger.cancel()
        for task in self._tasks.values():
            task.cancel()
        self._note_finished()

    def pause_writing(self) -> None:
        self._paused_at = self._loop.time()
        self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def data_received(self, data: bytes) -> None:
        if self._linger is None:
            # What is only discarded does not put off the end.
            self._last_activity = self._loop.time()
        if self._transport is not None and not self._paced.receive(
            data, self._transport
        ):
            self._reject(problem.describe_memory_full())
        self._update_account()

    # client_account.Holder

    @property
    def is_reading_slowly(self) -> bool:
        """Whether its caller reads a long answer slowly."""
        reading_s = self._loop.time() - self._answer_began_at - READ_GRACE_S
        return (
            self._order.body_bytes > 0
            and self._written < reading_s * MIN_READ_BYTES_S
        )

    @property
    def held_bytes(self) -> int:
        """Bytes that it holds, without those of bodies in the budget."""
        held = (
            client_load.CONNECTION_BYTES
            + self._order.cost
            + self._paced.reserved
        )
        if self._received and not self._is_sealed:
            held += client_load.compute_head_cost(
                max(0, self._received - self._body_length), len(self._headers)
            )
        if self._transport is not None:
            held += self._transport.get_write_buffer_size()
        return held

    @property
    def held_body_bytes(self) -> int:
        """Bytes that it holds of bodies in the budget.

        Answers that the caller reads fast are left out: their requests have
        run, and they are gone soon.
        """
        held = len(self._body)
        if self.is_reading_slowly:
            held += self._order.body_bytes
        return held

    @property
    def is_stalled(self) -> bool:
        """Whether its caller hardly reads an answer, or not at all."""
        return (
            self._writable is not None
            and self._loop.time() - self._paused_at
            > self._server.limits.request_timeout_s
            and (self._progress.bytes_per_s or 0.0) < MIN_STEADY_BYTES_S
        )

    def measure_age(self, now: float) -> float | None:
        """Return for how long the present message is under way.

        Returns:
            Seconds that have passed, or that its caller will take to read an
            answer; None while a request runs, unless the caller does not read
            the answer before it.
        """
        if self._transport is None:
            return None
        if self._tasks and (
            self._writable is None or now - self._paused_at < MIN_BLOCKED_S
        ):
            return None
        if self._writable is not None:
            rate = self._progress.bytes_per_s
            if rate is None:
                return now - self._answer_began_at
            unread = self._transport.get_write_buffer_size()
            return min(MAX_WAIT_S, unread / max(rate, 1.0))
        if self._receiving:
            return now - self._began_at
        return now - self._last_activity

    def shed(self) -> None:
        """Close at once and hold nothing any more."""
        self._is_sealed = True
        self._is_closed = True
        self._receiving = False
        self._body.drop()
        self._headers = []
        self._order.stop()
        if self._transport is not None:
            self._transport.abort()

    def _update_account(self) -> None:
        account = self._account
        # Without effect once the account has closed the connection.
        if account is None or not self.charged:
            return
        held = self.held_bytes
        change = held - self.charged
        self.charged = held
        account.used += change
        if change > 0:
            account.relieve()

    # request_reader.RequestReader

    def _accept(
        self,
        request: message.Request,
        *,
        keep_alive: bool,
        length: int,
        cost: int,
    ) -> None:
        self._is_uninvited = False
        exchange = response_order.Exchange(
            request, keep_alive=keep_alive, length=length, cost=cost
        )
        if self._order.add(exchange):
            self._start(exchange)
            return
        self._has_pipelined = True
        self._start_waiting()
        if self._order.must_pause and self._transport is not None:
            self._block()

    def _reject(self, response: verdict.Response) -> None:
        if self._is_sealed:
            return
        self._is_sealed = True
        self._is_uninvited = False
        self._receiving = False
        self._body.drop()
        refused = response_order.Exchange(
            None, keep_alive=False, response=response
        )
        if self._order.add(refused) and self._transport is not None:
            self._write_whole(refused)

    def _invite_body(self) -> None:
        if self._order.is_empty and self._transport is not None:
            self._write(response_head.CONTINUE)
        else:
            # Its turn comes when those before it are answered.
            self._is_uninvited = True

    def _invite_late(self) -> None:
        """Tell a caller that had to wait for its turn to send the body."""
        if self._is_uninvited:
            self._is_uninvited = False
            self._began_at = self._loop.time()
            self._write(response_head.CONTINUE)

    def _discard(self) -> None:
        """Close when a caller that is answered sends on and on."""
        if self._linger is None:
            self._has_pipelined = True
        elif self._received > LINGER_BYTES:
            self.close()

    def _block(self) -> None:
        """Read no more until there is room for further requests."""
        if not self._paced.is_blocked:
            assert self._transport is not None
            self._blocked_at = self._loop.time()
            self._paced.block(self._transport)

    def _unblock(self) -> None:
        """Read on; the time without reading is not the caller's."""
        if self._receiving:
            self._began_at += self._loop.time() - self._blocked_at
        self._paced.unblock()

    # Life of a request

    def _start(self, exchange: response_order.Exchange) -> None:
        if exchange.response is None:
            self._tasks[exchange] = self._loop.create_task(self._run(exchange))

    def _start_waiting(self) -> None:
        """Start the requests that may run now."""
        while (
            self._order.in_progress == 0
            or self._account is None
            or not self._account.is_full
        ):
            exchange = self._order.start_next()
            if exchange is None:
                return
            self._start(exchange)

    async def _run(self, exchange: response_order.Exchange) -> None:
        try:
            if self._server.draining:
                # There may be no time left to finish it.
                response = problem.describe_leaving()
            else:
                assert exchange.request is not None
                response = await self._server.handler(exchange.request)
        except asyncio.CancelledError:
            if self._transport is None:
                return
            raise
        except Exception as error:
            response = problem.describe_internal_error(error)
        if self._tasks.pop(exchange, None) is None or self._transport is None:
            return
        is_next = self._order.respond(exchange, response)
        # Its place in the budget is free once it was written, though this
        # task may go on to write others.
        del response
        if is_next:
            await self._write_answers(exchange)
        else:
            self._update_account()

    async def _write_answers(
        self, exchange: response_order.Exchange | None
    ) -> None:
        """Write the answer whose turn it is, and those ready behind it."""
        self._is_writing = True
        while exchange is not None:
            if self._writable is not None:
                await self._writable
            if self._transport is None or self._is_closed:
                return
            rest = self._write_head(exchange)
            if rest:
                self._update_account()
                await self._write_parts(rest)
            del rest
            exchange = self._end_exchange(exchange)
        self._is_writing = False

    async def _write_parts(self, body: bytes) -> None:
        """Write a long body in parts, as fast as the caller reads it.

        Each is a copy: a view that the transport keeps would hold the whole
        body, which nothing counts any more after its last part.
        """
        view = memoryview(body)
        for start in range(0, len(body), PART_BYTES):
            if self._writable is not None:
                await self._writable
            if self._transport is None or self._is_closed:
                return
            self._write(bytes(view[start : start + PART_BYTES]))
            self._written += PART_BYTES
            self._last_activity = self._loop.time()
            # Other connections have their turn between two parts.
            await asyncio.sleep(0)

    def _write_whole(
        self, exchange: response_order.Exchange
    ) -> response_order.Exchange | None:
        """Write an answer at once, although the caller may read slowly.

        Returns:
            The next one if it is ready.
        """
        rest = self._write_head(exchange)
        if rest and self._transport is not None:
            self._write(rest)
        return self._end_exchange(exchange)

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        self._progress.written += len(data)
        self._transport.write(data)

    def _write_head(self, exchange: response_order.Exchange) -> bytes:
        """Write the head of an answer, with its body unless that is long.

        Returns:
            The body if it is still to be written.
        """
        response = exchange.response
        self._answer_began_at = self._loop.time()
        self._written = 0
        assert response is not None and self._transport is not None
        if self._server.leaving:
            self._order.stop()
        if self._order.is_stopped and self._order.is_last(exchange):
            exchange.keep_alive = False
        head = response_head.render_head(
            response,
            is_head=exchange.is_head,
            keep_alive=exchange.keep_alive,
        )
        if exchange.is_head:
            self._write(head)
            return b''
        if len(response.body) > PART_BYTES:
            self._write(head)
            return response.body
        self._write(head + response.body)
        return b''

    def _end_exchange(
        self, exchange: response_order.Exchange
    ) -> response_order.Exchange | None:
        """Go on after an answer was written.

        Returns:
            The next one if it is ready.
        """
        has_more = self._order.end_first()
        self._update_account()
        if self._transport is None or self._is_closed:
            return None
        self._last_activity = self._loop.time()
        # A stop may have begun while a long answer was written.
        is_last = self._order.is_stopped and not has_more
        if is_last or not exchange.keep_alive:
            self._end(must_linger=exchange.is_refusal)
            return None
        if not has_more:
            self._invite_late()
            return None
        self._start_waiting()
        if self._paced.is_blocked and not self._order.must_pause:
            self._unblock()
        return self._order.find_ready()

    def _end(self, *, must_linger: bool) -> None:
        """Close after the last answer.

        Closing with bytes unread would reset the connection, and the caller
        might never see the answers. What it still sends is discarded.
        """
        assert self._transport is not None
        self._order.stop()
        self._is_sealed = True
        if not (
            must_linger
            or self._has_pipelined
            or self._receiving
            or self._paced.is_paused
        ):
            self.close()
            return
        self._receiving = False
        self._body.drop()
        self._transport.write_eof()
        self._received = 0
        self._linger = self._loop.call_later(LINGER_S, self._end_lingering)
        self._paced.skip()

    def _end_lingering(self) -> None:
        if self._writable is None:
            self.close()
        else:
            # The sweep ends a connection whose caller reads nothing.
            self._linger = self._loop.call_later(LINGER_S, self._end_lingering)

    # Closing

    def check_timeouts(self, now: float) -> None:
        """Close a connection that has been idle or slow for too long."""
        if self._transport is None:
            return
        idle = now - self._last_activity
        limits = self._server.limits
        # A transport that is closed waits until its caller has read the rest.
        if self._writable is not None or self._is_closed:
            self._progress.observe(self._transport, now)
            unread_s = now - max(self._last_activity, self._progress.at)
            if unread_s > limits.request_timeout_s:
                self._transport.abort()
        if self._paced.is_paused and _has_caller_left(self._transport):
            # As when the transport sees the end itself.
            self.close()
            return
        if self._paced.is_blocked:
            return
        # Counted from the first byte: one that trickles in is as slow.
        began_at = now if self._is_uninvited else self._began_at
        if self._receiving and now - began_at > limits.request_timeout_s:
            self._reject(problem.describe_request_timeout())
        elif (
            not self._receiving
            and self._order.is_empty
            and idle > limits.idle_timeout_s
        ):
            self._transport.close()

    def finish_up(self) -> asyncio.Future[None] | None:
        """Start no further request, and close when nothing is started.

        Returns:
            A future that is done when every started request is answered;
            None if there is none.
        """
        is_receiving = self._receiving and self._order.is_empty
        if is_receiving or self._transport is None:
            return None
        if self._linger is None and self._order.is_empty:
            self.close()
            return None
        self._order.stop()
        if self._finished is None:
            self._finished = self._loop.create_future()
        return self._finished

    def end_running(self, answer: verdict.Response) -> None:
        """Answer the running requests in place of their handlers, and close.

        Args:
            answer: The answer, which must be true of all of them.
        """
        running = self._order.list_running()
        if not running or self._transport is None:
            return
        self._order.stop()
        for exchange in running:
            self._tasks.pop(exchange).cancel()
            self._order.respond(exchange, answer)
        if self._is_writing:
            return
        first = self._order.find_ready()
        while first is not None:
            first = self._write_whole(first)

    def close(self) -> None:
        """Close the connection once what was written has been sent."""
        self._is_sealed = True
        self._is_closed = True
        self._order.stop()
        if self._transport is not None:
            self._transport.close()
        self._note_finished()

    def _note_finished(self) -> None:
        if self._finished is not None and not self._finished.done():
            self._finished.set_result(None)


def _has_caller_left(transport: asyncio.Transport) -> bool:
    """Tell whether the caller has closed a connection that is not read.

    A paused transport does not notice it. Bytes that were not read do not
    hide it, except those that the caller's host could not send yet.
    """
    connected = transport.get_extra_info('socket')
    if connected is None:
        return False
    poll = select.poll()
    poll.register(connected.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))
