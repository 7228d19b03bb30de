"""One HTTP connection of a caller: requests in turn, within limits."""

import asyncio
import collections
import dataclasses
import http
import typing

import httptools

from .. import verdict
from . import body_buffer
from . import budget
from . import message
from . import pacing
from . import problem

MAX_HEADER_BYTES = 32_768
MAX_HEADERS = 128
MAX_PIPELINED_REQUESTS = 16
REQUEST_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 75.0
PART_BYTES = 131_072
LINGER_S = 2.0
# Most that is still read of a request after its refusal was written.
LINGER_BYTES = 8_388_608

_STATUS_LINES = {
    status.value: f'HTTP/1.1 {status.value} {status.phrase}\r\n'.encode()
    for status in http.HTTPStatus
}
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class Handler(typing.Protocol):
    """Turns a request into an answer."""

    async def __call__(self, request: message.Request) -> verdict.Response:
        """Answer one request; cancelled when its caller has gone."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What the listener accepts.

    Args:
        body_bytes: Longest body of a request.
        header_bytes: Longest request line and headers together.
        headers: Most headers in a request.
        request_timeout_s: Seconds in which a request must arrive whole.
        idle_timeout_s: Seconds a connection may stay without a request.
    """

    body_bytes: int = 8_388_608
    header_bytes: int = MAX_HEADER_BYTES
    headers: int = MAX_HEADERS
    request_timeout_s: float = REQUEST_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


class Server(typing.Protocol):
    """The listener that a connection belongs to."""

    handler: Handler
    limits: Limits
    bodies: budget.ByteBudget | None
    turns: pacing.Turns
    leaving: bool
    draining: bool
    connections: set['ServerConnection']


class ServerConnection(asyncio.Protocol):
    """Reads requests and writes their answers, one after the other.

    Args:
        server: The listener that accepted it.
        loop: The running loop.
    """

    def __init__(
        self, server: Server, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._server = server
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: collections.deque[tuple[message.Request, bool]] = (
            collections.deque()
        )
        self._task: asyncio.Task[None] | None = None
        self._last_activity = loop.time()
        self._began_at = self._last_activity
        self._receiving = False
        self._is_answering = False
        self._closing = False
        self._received = 0
        self._in_headers = True
        self._body = body_buffer.BodyBuffer(server.bodies)
        self._paced = pacing.PacedFeed(
            server.turns, self._parse, server.bodies
        )
        self._writable: asyncio.Future[None] | None = None
        self._linger: asyncio.TimerHandle | None = None
        self._reset_request()

    def _reset_request(self) -> None:
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body.drop()
        self._body_length = 0
        self._parts = 0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._closing = True
        self._transport = None
        self._waiting.clear()
        self._server.connections.discard(self)
        self._body.drop()
        self._paced.drop()
        self.resume_writing()
        if self._linger is not None:
            self._linger.cancel()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def data_received(self, data: bytes) -> None:
        self._last_activity = self._loop.time()
        if self._transport is not None and not self._paced.receive(
            data, self._transport
        ):
            self._reject(problem.describe_memory_full())

    def _parse(self, data: memoryview) -> None:
        self._received += len(data)
        if self._closing:
            self._discard()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, _Rejected):
                self._reject(cause.answer)
            else:
                raise
        except httptools.HttpParserError:
            self._reject(
                problem.describe_bad_request('request is not valid HTTP/1.1')
            )
        else:
            self._check_framing()

    # httptools callbacks

    def on_message_begin(self) -> None:
        self._reset_request()
        self._receiving = True
        self._began_at = self._loop.time()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._paced.parts += 1
        if not self._in_headers:
            # A trailer; what it says came too late to be relied on.
            return
        self._headers.append((name.lower(), value))
        if len(self._headers) > self._server.limits.headers:
            raise _Rejected(problem.describe_headers_too_large())

    def on_headers_complete(self) -> None:
        self._in_headers = False
        if self._parser.should_upgrade():
            raise _Rejected(
                problem.describe_bad_request('protocol upgrade not offered')
            )
        fields = dict(self._headers)
        length = fields.get(b'content-length')
        if length is not None and (
            int(length) > self._server.limits.body_bytes
        ):
            raise _Rejected(
                problem.describe_body_too_large(self._server.limits.body_bytes)
            )
        expect = fields.get(b'expect')
        if expect is None:
            return
        if expect.lower() != b'100-continue':
            raise _Rejected(problem.describe_expectation_failed())
        if self._task is None and self._transport is not None:
            self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        self._paced.parts += 1
        self._parts += 1
        self._body_length += len(body)
        if self._body_length > self._server.limits.body_bytes:
            raise _Rejected(
                problem.describe_body_too_large(self._server.limits.body_bytes)
            )
        if not self._body.append(body):
            raise _Rejected(problem.describe_memory_full())

    def _build_request(self) -> message.Request:
        return self._body.take(
            lambda body: message.Request(
                method=self._parser.get_method().decode('ascii'),
                target=self._target.decode('latin-1'),
                headers=tuple(self._headers),
                body=body,
            )
        )

    def on_message_complete(self) -> None:
        self._receiving = False
        request = self._build_request()
        keep_alive = self._parser.should_keep_alive()
        self._in_headers = True
        self._received = 0
        if len(self._waiting) >= MAX_PIPELINED_REQUESTS:
            raise _Rejected(
                problem.describe_bad_request('too many pipelined requests')
            )
        self._waiting.append((request, keep_alive))
        if self._task is None:
            self._start_next()

    # Life of a request

    def _start_next(self) -> None:
        request, keep_alive = self._waiting.popleft()
        self._task = self._loop.create_task(self._run(request, keep_alive))

    async def _run(self, request: message.Request, keep_alive: bool) -> None:
        try:
            if self._server.draining:
                # There may be no time left to finish it.
                answer = problem.describe_leaving()
            else:
                answer = await self._server.handler(request)
        except asyncio.CancelledError:
            if self._transport is None:
                return
            raise
        except Exception as error:
            answer = problem.describe_internal_error(error)
        keep = keep_alive and not self._server.leaving
        if self._transport is not None:
            head = request.method == 'HEAD'
            self._is_answering = True
            self._write_answer(answer, head=head, keep=keep)
            if len(answer.body) > PART_BYTES and not head:
                await self._write_parts(answer.body)
        self._task = None
        self._is_answering = False
        self._finish(keep)

    async def _write_parts(self, body: bytes) -> None:
        """Write a long body in parts, as fast as the caller reads it."""
        view = memoryview(body)
        for start in range(0, len(body), PART_BYTES):
            if self._writable is not None:
                await self._writable
            if self._transport is None:
                return
            self._transport.write(view[start : start + PART_BYTES])
            self._last_activity = self._loop.time()
            # Other connections have their turn between two parts.
            await asyncio.sleep(0)

    def _finish(self, keep: bool) -> None:
        if self._transport is None:
            return
        self._last_activity = self._loop.time()
        if not keep:
            self._closing = True
            self._transport.close()
        elif self._waiting:
            self._start_next()

    def _write_answer(
        self, answer: verdict.Response, *, head: bool, keep: bool
    ) -> None:
        assert self._transport is not None
        parts = [
            _STATUS_LINES.get(answer.status)
            or message.build_status_line(answer.status)
        ]
        parts += [
            b'%b: %b\r\n' % pair
            for pair in answer.headers
            if head or pair[0] != b'content-length'
        ]
        if not head and answer.status not in (204, 304):
            parts.append(b'content-length: %d\r\n' % len(answer.body))
        if not keep:
            parts.append(b'connection: close\r\n')
        parts.append(b'\r\n')
        if not head and len(answer.body) <= PART_BYTES:
            parts.append(answer.body)
        self._transport.write(b''.join(parts))

    def _reject(self, answer: verdict.Response) -> None:
        self._closing = True
        if self._transport is None:
            return
        if self._task is None:
            self._write_rejection(answer)
            return
        self._waiting.clear()
        self._task.add_done_callback(lambda _: self._write_rejection(answer))

    def _write_rejection(self, answer: verdict.Response) -> None:
        """Answer, then discard what the caller still sends.

        Closing with bytes unread would reset the connection, and the caller
        might never see the answer.
        """
        if self._transport is None:
            return
        self._receiving = False
        self._body.drop()
        self._write_answer(answer, head=False, keep=False)
        self._transport.write_eof()
        self._received = 0
        self._linger = self._loop.call_later(LINGER_S, self._transport.close)

    def _discard(self) -> None:
        """Close when a caller whose request was refused sends on and on."""
        if self._linger is not None and self._received > LINGER_BYTES:
            self.close()

    def _check_framing(self) -> None:
        """Refuse a request with too much beside its body."""
        limit = self._server.limits.header_bytes
        if self._in_headers:
            if self._received > limit:
                self._reject(problem.describe_headers_too_large())
            return
        # The head counts as well, up to its own limit.
        if message.describe_excess(
            self._received,
            self._body_length,
            parts=self._parts,
            head_bytes=2 * limit,
        ):
            self._reject(
                problem.describe_bad_request('the body has too much framing')
            )

    # Closing

    def check_timeouts(self, now: float) -> None:
        """Close a connection that has been idle or slow for too long."""
        idle = now - self._last_activity
        limits = self._server.limits
        if self._transport is None:
            return
        if self._writable is not None and idle > limits.request_timeout_s:
            self._transport.abort()
        if self._task is not None:
            return
        # Counted from the first byte: one that trickles in is as slow.
        if self._receiving and now - self._began_at > limits.request_timeout_s:
            self._reject(problem.describe_request_timeout())
        elif not self._receiving and idle > limits.idle_timeout_s:
            self._transport.close()

    def finish_up(self) -> asyncio.Task[None] | None:
        """Return the task of the running request; close when there is none."""
        if self._task is None and not self._receiving:
            self.close()
        return self._task

    def end_running(self, answer: verdict.Response) -> None:
        """Answer the running request in place of its handler, and close."""
        if self._task is None or self._is_answering:
            return
        self._task.cancel()
        if self._transport is not None:
            self._write_answer(answer, head=False, keep=False)
        self.close()

    def close(self) -> None:
        """Close the connection once what was written has been sent."""
        self._closing = True
        if self._transport is not None:
            self._transport.close()


class _Rejected(Exception):
    def __init__(self, answer: verdict.Response) -> None:
        super().__init__(answer.status)
        self.answer = answer
