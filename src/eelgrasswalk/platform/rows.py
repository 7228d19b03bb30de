"""The client of the platform's store of rows."""

import asyncio
import base64
import dataclasses
import json
import re
import typing
import urllib.parse

from .. import ports
from .. import verdict
from ..transport import budget
from ..transport import http_client
from ..transport import message
from . import names

READ_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 1.5
# A feed may answer this much later than it was asked to.
FEED_SLACK_S = 1.0
MAX_ANSWER_BYTES = 16_777_216
# Bytes of answers that are held at a time, apart from the bodies of calls: an
# endless answer of a target must not keep the node from its rules.
MAX_HELD_BYTES = 2 * MAX_ANSWER_BYTES
_MS_PER_S = 1000.0
_NUMBER_BITS = 44
# No row has it.
_NO_VERSION = (1 << _NUMBER_BITS) - 1
_ERA = re.compile(rb'\d{1,9}')
_MALFORMED = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
)
_JSON = (b'content-type', b'application/json')


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    fields: dict[str, typing.Any]
    era: int


class PlatformRows:
    """Implements ports.RowStore.

    A restored store gives versions out again. Versions of the product hold
    the era above the store's own number, so that they grow across restores.

    Args:
        host: IP address of the store.
        port: Its port.
        connections: Most connections open at a time.
    """

    def __init__(self, host: str, port: int, *, connections: int = 6) -> None:
        self._host = (b'host', f'{host}:{port}'.encode('ascii'))
        self._era = 0
        self._pool = http_client.TargetPool(
            host,
            port,
            connections=connections,
            bodies=budget.ByteBudget(MAX_HELD_BYTES),
        )

    async def close(self) -> None:
        """Close every idle connection."""
        await self._pool.close()

    async def read(self, table: str) -> ports.Rows | ports.Unavailable:
        """Read a whole table."""
        rows: list[ports.Row] = []
        start = ''
        era = 0
        while True:
            query = {'table': table, 'part': ''}
            if start:
                query['from'] = start
            answer = await self._get(names.READ_PATH, query, READ_TIMEOUT_S)
            if isinstance(answer, ports.Unavailable | ports.HistoryGone):
                return ports.Unavailable('the store refused to read')
            page = _decode_rows(answer)
            if page is None:
                return ports.Unavailable('the store sent malformed rows')
            if start and page.era != era:
                return ports.Unavailable('the store was restored meanwhile')
            era = page.era
            rows.extend(page.rows)
            if not answer.fields.get('has_more') or not page.rows:
                return dataclasses.replace(page, rows=tuple(rows))
            start = page.rows[-1].key + '\0'

    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> ports.Rows | ports.HistoryGone | ports.Unavailable:
        """Wait for changes of a table."""
        query = {
            'table': table,
            'after': str(_get_number(after)),
            'wait_ms': str(int(wait_s * _MS_PER_S)),
        }
        answer = await self._get(names.FEED_PATH, query, wait_s + FEED_SLACK_S)
        if isinstance(answer, ports.Unavailable | ports.HistoryGone):
            return answer
        if answer.era != _get_era(after):
            return ports.HistoryGone()
        rows = _decode_rows(answer)
        if rows is None:
            return ports.Unavailable('the store sent malformed rows')
        return rows

    async def put(
        self, table: str, key: str, value: bytes, *, expected: int
    ) -> ports.Written | ports.Conflict | ports.Unavailable | ports.Unknown:
        """Write a row."""
        place = {'table': table, 'part': '', 'key': key}
        text = base64.b64encode(value).decode('ascii')
        return await self._write(
            {
                'expected': [{**place, 'ver': self._expect(expected)}],
                'puts': [{**place, 'value': text}],
                'removals': [],
            }
        )

    async def remove(
        self, table: str, key: str, *, expected: int
    ) -> ports.Written | ports.Conflict | ports.Unavailable | ports.Unknown:
        """Remove a row that is at the expected version."""
        place = {'table': table, 'part': '', 'key': key}
        return await self._write(
            {
                'expected': [{**place, 'ver': self._expect(expected)}],
                'puts': [],
                'removals': [place],
            }
        )

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> _Answer | ports.HistoryGone | ports.Unavailable:
        target = f'{path}?{urllib.parse.urlencode(query)}'
        request = message.Request('GET', target, (self._host,), b'')
        outcome = await self._send(request, timeout_s)
        if not isinstance(outcome, http_client.Received):
            return ports.Unavailable(outcome.detail)
        response = outcome.response
        if response.status == 410:
            return ports.HistoryGone()
        fields = _read_body(response)
        if response.status != 200 or fields is None:
            return ports.Unavailable(f'status {response.status}')
        return _Answer(fields, self._note_era(response))

    async def _write(
        self, body: dict[str, typing.Any]
    ) -> ports.Written | ports.Conflict | ports.Unavailable | ports.Unknown:
        request = message.Request(
            'POST',
            names.WRITE_PATH,
            (self._host, _JSON),
            json.dumps(body).encode(),
        )
        outcome = await self._send(request, WRITE_TIMEOUT_S)
        if isinstance(outcome, http_client.NotSent):
            return ports.Unavailable(outcome.detail)
        if isinstance(outcome, http_client.Broken):
            return ports.Unknown(outcome.detail)
        response = outcome.response
        fields = _read_body(response)
        if response.status == 412 and fields is not None:
            answer = _Answer(fields, self._note_era(response))
            found = _decode_rows(answer)
            if found is None:
                return ports.Unavailable('the store sent malformed rows')
            return ports.Conflict(found.rows[0] if found.rows else None)
        if response.status == 200 and fields is not None:
            answer = _Answer(fields, self._note_era(response))
            written = _decode_rows(answer)
            if written is None or 'ver' not in fields:
                return ports.Unknown('the store sent no version')
            return ports.Written(written.version)
        if 400 <= response.status < 500 or response.status == 503:
            return ports.Unavailable(f'status {response.status}')
        return ports.Unknown(f'status {response.status}')

    def _note_era(self, response: verdict.Response) -> int:
        value = message.find_header(response.headers, names.STORE_ERA)
        if value is None or not _ERA.fullmatch(value):
            return self._era
        era = int(value)
        # An answer from before a restore may be late.
        self._era = max(self._era, era)
        return era

    def _expect(self, version: int) -> int:
        """Return what a row's version must be for a conditional write."""
        if version == 0 or _get_era(version) == self._era:
            return _get_number(version)
        # Another row may have the number of a version from before a restore.
        return _NO_VERSION

    async def _send(
        self, request: message.Request, timeout_s: float
    ) -> http_client.Outcome:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._pool.send(
                    request, max_answer_bytes=MAX_ANSWER_BYTES
                )
        except TimeoutError:
            return http_client.Broken(
                verdict.Reason.DEADLINE, f'no answer in {timeout_s:.1f} s'
            )


def _read_body(response: verdict.Response) -> dict[str, typing.Any] | None:
    try:
        fields = json.loads(response.body)
    except (ValueError, RecursionError):
        return None
    return fields if isinstance(fields, dict) else None


def _build_version(era: int, number: int) -> int:
    return (era << _NUMBER_BITS) | number


def _get_era(version: int) -> int:
    return version >> _NUMBER_BITS


def _get_number(version: int) -> int:
    return version & _NO_VERSION


def _decode_rows(answer: _Answer) -> ports.Rows | None:
    """Return the rows of an answer; None if it is malformed."""
    fields = answer.fields
    try:
        rows = tuple(
            _decode_row(item, answer.era)
            for item in fields.get('rows') or ()
            if item
        )
        version = _build_version(answer.era, int(fields.get('ver') or 0))
        store_s = float(fields.get('now_ms') or 0.0) / _MS_PER_S
    except _MALFORMED:
        return None
    return ports.Rows(rows, version, store_s, answer.era)


def _decode_row(item: dict[str, typing.Any], era: int) -> ports.Row:
    version = _build_version(era, int(item.get('ver') or 0))
    value = item.get('value')
    if item.get('deleted') or value is None:
        return ports.Row(str(item['key']), None, version)
    return ports.Row(str(item['key']), base64.b64decode(value), version)
