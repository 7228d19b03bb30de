"""Reads the requests of one connection, within limits."""

import abc
import asyncio
import dataclasses
import typing

import httptools

from .. import verdict
from ..policy import client_load
from . import body_buffer
from . import budget
from . import client_account
from . import message
from . import pacing
from . import problem
from . import response_order

MAX_HEADER_BYTES = 32_768
MAX_HEADERS = 128
REQUEST_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 75.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What the listener accepts.

    Args:
        body_bytes: Longest body of a request.
        header_bytes: Longest request line and headers together.
        headers: Most headers in a request; None for as many as fit.
        request_timeout_s: Seconds in which a request must arrive whole.
        idle_timeout_s: Seconds a connection may stay without a request.
    """

    body_bytes: int = 8_388_608
    header_bytes: int = MAX_HEADER_BYTES
    headers: int | None = MAX_HEADERS
    request_timeout_s: float = REQUEST_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S


class Handler(typing.Protocol):
    """Turns a request into an answer."""

    async def __call__(self, request: message.Request) -> verdict.Response:
        """Answer one request; cancelled when its caller has gone."""


class Server(typing.Protocol):
    """The listener that a connection belongs to."""

    handler: Handler
    may_overlap: response_order.MayOverlap
    limits: Limits
    bodies: budget.ByteBudget | None
    account: client_account.ClientAccount | None
    turns: pacing.Turns
    leaving: bool
    draining: bool


class RequestReader(abc.ABC):
    """Turns the bytes of one connection into requests.

    Args:
        server: The listener that accepted it.
        loop: The running loop.
    """

    def __init__(
        self, server: Server, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._server = server
        self._loop = loop
        # None once nothing is read any more: it holds the head that it was
        # reading, and refers to the connection.
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self._paced = pacing.PacedFeed(
            server.turns,
            self._parse,
            server.bodies,
            after_turn=self._update_account,
        )
        self._body = body_buffer.BodyBuffer(server.bodies)
        self._began_at = loop.time()
        self._receiving = False
        self._received = 0
        self._in_headers = True
        # Set when the bytes that follow are no request to read.
        self._is_sealed = False
        self._reset_request()

    def _reset_request(self) -> None:
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body.drop()
        self._body_length = 0
        self._parts = 0

    # What a connection does with requests

    @abc.abstractmethod
    def _accept(
        self,
        request: message.Request,
        *,
        keep_alive: bool,
        length: int,
        cost: int,
    ) -> None:
        """Take a whole request.

        Args:
            request: The request.
            keep_alive: Whether more requests may follow.
            length: Number of bytes received of it.
            cost: Bytes of memory that it takes.
        """

    @abc.abstractmethod
    def _reject(self, response: verdict.Response) -> None:
        """Refuse the request that is being received, and read no more."""

    @abc.abstractmethod
    def _invite_body(self) -> None:
        """Tell a caller that asked first that it may send the body."""

    @abc.abstractmethod
    def _discard(self) -> None:
        """Note that bytes behind the last request were dropped."""

    @abc.abstractmethod
    def _update_account(self) -> None:
        """Count what the connection holds, as that has changed."""

    # Parsing

    def _parse(self, data: memoryview) -> None:
        self._received += len(data)
        if self._is_sealed or self._parser is None:
            self._discard()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, _Rejected):
                # The traceback leads to this frame, which refers to the cause:
                # the two would keep the received bytes until the garbage
                # collector runs.
                cause.__traceback__ = None
                self._reject(cause.response)
            else:
                raise
        except httptools.HttpParserError:
            self._handle_invalid()
        else:
            self._check_framing()
        self._drop_if_sealed()

    def _drop_if_sealed(self) -> None:
        if self._is_sealed:
            self._paced.is_discarding = True
            self._drop_head()

    def _drop_head(self) -> None:
        """Drop what was read of a head; no more is read."""
        self._parser = None
        self._target = b''
        self._headers = []

    def _handle_invalid(self) -> None:
        # What follows a request that closes the connection is not read.
        if self._is_sealed:
            self._discard()
            return
        self._reject(
            problem.describe_bad_request('request is not valid HTTP/1.1')
        )

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
        limit = self._server.limits.headers
        if limit is not None and len(self._headers) > limit:
            raise _Rejected(problem.describe_headers_too_large())

    def on_headers_complete(self) -> None:
        self._in_headers = False
        assert self._parser is not None
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
        self._invite_body()

    def on_body(self, body: bytes) -> None:
        self._paced.parts += 1
        self._parts += 1
        self._body_length += len(body)
        if self._body_length > self._server.limits.body_bytes:
            raise _Rejected(
                problem.describe_body_too_large(self._server.limits.body_bytes)
            )
        if not self._body.append(body) and not self._append_again(body):
            raise _Rejected(problem.describe_memory_full())

    def _append_again(self, body: bytes) -> bool:
        """Take a part of a body once other clients' bodies were given up."""
        if self._server.account is None:
            return False
        self._server.account.relieve_bodies()
        return not self._is_sealed and self._body.append(body)

    def _build_request(self) -> message.Request:
        assert self._parser is not None
        method = self._parser.get_method().decode('ascii')
        received_at = self._loop.time()
        return self._body.take(
            lambda body: message.Request(
                method=method,
                target=self._target.decode('latin-1'),
                headers=tuple(self._headers),
                body=body,
                received_at=received_at,
            )
        )

    def on_message_complete(self) -> None:
        self._receiving = False
        assert self._parser is not None
        # The bytes behind a request that came with it were counted as well.
        cost = client_load.REQUEST_BYTES + client_load.compute_head_cost(
            max(0, self._received - self._body_length), len(self._headers)
        )
        account = self._server.account
        if (
            account is not None
            # Most requests are small, and there is room for them.
            and (
                cost > client_load.LARGE_REQUEST_BYTES
                or account.used + cost > account.held_limit
            )
            and not account.admits(cost)
        ):
            raise _Rejected(problem.describe_memory_full())
        if self._body_length <= budget.UNCOUNTED_BYTES:
            cost += self._body_length
        request = self._build_request()
        keep_alive = self._parser.should_keep_alive()
        self._is_sealed = not keep_alive
        self._in_headers = True
        length = self._received
        self._received = 0
        self._headers = []
        self._accept(request, keep_alive=keep_alive, length=length, cost=cost)

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


class _Rejected(Exception):
    def __init__(self, response: verdict.Response) -> None:
        super().__init__(response.status)
        self.response = response
