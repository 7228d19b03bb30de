"""A stand-in for the platform's table service and object store over HTTP.

Its switches are read and set at /_standin/behave, its log of operations is
at /_standin/log. It answers 429 and 503 only before a transaction begins.
"""

import collections
import collections.abc
import dataclasses
import random
import time
import typing

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from ..platform import codec
from ..platform import limits
from ..platform import memory
from ..platform import protocols

LOG_LIMIT = 200_000
_BURST_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """How the services fail.

    Args:
        down: Whether every request is refused with 503.
        hang: Whether every request is left without an answer and effect.
        slow_s: Seconds that every answer takes more.
        lose_ratio: Share of writes whose answer is lost after their effect.
        lose_next: Number of writes to come whose answer is lost.
        writes_per_s: Rows written a second; above it answers 429.
        reads_per_s: Reads a second; above it answers 429.
    """

    down: bool = False
    hang: bool = False
    slow_s: float = 0.0
    lose_ratio: float = 0.0
    lose_next: int = 0
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """One request that reached the services.

    Args:
        at: Seconds of the monotonic clock.
        method: The method.
        path: The path.
        rows: Rows written, or 0 for a read.
        status: The status answered, or 0 when the answer was lost.
    """

    at: float
    method: str
    path: str
    rows: int
    status: int


class PlatformStandin:
    """The services and their switches."""

    def __init__(
        self, behaviour: Behaviour | None = None, *, seed: int = 0
    ) -> None:
        self._table = memory.MemoryTable()
        self._objects = memory.MemoryObjects()
        self._behaviour = Behaviour() if behaviour is None else behaviour
        self._random = random.Random(seed)
        self._log: collections.deque[LogEntry] = collections.deque(
            maxlen=LOG_LIMIT
        )
        self._set_budgets()

    def make_application(self) -> applications.Starlette:
        """Return the HTTP application."""
        return applications.Starlette(
            routes=[
                self._route('/table', self._list, 'GET'),
                self._route('/table/{key:path}', self._get, 'GET'),
                self._route('/table/{key:path}', self._put, 'PUT'),
                self._route('/table/{key:path}', self._delete, 'DELETE'),
                self._route('/batch', self._batch, 'POST'),
                self._route('/objects/{key:path}', self._get_object, 'GET'),
                self._route('/objects/{key:path}', self._put_object, 'PUT'),
                self._route(
                    '/objects/{key:path}', self._delete_object, 'DELETE'
                ),
                routing.Route(
                    '/_standin/behave', self._behave, methods=['GET', 'POST']
                ),
                routing.Route(
                    '/_standin/log', self._answer_log, methods=['GET', 'POST']
                ),
            ]
        )

    def _route(
        self, path: str, endpoint: '_Endpoint', method: str
    ) -> routing.Route:
        async def guarded(request: requests.Request) -> responses.Response:
            return await self._serve(endpoint, request)

        return routing.Route(path, guarded, methods=[method])

    async def _serve(
        self, endpoint: '_Endpoint', request: requests.Request
    ) -> responses.Response:
        body = await request.body()
        behaviour = self._behaviour
        if behaviour.slow_s > 0:
            await anyio.sleep(behaviour.slow_s)
        if behaviour.hang:
            await anyio.sleep_forever()
        rows = _count_rows(request, body)
        answer = self._refuse(rows)
        if answer is None:
            answer = endpoint(request, body)
            if rows and answer.status_code < 300 and self._loses_answer():
                self._note(request, rows, 0)
                return _LostResponse()
        self._note(request, rows, answer.status_code)
        return answer

    def _refuse(self, rows: int) -> responses.Response | None:
        if self._behaviour.down:
            return responses.Response(status_code=503)
        budget = self._writes if rows else self._reads
        if budget.take(rows or 1, time.monotonic()):
            return responses.Response(status_code=429)
        return None

    def _get(self, request: requests.Request, _: bytes) -> responses.Response:
        match self._table.read(request.path_params['key']):
            case protocols.Found(row):
                return responses.Response(
                    row.value, headers={'etag': f'"{row.version}"'}
                )
            case _:
                return responses.Response(status_code=404)

    def _list(self, request: requests.Request, _: bytes) -> responses.Response:
        query = request.query_params
        listed = self._table.scan(
            query.get('prefix', ''),
            after=query.get('after', ''),
            limit=int(query.get('limit', '1000')),
        )
        return _make_cbor_response(codec.encode_rows(listed.rows))

    def _put(
        self, request: requests.Request, body: bytes
    ) -> responses.Response:
        key = request.path_params['key']
        if 'if-none-match' in request.headers:
            return self._commit_one(protocols.Put(key, body, None))
        expected = request.headers.get('if-match')
        if expected is None:
            return responses.Response(status_code=428)
        operation = protocols.Put(key, body, expected.strip('"'))
        return self._commit_one(operation)

    def _delete(
        self, request: requests.Request, _: bytes
    ) -> responses.Response:
        expected = request.headers.get('if-match')
        if expected is None:
            return responses.Response(status_code=428)
        key = request.path_params['key']
        return self._commit_one(protocols.Delete(key, expected.strip('"')))

    def _batch(self, _: requests.Request, body: bytes) -> responses.Response:
        try:
            operations = codec.decode_operations(body)
        except codec.MalformedError:
            return responses.Response(status_code=400)
        match self._table.commit(operations):
            case protocols.Done(versions):
                return _make_cbor_response(codec.encode_versions(versions))
            case protocols.Conflict() as conflict:
                return _make_conflict_response(conflict)

    def _commit_one(
        self, operation: protocols.Operation
    ) -> responses.Response:
        match self._table.commit((operation,)):
            case protocols.Done((version,)):
                headers = {'etag': f'"{version}"'} if version else {}
                return responses.Response(status_code=204, headers=headers)
            case protocols.Conflict() as conflict:
                return _make_conflict_response(conflict)
            case _:
                return responses.Response(status_code=500)

    def _get_object(
        self, request: requests.Request, _: bytes
    ) -> responses.Response:
        match self._objects.read(request.path_params['key']):
            case protocols.Body(content):
                return responses.Response(content)
            case _:
                return responses.Response(status_code=404)

    def _put_object(
        self, request: requests.Request, body: bytes
    ) -> responses.Response:
        self._objects.write(request.path_params['key'], body)
        return responses.Response(status_code=204)

    def _delete_object(
        self, request: requests.Request, _: bytes
    ) -> responses.Response:
        self._objects.remove(request.path_params['key'])
        return responses.Response(status_code=204)

    def _loses_answer(self) -> bool:
        behaviour = self._behaviour
        if behaviour.lose_next > 0:
            self._behaviour = dataclasses.replace(
                behaviour, lose_next=behaviour.lose_next - 1
            )
            return True
        return self._random.random() < behaviour.lose_ratio

    def _note(self, request: requests.Request, rows: int, status: int) -> None:
        now = time.monotonic()
        path = request.url.path
        self._log.append(LogEntry(now, request.method, path, rows, status))

    def _set_budgets(self) -> None:
        now = time.monotonic()
        writes = self._behaviour.writes_per_s
        reads = self._behaviour.reads_per_s
        self._writes = limits.Budget(writes, writes * _BURST_S, now)
        self._reads = limits.Budget(reads, reads * _BURST_S, now)

    async def _behave(self, request: requests.Request) -> responses.Response:
        if request.method == 'POST':
            try:
                self._behaviour = dataclasses.replace(
                    self._behaviour, **await request.json()
                )
            except TypeError as error:
                return responses.PlainTextResponse(str(error), 400)
            self._set_budgets()
        return responses.JSONResponse(dataclasses.asdict(self._behaviour))

    async def _answer_log(
        self, request: requests.Request
    ) -> responses.Response:
        if request.method == 'POST':
            self._log.clear()
        entries = [dataclasses.asdict(entry) for entry in self._log]
        return responses.JSONResponse(entries)


_Endpoint: typing.TypeAlias = collections.abc.Callable[
    [requests.Request, bytes], responses.Response
]


class _LostResponse(responses.Response):
    """Leaves its body unfinished, upon which the server closes."""

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        start = {
            'type': 'http.response.start',
            'status': 200,
            'headers': [(b'content-length', b'1')],
        }
        await send(start)
        await send(
            {'type': 'http.response.body', 'body': b'', 'more_body': True}
        )


def _count_rows(request: requests.Request, body: bytes) -> int:
    if request.method == 'GET':
        return 0
    if request.url.path != '/batch':
        return 1
    try:
        operations = codec.decode_operations(body)
    except codec.MalformedError:
        return 1
    writes = [
        each for each in operations if not isinstance(each, protocols.Check)
    ]
    return max(1, len(writes))


def _make_cbor_response(
    body: bytes, status_code: int = 200
) -> responses.Response:
    return responses.Response(
        body, status_code=status_code, media_type=codec.MEDIA_TYPE
    )


def _make_conflict_response(
    conflict: protocols.Conflict,
) -> responses.Response:
    return _make_cbor_response(codec.encode_conflict(conflict), 412)
