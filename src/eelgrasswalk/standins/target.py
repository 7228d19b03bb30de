"""A stand-in target with simulated work, a ledger and switchable faults.

A request is steered by its query: `bytes` (length of the answer), `ms`
(service time), `status`, and any number of `child` paths that the target
calls through its node, in order, while it holds its slot.

Its switches are read and set at /_standin/behave; a POST to /_standin/cold
with `{"seconds": 2.5}` makes it cold at any time.
"""

import asyncio
import collections
import dataclasses
import json
import math
import random
import time
import typing
import urllib.parse

from . import calling
from . import coldness
from . import serving

CONTEXT_HEADER = b'eelgrasswalk-context'
REQUEST_HEADER = b'x-request-id'
BOOKING_HEADER = b'booking'
KEY_HEADERS = frozenset((b'x-api-key', b'authorization', b'api-key'))
LEDGER_LIMIT = 1_000_000
_PREFIX = b'/_standin/'
# Numbers that are no status, in the order in which they are sent.
INVALID_STATUSES = (999, 99, 600, 0)
_REFUSAL = serving.make_json_reply({'error': 'refused'}, 503)
_RESET = serving.Reply(resets=True)


@dataclasses.dataclass(slots=True)
class Entry:
    """One request that the target began.

    Args:
        request: The caller's request id.
        booking: The caller's booking id.
        method: The method.
        path: Path and query.
        start: Seconds of the monotonic clock at the beginning.
        end: Seconds of the monotonic clock at the end, or None.
        finished: Whether the work was done to its end.
        has_key: Whether a header held an API key.
        status: The status answered, or None.
    """

    request: str
    booking: str
    method: str
    path: str
    start: float
    end: float | None = None
    finished: bool = False
    has_key: bool = False
    status: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """How the target works and fails.

    Args:
        node: Address of its node, for calls of its own.
        slots: Requests that it runs at a time.
        queue: Requests that may wait for a slot; above it refuses with 503.
            None for no limit.
        service_ms: Service time of a request that names none.
        answer_bytes: Length of an answer whose request names none.
        slow: Factor on every service time.
        jitter: Share of the service time that varies exponentially, 0 to 1.
        fail_ratio: Share of requests that end with 500 after their work.
        refuse: Whether all requests are refused with 503 and not run.
        hang: Whether answers are withheld after the work.
        drop_ratio: Share of answers that are cut half-way.
        load_claimed: The load that it reports in place of the true one.
        load_stuck: Whether the reported load stays what it was.
        load_lag_s: Seconds that the reported load lags behind.
        healthy: What its health endpoint claims.
        cold_start_s: Seconds after each start in which it is cold.
        cold_factor: Factor on service times while it is cold.
        cold_crash_calls: Requests within a second above which it crashes
            while it is cold; None for never.
        crash_s: Seconds for which it resets all connections after a crash.
        slowdown: How long work takes in percent of the usual time, as its
            answers report it; None for answers without a report of load.
        load_text: The report in place of the true one; None for the true one.
        invalid_ratio: Share of answers, those on its health included, whose
            status is none.
        ledger: Whether it keeps a ledger.
        secrets: API keys that are looked for in all header values.
    """

    node: str = ''
    slots: int = 100
    queue: int | None = None
    service_ms: float = 0.0
    answer_bytes: int = 0
    slow: float = 1.0
    jitter: float = 0.0
    fail_ratio: float = 0.0
    refuse: bool = False
    hang: bool = False
    drop_ratio: float = 0.0
    load_claimed: int | None = None
    load_stuck: bool = False
    load_lag_s: float = 0.0
    healthy: bool = True
    cold_start_s: float = 0.0
    cold_factor: float = 4.0
    cold_crash_calls: int | None = None
    crash_s: float = 1.0
    slowdown: int | None = None
    load_text: str | None = None
    invalid_ratio: float = 0.0
    ledger: bool = True
    secrets: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a request asks of the target."""

    service_ms: float
    answer_bytes: int
    status: int
    children: tuple[str, ...]


def parse_work(target: bytes, behaviour: Behaviour) -> Work:
    """Return the work that a request target asks for."""
    _, _, query = target.partition(b'?')
    if not query:
        return Work(behaviour.service_ms, behaviour.answer_bytes, 200, ())
    fields = urllib.parse.parse_qs(query.decode())
    last = {name: values[-1] for name, values in fields.items()}
    return Work(
        float(last.get('ms', behaviour.service_ms)),
        int(last.get('bytes', behaviour.answer_bytes)),
        int(last.get('status', 200)),
        tuple(fields.get('child', ())),
    )


class Target:
    """One stand-in target."""

    def __init__(self, behaviour: Behaviour, *, seed: int = 0) -> None:
        self.name = ''
        self._behaviour = behaviour
        self._random = random.Random(seed)
        self._ledger: collections.deque[Entry] = collections.deque(
            maxlen=LEDGER_LIMIT
        )
        self._running = 0
        self._slot_waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._load_history: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=4096)
        )
        self._stuck_load = 0
        self._callers: dict[str, calling.Caller] = {}
        self._coldness = coldness.Coldness()
        self._run_number = 0
        self._down_until = -math.inf
        self._invalid_sent = 0
        self._turn_cold(behaviour.cold_start_s)

    def handle(
        self, request: serving.Request
    ) -> serving.Reply | serving.Pending:
        """Answer one request, at once where no work has to be waited for."""
        path = request.target.partition(b'?')[0]
        if path.startswith(_PREFIX):
            return self._control(request, path)
        now = time.monotonic()
        if now < self._down_until:
            return _RESET
        if path == b'/health':
            return self._report_health()
        if path == b'/load':
            return self._report_load()
        if self._is_overrun(now):
            return self._crash(now)
        return self._admit(request)

    def _turn_cold(self, seconds: float) -> None:
        self._coldness.begin(
            self.name, time.monotonic(), seconds, reported=True
        )

    def _is_overrun(self, now: float) -> bool:
        most = self._behaviour.cold_crash_calls
        return self._coldness.count(now) > (math.inf if most is None else most)

    def _crash(self, now: float) -> serving.Reply:
        """End this run without a word; the next one begins cold."""
        self._run_number += 1
        self._down_until = now + self._behaviour.crash_s
        self._coldness.end(now)
        self._turn_cold(self._behaviour.crash_s + self._behaviour.cold_start_s)
        return _RESET

    def _admit(
        self, request: serving.Request
    ) -> serving.Reply | serving.Pending:
        work = parse_work(request.target, self._behaviour)
        is_short = not work.children and work.service_ms <= 0
        is_free = self._running < self._behaviour.slots
        if not is_short or not is_free or self._behaviour.hang:
            return self._run(request, work)
        if self._is_refused():
            return _REFUSAL
        entry = self._record(request)
        return self._conclude(request, work, entry)

    async def _run(
        self, request: serving.Request, work: Work
    ) -> serving.Reply:
        if self._is_refused():
            return _REFUSAL
        await self._take_slot()
        run_number = self._run_number
        entry = self._record(request)
        try:
            failed = await self._work(request, work)
            if run_number != self._run_number:
                return _RESET
            if failed is not None:
                entry.status = failed.status
                return failed
            reply = self._conclude(request, work, entry)
            if self._behaviour.hang:
                await asyncio.get_running_loop().create_future()
            return reply
        finally:
            if entry.end is None:
                entry.end = time.monotonic()
            self._release_slot()

    async def _work(
        self, request: serving.Request, work: Work
    ) -> serving.Reply | None:
        seconds = self._draw_service_time(work.service_ms)
        if seconds > 0:
            await asyncio.sleep(seconds)
        for child in work.children:
            try:
                reply = await self._call_child(request, child)
            except (calling.CallError, OSError) as error:
                return serving.make_json_reply({'error': str(error)}, 502)
            if reply.status >= 400:
                detail = {'error': 'child failed', 'status': reply.status}
                return serving.make_json_reply(detail, 502)
        return None

    async def _call_child(
        self, request: serving.Request, child: str
    ) -> serving.Reply:
        node = self._behaviour.node
        if not node:
            raise calling.CallError('no node is set')
        caller = self._callers.get(node)
        if caller is None:
            caller = self._callers.setdefault(node, calling.Caller(node))
        context = request.find_header(CONTEXT_HEADER)
        headers = () if context is None else ((CONTEXT_HEADER, context),)
        return await caller.call('GET', child, headers=headers)

    def _conclude(
        self, request: serving.Request, work: Work, entry: Entry
    ) -> serving.Reply:
        entry.end = time.monotonic()
        entry.finished = True
        behaviour = self._behaviour
        entry.status = work.status
        if self._occurs(behaviour.fail_ratio):
            entry.status = 500
        if self._occurs(behaviour.invalid_ratio):
            entry.status = self._next_invalid_status()
        body = self._make_body(entry, work.answer_bytes)
        cut_after = None
        if self._occurs(behaviour.drop_ratio):
            cut_after = len(body) // 2
        return serving.Reply(
            entry.status,
            body,
            headers=self._render_load(),
            cut_after=cut_after,
        )

    def _next_invalid_status(self) -> int:
        self._invalid_sent += 1
        return INVALID_STATUSES[(self._invalid_sent - 1) % 4]

    def _render_load(self) -> tuple[tuple[bytes, bytes], ...]:
        behaviour = self._behaviour
        if behaviour.load_text is not None:
            return ((b'server-load', behaviour.load_text.encode()),)
        if behaviour.slowdown is None:
            return ()
        load = self._read_load()
        figures = (
            min(load, behaviour.slots),
            max(0, load - behaviour.slots),
            behaviour.slots,
            behaviour.slowdown,
        )
        return ((b'server-load', b'%d,%d,%d,%d' % figures),)

    def _make_body(self, entry: Entry, length: int) -> bytes:
        body = b'{"target":"%s","request":"%s","booking":"%s","pad":"' % (
            self.name.encode(),
            entry.request.encode(),
            entry.booking.encode(),
        )
        return body + b'x' * (length - len(body) - 2) + b'"}'

    def _record(self, request: serving.Request) -> Entry:
        entry = Entry(
            _read_text(request, REQUEST_HEADER),
            _read_text(request, BOOKING_HEADER),
            request.method,
            request.target.decode('ascii', 'replace'),
            time.monotonic(),
            has_key=self._has_key(request),
        )
        if self._behaviour.ledger:
            self._ledger.append(entry)
        return entry

    def _has_key(self, request: serving.Request) -> bool:
        if any(name in KEY_HEADERS for name, _ in request.headers):
            return True
        secrets = [secret.encode() for secret in self._behaviour.secrets]
        return any(
            secret in value
            for secret in secrets
            for _, value in request.headers
        )

    def _is_refused(self) -> bool:
        limit = self._behaviour.queue
        if limit is not None and len(self._slot_waiters) >= limit:
            return self._running >= self._behaviour.slots
        return self._behaviour.refuse

    async def _take_slot(self) -> None:
        if self._running < self._behaviour.slots:
            self._running += 1
            self._note_load()
            return
        waiter = asyncio.get_running_loop().create_future()
        self._slot_waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._release_slot()
            else:
                self._slot_waiters.remove(waiter)
            raise

    def _release_slot(self) -> None:
        while self._slot_waiters and self._running <= self._behaviour.slots:
            waiter = self._slot_waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._running -= 1
        self._note_load()

    def _draw_service_time(self, service_ms: float) -> float:
        behaviour = self._behaviour
        seconds = service_ms / 1000 * behaviour.slow
        if self._coldness.get_left_s(time.monotonic()) > 0.0:
            seconds *= behaviour.cold_factor
        varied = seconds * behaviour.jitter
        if varied > 0:
            draw = -math.log(1.0 - self._random.random())
            return seconds - varied + varied * draw
        return seconds

    def _occurs(self, ratio: float) -> bool:
        return ratio > 0 and self._random.random() < ratio

    def _count_load(self) -> int:
        return self._running + len(self._slot_waiters)

    def _note_load(self) -> None:
        if self._behaviour.load_lag_s > 0:
            now = time.monotonic()
            self._load_history.append((now, self._count_load()))

    def _report_load(self) -> serving.Reply:
        return serving.make_json_reply(
            {'in_flight': self._read_load(), 'slots': self._behaviour.slots}
        )

    def _read_load(self) -> int:
        """Return the load as it is reported, which may be false."""
        behaviour = self._behaviour
        if behaviour.load_claimed is not None:
            return behaviour.load_claimed
        if behaviour.load_stuck:
            return self._stuck_load
        if behaviour.load_lag_s > 0:
            return self._find_lagging_load()
        return self._count_load()

    def _find_lagging_load(self) -> int:
        moment = time.monotonic() - self._behaviour.load_lag_s
        load = 0
        for at, seen in self._load_history:
            if at > moment:
                break
            load = seen
        return load

    def _report_health(self) -> serving.Reply:
        healthy = self._behaviour.healthy
        status = 200 if healthy else 503
        if self._occurs(self._behaviour.invalid_ratio):
            status = self._next_invalid_status()
        headers = self._render_load()
        left_ms = self._coldness.get_left_ms(time.monotonic())
        if left_ms:
            headers = (*headers, (b'cold-remaining', b'%d' % left_ms))
        reply = serving.make_json_reply({'healthy': healthy}, status)
        return dataclasses.replace(reply, headers=headers)

    def _control(self, request: serving.Request, path: bytes) -> serving.Reply:
        name = path.removeprefix(_PREFIX)
        if name == b'ledger':
            return self._answer_ledger(request)
        if name == b'behave' and request.method == 'POST':
            return self._change(json.loads(request.body))
        if name == b'cold' and request.method == 'POST':
            self._turn_cold(float(json.loads(request.body)['seconds']))
            return serving.make_json_reply({})
        if name == b'behave':
            return serving.make_json_reply(dataclasses.asdict(self._behaviour))
        return serving.make_json_reply({'error': 'no such switch'}, 404)

    def _answer_ledger(self, request: serving.Request) -> serving.Reply:
        if request.method == 'POST':
            self._ledger.clear()
            return serving.make_json_reply([])
        return serving.make_json_reply(
            [dataclasses.asdict(entry) for entry in self._ledger]
        )

    def _change(self, changes: dict[str, typing.Any]) -> serving.Reply:
        if 'secrets' in changes:
            changes['secrets'] = tuple(changes['secrets'])
        try:
            changed = dataclasses.replace(self._behaviour, **changes)
        except TypeError as error:
            return serving.make_json_reply({'error': str(error)}, 400)
        self._stuck_load = self._count_load()
        self._behaviour = changed
        return serving.make_json_reply(dataclasses.asdict(changed))


def _read_text(request: serving.Request, name: bytes) -> str:
    value = request.find_header(name)
    return '' if value is None else value.decode('ascii', 'replace')
