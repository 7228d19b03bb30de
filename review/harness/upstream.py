"""An application upstream beside a node, as the users' pages describe it."""

import asyncio
import contextlib
import dataclasses
import json
import time

CHECK_IN_TIMEOUT_S = 1.0
CHECK_IN_INTERVAL_S = 1.5
# Bodies are made once and shared by the answers.
_BODIES: dict[int, bytes] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that the upstream began to work on.

    Args:
        at: Monotonic time.
        request_id: Its id.
        path: Its path.
        tenant: The tenant that it names.
    """

    at: float
    request_id: str
    path: str
    tenant: str


class Upstream:
    """One lifetime of an upstream.

    A path that ends with a number names the length of the answer's body.

    Args:
        target_id: Id of the lifetime.
        service: Its service.
        host: Address of its machine.
        port: Port at which it serves.
        control_port: Port of the node for its check-ins.
        slots: Requests that it runs at a time.
        work_s: Seconds that a request takes.
    """

    def __init__(
        self,
        target_id: str,
        service: str,
        *,
        host: str,
        port: int,
        control_port: int,
        slots: int = 64,
        work_s: float = 0.02,
    ) -> None:
        self.target_id = target_id
        self.service = service
        self.runs: list[Run] = []
        self._host = host
        self._port = port
        self._control_port = control_port
        self._slots = slots
        self._work_s = work_s
        self._running = 0
        self._sequence = 0
        self._born_ms = time.time_ns() // 1_000_000
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve, and check in from now on."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port
        )
        self._beat = asyncio.create_task(self._check_in_regularly())

    async def stop(self) -> None:
        """End without a word."""
        self.stop_check_ins()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    def stop_check_ins(self) -> None:
        """Send no further check-ins."""
        if self._beat is not None:
            self._beat.cancel()

    async def depart(self) -> bool:
        """Tell the node that it leaves; return whether it acknowledged."""
        self.stop_check_ins()
        body = json.dumps({'born': self._born_ms}).encode()
        return await self._tell('deregister', body)

    async def check_in(self) -> bool:
        """Tell the node of itself; return whether it acknowledged."""
        self._sequence += 1
        fields = {
            'service': self.service,
            'address': f'{self._host}:{self._port}',
            'zone': 'cleveland',
            'version': 'v1',
            'slots': self._slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'sequence': self._sequence,
            'born': self._born_ms,
        }
        return await self._tell('heartbeat', json.dumps(fields).encode())

    async def _check_in_regularly(self) -> None:
        while True:
            await self.check_in()
            await asyncio.sleep(CHECK_IN_INTERVAL_S)

    async def _tell(self, call: str, body: bytes) -> bool:
        head = (
            f'POST /-/rpc?call=instances.{call}&of={self.target_id} '
            'HTTP/1.1\r\n'
            f'Host: {self._host}:{self._control_port}\r\n'
            'Content-Type: application/json\r\n'
            'Connection: close\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        try:
            async with asyncio.timeout(CHECK_IN_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self._host, self._control_port
                )
                writer.write(head.encode() + body)
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line.split()[1:2] == [b'200']

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self._serve_one(reader, writer):
                    pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.split('\r\n')
        _, path, _ = first.split(' ')
        fields = dict(
            (name.strip().lower(), value.strip())
            for name, _, value in (line.partition(':') for line in lines)
        )
        await reader.readexactly(int(fields.get('content-length', '0')))
        request_id = fields.get('attempt-id', '')
        refusal = self._check(fields)
        if refusal:
            writer.write(refusal.encode())
            return True
        self.runs.append(
            Run(
                time.monotonic(),
                request_id,
                path,
                fields.get('tenant-id', ''),
            )
        )
        self._running += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
        body = _build_body(path)
        writer.write(
            (
                'HTTP/1.1 200 OK\r\n'
                f'Attempt-Id: {request_id}\r\n'
                f'Response-Stamp: {self.target_id}.{request_id}\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'
            ).encode()
        )
        writer.write(body)
        await writer.drain()
        return True

    def _check(self, fields: dict[str, str]) -> str:
        """Return the answer to a request that is not run, or nothing."""
        request_id = fields.get('attempt-id', '')
        named = fields.get('target-instance', '')
        if not request_id:
            return (
                'HTTP/1.1 400 Bad Request\r\n'
                'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
            )
        if named and named != self.target_id:
            return (
                'HTTP/1.1 421 Misdirected Request\r\n'
                f'Attempt-Id: {request_id}\r\n'
                f'Instance-Id: {self.target_id}\r\n'
                'Content-Length: 0\r\n\r\n'
            )
        if self._running >= self._slots:
            return (
                'HTTP/1.1 503 Service Unavailable\r\n'
                f'Attempt-Id: {request_id}\r\n'
                'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
            )
        return ''


def _build_body(path: str) -> bytes:
    last = path.rpartition('/')[2]
    length = int(last) if last.isdigit() else 64
    if length not in _BODIES:
        _BODIES[length] = b'x' * length
    return _BODIES[length]
