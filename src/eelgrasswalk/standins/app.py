"""A stand-in for an application that the platform runs beside a node."""

import asyncio
import dataclasses
import json
import math
import typing

from .. import verdict
from ..transport import http_client
from ..transport import http_server
from ..transport import message
from . import coldness

CHECK_IN_TIMEOUT_S = 1.0
HEALTH_PATH = '/health'
# Numbers that are no status, in the order in which they are sent.
INVALID_STATUSES = (0, 999, 99, 600)
_USUAL_SLOWDOWN = 100


class PaddedStatus(int):
    """A status that is written with three digits, as in `000`."""

    def __format__(self, _: str) -> str:
        return f'{int(self):03d}'


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
        is_fenced: Whether it was meant for another run and answered 421.
    """

    at: float
    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes
    target_id: str
    was_run: bool
    request_id: str = ''
    is_fenced: bool = False


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
        cold_start_s: Seconds for which it is cold after it starts.
        cold_crash_calls: Requests within a second above which it crashes
            while it is cold.
        invalid_ratio: Share of answers, those on its health included, whose
            status is none.
        reports_load: Whether answers report its load.
        slowdown: How long work takes in percent of the usual time.
        load_text: The report in place of the true one; None for the true one.
    """

    work_s: float = 0.0
    shed: bool = False
    status: int = 200
    silent: bool = False
    stray: bool = False
    calls_per_s: float | None = None
    leaving: bool = False
    deadly_paths: frozenset[str] = frozenset()
    cold_start_s: float = 0.0
    cold_crash_calls: float = math.inf
    invalid_ratio: float = 0.0
    reports_load: bool = False
    slowdown: int = _USUAL_SLOWDOWN
    load_text: bytes | None = None


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
        self.cold_crashes = 0
        self.coldness = coldness.Coldness()
        # Loop time of each answer without a valid status, by request id.
        self.invalid_answers: dict[str, float] = {}
        self.is_down = False
        self.port = 0
        self.born_ms = 1_700_000_000_000
        self._sequence = 0
        self._is_leaving = False
        self._running = 0
        self._invalid_due = 0.0
        self._invalid_sent = 0
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

    def crash(self, path: str = '') -> None:
        """End without a word; no request gets an answer.

        Args:
            path: Path of the request that is to blame, if one is.
        """
        if self.is_down:
            return
        loop = asyncio.get_running_loop()
        if path:
            self.crashes.append(Crash(loop.time(), path))
        self.coldness.end(loop.time())
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
        """Begin a new run, which knows nothing of the one before.

        It may have the id of the last run, but begins later and is cold.
        """
        self.target_id = target_id
        self.born_ms += 1000
        self.behaviour = Behaviour(
            work_s=self.behaviour.work_s,
            deadly_paths=self.behaviour.deadly_paths,
            cold_start_s=self.behaviour.cold_start_s,
            cold_crash_calls=self.behaviour.cold_crash_calls,
            reports_load=self.behaviour.reports_load,
        )
        self._sequence = 0
        self._is_leaving = False
        self.coldness.end(_read_clock())
        self.turn_cold(self.behaviour.cold_start_s, reported=True)

    def turn_cold(self, seconds: float, *, reported: bool = False) -> None:
        """Turn cold, as after a start or at any other time.

        Args:
            seconds: How long it remains cold.
            reported: Whether the bound holds at once, not from the first
                report that reaches the node.
        """
        self.coldness.begin(
            self.target_id, _read_clock(), seconds, reported=reported
        )

    async def check_in(
        self, control_port: int, state: str = 'ready', *, late_s: float = 0.0
    ) -> bool:
        """Tell the node of a state, and return whether it acknowledged.

        Args:
            control_port: Port of the node for check-ins.
            state: What it says of itself.
            late_s: Seconds for which the check-in is under way.
        """
        self._sequence += 1
        target_id = self.target_id
        cold_left_ms = self.coldness.get_left_ms(_read_clock())
        self._is_leaving |= state == 'draining'
        fields = {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'slots': self.slots,
            'state': state,
            'cold_left_ms': cold_left_ms,
            'sequence': self._sequence,
            'born': self.born_ms,
        }
        if late_s:
            await asyncio.sleep(late_s)
        acknowledged = await self._call(
            control_port, 'heartbeat', fields, of=target_id
        )
        # A check-in sent before says nothing of the present coldness.
        if acknowledged and cold_left_ms and not late_s:
            self.coldness.note_reported(_read_clock())
        return acknowledged

    async def depart(self, control_port: int) -> bool:
        """Tell the node that it leaves."""
        self._is_leaving = True
        return await self._call(
            control_port, 'deregister', {}, of=self.target_id
        )

    async def _call(
        self, port: int, name: str, fields: dict[str, typing.Any], *, of: str
    ) -> bool:
        pool = http_client.TargetPool('127.0.0.1', port, connections=1)
        request = message.Request(
            'POST',
            f'/-/rpc?call=instances.{name}&of={of}',
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
        return (*notice, *self._render_load())

    def _render_load(self) -> tuple[tuple[bytes, bytes], ...]:
        behaviour = self.behaviour
        if not behaviour.reports_load:
            return ()
        text = behaviour.load_text
        if text is None:
            text = b'%d,%d,%d,%d' % (
                min(self._running, self.slots),
                max(0, self._running - self.slots),
                self.slots,
                behaviour.slowdown,
            )
        return ((b'server-load', text),)

    def _choose_status(self, status: int) -> int:
        """Return the status, or in its place a number that is none."""
        self._invalid_due += self.behaviour.invalid_ratio
        if self._invalid_due < 1.0:
            return status
        self._invalid_due -= 1.0
        self._invalid_sent += 1
        index = self._invalid_sent % len(INVALID_STATUSES)
        return PaddedStatus(INVALID_STATUSES[index])

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
                is_fenced=expected != self.target_id,
            )
        )
        if expected != self.target_id:
            own_id = self.target_id.encode()
            return verdict.Response(421, ((b'instance-id', own_id),), b'')
        calls = self.coldness.count(_read_clock())
        if calls > self.behaviour.cold_crash_calls:
            self.cold_crashes += 1
            self.crash()
            await asyncio.Event().wait()
        if self.behaviour.shed:
            return verdict.Response(
                503,
                ((b'attempt-id', request_id), (b'not-executed', b'1')),
                b'',
            )
        if self.behaviour.silent:
            await asyncio.Event().wait()
        await self._work()
        if request.target in self.behaviour.deadly_paths:
            self.crash(request.target)
            await asyncio.Event().wait()
        answered_id = request_id
        if self.behaviour.stray:
            answered_id = b'another'
        status = self._choose_status(self.behaviour.status)
        if isinstance(status, PaddedStatus):
            self.invalid_answers[request_id.decode()] = _read_clock()
        return verdict.Response(
            status,
            (
                (b'attempt-id', answered_id),
                (b'response-stamp', b'stamp-' + request_id),
                (b'instance-id', expected.encode()),
                *self._render_notice(),
            ),
            b'answer to ' + request_id,
        )

    async def _work(self) -> None:
        self._running += 1
        try:
            if self.behaviour.work_s:
                await asyncio.sleep(self.behaviour.work_s)
        finally:
            self._running -= 1

    def _report_health(self) -> verdict.Response:
        now = _read_clock()
        headers = [(b'instance-id', self.target_id.encode())]
        left_ms = self.coldness.get_left_ms(now)
        status = self._choose_status(503 if self.is_leaving else 200)
        if left_ms:
            headers.append((b'cold-remaining', b'%d' % left_ms))
            if not isinstance(status, PaddedStatus):
                self.coldness.note_reported(now)
        return verdict.Response(status, (*headers, *self._render_load()), b'')


def _read_clock() -> float:
    return asyncio.get_running_loop().time()


async def _end(server: http_server.HttpServer) -> None:
    for connection in list(server.connections):
        connection.close()
    await server.stop()
