"""What the project asks of the platform's table service and object store."""

import collections.abc
import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table.

    Args:
        key: Its key.
        value: Its value.
        version: Opaque version that changes with every write of the row and
            never comes back, even after a deletion.
    """

    key: str
    value: bytes
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Writes a row if it is at the expected version.

    The value must hold a token unique to this write, such as 128 random
    bits. A lost answer is resolved by reading the token back.

    Args:
        key: Key of the row.
        value: New value.
        expected: Version that the row must have; None if it must be absent.
    """

    key: str
    value: bytes
    expected: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Deletes a row if it is at the expected version.

    Args:
        key: Key of the row.
        expected: Version that the row must have.
    """

    key: str
    expected: str


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """Makes a transaction depend on a row that it does not change.

    Args:
        key: Key of the row.
        expected: Version that the row must have; None if it must be absent.
    """

    key: str
    expected: str | None


Operation: typing.TypeAlias = Put | Delete | Check


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The row that was read."""

    row: Row


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """There is no such row or object."""


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """The rows under a prefix, ordered by key."""

    rows: tuple[Row, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Body:
    """The object that was read."""

    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The write took effect.

    Args:
        versions: New version of each Put, in order; empty text for every
            other operation.
    """

    versions: tuple[str, ...] = ()

    @property
    def version(self) -> str:
        """The version that the first operation made."""
        return self.versions[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The write certainly took no effect; rows were not as expected.

    Args:
        keys: Keys of the operations whose expectation failed.
        rows: Those of them that exist, as they are.
    """

    keys: tuple[str, ...]
    rows: tuple[Row, ...]

    def find(self, key: str) -> Row | None:
        """Return the current row of a key that conflicted, if it exists."""
        for row in self.rows:
            if row.key == key:
                return row
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """Nothing was read, or the write certainly took no effect.

    Args:
        detail: Why, for logs.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The answer was lost and the effect could not be found out.

    Args:
        detail: Why, for logs.
        conflict: What a repetition of the write met, if it met anything. The
            rows may have been written by others after this write took
            effect; the caller may know that they were not.
    """

    detail: str
    conflict: Conflict | None = None


ReadOutcome: typing.TypeAlias = Found | Missing | Unavailable
ListOutcome: typing.TypeAlias = Listed | Unavailable
WriteOutcome: typing.TypeAlias = Done | Conflict | Unavailable | Unknown
ObjectOutcome: typing.TypeAlias = Body | Missing | Unavailable
StoreOutcome: typing.TypeAlias = Done | Unavailable | Unknown


class Table(typing.Protocol):
    """A table service with serializable transactions."""

    async def get(self, key: str) -> ReadOutcome:
        """Read one row."""
        ...

    async def list(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> ListOutcome:
        """Read the rows whose keys begin with a prefix.

        Args:
            prefix: Beginning of the keys.
            after: Only keys that sort after this one.
            limit: Most rows to return.
        """
        ...

    async def put(
        self, key: str, value: bytes, *, expected: str | None
    ) -> WriteOutcome:
        """Write one row if it is at the expected version.

        Args:
            key: Key of the row.
            value: New value; it must hold a token unique to this write.
            expected: Version that the row must have; None for absent.
        """
        ...

    async def delete(self, key: str, *, expected: str) -> WriteOutcome:
        """Delete one row if it is at the expected version."""
        ...

    async def batch(
        self, operations: collections.abc.Sequence[Operation]
    ) -> WriteOutcome:
        """Carry out all operations in one transaction, or none."""
        ...


class ObjectStore(typing.Protocol):
    """A store of immutable objects, named by their content."""

    async def get_object(self, name: str) -> ObjectOutcome:
        """Read one object."""
        ...

    async def put_object(self, name: str, content: bytes) -> StoreOutcome:
        """Write one object; the same name always has the same content."""
        ...

    async def delete_object(self, name: str) -> StoreOutcome:
        """Delete one object; a missing one is no error."""
        ...
