"""Crowds of clients that send or read without regard for a node's memory."""

import asyncio
import collections.abc
import contextlib
import os
import socket
import typing

from eelgrasswalk import verdict
from eelgrasswalk.standins import app
from eelgrasswalk.standins import deployment
from eelgrasswalk.transport import http_server
from eelgrasswalk.transport import message

# A small receive buffer keeps the rest of an answer at the node.
RECEIVE_BUFFER_BYTES = 4_096
CONNECT_TIMEOUT_S = 1.0
# Time for which a client keeps trying to send. What the node doesn't read by
# then stays with the client.
SEND_TIMEOUT_S = 3.0
READ_INTERVAL_S = 0.25
# A steady reader takes as much at such intervals.
STEADY_BYTES = 2_048
STEADY_INTERVAL_S = 0.05
STEADY_TIMEOUT_S = 2.0
SEGMENT_BYTES = 1_460

MAX_TARGET_HEADERS = 5_000
MAX_TARGET_BODY_BYTES = 67_108_864


class LongAnswers(app.AppStandin):
    """Answers long, or with many header lines.

    A path with `/long/NUMBER/` asks for a body of so many bytes, one with
    `/lines/NUMBER/` for so many header lines.
    """

    def _build_server(self) -> http_server.HttpServer:
        return http_server.HttpServer(
            self.handle,
            limits=http_server.Limits(
                body_bytes=MAX_TARGET_BODY_BYTES, headers=MAX_TARGET_HEADERS
            ),
        )

    async def handle(self, request: message.Request) -> verdict.Response:
        """Answer a request."""
        response = await super().handle(request)
        if response.status != 200:
            return response
        _, found, rest = request.target.partition('/lines/')
        if found:
            lines = ((b'a', b'b'),) * int(rest.partition('/')[0])
            return verdict.Response(
                response.status, response.headers + lines, response.body
            )
        _, found, rest = request.target.partition('/long/')
        if not found:
            return response
        size = int(rest.partition('/')[0])
        return verdict.Response(response.status, response.headers, b'x' * size)


def build_call(
    path: str, *, number: int = 0, headers: message.Headers = ()
) -> bytes:
    """Return a whole call, as a client sends it."""
    request = deployment.build_call(
        'GET', path, request_id=f'crowd-{number}', deadline_ms=30_000
    )
    lines = [b'%b: %b\r\n' % pair for pair in (*request.headers, *headers)]
    return b'GET %b HTTP/1.1\r\n%b\r\n' % (path.encode(), b''.join(lines))


class Crowd:
    """Connections of one kind of client, open until it is closed.

    Args:
        port: Port of the node.
        pieces: Returns what the client of a number sends, in pieces.
        read_bytes: Most bytes that each reads at a time; 0 to read nothing.
        half_close: Whether each ends its side once it has sent everything.
        is_distant: Whether the kernel holds little for each of them, as for
            clients on slow links; the rest of an answer stays at the node.
    """

    def __init__(
        self,
        port: int,
        pieces: typing.Callable[[int], collections.abc.Iterable[bytes]],
        *,
        read_bytes: int = 0,
        half_close: bool = False,
        is_distant: bool = False,
    ) -> None:
        self._port = port
        self._is_distant = is_distant
        self._half_close = half_close
        self._pieces = pieces
        self._read_bytes = read_bytes
        self._sockets: list[socket.socket] = []
        self._readers: list[asyncio.Task[None]] = []

    async def start(self, count: int) -> None:
        """Connect so many clients, and let each send what it can."""
        await asyncio.gather(*(self._run_one(each) for each in range(count)))

    async def close(self) -> None:
        """Close every connection."""
        for reader in self._readers:
            reader.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)
        for each in self._sockets:
            each.close()

    async def _run_one(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        client = socket.socket()
        self._sockets.append(client)
        client.setblocking(False)
        if self._is_distant:
            make_distant(client, number)
        else:
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        # The node may refuse the connection or close it at any time.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(client, ('127.0.0.1', self._port))
            if self._read_bytes:
                self._readers.append(loop.create_task(self._read(client)))
            async with asyncio.timeout(SEND_TIMEOUT_S):
                for piece in self._pieces(number):
                    await loop.sock_sendall(client, piece)
            if self._half_close:
                client.shutdown(socket.SHUT_WR)

    async def _read(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while await loop.sock_recv(client, self._read_bytes):
                await asyncio.sleep(READ_INTERVAL_S)


def make_distant(client: socket.socket, number: int) -> None:
    """Let the kernel hold little of what a client has not read.

    It holds far more for loopback connections, and for addresses whose
    earlier connections have been fast.

    Args:
        client: Not connected yet.
        number: Tells clients apart.
    """
    client.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    client.bind((f'127.1.{number // 250}.{number % 250 + 1}', 0))


class SteadyReader:
    """A client that reads a little at a time, without a pause.

    Args:
        port: Port of the node.
        number: Tells clients apart.
    """

    def __init__(self, port: int, number: int) -> None:
        self._port = port
        self._number = number

    async def ask(self, calls: bytes) -> bytes:
        """Send calls, and return what arrives until nothing more does."""
        loop = asyncio.get_running_loop()
        received = b''
        with socket.socket() as client:
            client.setblocking(False)
            make_distant(client, self._number)
            await loop.sock_connect(client, ('127.0.0.1', self._port))
            await loop.sock_sendall(client, calls)
            with contextlib.suppress(OSError, TimeoutError):
                while True:
                    async with asyncio.timeout(STEADY_TIMEOUT_S):
                        part = await loop.sock_recv(client, STEADY_BYTES)
                    if not part:
                        break
                    received += part
                    await asyncio.sleep(STEADY_INTERVAL_S)
        return received


def count_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(os.listdir(f'/proc/{pid}/fd'))
