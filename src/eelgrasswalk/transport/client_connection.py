"""One HTTP connection to a target: one exchange at a time."""

import asyncio
import dataclasses
import math
import re
import socket
import typing

import httptools

from .. import verdict
from ..policy import client_load
from . import body_buffer
from . import budget
from . import message
from . import pacing

# Bytes of an answer that are not its body: head, interim answers, extensions
# of chunks, trailers.
MOST_FRAMING_BYTES = 65_536
# Headers of an answer whose memory is reserved at a time. Fewer are not worth
# counting; the number of calls bounds them.
COUNTED_HEADERS = 128
# Answers to other requests that are dropped while one is awaited.
MOST_DROPPED_ANSWERS = 8
# A target may close an idle connection at any moment; a connection that has
# been idle for longer than this is replaced rather than risked, unless the
# target states its own timeout.
MAX_IDLE_S = 4.0
# A connection may go silent without a reset: what was sent has to be
# acknowledged within this time, and a silent peer is probed.
UNACKNOWLEDGED_MS = 1_000
PROBE_AFTER_S = 1
PROBE_INTERVAL_S = 1
PROBES = 2
# A connection is left this long before the timeout that the target states.
IDLE_MARGIN_S = 1.5

_TIMEOUT = re.compile(rb'timeout=(\d{1,6})')

Headers: typing.TypeAlias = message.Headers


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """The whole answer arrived."""

    response: verdict.Response


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request left this process.

    Args:
        detail: One sentence.
        is_refusal: Whether the host refused the connection.
        is_withheld: Whether the sender decided against it.
    """

    detail: str
    is_refusal: bool = False
    is_withheld: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The connection ended after the request was sent, before the answer.

    Args:
        reason: What was seen.
        detail: One sentence.
    """

    reason: verdict.Reason
    detail: str


Outcome: typing.TypeAlias = Received | NotSent | Broken


class ClientConnection(asyncio.Protocol):
    """A kept connection.

    Args:
        loop: The running loop.
        on_lost: Called once when it has ended.
        bodies: Budget for bodies of answers; None for no bound.
        turns: Shared by connections whose answers come in small parts.

    Attributes:
        usable: Whether another exchange may follow.
        idle_until: Monotonic time until which it may stay idle.
        max_idle_s: Seconds that it may stay idle.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_lost: typing.Callable[[], None],
        bodies: budget.ByteBudget | None,
        turns: pacing.Turns,
    ) -> None:
        self._paced = pacing.PacedFeed(turns, self._parse, bodies)
        # A call that has run is worth its short answer; the number of calls
        # bounds these.
        self._body = body_buffer.BodyBuffer(
            bodies, guaranteed=budget.UNCOUNTED_BYTES
        )
        self.usable = True
        self.idle_until = 0.0
        self.max_idle_s = MAX_IDLE_S
        self._loop = loop
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[Outcome] | None = None
        self._clean_end = False
        self._head = False
        self._find_echo: typing.Callable[[Headers], bytes | None] | None = None
        self._echo: bytes | None = None
        self._limit = 0
        self._exchanges = 0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        _watch_silence(transport.get_extra_info('socket'))

    def eof_received(self) -> bool:
        self._clean_end = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.usable = False
        if self._is_waiting:
            self._paced.flush()
        self._paced.drop()
        self._transport = None
        self._on_lost()
        if self._is_waiting:
            self._settle(self._judge_loss(exc))

    @property
    def _is_waiting(self) -> bool:
        return self._waiter is not None and not self._waiter.done()

    def _settle(self, outcome: Outcome) -> None:
        """End the exchange, unless it has ended."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(outcome)

    def data_received(self, data: bytes) -> None:
        if self._transport is not None and not self._paced.receive(
            data, self._transport
        ):
            self._fail('the node holds too many bodies', verdict.Reason.MEMORY)

    def _parse(self, data: memoryview) -> None:
        if not self._is_waiting:
            # Bytes outside an exchange belong to no request of ours.
            self.close()
            return
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail('the target switched protocols')
        except (httptools.HttpParserError, ValueError):
            self._fail('the target sent bad HTTP')
        else:
            self._check_framing()

    def _check_framing(self) -> None:
        """Give up an answer with too much beside its body."""
        excess = message.describe_excess(
            self._received,
            self._body_length,
            parts=self._parts,
            head_bytes=MOST_FRAMING_BYTES,
        )
        if excess:
            self._fail(excess, verdict.Reason.ANSWER_TOO_LARGE)

    # Exchange

    async def exchange(
        self,
        request: message.Request,
        max_answer_bytes: int,
        find_echo: typing.Callable[[Headers], bytes | None] | None,
        deadline: float = math.inf,
    ) -> Outcome:
        """Send one request and return what came of it by the deadline."""
        if self._transport is None:
            return NotSent('the connection was closed before use')
        self._find_echo = find_echo
        self._echo = None if find_echo is None else find_echo(request.headers)
        self._begin(request, max_answer_bytes)
        assert self._waiter is not None
        timer = None
        if deadline != math.inf:
            timer = self._loop.call_at(deadline, self._expire)
        try:
            return await self._waiter
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            if timer is not None:
                timer.cancel()
            self._waiter = None
            self._body.drop()

    def _expire(self) -> None:
        self._fail('no answer by the deadline', verdict.Reason.DEADLINE)

    def close(self) -> None:
        """Close at once."""
        self.usable = False
        self._paced.drop()
        if self._transport is not None:
            self._transport.abort()

    def _begin(self, request: message.Request, limit: int) -> None:
        assert self._transport is not None
        self._exchanges += 1
        self._waiter = self._loop.create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body_length = 0
        self._parts = 0
        self._received = 0
        self._dropped = 0
        self._headers_done = False
        self._limit = limit
        self._head = request.method == 'HEAD'
        head = _render_head(request)
        if len(request.body) <= budget.UNCOUNTED_BYTES:
            self._transport.write(head + request.body)
        else:
            # A copy would double the memory of a long body.
            self._transport.write(head)
            self._transport.write(request.body)

    # httptools callbacks

    def on_message_begin(self) -> None:
        if not self._is_waiting:
            # What follows the answer may be cut anywhere; its rest would be
            # taken for the beginning of the next one.
            self.usable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self._paced.parts += 1
        if self._headers_done:
            # A trailer; what it says came too late to be relied on.
            return
        self._headers.append((name.lower(), value))
        if len(self._headers) % COUNTED_HEADERS == 0 and not (
            self._body.add_head(
                COUNTED_HEADERS * client_load.HEADER_LINE_BYTES
            )
        ):
            self._fail('the node holds too many bodies', verdict.Reason.MEMORY)

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if not message.is_valid_status(status):
            self._fail(f'the target sent the invalid status {status:03}')
            # Ends the parser: nothing behind the answer can be relied on.
            raise ValueError('invalid status')
        if status < 200:
            return
        self._headers_done = True
        if self._head:
            # The parser would wait for a body that a HEAD answer never has.
            self.usable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        self._paced.parts += 1
        self._parts += 1
        self._body_length += len(body)
        if self._body_length > self._limit:
            self._fail(
                f'the answer is longer than {self._limit} bytes',
                verdict.Reason.ANSWER_TOO_LARGE,
            )
            return
        if not self._body.append(body):
            self._fail('the node holds too many bodies', verdict.Reason.MEMORY)

    def _build_answer(self, headers: Headers) -> verdict.Response:
        status = self._parser.get_status_code()
        return self._body.take(
            lambda body: verdict.Response(status, headers, body)
        )

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < 200:
            self._headers.clear()
            self._body.drop()
            return
        if not self._parser.should_keep_alive():
            self.usable = False
        self._complete()

    def _complete(self) -> None:
        if not self._is_waiting:
            return
        headers = tuple(self._headers)
        self._note_keep_alive(headers)
        if self._is_foreign(headers):
            self._drop_answer()
            return
        self._settle(Received(self._build_answer(headers)))

    def _note_keep_alive(self, headers: Headers) -> None:
        value = message.find_header(headers, b'keep-alive')
        match = _TIMEOUT.search(value) if value is not None else None
        if match is not None:
            self.max_idle_s = max(0.0, int(match[1]) - IDLE_MARGIN_S)

    def _is_foreign(self, headers: Headers) -> bool:
        """Whether the answer belongs to another request."""
        if self._find_echo is None or self._echo is None:
            return False
        echo = self._find_echo(headers)
        if echo is None:
            # On a new connection there is nothing else that it could answer.
            return self._exchanges > 1
        return echo != self._echo

    def _drop_answer(self) -> None:
        self._dropped += 1
        if not self.usable or self._dropped > MOST_DROPPED_ANSWERS:
            self._fail('the target answered another request')
            return
        self._headers.clear()
        self._body.drop()
        self._body_length = 0
        self._received = 0
        self._headers_done = False

    def _fail(
        self,
        detail: str,
        reason: verdict.Reason = verdict.Reason.ANSWER_INCOMPLETE,
    ) -> None:
        self._settle(Broken(reason, detail))
        self._body.drop()
        self.close()

    def _judge_loss(self, exc: Exception | None) -> Outcome:
        if not self._headers_done:
            return Broken(
                verdict.Reason.TARGET_LOST,
                'the target closed the connection before answering',
            )
        framed = any(
            name in (b'content-length', b'transfer-encoding')
            for name, _ in self._headers
        )
        if framed or exc is not None or not self._clean_end:
            return Broken(
                verdict.Reason.ANSWER_INCOMPLETE,
                'the target closed the connection within its answer',
            )
        headers = tuple(self._headers)
        if self._is_foreign(headers):
            return Broken(
                verdict.Reason.ANSWER_INCOMPLETE,
                'the target answered another request',
            )
        return Received(self._build_answer(headers))


def _watch_silence(connected: socket.socket) -> None:
    """Let the kernel find out that nothing passes any more."""
    tcp = socket.IPPROTO_TCP
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    connected.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    connected.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)
    connected.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


def _render_head(request: message.Request) -> bytes:
    parts = [
        f'{request.method} {request.target} HTTP/1.1\r\n'.encode('latin-1')
    ]
    parts += [
        b'%b: %b\r\n' % pair
        for pair in request.headers
        if pair[0] != b'content-length'
    ]
    if request.body or request.method in ('POST', 'PUT', 'PATCH'):
        parts.append(b'content-length: %d\r\n' % len(request.body))
    parts.append(b'\r\n')
    return b''.join(parts)
