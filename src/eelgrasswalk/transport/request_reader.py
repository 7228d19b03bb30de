"""Reads the requests of one connection, within limits."""

import abc
import asyncio
import dataclasses
import typing

import httptools

from .. import verdict
from . import body_buffer
from . import budget
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
        headers: Most headers in a request.
        request_timeout_s: Seconds in which a request must arrive whole.
        idle_timeout_s: Seconds a connection may stay without a request.
    """

    body_bytes: int = 8_388_608
    header_bytes: int = MAX_HEADER_BYTES
    headers: int = MAX_HEADERS
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
        self._parser = httptools.HttpRequestParser(self)
        self._paced = pacing.PacedFeed(
            server.turns, self._parse, server.bodies
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
        self, request: message.Request, *, keep_alive: bool, length: int
    ) -> None:
        """Take a whole request.

        Args:
            request: The request.
            keep_alive: Whether more requests may follow.
            length: Number of bytes received of it.
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

    # Parsing

    def _parse(self, data: memoryview) -> None:
        self._received += len(data)
        if self._drop_if_sealed():
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, _Rejected):
                self._reject(cause.response)
            else:
                raise
        except httptools.HttpParserError:
            # What follows a request that closes the connection is not read.
            if not self._drop_if_sealed():
                self._reject(
                    problem.describe_bad_request(
                        'request is not valid HTTP/1.1'
                    )
                )
        else:
            self._check_framing()

    def _drop_if_sealed(self) -> bool:
        """Drop received bytes if they are no request to read.

        Returns:
            Whether they were dropped.
        """
        if self._is_sealed:
            self._discard()
        return self._is_sealed

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
        self._invite_body()

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
        received_at = self._loop.time()
        return self._body.take(
            lambda body: message.Request(
                method=self._parser.get_method().decode('ascii'),
                target=self._target.decode('latin-1'),
                headers=tuple(self._headers),
                body=body,
                received_at=received_at,
            )
        )

    def on_message_complete(self) -> None:
        self._receiving = False
        request = self._build_request()
        keep_alive = self._parser.should_keep_alive()
        self._is_sealed = not keep_alive
        self._in_headers = True
        length = self._received
        self._received = 0
        self._accept(request, keep_alive=keep_alive, length=length)

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
