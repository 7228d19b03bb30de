"""Accepted versions in the platform's store."""

import collections.abc
import datetime as dt
import secrets
import typing

from ..document import loading
from ..document import model
from ..operations import revisions
from ..platform import protocols
from . import audit
from . import configuration_rows as rows

_TOKEN_BYTES = 16
_PAGE_ROWS = 500

Now: typing.TypeAlias = collections.abc.Callable[[], dt.datetime]
MakeToken: typing.TypeAlias = collections.abc.Callable[[], bytes]


class _UnavailableError(Exception):
    """The platform did not answer."""


class _DamagedError(Exception):
    """The platform holds something that cannot be right."""


class StoredRevisions:
    """Implements Revisions over the platform's table and object store.

    Args:
        table: Holds the head and the audit trail.
        objects: Holds the documents.
        now: Current time in UTC.
        make_token: Returns random bytes, unique to a write.
    """

    def __init__(
        self,
        table: protocols.Table,
        objects: protocols.ObjectStore,
        *,
        now: Now = lambda: dt.datetime.now(dt.UTC),
        make_token: MakeToken = lambda: secrets.token_bytes(_TOKEN_BYTES),
    ) -> None:
        self._table = table
        self._objects = objects
        self._now = now
        self._make_token = make_token

    async def read_head(self) -> revisions.ReadOutcome:
        """Read the version that is accepted now."""
        try:
            found = await self._read_head_row()
            if found is None:
                return revisions.Missing()
            version = found[0].version
            outcome = await self._read_revision(version)
            if isinstance(outcome, revisions.Missing):
                detail = f'the audit entry of version {version} is missing'
                return revisions.Damaged(detail)
            return outcome
        except _UnavailableError as error:
            return revisions.Unavailable(str(error))
        except _DamagedError as error:
            return revisions.Damaged(str(error))

    async def read_version(self, version: int) -> revisions.ReadOutcome:
        """Read an accepted version."""
        try:
            return await self._read_revision(version)
        except _UnavailableError as error:
            return revisions.Unavailable(str(error))
        except _DamagedError as error:
            return revisions.Damaged(str(error))

    async def list_entries(self) -> revisions.EntriesOutcome:
        """Read the audit entries of all versions."""
        entries: list[audit.Entry] = []
        after = ''
        while True:
            listed = await self._table.list(
                rows.AUDIT_PREFIX, after=after, limit=_PAGE_ROWS
            )
            if isinstance(listed, protocols.Unavailable):
                return revisions.Unavailable(listed.detail)
            try:
                entries += [
                    rows.decode_audit_row(row.value).entry
                    for row in listed.rows
                ]
            except rows.MalformedError as error:
                return revisions.Damaged(str(error))
            if len(listed.rows) < _PAGE_ROWS:
                return revisions.Entries(tuple(entries))
            after = listed.rows[-1].key

    async def publish(
        self,
        document: model.Document,
        *,
        base: revisions.Revision | None,
        author: audit.Author,
        note: str = '',
    ) -> revisions.PublishOutcome:
        """Publish a document if the base is still the accepted version.

        Args:
            document: The new document.
            base: The revision that it was made from; None for the first.
            author: Who makes the change, and from where.
            note: The operator's reason.
        """
        content = loading.dump_document(document)
        entry = revisions.make_entry(
            document,
            content,
            base=base,
            author=author,
            time=self._now().isoformat(timespec='microseconds'),
            note=note,
        )
        try:
            return await self._publish(entry, content, base)
        except _UnavailableError as error:
            return revisions.Unavailable(str(error))
        except _DamagedError as error:
            return revisions.Damaged(str(error))

    async def _publish(
        self,
        entry: audit.Entry,
        content: bytes,
        base: revisions.Revision | None,
    ) -> revisions.PublishOutcome:
        """Write the document first, so that no head is without its body."""
        found = await self._read_head_row()
        accepted = found[0].version if found else 0
        if accepted != (base.version if base else 0):
            return await self._make_conflict()
        name = rows.make_object_name(entry.document_digest)
        stored = await self._objects.put_object(name, content)
        if not isinstance(stored, protocols.Done):
            return revisions.Unavailable(stored.detail)
        token = self._make_token()
        outcome = await self._table.batch(
            _make_operations(entry, token, found[1] if found else None)
        )
        match outcome:
            case protocols.Done():
                return revisions.Published(entry)
            case protocols.Unavailable(detail):
                return revisions.Unavailable(detail)
            case protocols.Conflict():
                return await self._make_conflict()
            case protocols.Unknown(detail):
                return await self._resolve(entry, token, detail)
            case _:
                typing.assert_never(outcome)

    async def _resolve(
        self, entry: audit.Entry, token: bytes, detail: str
    ) -> revisions.PublishOutcome:
        """Read back the audit row, which is written once and kept.

        Where it is missing, the write may still be on its way.
        """
        key = rows.make_audit_key(entry.version)
        read = await self._table.get(key)
        if not isinstance(read, protocols.Found):
            return revisions.Unknown(detail)
        try:
            row = rows.decode_audit_row(read.row.value)
        except rows.MalformedError as error:
            return revisions.Unknown(str(error))
        if row.token == token:
            return revisions.Published(entry)
        return await self._make_conflict()

    async def _make_conflict(self) -> revisions.Conflict:
        outcome = await self.read_head()
        if isinstance(outcome, revisions.Found):
            return revisions.Conflict(outcome.revision)
        return revisions.Conflict(None)

    async def _read_head_row(self) -> tuple[rows.Head, str] | None:
        outcome = await self._table.get(rows.HEAD_KEY)
        match outcome:
            case protocols.Missing():
                return None
            case protocols.Unavailable(detail):
                raise _UnavailableError(detail)
            case protocols.Found(row):
                try:
                    return rows.decode_head(row.value), row.version
                except rows.MalformedError as error:
                    raise _DamagedError(str(error)) from error
            case _:
                typing.assert_never(outcome)

    async def _read_revision(self, version: int) -> revisions.ReadOutcome:
        outcome = await self._table.get(rows.make_audit_key(version))
        if isinstance(outcome, protocols.Missing):
            return revisions.Missing()
        if isinstance(outcome, protocols.Unavailable):
            raise _UnavailableError(outcome.detail)
        try:
            entry = rows.decode_audit_row(outcome.row.value).entry
        except rows.MalformedError as error:
            raise _DamagedError(str(error)) from error
        document = await self._read_document(entry.document_digest)
        return revisions.Found(revisions.Revision(version, document, entry))

    async def _read_document(self, digest: str) -> model.Document:
        outcome = await self._objects.get_object(rows.make_object_name(digest))
        match outcome:
            case protocols.Body(content):
                if rows.compute_digest(content) != digest:
                    raise _DamagedError('the stored document was altered')
                loaded = loading.load_document(content, source=digest)
                if isinstance(loaded, loading.Loaded):
                    return loaded.document
                raise _DamagedError('the stored document is not valid')
            case protocols.Missing():
                raise _DamagedError('the stored document is missing')
            case protocols.Unavailable(detail):
                raise _UnavailableError(detail)
            case _:
                typing.assert_never(outcome)


def _make_operations(
    entry: audit.Entry, token: bytes, head_version: str | None
) -> tuple[protocols.Operation, ...]:
    head = rows.Head(
        entry.version, entry.document_digest, entry.author.operator, token
    )
    row = rows.AuditRow(entry, token)
    return (
        protocols.Put(rows.HEAD_KEY, rows.encode_head(head), head_version),
        protocols.Put(
            rows.make_audit_key(entry.version),
            rows.encode_audit_row(row),
            None,
        ),
    )
