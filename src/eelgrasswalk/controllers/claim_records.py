"""A node's own record of the requests that it ran under claims."""

import asyncio
import collections
import dataclasses

from .. import verdict


@dataclasses.dataclass(slots=True, eq=False)
class Record:
    """One claimed request.

    Args:
        fingerprint: Digest of the request.
        outcome: What becomes of it.
        is_stored: Whether the table holds its claim; if not, this record is
            all that keeps the request from running again.
        length: Bytes of its answer.
    """

    fingerprint: bytes
    outcome: asyncio.Future[verdict.Verdict]
    is_stored: bool = True
    length: int = 0


class Records:
    """The latest records, bounded by number and bytes.

    Args:
        most: Most records kept.
        most_bytes: Most bytes of answers kept.
    """

    def __init__(self, *, most: int, most_bytes: int) -> None:
        self._most = most
        self._most_bytes = most_bytes
        self._records: collections.OrderedDict[str, Record] = (
            collections.OrderedDict()
        )
        self._bytes = 0
        self._unstored = 0

    def find(self, key: str) -> Record | None:
        """Return the record of a key."""
        return self._records.get(key)

    def add(self, key: str, record: Record) -> None:
        """Add the record of a request that begins."""
        self._records[key] = record

    def remove(self, key: str) -> None:
        """Forget a request that has not run."""
        record = self._records.pop(key, None)
        if record is not None:
            self._bytes -= record.length
            self._unstored -= not record.is_stored

    def admits_unstored(self) -> bool:
        """Tell whether one more request may rest on this record alone."""
        return self._unstored < self._most // 2

    def mark_unstored(self, key: str) -> None:
        """Note that the table does not hold the claim."""
        record = self._records[key]
        if record.is_stored:
            record.is_stored = False
            self._unstored += 1

    def mark_stored(self, key: str) -> None:
        """Note that the table holds the claim."""
        record = self._records.get(key)
        if record is not None and not record.is_stored:
            record.is_stored = True
            self._unstored -= 1

    def end(self, key: str, length: int) -> None:
        """Note that a request has ended, and drop the oldest records."""
        record = self._records.get(key)
        if record is None:
            return
        record.length = length
        self._bytes += length
        self._records.move_to_end(key)
        self._shrink()

    def _shrink(self) -> None:
        is_full = self._is_full()
        for key in tuple(self._records) if is_full else ():
            record = self._records[key]
            if record.is_stored and record.outcome.done():
                self.remove(key)
            if not self._is_full():
                return

    def _is_full(self) -> bool:
        return (
            len(self._records) > self._most or self._bytes > self._most_bytes
        )
