"""A stand-in for an application that the platform runs beside a node."""

import asyncio
import dataclasses
import json
import typing

from .. import verdict
from ..transport import http_client
from ..transport import http_server
from ..transport import message

CHECK_IN_TIMEOUT_S = 1.0
HEALTH_PATH = '/health'


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that has reached the application.

    Args:
        at: Loop time.
        method: Its method.
        path: Its path with the query.
        headers: Its headers, names in lower case.
        body: Its body.
        target_id: The run of the application that it reached.
        was_run: Whether it was run, not refused.
        request_id: The client's id of it; empty when there is none.
    """

    at: float
    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes
    target_id: str
    was_run: bool
    request_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of the application.

    Args:
        at: Loop time.
        path: Path of the request that caused it.
    """

    at: float
    path: str


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How the application answers.

    Args:
        work_s: Seconds that a request takes.
        shed: Whether requests are refused without having run.
        status: Status of answers.
        silent: Whether requests are never answered.
        stray: Whether the answer to another request comes first.
        calls_per_s: Limit that its answers name; None for none.
        leaving: Whether its answers say that it is leaving.
        deadly_paths: Paths of requests that crash it once they have run.
    """

    work_s: float = 0.0
    shed: bool = False
    status: int = 200
    silent: bool = False
    stray: bool = False
    calls_per_s: float | None = None
    leaving: bool = False
    deadly_paths: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What an answer says of the application that gave it.

    Args:
        target_id: The run of the application; empty if unknown.
        calls_per_s: Limit that it names; None for none.
        leaving: Whether it says that it is leaving.
    """

    target_id: str
    calls_per_s: float | None
    leaving: bool


def read_notice(response: verdict.Response) -> Notice:
    """Return what an answer says of the application that gave it."""
    headers = dict(response.headers)
    limit = headers.get(b'server-limit')
    return Notice(
        target_id=headers.get(b'instance-id', b'').decode(),
        calls_per_s=None if limit is None else float(limit),
        leaving=headers.get(b'server-leaving') == b'1',
    )


class AppStandin:
    """Serves requests and tells the node beside it of itself.

    Args:
        target_id: Id of its lifetime.
        service: The service that it serves.
        slots: Requests that it runs at a time.
    """

    def __init__(
        self, target_id: str, service: str, *, slots: int = 8
    ) -> None:
        self.target_id = target_id
        self.service = service
        self.slots = slots
        self.behaviour = Behaviour()
        self.arrivals: list[Arrival] = []
        self.crashes: list[Crash] = []
        self.is_down = False
        self.port = 0
        self.born_ms = 1_700_000_000_000
        self._sequence = 0
        self._is_leaving = False
        self._server = self._build_server()
        self._ending: asyncio.Task[None] | None = None

    def _build_server(self) -> http_server.HttpServer:
        return http_server.HttpServer(self.handle, limits=http_server.Limits())

    async def start(self, port: int = 0) -> int:
        """Listen on loopback, and return the port."""
        self.port = (await self._server.start('127.0.0.1', port))[1]
        return self.port

    async def stop(self) -> None:
        """Close every connection."""
        if self._ending is not None:
            await self._ending
        await _end(self._server)

    def crash(self, path: str) -> None:
        """End without a word under a request; none gets an answer."""
        if self.is_down:
            return
        loop = asyncio.get_running_loop()
        self.crashes.append(Crash(loop.time(), path))
        self.is_down = True
        self._ending = loop.create_task(_end(self._server))
        self._server = self._build_server()

    async def recover(self, target_id: str) -> None:
        """Begin a new run at the same port after a crash.

        Requests that crashed the last run crash this one as well.
        """
        self.restart(target_id)
        await self.start(self.port)
        self.is_down = False

    def restart(self, target_id: str) -> None:
        """Begin a new run, which knows nothing of the one before."""
        self.target_id = target_id
        self.born_ms += 1000
        self.behaviour = Behaviour(
            work_s=self.behaviour.work_s,
            deadly_paths=self.behaviour.deadly_paths,
        )
        self._sequence = 0
        self._is_leaving = False

    async def check_in(self, control_port: int, state: str = 'ready') -> bool:
        """Tell the node of a state, and return whether it acknowledged."""
        self._sequence += 1
        self._is_leaving |= state == 'draining'
        fields = {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'slots': self.slots,
            'state': state,
            'cold_left_ms': 0,
            'sequence': self._sequence,
            'born': self.born_ms,
        }
        return await self._call(control_port, 'heartbeat', fields)

    async def depart(self, control_port: int) -> bool:
        """Tell the node that it leaves."""
        self._is_leaving = True
        return await self._call(control_port, 'deregister', {})

    async def _call(
        self, port: int, name: str, fields: dict[str, typing.Any]
    ) -> bool:
        pool = http_client.TargetPool('127.0.0.1', port, connections=1)
        request = message.Request(
            'POST',
            f'/-/rpc?call=instances.{name}&of={self.target_id}',
            ((b'host', b'control'),),
            json.dumps(fields).encode(),
        )
        try:
            async with asyncio.timeout(CHECK_IN_TIMEOUT_S):
                outcome = await pool.send(request, max_answer_bytes=4096)
        except TimeoutError:
            return False
        finally:
            await pool.close()
        return (
            isinstance(outcome, http_client.Received)
            and outcome.response.status == 200
        )

    @property
    def is_leaving(self) -> bool:
        """Whether this run has said that it leaves, in whatever way."""
        return self._is_leaving or self.behaviour.leaving

    def _render_notice(self) -> tuple[tuple[bytes, bytes], ...]:
        notice: list[tuple[bytes, bytes]] = []
        if self.behaviour.calls_per_s is not None:
            limit = f'{self.behaviour.calls_per_s:.2f}'.encode()
            notice.append((b'server-limit', limit))
        if self.behaviour.leaving:
            notice.append((b'server-leaving', b'1'))
        return tuple(notice)

    async def handle(self, request: message.Request) -> verdict.Response:
        """Answer one request."""
        if request.target == HEALTH_PATH:
            return self._report_health()
        headers = dict(request.headers)
        expected = headers.get(b'target-instance', b'').decode()
        was_run = expected == self.target_id and not self.behaviour.shed
        request_id = headers.get(b'attempt-id', b'')
        self.arrivals.append(
            Arrival(
                at=asyncio.get_running_loop().time(),
                method=request.method,
                path=request.target,
                headers=headers,
                body=request.body,
                target_id=self.target_id,
                was_run=was_run,
                request_id=request_id.decode(),
            )
        )
        if expected != self.target_id:
            own_id = self.target_id.encode()
            return verdict.Response(421, ((b'instance-id', own_id),), b'')
        if self.behaviour.shed:
            return verdict.Response(
                503,
                ((b'attempt-id', request_id), (b'not-executed', b'1')),
                b'',
            )
        if self.behaviour.silent:
            await asyncio.Event().wait()
        if self.behaviour.work_s:
            await asyncio.sleep(self.behaviour.work_s)
        if request.target in self.behaviour.deadly_paths:
            self.crash(request.target)
            await asyncio.Event().wait()
        answered_id = request_id
        if self.behaviour.stray:
            answered_id = b'another'
        return verdict.Response(
            self.behaviour.status,
            (
                (b'attempt-id', answered_id),
                (b'response-stamp', b'stamp-' + request_id),
                (b'instance-id', expected.encode()),
                *self._render_notice(),
            ),
            b'answer to ' + request_id,
        )

    def _report_health(self) -> verdict.Response:
        return verdict.Response(
            503 if self.is_leaving else 200,
            ((b'instance-id', self.target_id.encode()),),
            b'',
        )


async def _end(server: http_server.HttpServer) -> None:
    for connection in list(server.connections):
        connection.close()
    await server.stop()
