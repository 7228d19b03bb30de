"""Rows and objects that hold the configuration and its audit trail."""

import dataclasses
import hashlib

import cattrs
import cbor2

from . import audit

HEAD_KEY = 'config/head'
AUDIT_PREFIX = 'config/audit/'
_VERSION_DIGITS = 12


class MalformedError(ValueError):
    """A row does not hold what it should."""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Which version is accepted.

    Args:
        version: Its number, from 1.
        digest: SHA-256 of the document's bytes, in hexadecimal.
        operator: Who published it.
        token: Unique to the write.
    """

    version: int
    digest: str
    operator: str
    token: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AuditRow:
    """An audit entry as it is stored.

    Args:
        entry: The entry.
        token: Unique to the write.
    """

    entry: audit.Entry
    token: bytes


def make_audit_key(version: int) -> str:
    """Return the key of a version's audit row; keys sort by version."""
    return f'{AUDIT_PREFIX}{version:0{_VERSION_DIGITS}}'


def make_object_name(digest: str) -> str:
    """Return the name of a document in the object store."""
    return f'config/documents/{digest}'


def compute_digest(content: bytes) -> str:
    """Return the digest that names a document."""
    return hashlib.sha256(content).hexdigest()


def encode_head(head: Head) -> bytes:
    """Return the head as CBOR."""
    return cbor2.dumps(cattrs.unstructure(head))


def decode_head(value: bytes) -> Head:
    """Read the head from its CBOR.

    Raises:
        MalformedError: The bytes are no head.
    """
    try:
        return cattrs.structure(cbor2.loads(value), Head)
    except Exception as error:
        raise MalformedError('not a head') from error


def encode_audit_row(row: AuditRow) -> bytes:
    """Return an audit row as CBOR."""
    return cbor2.dumps([audit.encode_entry(row.entry), row.token])


def decode_audit_row(value: bytes) -> AuditRow:
    """Read an audit row from its CBOR.

    Raises:
        MalformedError: The bytes are no audit row.
    """
    try:
        entry, token = cbor2.loads(value)
        return AuditRow(audit.decode_entry(entry), bytes(token))
    except Exception as error:
        raise MalformedError('not an audit row') from error
