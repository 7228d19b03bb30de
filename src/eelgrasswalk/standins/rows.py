"""A stand-in for the platform's store of rows.

It speaks the published protocol over HTTP and keeps everything in memory. Its
faults are attributes that a test sets.
"""

import asyncio
import base64
import collections.abc
import dataclasses
import json
import time
import typing
import urllib.parse

from .. import verdict
from ..transport import http_server
from ..transport import message

MOST_ROWS = 500
MOST_ENTRIES = 100
_OPERATOR_TABLE = 'op'
_EVACUATION = 'evacuate/'
_JSON = ((b'content-type', b'application/json'),)

Fields: typing.TypeAlias = dict[str, typing.Any]
Place: typing.TypeAlias = tuple[str, str, str]


@dataclasses.dataclass(slots=True)
class Faults:
    """How the store misbehaves.

    Args:
        status: Every call is answered with this status; 0 for none.
        silent: No call is answered; those that write take no effect.
        lose_writes: Writes to come that take effect and are not answered.
        slow_s: Seconds that every answer takes more.
        refuses_writes: Whether writes are refused and reads are served.
    """

    status: int = 0
    silent: bool = False
    lose_writes: int = 0
    slow_s: float = 0.0
    refuses_writes: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    place: Place
    value: str | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """What the store holds at a time.

    Args:
        rows: The last change of each row.
        version: The newest version.
    """

    rows: dict[Place, _Change]
    version: int


class RowsStandin:
    """Keeps rows and serves them."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls = 0
        self.writes = 0
        self._rows: dict[Place, _Change] = {}
        self._history: list[_Change] = []
        self._forgotten = 0
        self._version = 0
        self._era = 0
        self._changed = asyncio.Event()
        self._server = http_server.HttpServer(
            self.handle, limits=http_server.Limits()
        )

    async def start(self, host: str = '127.0.0.1', port: int = 0) -> int:
        """Listen, and return the port."""
        return (await self._server.start(host, port))[1]

    async def stop(self) -> None:
        """Close every connection."""
        for connection in list(self._server.connections):
            connection.close()
        await self._server.stop()

    # What an operator does

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row as the operator does, and return its version."""
        text = base64.b64encode(value).decode('ascii')
        return self._apply([((table, '', key), text)])

    def remove(self, table: str, key: str) -> int:
        """Remove a row as somebody else does."""
        return self._apply([((table, '', key), None)])

    def evacuate(self, data_centre: str) -> int:
        """Ask that nothing is sent to the targets of a data centre."""
        return self.put(_OPERATOR_TABLE, _EVACUATION + data_centre, b'{}')

    def lift(self, data_centre: str) -> int:
        """Remove the row that asks for the evacuation of a data centre."""
        return self.remove(_OPERATOR_TABLE, _EVACUATION + data_centre)

    def list_evacuated(self) -> set[str]:
        """Return the data centres that are to be evacuated."""
        return {
            key.removeprefix(_EVACUATION)
            for table, _, key in self._rows
            if table == _OPERATOR_TABLE and key.startswith(_EVACUATION)
        }

    def read(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or None."""
        change = self._rows.get((table, '', key))
        if change is None or change.value is None:
            return None
        return base64.b64decode(change.value)

    def forget_history(self) -> None:
        """Drop the history, so that feeds have to begin anew."""
        self._forgotten = self._version
        self._history.clear()
        self._wake()

    def copy(self) -> Copy:
        """Return a copy of all rows."""
        return Copy(dict(self._rows), self._version)

    def restore(self, copy: Copy) -> None:
        """Lose what was written since a copy; versions are given out again."""
        self._rows = dict(copy.rows)
        self._version = copy.version
        self._history = [
            change
            for change in self._history
            if change.version <= copy.version
        ]
        self._era += 1
        self._wake()

    # Serving

    async def handle(self, request: message.Request) -> verdict.Response:
        """Answer one call."""
        self.calls += 1
        if self.faults.silent:
            await asyncio.Event().wait()
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if self.faults.status:
            return verdict.Response(self.faults.status, (), b'')
        if self.faults.refuses_writes and request.method == 'POST':
            return verdict.Response(503, (), b'')
        path, _, query = request.target.partition('?')
        arguments = {
            name: values[0]
            for name, values in urllib.parse.parse_qs(
                query, keep_blank_values=True
            ).items()
        }
        if (request.method, path) == ('GET', '/-/rows-get'):
            return self._get(arguments)
        if (request.method, path) == ('GET', '/-/rows-feed'):
            return await self._feed(arguments)
        if (request.method, path) == ('POST', '/-/rows-tx'):
            return await self._transact(json.loads(request.body))
        return verdict.Response(404, (), b'')

    def _get(self, arguments: dict[str, str]) -> verdict.Response:
        table, part = arguments['table'], arguments.get('part', '')
        start = arguments.get('from', '')
        limit = min(int(arguments.get('limit', MOST_ROWS)), MOST_ROWS)
        found = sorted(
            change.place
            for change in self._rows.values()
            if change.place[:2] == (table, part) and change.place[2] >= start
        )
        rows = [_render_row(self._rows[place]) for place in found[:limit]]
        return self._answer(
            200, {'rows': rows, 'has_more': len(found) > limit}
        )

    async def _feed(self, arguments: dict[str, str]) -> verdict.Response:
        table, after = arguments['table'], int(arguments['after'])
        wait_s = int(arguments.get('wait_ms', '0')) / 1000.0
        ends_at = time.monotonic() + min(wait_s, 30.0)
        while True:
            if not self._forgotten <= after <= self._version:
                return self._answer(410, {})
            changes = [
                change
                for change in self._history
                if change.place[0] == table and change.version > after
            ]
            left_s = ends_at - time.monotonic()
            if changes or left_s <= 0.0:
                rows = [_render_row(change) for change in changes]
                return self._answer(200, {'rows': rows})
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _transact(self, body: Fields) -> verdict.Response:
        places = [_read_place(item) for item in body['expected']]
        if any(
            self._find_version(place) != item['ver']
            for place, item in zip(places, body['expected'], strict=True)
        ):
            rows = [
                _render_row(self._rows[place])
                for place in places
                if place in self._rows
            ]
            return self._answer(412, {'rows': rows})
        if len(body['puts']) + len(body['removals']) > MOST_ENTRIES:
            return self._answer(400, {})
        if any(item['table'] == _OPERATOR_TABLE for item in body['puts']):
            return self._answer(403, {})
        changes: list[tuple[Place, str | None]] = [
            (_read_place(item), item['value']) for item in body['puts']
        ]
        changes += [(_read_place(item), None) for item in body['removals']]
        self.writes += 1
        self._apply(changes)
        if self.faults.lose_writes:
            self.faults.lose_writes -= 1
            await asyncio.Event().wait()
        return self._answer(200, {})

    def _apply(
        self,
        changes: collections.abc.Iterable[tuple[Place, str | None]],
    ) -> int:
        self._version += 1
        for place, value in changes:
            change = _Change(place, value, self._version)
            self._history.append(change)
            if value is None:
                self._rows.pop(place, None)
            else:
                self._rows[place] = change
        self._wake()
        return self._version

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _find_version(self, place: Place) -> int:
        change = self._rows.get(place)
        return 0 if change is None else change.version

    def _answer(self, status: int, fields: Fields) -> verdict.Response:
        now_ms = int(time.monotonic() * 1000.0)
        body = {**fields, 'ver': self._version, 'now_ms': now_ms}
        headers = (*_JSON, (b'store-era', b'%d' % self._era))
        return verdict.Response(status, headers, json.dumps(body).encode())


def _read_place(item: Fields) -> Place:
    return item['table'], item.get('part', ''), item['key']


def _render_row(change: _Change) -> Fields:
    table, part, key = change.place
    row: Fields = {
        'table': table,
        'part': part,
        'key': key,
        'ver': change.version,
    }
    if change.value is None:
        row['deleted'] = True
    else:
        row['value'] = change.value
    return row
