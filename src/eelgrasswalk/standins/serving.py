"""A small HTTP/1.1 server for stand-ins, on the httptools parser."""

import asyncio
import collections.abc
import dataclasses
import http
import json
import typing

import httptools


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A whole request.

    Args:
        method: The method.
        target: Path and query as they came.
        headers: Name and value pairs, names in lower case.
        body: The whole body.
    """

    method: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        for found, value in self.headers:
            if found == name:
                return value
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer.

    Args:
        status: HTTP status code.
        body: The body.
        content_type: Its media type.
        headers: Further headers.
        cut_after: Bytes of the body after which the connection is closed,
            or None to send it whole.
        resets: Whether the connection is reset in place of an answer.
    """

    status: int = 200
    body: bytes = b''
    content_type: bytes = b'application/json'
    headers: tuple[tuple[bytes, bytes], ...] = ()
    cut_after: int | None = None
    resets: bool = False


Pending: typing.TypeAlias = collections.abc.Coroutine[
    typing.Any, typing.Any, Reply
]
Handler: typing.TypeAlias = collections.abc.Callable[
    [Request], Reply | Pending
]

_STATUS_LINES = {
    status.value: b'HTTP/1.1 %d %s\r\n'
    % (status.value, status.phrase.encode())
    for status in http.HTTPStatus
}


def make_json_reply(content: object, status: int = 200) -> Reply:
    """Return a reply that carries the content as JSON."""
    return Reply(status, json.dumps(content).encode())


def encode_reply(reply: Reply) -> bytes:
    """Return the bytes of a reply, shortened when it is to be cut."""
    line = _STATUS_LINES.get(reply.status)
    if line is None:
        line = b'HTTP/1.1 %03d Unknown\r\n' % reply.status
    parts = [
        line,
        b'content-type: ',
        reply.content_type,
        b'\r\ncontent-length: %d\r\n' % len(reply.body),
    ]
    for name, value in reply.headers:
        parts.append(b'%s: %s\r\n' % (name, value))
    parts.append(b'\r\n')
    body = reply.body
    if reply.cut_after is not None:
        body = body[: reply.cut_after]
    parts.append(body)
    return b''.join(parts)


class Connection(asyncio.Protocol):
    """One connection of a caller; answers its requests in order.

    A handler that is still at work when the caller closes the connection is
    cancelled.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._waiting: list[Request] = []
        self._task: asyncio.Task[None] | None = None
        self._target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler at work."""
        self._transport = None
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; close on a malformed request."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._close()

    def on_message_begin(self) -> None:
        """Start a request."""
        self._target = b''
        self._headers = []
        self._body = []

    def on_url(self, url: bytes) -> None:
        """Add to the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        """Add to the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Answer the request, or keep it until its turn."""
        request = Request(
            self._parser.get_method().decode(),
            self._target,
            tuple(self._headers),
            b''.join(self._body),
        )
        if self._task is not None:
            self._waiting.append(request)
            return
        self._begin(request)

    def _begin(self, request: Request) -> None:
        outcome = self._handler(request)
        if isinstance(outcome, Reply):
            self._send(outcome)
            return
        self._task = asyncio.get_running_loop().create_task(
            self._finish(outcome)
        )

    async def _finish(self, pending: Pending) -> None:
        reply = await pending
        self._task = None
        self._send(reply)
        if self._waiting:
            self._begin(self._waiting.pop(0))

    def _send(self, reply: Reply) -> None:
        if self._transport is None:
            return
        if reply.resets:
            self._transport.abort()
            return
        self._transport.write(encode_reply(reply))
        if reply.cut_after is not None:
            self._close()

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()


async def start_server(
    handler: Handler, host: str, port: int
) -> tuple[asyncio.Server, str]:
    """Listen and return the server and its bound address.

    Args:
        handler: Answers each request.
        host: IP number to listen on.
        port: Port, or 0 for a free one.

    Returns:
        The server, and host:port.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Connection(handler), host, port, backlog=1024
    )
    bound = server.sockets[0].getsockname()
    return server, f'{bound[0]}:{bound[1]}'
