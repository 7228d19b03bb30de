"""The platform's table and object store over HTTP.

Single rows use conditional requests (RFC 9110: ETag, If-Match,
If-None-Match); a transaction is one request. The service sends 429 and 503
only before a transaction begins.
"""

import collections.abc
import dataclasses
import random
import time
import typing
import urllib.parse

import anyio
import httpx

from . import codec
from . import limits
from . import protocols
from . import resolution

Clock: typing.TypeAlias = collections.abc.Callable[[], float]

_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
_REFUSED = frozenset((429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """How the platform is used.

    Args:
        read_timeout_s: Longest time for one attempt of a read.
        write_timeout_s: Longest time for one attempt of a write.
        read_attempts: Attempts of a read, hedges not counted.
        write_attempts: Attempts of a write.
        hedge_after_s: Time after which a read is sent a second time.
        backoff_s: Mean pause before the second attempt; it doubles.
        reads_per_s: Budget of reads.
        writes_per_s: Budget of written rows.
        longest_wait_s: Longest wait for the budget.
        circuit: When the circuit opens.
    """

    read_timeout_s: float = 1.0
    write_timeout_s: float = 2.0
    read_attempts: int = 2
    write_attempts: int = 3
    hedge_after_s: float = 0.2
    backoff_s: float = 0.05
    reads_per_s: float = 50.0
    writes_per_s: float = 20.0
    longest_wait_s: float = 0.5
    circuit: limits.CircuitLimits = dataclasses.field(
        default_factory=limits.CircuitLimits
    )


@dataclasses.dataclass(slots=True)
class Counters:
    """What the platform was used for, for metrics.

    Args:
        reads: Reads sent, hedges and repetitions among them.
        hedges: Reads sent a second time.
        writes: Rows sent to be written, repetitions among them.
        lost_answers: Writes whose answer did not come.
        rejections: Requests kept back by the budget or the circuit.
    """

    reads: int = 0
    hedges: int = 0
    writes: int = 0
    lost_answers: int = 0
    rejections: int = 0


class HttpPlatform:
    """Implements Table and ObjectStore over HTTP.

    Args:
        client: Sends the requests; its base URL is the service.
        options: How the service is used.
        clock: Monotonic seconds.
        source: Random numbers for pauses.
    """

    def __init__(
        self,
        client: httpx.AsyncClient,
        *,
        options: Options | None = None,
        clock: Clock = time.monotonic,
        source: random.Random | None = None,
    ) -> None:
        self._client = client
        self._options = Options() if options is None else options
        self._clock = clock
        self._random = random.Random() if source is None else source
        self._circuit = limits.Circuit(self._options.circuit)
        reads = self._options.reads_per_s
        writes = self._options.writes_per_s
        self._reads = limits.Budget(reads, reads, clock())
        self._writes = limits.Budget(writes, writes, clock())
        self.counters = Counters()

    async def get(self, key: str) -> protocols.ReadOutcome:
        """Read one row."""
        answer = await self._read(_make_row_path(key))
        if isinstance(answer, protocols.Unavailable):
            return answer
        if answer.status_code == httpx.codes.NOT_FOUND:
            return protocols.Missing()
        version = _read_version(answer)
        return protocols.Found(protocols.Row(key, answer.content, version))

    async def list(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> protocols.ListOutcome:
        """Read the rows whose keys begin with a prefix."""
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'after': after, 'limit': limit}
        )
        answer = await self._read(f'/table?{query}')
        if isinstance(answer, protocols.Unavailable):
            return answer
        try:
            return protocols.Listed(codec.decode_rows(answer.content))
        except codec.MalformedError as error:
            return protocols.Unavailable(f'malformed list: {error}')

    async def put(
        self, key: str, value: bytes, *, expected: str | None
    ) -> protocols.WriteOutcome:
        """Write one row if it is at the expected version."""
        return await self._write((protocols.Put(key, value, expected),))

    async def delete(
        self, key: str, *, expected: str
    ) -> protocols.WriteOutcome:
        """Delete one row if it is at the expected version."""
        return await self._write((protocols.Delete(key, expected),))

    async def batch(
        self, operations: collections.abc.Sequence[protocols.Operation]
    ) -> protocols.WriteOutcome:
        """Carry out all operations in one transaction, or none."""
        return await self._write(tuple(operations))

    async def get_object(self, name: str) -> protocols.ObjectOutcome:
        """Read one object."""
        answer = await self._read(_make_object_path(name))
        if isinstance(answer, protocols.Unavailable):
            return answer
        if answer.status_code == httpx.codes.NOT_FOUND:
            return protocols.Missing()
        return protocols.Body(answer.content)

    async def put_object(
        self, name: str, content: bytes
    ) -> protocols.StoreOutcome:
        """Write one object; the same name always has the same content."""
        request = _Request('PUT', _make_object_path(name), content)
        return await self._store(request)

    async def delete_object(self, name: str) -> protocols.StoreOutcome:
        """Delete one object; a missing one is no error."""
        return await self._store(_Request('DELETE', _make_object_path(name)))

    async def _store(self, request: '_Request') -> protocols.StoreOutcome:
        outcome = await self._write_repeatedly(request, 1)
        if isinstance(outcome, protocols.Unavailable | protocols.Unknown):
            return outcome
        if outcome.answer.is_success:
            return protocols.Done()
        return protocols.Unavailable(f'status {outcome.answer.status_code}')

    async def _read(self, path: str) -> httpx.Response | protocols.Unavailable:
        outcome = protocols.Unavailable('no attempt')
        for attempt in range(self._options.read_attempts):
            await self._pause_before(attempt)
            refusal = await self._enter(self._reads, 1)
            if refusal is not None:
                return refusal
            answer = await self._read_hedged(path)
            if not isinstance(answer, protocols.Unavailable):
                return answer
            outcome = answer
        return outcome

    async def _read_hedged(
        self, path: str
    ) -> httpx.Response | protocols.Unavailable:
        """Send a read, and once more if its answer is late."""
        answers: list[httpx.Response] = []
        failures: list[protocols.Unavailable] = []
        started = 0

        async def attempt() -> None:
            nonlocal started
            started += 1
            answer = await self._read_once(path)
            if isinstance(answer, protocols.Unavailable):
                failures.append(answer)
            else:
                answers.append(answer)
            if answers or len(failures) == started:
                group.cancel_scope.cancel()

        async def hedge() -> None:
            await anyio.sleep(self._options.hedge_after_s)
            if self._reads.take(1, self._clock()) == 0.0:
                self.counters.hedges += 1
                await attempt()

        async with anyio.create_task_group() as group:
            group.start_soon(attempt)
            group.start_soon(hedge)
        if answers:
            return answers[0]
        return failures[-1]

    async def _read_once(
        self, path: str
    ) -> httpx.Response | protocols.Unavailable:
        self.counters.reads += 1
        try:
            answer = await self._client.get(
                path, timeout=self._options.read_timeout_s
            )
        except httpx.HTTPError as error:
            self._circuit.record_failure(self._clock())
            return protocols.Unavailable(_describe(error))
        if answer.is_success or answer.status_code == httpx.codes.NOT_FOUND:
            self._circuit.record_success()
            return answer
        if answer.status_code != httpx.codes.TOO_MANY_REQUESTS:
            self._circuit.record_failure(self._clock())
        return protocols.Unavailable(f'status {answer.status_code}')

    async def _write(
        self, operations: tuple[protocols.Operation, ...]
    ) -> protocols.WriteOutcome:
        request = _make_write(operations)
        outcome = await self._write_repeatedly(request, _count(operations))
        if isinstance(outcome, protocols.Unavailable | protocols.Unknown):
            return outcome
        try:
            result = _read_result(operations, outcome.answer)
        except codec.MalformedError as error:
            return protocols.Unknown(f'malformed answer: {error}')
        if outcome.was_lost and isinstance(result, protocols.Conflict):
            return resolution.resolve(operations, result)
        return result

    async def _write_repeatedly(
        self, request: '_Request', rows: int
    ) -> '_Sent | protocols.Unavailable | protocols.Unknown':
        """Send a write until it is answered.

        Repeating it is safe: its conditions let it take effect only once.
        """
        was_lost = False
        detail = 'no attempt'
        for attempt in range(self._options.write_attempts):
            await self._pause_before(attempt)
            refusal = await self._enter(self._writes, rows)
            if refusal is not None:
                detail = refusal.detail
                break
            answer = await self._write_once(request, rows)
            if isinstance(answer, httpx.Response):
                return _Sent(answer, was_lost)
            detail = answer.detail
            was_lost = was_lost or isinstance(answer, protocols.Unknown)
        if was_lost:
            return protocols.Unknown(detail)
        return protocols.Unavailable(detail)

    async def _write_once(
        self, request: '_Request', rows: int
    ) -> httpx.Response | protocols.Unavailable | protocols.Unknown:
        self.counters.writes += rows
        try:
            answer = await self._client.request(
                request.method,
                request.path,
                content=request.content,
                headers=request.headers,
                timeout=self._options.write_timeout_s,
            )
        except _NOT_SENT as error:
            self._circuit.record_failure(self._clock())
            return protocols.Unavailable(_describe(error))
        except httpx.HTTPError as error:
            self._circuit.record_failure(self._clock())
            self.counters.lost_answers += 1
            return protocols.Unknown(_describe(error))
        return self._judge(answer)

    def _judge(
        self, answer: httpx.Response
    ) -> httpx.Response | protocols.Unavailable | protocols.Unknown:
        status = answer.status_code
        if status < httpx.codes.INTERNAL_SERVER_ERROR:
            self._circuit.record_success()
        else:
            self._circuit.record_failure(self._clock())
        if status in _REFUSED:
            return protocols.Unavailable(f'status {status}')
        if status >= httpx.codes.INTERNAL_SERVER_ERROR:
            self.counters.lost_answers += 1
            return protocols.Unknown(f'status {status}')
        return answer

    async def _enter(
        self, budget: limits.Budget, cost: int
    ) -> protocols.Unavailable | None:
        """Wait for the budget and ask the circuit."""
        started = self._clock()
        wait = budget.take(cost, started)
        while wait > 0:
            waited = self._clock() - started
            if waited + wait > self._options.longest_wait_s:
                self.counters.rejections += 1
                return protocols.Unavailable('budget is used up')
            await anyio.sleep(wait)
            wait = budget.take(cost, self._clock())
        if self._circuit.allows(self._clock()):
            return None
        self.counters.rejections += 1
        return protocols.Unavailable('circuit is open')

    async def _pause_before(self, attempt: int) -> None:
        if attempt == 0:
            return
        mean = self._options.backoff_s * 2 ** (attempt - 1)
        await anyio.sleep(mean * self._random.uniform(0.5, 1.5))


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    method: str
    path: str
    content: bytes | None = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    answer: httpx.Response
    was_lost: bool


def _make_write(operations: tuple[protocols.Operation, ...]) -> _Request:
    match operations:
        case (protocols.Put(key, value, expected),):
            path = _make_row_path(key)
            return _Request('PUT', path, value, _make_condition(expected))
        case (protocols.Delete(key, expected),):
            path = _make_row_path(key)
            return _Request('DELETE', path, None, _make_condition(expected))
        case _:
            body = codec.encode_operations(operations)
            headers = {'content-type': codec.MEDIA_TYPE}
            return _Request('POST', '/batch', body, headers)


def _read_result(
    operations: tuple[protocols.Operation, ...], answer: httpx.Response
) -> protocols.Done | protocols.Conflict | protocols.Unavailable:
    if answer.status_code == httpx.codes.PRECONDITION_FAILED:
        return codec.decode_conflict(answer.content)
    if not answer.is_success:
        return protocols.Unavailable(f'status {answer.status_code}')
    if answer.request.method == 'POST':
        return protocols.Done(codec.decode_versions(answer.content))
    if isinstance(operations[0], protocols.Delete):
        return protocols.Done(('',))
    return protocols.Done((_read_version(answer),))


def _count(operations: tuple[protocols.Operation, ...]) -> int:
    writes = [
        each for each in operations if not isinstance(each, protocols.Check)
    ]
    return max(1, len(writes))


def _make_condition(expected: str | None) -> dict[str, str]:
    if expected is None:
        return {'if-none-match': '*'}
    return {'if-match': f'"{expected}"'}


def _make_row_path(key: str) -> str:
    return '/table/' + urllib.parse.quote(key)


def _make_object_path(name: str) -> str:
    return '/objects/' + urllib.parse.quote(name)


def _read_version(answer: httpx.Response) -> str:
    return str(answer.headers.get('etag', '')).strip('"')


def _describe(error: httpx.HTTPError) -> str:
    return f'{type(error).__name__}: {error}'
