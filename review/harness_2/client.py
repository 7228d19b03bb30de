"""A client that reads its answers at a steady rate."""

import asyncio
import collections.abc
import dataclasses
import random
import socket
import time

import stage

# What a client's host announces on a network of 1,500 bytes a packet.
SEGMENT_BYTES = 1460
RECEIVE_BUFFER_BYTES = 4_096
TICK_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a client has received in answer to one request.

    Args:
        status: The status; 0 if the head did not arrive.
        announced: Length of the body that the head announces.
        received: Bytes of the body that arrived.
        is_right: Whether these are the bytes that the upstream sent.
        ending: How the wait for the answer ended.
        took_s: Seconds from the request to that end.
    """

    status: int
    announced: int
    received: int
    is_right: bool
    ending: str
    took_s: float

    @property
    def is_whole(self) -> bool:
        """Whether the whole answer arrived."""
        return self.status > 0 and self.received == self.announced

    def describe(self) -> str:
        """Return the answer in one line."""
        return (
            f'status {self.status}, {self.received} of {self.announced} bytes '
            f'of the body, right {self.is_right}, {self.ending} after '
            f'{self.took_s:.2f} s'
        )


class Client:
    """One kept connection to a node.

    Args:
        port: Port of the node for clients.
        rate: Bytes a second that the client reads; 0 for no bound.
    """

    def __init__(self, port: int, rate: int = 0) -> None:
        self._port = port
        self._rate = rate
        self._data = bytearray()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
        )
        if rate:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            self._socket.bind((_choose_address(), 0))
        self._socket.setblocking(False)

    async def connect(self) -> None:
        """Open the connection."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, ('127.0.0.1', self._port))

    async def ask(
        self, path: str, request_id: str, deadline_ms: int
    ) -> Answer:
        """Send a request and read its answer until the time limit."""
        (answer,) = await self.ask_all([(path, request_id)], deadline_ms)
        return answer

    async def ask_all(
        self,
        requests: collections.abc.Sequence[tuple[str, str]],
        deadline_ms: int,
    ) -> list[Answer]:
        """Send requests one behind the other, and read their answers.

        Args:
            requests: Path and id of each.
            deadline_ms: Time limit of each; all are sent at once.
        """
        loop = asyncio.get_running_loop()
        began_at = time.monotonic()
        ends_at = began_at + deadline_ms / 1000.0
        sent = b''.join(
            stage.build_request('GET', path, request_id, deadline_ms)
            for path, request_id in requests
        )
        ending = ''
        try:
            await loop.sock_sendall(self._socket, sent)
        except OSError as error:
            ending = f'connection lost ({type(error).__name__})'
        answers = []
        for _ in requests:
            answer = await self._take_answer(began_at, ends_at, ending)
            answers.append(answer)
            if not answer.is_whole:
                ending = answer.ending
        return answers

    async def _take_answer(
        self, began_at: float, ends_at: float, ending: str
    ) -> Answer:
        status, announced, body_at = 0, 0, 0
        while not ending:
            if not body_at and b'\r\n\r\n' in self._data:
                body_at = self._data.index(b'\r\n\r\n') + 4
                status, announced = _read_head(bytes(self._data[:body_at]))
            if body_at and len(self._data) - body_at >= announced:
                break
            ending = await self._receive(ends_at)
        body = b''
        if body_at:
            body = bytes(self._data[body_at : body_at + announced])
            del self._data[: body_at + announced]
        return Answer(
            status,
            announced,
            len(body),
            body == stage.build_body(len(body)),
            ending or 'complete',
            time.monotonic() - began_at,
        )

    async def _receive(self, ends_at: float) -> str:
        """Read on; return why there is no more, or an empty text."""
        left_s = ends_at - time.monotonic()
        if left_s <= 0.0:
            return 'time limit'
        try:
            part = await asyncio.wait_for(self._read(), left_s)
        except TimeoutError:
            return 'time limit'
        except OSError as error:
            return f'connection lost ({type(error).__name__})'
        self._data += part
        return '' if part else 'connection closed'

    async def _read(self) -> bytes:
        loop = asyncio.get_running_loop()
        if not self._rate:
            return await loop.sock_recv(self._socket, 65_536)
        part = await loop.sock_recv(
            self._socket, max(1, int(self._rate * TICK_S))
        )
        await asyncio.sleep(len(part) / self._rate)
        return part

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


def _choose_address() -> str:
    """Return a loopback address that no connection has come from.

    The system remembers what it has measured of an address, and holds more
    bytes for one that has read fast before.
    """
    source = random.SystemRandom()
    return f'127.{source.randint(1, 250)}.{source.randint(0, 250)}.1'


def _read_head(head: bytes) -> tuple[int, int]:
    """Return the status of a head, and the length that it announces."""
    lines = head.split(b'\r\n')
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(b':')
        if name.lower() == b'content-length':
            length = int(value)
    return int(lines[0].split()[1]), length
