"""The platform's services in memory, for tests and the stand-in."""

import collections.abc
import typing

from . import protocols


class MemoryTable:
    """A table with serializable transactions in memory."""

    def __init__(self) -> None:
        self._rows: dict[str, protocols.Row] = {}
        self._writes = 0

    async def get(self, key: str) -> protocols.ReadOutcome:
        """Read one row."""
        return self.read(key)

    async def list(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> protocols.ListOutcome:
        """Read the rows whose keys begin with a prefix."""
        return self.scan(prefix, after=after, limit=limit)

    async def put(
        self, key: str, value: bytes, *, expected: str | None
    ) -> protocols.WriteOutcome:
        """Write one row if it is at the expected version."""
        return self.commit((protocols.Put(key, value, expected),))

    async def delete(
        self, key: str, *, expected: str
    ) -> protocols.WriteOutcome:
        """Delete one row if it is at the expected version."""
        return self.commit((protocols.Delete(key, expected),))

    async def batch(
        self, operations: collections.abc.Sequence[protocols.Operation]
    ) -> protocols.WriteOutcome:
        """Carry out all operations in one transaction, or none."""
        return self.commit(operations)

    def read(self, key: str) -> protocols.Found | protocols.Missing:
        """Read one row."""
        row = self._rows.get(key)
        if row is None:
            return protocols.Missing()
        return protocols.Found(row)

    def scan(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> protocols.Listed:
        """Read the rows whose keys begin with a prefix."""
        keys = sorted(
            key for key in self._rows if key.startswith(prefix) and key > after
        )
        return protocols.Listed(tuple(self._rows[key] for key in keys[:limit]))

    def commit(
        self, operations: collections.abc.Sequence[protocols.Operation]
    ) -> protocols.Done | protocols.Conflict:
        """Carry out all operations, or none."""
        failed = [
            operation.key
            for operation in operations
            if self._get_version(operation.key) != operation.expected
        ]
        if failed:
            rows = [self._rows[key] for key in failed if key in self._rows]
            return protocols.Conflict(tuple(failed), tuple(rows))
        return protocols.Done(
            tuple(self._carry_out(operation) for operation in operations)
        )

    def _get_version(self, key: str) -> str | None:
        row = self._rows.get(key)
        return None if row is None else row.version

    def _carry_out(self, operation: protocols.Operation) -> str:
        match operation:
            case protocols.Put(key, value, _):
                self._writes += 1
                version = str(self._writes)
                self._rows[key] = protocols.Row(key, value, version)
                return version
            case protocols.Delete(key, _):
                del self._rows[key]
                return ''
            case protocols.Check():
                return ''
            case _:
                typing.assert_never(operation)


class MemoryObjects:
    """An object store in memory."""

    def __init__(self) -> None:
        self._contents: dict[str, bytes] = {}

    async def get_object(self, name: str) -> protocols.ObjectOutcome:
        """Read one object."""
        return self.read(name)

    async def put_object(
        self, name: str, content: bytes
    ) -> protocols.StoreOutcome:
        """Write one object."""
        self.write(name, content)
        return protocols.Done()

    async def delete_object(self, name: str) -> protocols.StoreOutcome:
        """Delete one object; a missing one is no error."""
        self.remove(name)
        return protocols.Done()

    def read(self, name: str) -> protocols.Body | protocols.Missing:
        """Read one object."""
        content = self._contents.get(name)
        if content is None:
            return protocols.Missing()
        return protocols.Body(content)

    def write(self, name: str, content: bytes) -> None:
        """Write one object."""
        self._contents[name] = content

    def remove(self, name: str) -> None:
        """Delete one object, if there is one."""
        self._contents.pop(name, None)
