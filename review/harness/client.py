"""A client of a node: requests on kept connections, read at a chosen pace."""

import asyncio
import dataclasses
import socket

HOST = 'shop.example'
KEY = 'key-of-lake'
READ_BYTES = 4_096
CONNECT_TIMEOUT_S = 1.0
# What a network link carries; loopback would buffer megabytes.
SEGMENT_BYTES = 1460


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What came back for a request.

    Args:
        status: Status of the answer; 0 without one.
        stamp: The upstream's stamp; empty without one.
        length: Length that the answer announced; -1 for none.
        received: Bytes of its body that arrived.
        detail: Why there is no complete answer; empty when there is one.
    """

    status: int
    stamp: str
    length: int
    received: int
    detail: str = ''

    @property
    def is_complete(self) -> bool:
        """Whether the whole answer arrived."""
        return self.status > 0 and self.received == self.length


class Connection:
    """One kept connection to a node.

    Args:
        host: Address of the node's machine.
        port: Port for clients.
        receive_bytes: Size of the socket's receive buffer, as of a client on
            a slow link; 0 for the default.
    """

    def __init__(
        self, host: str, port: int, *, receive_bytes: int = 0
    ) -> None:
        self._host = host
        self._port = port
        self._receive_bytes = receive_bytes
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect."""
        connected = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if self._receive_bytes:
            connected.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes
            )
            connected.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
            )
        connected.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(connected, (self._host, self._port))
        except BaseException:
            connected.close()
            raise
        self._reader, self._writer = await asyncio.open_connection(
            sock=connected, limit=READ_BYTES
        )

    def close(self) -> None:
        """Close."""
        if self._writer is not None:
            self._writer.close()

    async def send(
        self,
        method: str,
        path: str,
        *,
        request_id: str,
        time_limit_ms: int,
        key: str = KEY,
        body: bytes = b'',
        bytes_per_s: float = 0.0,
    ) -> Answer:
        """Send a request and read its answer within its time limit.

        Args:
            method: Its method.
            path: Its path.
            request_id: Its id.
            time_limit_ms: How long the client waits.
            key: The client's key.
            body: Its body.
            bytes_per_s: Pace at which the answer is read; 0 for at once.
        """
        assert self._writer is not None
        head = (
            f'{method} {path} HTTP/1.1\r\n'
            f'Host: {HOST}\r\n'
            f'Attempt-Id: {request_id}\r\n'
            f'Request-Deadline: {time_limit_ms}\r\n'
            f'Authorization: Bearer {key}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        self._writer.write(head.encode() + body)
        received = Answer(0, '', -1, 0, 'no answer within the time limit')
        try:
            async with asyncio.timeout(time_limit_ms / 1000.0):
                received = await self._read_head()
                if received.status:
                    received = await self._read_body(received, bytes_per_s)
        except TimeoutError:
            return dataclasses.replace(
                received, detail='not complete within the time limit'
            )
        except OSError as error:
            return dataclasses.replace(received, detail=repr(error))
        return received

    async def _read_head(self) -> Answer:
        assert self._reader is not None
        try:
            head = await self._reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            return Answer(0, '', -1, 0, 'the connection was closed')
        lines = head.decode('latin-1').split('\r\n')
        fields = dict(
            (name.strip().lower(), value.strip())
            for name, _, value in (line.partition(':') for line in lines[1:])
        )
        return Answer(
            status=int(lines[0].split()[1]),
            stamp=fields.get('response-stamp', ''),
            length=int(fields.get('content-length', '-1')),
            received=0,
        )

    async def _read_body(self, head: Answer, bytes_per_s: float) -> Answer:
        assert self._reader is not None
        received = 0
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while received < head.length:
            try:
                part = await self._reader.read(
                    min(READ_BYTES, head.length - received)
                )
            except ConnectionError as error:
                return dataclasses.replace(
                    head, received=received, detail=repr(error)
                )
            if not part:
                return dataclasses.replace(
                    head, received=received, detail='the answer was cut off'
                )
            received += len(part)
            if bytes_per_s:
                due_at = started_at + received / bytes_per_s
                await asyncio.sleep(max(0.0, due_at - loop.time()))
        return dataclasses.replace(head, received=received)
