"""Bodies of the platform's HTTP protocol that hold more than one row."""

import collections.abc
import typing

import cbor2

from . import protocols

MEDIA_TYPE = 'application/cbor'


class MalformedError(ValueError):
    """A body does not hold what it should."""


def encode_operations(
    operations: collections.abc.Sequence[protocols.Operation],
) -> bytes:
    """Return the body of a transaction."""
    return cbor2.dumps([_pack_operation(each) for each in operations])


def decode_operations(body: bytes) -> tuple[protocols.Operation, ...]:
    """Read the body of a transaction.

    Raises:
        MalformedError: The body holds something else.
    """
    try:
        return tuple(_unpack_operation(each) for each in cbor2.loads(body))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise MalformedError(str(error)) from error


def encode_rows(rows: collections.abc.Sequence[protocols.Row]) -> bytes:
    """Return the body of a list of rows."""
    return cbor2.dumps([[row.key, row.value, row.version] for row in rows])


def decode_rows(body: bytes) -> tuple[protocols.Row, ...]:
    """Read a list of rows.

    Raises:
        MalformedError: The body holds something else.
    """
    try:
        return tuple(protocols.Row(*each) for each in cbor2.loads(body))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise MalformedError(str(error)) from error


def encode_versions(versions: collections.abc.Sequence[str]) -> bytes:
    """Return the body of a transaction's success."""
    return cbor2.dumps(list(versions))


def decode_versions(body: bytes) -> tuple[str, ...]:
    """Read the versions that a transaction made.

    Raises:
        MalformedError: The body holds something else.
    """
    try:
        return tuple(str(each) for each in cbor2.loads(body))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise MalformedError(str(error)) from error


def encode_conflict(conflict: protocols.Conflict) -> bytes:
    """Return the body of a conflict."""
    return cbor2.dumps([list(conflict.keys), encode_rows(conflict.rows)])


def decode_conflict(body: bytes) -> protocols.Conflict:
    """Read a conflict.

    Raises:
        MalformedError: The body holds something else.
    """
    try:
        keys, rows = cbor2.loads(body)
        return protocols.Conflict(tuple(keys), decode_rows(rows))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise MalformedError(str(error)) from error


def _pack_operation(operation: protocols.Operation) -> list[typing.Any]:
    match operation:
        case protocols.Put(key, value, expected):
            return ['put', key, expected, value]
        case protocols.Delete(key, expected):
            return ['delete', key, expected]
        case protocols.Check(key, expected):
            return ['check', key, expected]
        case _:
            typing.assert_never(operation)


def _unpack_operation(packed: list[typing.Any]) -> protocols.Operation:
    match packed:
        case ['put', str(key), str() | None as expected, bytes(value)]:
            return protocols.Put(key, value, expected)
        case ['delete', str(key), str(expected)]:
            return protocols.Delete(key, expected)
        case ['check', str(key), str() | None as expected]:
            return protocols.Check(key, expected)
        case _:
            raise MalformedError('unknown operation')
