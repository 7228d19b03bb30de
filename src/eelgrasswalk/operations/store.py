"""Accepted versions in the platform's table and object store.

The row `config/head` names the accepted version and its document;
`config/audit/VERSION` holds each version's audit entry. Both are written in
one transaction. Documents are objects named by their digests.
"""

import collections.abc
import dataclasses
import datetime as dt
import secrets
import typing

import cattrs
import cbor2

from ..controllers import audit
from ..document import loading
from ..document import model
from ..platform import protocols
from . import revisions

HEAD_KEY = 'config/head'
AUDIT_PREFIX = 'config/audit/'
VERSION_DIGITS = 12
PAGE_ROWS = 500

Clock: typing.TypeAlias = collections.abc.Callable[[], dt.datetime]


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Content of the row of the accepted version.

    Args:
        version: Its number.
        digest: SHA-256 of its document.
        token: Random text, unique to this write.
    """

    version: int
    digest: str
    token: str


def make_audit_key(version: int) -> str:
    """Return the key of a version's audit entry."""
    return f'{AUDIT_PREFIX}{version:0{VERSION_DIGITS}d}'


def make_object_name(digest: str) -> str:
    """Return the name of a document's object."""
    return f'documents/{digest}'


def encode_head(head: Head) -> bytes:
    """Return the content of the row."""
    return cbor2.dumps(cattrs.unstructure(head), canonical=True)


def decode_head(value: bytes) -> Head:
    """Return the head that a row holds.

    Raises:
        audit.MalformedError: The row holds no head.
    """
    try:
        return cattrs.structure(cbor2.loads(value), Head)
    except Exception as error:
        raise audit.MalformedError('not a head of versions') from error


def _read_clock() -> dt.datetime:
    return dt.datetime.now(dt.UTC)


class StoredRevisions:
    """Implements Revisions on the platform's services.

    Args:
        table: The table service.
        objects: The object store.
        clock: Present time in UTC.
    """

    def __init__(
        self,
        table: protocols.Table,
        objects: protocols.ObjectStore,
        *,
        clock: Clock = _read_clock,
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock

    async def read_head(self) -> revisions.ReadOutcome:
        """Read the version that is accepted now."""
        row = await self._table.get(HEAD_KEY)
        if isinstance(row, protocols.Missing):
            return revisions.Missing()
        if isinstance(row, protocols.Unavailable):
            return revisions.Unavailable(row.detail)
        try:
            head = decode_head(row.row.value)
        except audit.MalformedError as error:
            return revisions.Damaged(str(error))
        outcome = await self.read_version(head.version)
        if isinstance(outcome, revisions.Missing):
            detail = f'the audit entry of version {head.version} is missing'
            return revisions.Damaged(detail)
        return outcome

    async def read_version(self, version: int) -> revisions.ReadOutcome:
        """Read an accepted version."""
        row = await self._table.get(make_audit_key(version))
        if isinstance(row, protocols.Missing):
            return revisions.Missing()
        if isinstance(row, protocols.Unavailable):
            return revisions.Unavailable(row.detail)
        try:
            entry = audit.decode_entry(row.row.value)
        except audit.MalformedError as error:
            return revisions.Damaged(str(error))
        return await self._read_document(entry)

    async def list_entries(self) -> revisions.EntriesOutcome:
        """Read the audit entries of all versions."""
        entries: list[audit.Entry] = []
        after = ''
        while True:
            page = await self._table.list(
                AUDIT_PREFIX, after=after, limit=PAGE_ROWS
            )
            if isinstance(page, protocols.Unavailable):
                return revisions.Unavailable(page.detail)
            try:
                entries += [audit.decode_entry(r.value) for r in page.rows]
            except audit.MalformedError as error:
                return revisions.Damaged(str(error))
            if len(page.rows) < PAGE_ROWS:
                return revisions.Entries(tuple(entries))
            after = page.rows[-1].key

    async def publish(
        self,
        document: model.Document,
        *,
        base: revisions.Revision | None,
        author: audit.Author,
        note: str = '',
    ) -> revisions.PublishOutcome:
        """Publish a document if the base is still the accepted version."""
        content = loading.dump_document(document)
        entry = revisions.make_entry(
            document,
            content,
            base=base,
            author=author,
            time=self._clock().isoformat(),
            note=note,
            token=secrets.token_hex(16),
        )
        expected = await self._find_base(base)
        if not isinstance(expected, _Base):
            return expected
        name = make_object_name(entry.document_digest)
        stored = await self._objects.put_object(name, content)
        if not isinstance(stored, protocols.Done):
            return revisions.Unavailable(stored.detail)
        return await self._write(entry, expected)

    async def _write(
        self, entry: audit.Entry, base: '_Base'
    ) -> revisions.PublishOutcome:
        head = Head(entry.version, entry.document_digest, entry.token)
        key = make_audit_key(entry.version)
        value = audit.encode_entry(entry)
        outcome = await self._table.batch(
            (
                protocols.Put(HEAD_KEY, encode_head(head), base.row_version),
                protocols.Put(key, value, None),
            )
        )
        match outcome:
            case protocols.Done():
                return revisions.Published(entry)
            case protocols.Unavailable():
                return revisions.Unavailable(outcome.detail)
            case protocols.Conflict():
                return await self._make_conflict()
            case protocols.Unknown():
                return await self._resolve(key, value, entry, outcome)

    async def _resolve(
        self,
        key: str,
        value: bytes,
        entry: audit.Entry,
        lost: protocols.Unknown,
    ) -> revisions.PublishOutcome:
        """Find out the effect of a write whose answer was lost.

        Audit rows never change, so another's entry under the same version
        proves that this write took no effect and cannot any more.
        """
        found = await self._table.get(key)
        if not isinstance(found, protocols.Found):
            return revisions.Unknown(lost.detail)
        if found.row.value == value:
            return revisions.Published(entry)
        return await self._make_conflict()

    async def _make_conflict(self) -> revisions.Conflict:
        head = await self.read_head()
        if isinstance(head, revisions.Found):
            return revisions.Conflict(head.revision)
        return revisions.Conflict(None)

    async def _find_base(
        self, base: revisions.Revision | None
    ) -> '_BaseOutcome':
        row = await self._table.get(HEAD_KEY)
        if isinstance(row, protocols.Unavailable):
            return revisions.Unavailable(row.detail)
        if isinstance(row, protocols.Missing):
            return _Base(None) if base is None else await self._make_conflict()
        try:
            head = decode_head(row.row.value)
        except audit.MalformedError as error:
            return revisions.Damaged(str(error))
        if base is None or base.version != head.version:
            return await self._make_conflict()
        return _Base(row.row.version)

    async def _read_document(
        self, entry: audit.Entry
    ) -> revisions.ReadOutcome:
        name = make_object_name(entry.document_digest)
        body = await self._objects.get_object(name)
        if isinstance(body, protocols.Unavailable):
            return revisions.Unavailable(body.detail)
        if isinstance(body, protocols.Missing):
            return revisions.Damaged(f'object {name} is missing')
        if not audit.matches_document(entry, body.content):
            return revisions.Damaged(f'object {name} was altered')
        loaded = loading.load_document(body.content, source=name)
        if isinstance(loaded, loading.Invalid):
            return revisions.Damaged(f'object {name} is not valid here')
        return revisions.Found(
            revisions.Revision(entry.version, loaded.document, entry)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Base:
    """Version of the head's row that a write must find; None for none."""

    row_version: str | None


_BaseOutcome: typing.TypeAlias = (
    _Base | revisions.Conflict | revisions.Unavailable | revisions.Damaged
)
