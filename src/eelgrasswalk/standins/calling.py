"""A small pooled HTTP/1.1 client for stand-ins, on the httptools parser."""

import asyncio
import collections.abc
import typing

import httptools

from . import serving

_MAX_IDLE = 256


class CallError(Exception):
    """The connection ended before the whole answer was read."""


class _Exchange(asyncio.Protocol):
    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[serving.Reply] | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self.reusable = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.reusable = False
        self._transport = None
        self._fail('connection lost')

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(str(error))
            self.close()

    def on_message_begin(self) -> None:
        self._headers = []
        self._body = []

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        self.reusable = bool(self._parser.should_keep_alive())
        if self._answer is not None and not self._answer.done():
            self._answer.set_result(
                serving.Reply(
                    self._parser.get_status_code(),
                    b''.join(self._body),
                    headers=tuple(self._headers),
                )
            )

    async def send(self, data: bytes) -> serving.Reply:
        if self._transport is None:
            raise CallError('not connected')
        self.reusable = False
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        return await self._answer

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _fail(self, detail: str) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(CallError(detail))


class Caller:
    """Calls one address over kept connections."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._idle: list[_Exchange] = []

    async def call(
        self,
        method: str,
        target: str,
        *,
        headers: collections.abc.Iterable[tuple[bytes, bytes]] = (),
        body: bytes = b'',
    ) -> serving.Reply:
        """Send one request and return its whole answer.

        Args:
            method: The method.
            target: Path and query.
            headers: Headers besides host and content-length.
            body: The body.

        Returns:
            The answer.

        Raises:
            CallError: The answer did not come whole.
            OSError: No connection could be opened.
        """
        data = self._encode(method, target, headers, body)
        exchange = await self._take()
        try:
            reply = await exchange.send(data)
        except BaseException:
            exchange.close()
            raise
        if exchange.reusable and len(self._idle) < _MAX_IDLE:
            self._idle.append(exchange)
        else:
            exchange.close()
        return reply

    def close(self) -> None:
        """Close the kept connections."""
        for exchange in self._idle:
            exchange.close()
        self._idle.clear()

    async def _take(self) -> _Exchange:
        while self._idle:
            exchange = self._idle.pop()
            if exchange.reusable:
                return exchange
        loop = asyncio.get_running_loop()
        _, exchange = await loop.create_connection(
            _Exchange, self._host, self._port
        )
        return exchange

    def _encode(
        self,
        method: str,
        target: str,
        headers: collections.abc.Iterable[tuple[bytes, bytes]],
        body: bytes,
    ) -> bytes:
        parts = [
            f'{method} {target} HTTP/1.1\r\n'
            f'host: {self._host}:{self._port}\r\n'.encode()
        ]
        parts.extend(b'%s: %s\r\n' % pair for pair in headers)
        if body or method not in ('GET', 'HEAD'):
            parts.append(b'content-length: %d\r\n' % len(body))
        parts.append(b'\r\n')
        parts.append(body)
        return b''.join(parts)
