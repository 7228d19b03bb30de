"""One process's part in one lease: what to write, and what is then known.

The caller carries out one write at a time. A write whose outcome is unknown
stays in doubt and is sent again as it was, until the table shows whether it
took effect; a record never recurs, since its epoch or renewal grows.
"""

import dataclasses
import enum
import math
import typing

from . import lease

Payload = typing.TypeVar('Payload')


class WriteKind(enum.Enum):
    """What a write is for."""

    TAKE = 'take'
    CHANGE = 'change'
    RELEASE = 'release'


@dataclasses.dataclass(frozen=True, slots=True)
class Write(typing.Generic[Payload]):
    """A write of the record.

    Args:
        kind: What it is for.
        expected: The record that must be there; None if there must be none.
        record: The record to write.
        sent_at: When it was first sent, in seconds.
    """

    kind: WriteKind
    expected: lease.Record[Payload] | None
    record: lease.Record[Payload]
    sent_at: float


class Participant(typing.Generic[Payload]):
    """One process's part in one lease.

    Args:
        process: The process.
        timing: How long leases last.
    """

    def __init__(self, process: lease.Process, timing: lease.Timing) -> None:
        self._process = process
        self._promised_until = -math.inf
        self._timing = timing
        self._seen: lease.Observation[Payload] | None = None
        self._owned_lease: lease.OwnedLease[Payload] | None = None
        self._write: Write[Payload] | None = None
        self._predecessor: lease.Record[Payload] | None = None

    @property
    def record(self) -> lease.Record[Payload] | None:
        """The record as last seen."""
        return None if self._seen is None else self._seen.record

    @property
    def is_observed(self) -> bool:
        """Whether the record, or its absence, has been seen."""
        return self._seen is not None

    @property
    def is_owner(self) -> bool:
        """Whether this process has the lease, lapsed or not."""
        return self._owned_lease is not None

    @property
    def seen_at(self) -> float:
        """When the record as last seen was first seen, in seconds."""
        return math.inf if self._seen is None else self._seen.seen_at

    @property
    def standby_named_at(self) -> float:
        """When the owner's standby was named, in seconds."""
        return (
            math.inf
            if self._owned_lease is None
            else self._owned_lease.standby_named_at
        )

    @property
    def predecessor(self) -> lease.Record[Payload] | None:
        """The record that this process, as the owner, followed."""
        return self._predecessor

    @property
    def pending_write(self) -> Write[Payload] | None:
        """The write whose outcome is not known."""
        return self._write

    def compute_expiry(self, promised_at: float) -> float:
        """Return until when this process may act as owner, in seconds.

        Args:
            promised_at: When the last promise that the standby gave was
                asked for, in seconds; minus infinity if there is none.
        """
        if self._owned_lease is None:
            return -math.inf
        return self._owned_lease.compute_expiry(promised_at)

    def needs_renewal(self, now: float) -> bool:
        """Tell whether the owner should write the record again."""
        if self._owned_lease is None:
            return False
        age = now - self._owned_lease.sent_at
        return age >= self._timing.outage_limit_s / 4

    def may_take(self, now: float) -> bool:
        """Tell whether this process may try to take the lease."""
        if self._seen is None or self._write is not None:
            return False
        if self._owned_lease is not None:
            return False
        return lease.may_take(
            self._seen,
            self._process,
            now=now,
            promised_until=self._promised_until,
            timing=self._timing,
        )

    def promise(self, epoch: int, *, now: float) -> bool:
        """Promise an owner to stand back, unless it may be succeeded.

        Args:
            epoch: The owner's epoch.
            now: Clock, in seconds.

        Returns:
            Whether this process stands back for the promise time. It must
            not be forgotten what this lease's epoch was.
        """
        record = self.record
        if record is not None and record.epoch > epoch:
            return False
        if self._write is not None and self._write.kind is WriteKind.TAKE:
            return False
        self._promised_until = now + self._timing.promise_s
        return True

    def begin_take(
        self, standby: lease.Process | None, *, now: float
    ) -> Write[Payload]:
        """Return the write that takes the lease."""
        record = lease.make_successor(self.record, self._process, standby)
        return self._begin(WriteKind.TAKE, record, now)

    def begin_change(
        self, standby: lease.Process | None, *, now: float
    ) -> Write[Payload]:
        """Return the owner's write that renews and names a standby."""
        assert self._owned_lease is not None
        current = self._owned_lease.record
        record = dataclasses.replace(
            current, standby=standby, renewal=current.renewal + 1
        )
        self._owned_lease.begin_change(record, sent_at=now)
        return self._begin(WriteKind.CHANGE, record, now)

    def begin_release(self, payload: Payload, *, now: float) -> Write[Payload]:
        """Return the owner's write that gives the lease up; it ends at once.

        Args:
            payload: What the next owner must know.
            now: Clock, in seconds.
        """
        assert self._owned_lease is not None
        current = self._owned_lease.record
        self._owned_lease = None
        record = lease.Record(
            current.epoch, None, None, current.renewal + 1, payload
        )
        return self._begin(WriteKind.RELEASE, record, now)

    def complete_write(self, *, now: float) -> None:
        """Note that the write took effect."""
        assert self._write is not None
        write = self._write
        self._see(write.record, now)
        self._end_write(applied=True)

    def cancel_write(self) -> None:
        """Note that the write certainly did not and will not take effect.

        A release is tried again, since its owner has stopped.
        """
        write = self._write
        if write is None or write.kind is WriteKind.RELEASE:
            return
        self._write = None
        if self._owned_lease is not None:
            self._owned_lease.end_change(
                write.record, sent_at=write.sent_at, applied=False
            )

    def observe(
        self, record: lease.Record[Payload] | None, *, now: float
    ) -> None:
        """Note the record as it was read, or as it stood in the way.

        A read must have been sent after the last write of this process.

        Args:
            record: The record; None if there is none.
            now: Clock after the answer, in seconds.
        """
        write = self._write
        if write is not None and record != write.expected:
            self._see(record, now)
            self._end_write(applied=record == write.record)
            return
        self._see(record, now)
        owned_lease = self._owned_lease
        if owned_lease is not None and record != owned_lease.record:
            self._owned_lease = None

    def _begin(
        self, kind: WriteKind, record: lease.Record[Payload], now: float
    ) -> Write[Payload]:
        self._write = Write(kind, self.record, record, now)
        return self._write

    def _see(self, record: lease.Record[Payload] | None, now: float) -> None:
        if self._seen is None or self._seen.record != record:
            self._seen = lease.Observation(record, now)

    def _end_write(self, *, applied: bool) -> None:
        write = self._write
        assert write is not None
        self._write = None
        if write.kind is WriteKind.TAKE and applied:
            self._predecessor = write.expected
            self._owned_lease = lease.OwnedLease(
                write.record, sent_at=write.sent_at, timing=self._timing
            )
        elif write.kind is WriteKind.CHANGE and self._owned_lease is not None:
            self._end_change(self._owned_lease, write, applied=applied)

    def _end_change(
        self,
        owned_lease: lease.OwnedLease[Payload],
        write: Write[Payload],
        *,
        applied: bool,
    ) -> None:
        owned_lease.end_change(
            write.record, sent_at=write.sent_at, applied=applied
        )
        if not applied:
            # Only another owner can have changed the record.
            self._owned_lease = None
