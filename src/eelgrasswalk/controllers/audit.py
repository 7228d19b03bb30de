"""The audit trail: entries chained by digests."""

import collections.abc
import dataclasses
import hashlib
import typing

import cattrs
import cbor2

FIRST_PREVIOUS = '0' * 64


@dataclasses.dataclass(frozen=True, slots=True)
class Author:
    """Who makes a change, and from where.

    Args:
        operator: The operator's name.
        origin: Host or address that the change came from.
        tool: Program that made it.
    """

    operator: str
    origin: str
    tool: str


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One change of the configuration.

    Args:
        version: The version that the change made.
        time: When, in UTC after ISO 8601.
        author: Who made it, and from where.
        changes: The difference in meaning, one line each.
        note: The operator's reason.
        document_digest: SHA-256 of the document's stored bytes.
        previous: Digest of the entry before.
        token: Random text, unique to this write.
        digest: SHA-256 over `previous` and the other fields.
    """

    version: int
    time: str
    author: Author
    changes: tuple[str, ...]
    note: str
    document_digest: str
    previous: str
    token: str = ''
    digest: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Verified:
    """The chain is whole.

    Args:
        entries: How many entries were checked.
        digest: Digest of the last one.
    """

    entries: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The chain is broken.

    Args:
        version: Version of the first entry that does not fit.
        detail: What does not fit.
    """

    version: int
    detail: str


class MalformedError(ValueError):
    """Bytes that are no audit entry."""


def seal_entry(
    *,
    version: int,
    time: str,
    author: Author,
    changes: collections.abc.Iterable[str],
    document: bytes,
    previous: str = FIRST_PREVIOUS,
    note: str = '',
    token: str = '',
) -> Entry:
    """Return an entry with its digest.

    Args:
        version: The version that the change makes.
        time: When, in UTC after ISO 8601.
        author: Who makes it, and from where.
        changes: The difference in meaning, one line each.
        document: The document's bytes as they are stored.
        previous: Digest of the entry before.
        note: The operator's reason.
        token: Random text, unique to this write.
    """
    entry = Entry(
        version=version,
        time=time,
        author=author,
        changes=tuple(changes),
        note=note,
        document_digest=hashlib.sha256(document).hexdigest(),
        previous=previous,
        token=token,
    )
    return dataclasses.replace(entry, digest=compute_digest(entry))


def compute_digest(entry: Entry) -> str:
    """Return the digest that the entry must have."""
    fields = cattrs.unstructure(dataclasses.replace(entry, digest=''))
    body = cbor2.dumps(fields, canonical=True)
    return hashlib.sha256(bytes.fromhex(entry.previous) + body).hexdigest()


def encode_entry(entry: Entry) -> bytes:
    """Return the entry as canonical CBOR."""
    return cbor2.dumps(cattrs.unstructure(entry), canonical=True)


def decode_entry(raw: bytes) -> Entry:
    """Return the entry of its CBOR.

    Raises:
        MalformedError: The bytes are no entry.
    """
    try:
        entry = cattrs.structure(cbor2.loads(raw), Entry)
        bytes.fromhex(entry.previous)
    except Exception as error:
        raise MalformedError('not an audit entry') from error
    return entry


def verify_chain(
    entries: collections.abc.Sequence[Entry],
    documents: collections.abc.Mapping[int, bytes] | None = None,
) -> Verified | Broken:
    """Check every entry against its digest and the entry before it.

    Args:
        entries: All entries from version 1, in order.
        documents: Stored bytes by version, where those are checked too.
    """
    previous = FIRST_PREVIOUS
    for expected, entry in enumerate(entries, start=1):
        fault = _find_fault(entry, expected, previous)
        if fault is None and documents is not None:
            fault = _find_document_fault(entry, documents)
        if fault is not None:
            return Broken(expected, fault)
        previous = entry.digest
    return Verified(len(entries), previous)


def _find_fault(entry: Entry, expected: int, previous: str) -> str | None:
    if entry.version != expected:
        return f'the entry is of version {entry.version}'
    if entry.previous != previous:
        return 'the entry does not follow the one before it'
    if compute_digest(entry) != entry.digest:
        return 'the entry was altered after it was written'
    return None


def _find_document_fault(
    entry: Entry, documents: collections.abc.Mapping[int, bytes]
) -> str | None:
    document = documents.get(entry.version)
    if document is None:
        return 'the document of this version is missing'
    if not matches_document(entry, document):
        return 'the document was altered after it was accepted'
    return None


def matches_document(entry: Entry, document: bytes) -> bool:
    """Tell whether stored bytes are the document of the entry."""
    return hashlib.sha256(document).hexdigest() == entry.document_digest


def export_entry(entry: Entry) -> dict[str, typing.Any]:
    """Return the entry as plain data."""
    data: dict[str, typing.Any] = cattrs.unstructure(entry)
    data['changes'] = list(entry.changes)
    return data
