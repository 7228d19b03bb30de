"""A client that sends several requests ahead on one connection.

It reads answers with a parser of its own, so that it sees what the product's
own client would refuse.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import time

import httptools

from .. import verdict
from ..transport import message

_READ_BYTES = 65_536
_FINAL = 200
_INTERIM = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One whole answer.

    Args:
        response: The answer; its status may be any number.
        at: When it was there, in seconds.
        closes: Whether it says that the connection ends behind it.
    """

    response: verdict.Response
    at: float
    closes: bool


class _Reader:
    """Collects the answers on one connection."""

    def __init__(self) -> None:
        self.answers: list[Answer] = []
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []

    def feed(self, data: bytes) -> bool:
        """Read on, and return whether more may follow."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            return False
        return not (self.answers and self.answers[-1].closes)

    def on_message_begin(self) -> None:
        self._headers.clear()
        self._body.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if _INTERIM <= status < _FINAL:
            return
        headers = tuple(self._headers)
        self.answers.append(
            Answer(
                verdict.Response(status, headers, b''.join(self._body)),
                time.monotonic(),
                (b'connection', b'close') in headers,
            )
        )


async def send_ahead(
    port: int,
    requests: collections.abc.Sequence[message.Request],
    *,
    timeout_s: float,
) -> list[Answer]:
    """Send requests at once on a new connection, and return the answers.

    Args:
        port: Where to, on loopback.
        requests: The requests, in order.
        timeout_s: Seconds after which no more answers are awaited.

    Returns:
        The answers that came, in the order in which they came.
    """
    reader = _Reader()
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(timeout_s):
            source, sink = await asyncio.open_connection('127.0.0.1', port)
            try:
                sink.write(b''.join(map(_render_request, requests)))
                while len(reader.answers) < len(requests):
                    data = await source.read(_READ_BYTES)
                    if not data or not reader.feed(data):
                        break
            finally:
                sink.close()
    return reader.answers


def _render_request(request: message.Request) -> bytes:
    lines = [f'{request.method} {request.target} HTTP/1.1'.encode()]
    lines += [b'%b: %b' % pair for pair in request.headers]
    lines.append(b'content-length: %d' % len(request.body))
    return b'\r\n'.join((*lines, b'', request.body))
