"""State machine of one process that takes part in one lease, without I/O.

The caller performs the writes, one at a time. A write with an unknown outcome
stays pending and is sent again unchanged, until the table shows whether it
took effect. This is unambiguous because no record ever recurs: either its
epoch or its renewal number grows.
"""

import dataclasses
import enum
import math
import typing

from . import lease

Payload = typing.TypeVar('Payload')


class WriteKind(enum.Enum):
    """Purpose of a write."""

    TAKE = 'take'
    CHANGE = 'change'
    RELEASE = 'release'


@dataclasses.dataclass(frozen=True, slots=True)
class Write(typing.Generic[Payload]):
    """A write of the record.

    Args:
        kind: Its purpose.
        expected: The record that the row must hold for the write to succeed;
            None if the row must be absent.
        record: The record to write.
        sent_at: Time at which it was first sent, in seconds.
    """

    kind: WriteKind
    expected: lease.Record[Payload] | None
    record: lease.Record[Payload]
    sent_at: float


class Participant(typing.Generic[Payload]):
    """A process that may be the owner or the standby of one lease.

    Args:
        process: The process.
        timing: Durations of leases.
    """

    def __init__(self, process: lease.Process, timing: lease.Timing) -> None:
        self._process = process
        self._promised_until = -math.inf
        self._timing = timing
        self._observation: lease.Observation[Payload] | None = None
        self._owned_lease: lease.OwnedLease[Payload] | None = None
        self._write: Write[Payload] | None = None
        self._predecessor: lease.Record[Payload] | None = None

    @property
    def record(self) -> lease.Record[Payload] | None:
        """The record as last observed; None if the row is absent."""
        return None if self._observation is None else self._observation.record

    @property
    def is_observed(self) -> bool:
        """Whether the record, or its absence, has been observed."""
        return self._observation is not None

    @property
    def is_owner(self) -> bool:
        """Whether this process is the owner, even of an expired lease."""
        return self._owned_lease is not None

    @property
    def seen_at(self) -> float:
        """Time of the first observation of the current record, in seconds."""
        return (
            math.inf
            if self._observation is None
            else self._observation.seen_at
        )

    @property
    def standby_named_at(self) -> float:
        """Time at which the write naming the standby was sent, in seconds."""
        return (
            math.inf
            if self._owned_lease is None
            else self._owned_lease.standby_named_at
        )

    @property
    def predecessor(self) -> lease.Record[Payload] | None:
        """The record that this process replaced to become the owner."""
        return self._predecessor

    @property
    def pending_write(self) -> Write[Payload] | None:
        """The write whose outcome is not known yet."""
        return self._write

    def compute_expiry(self, promised_at: float) -> float:
        """Return the time until which this process may act as the owner.

        Args:
            promised_at: Time at which the standby's last promise was
                requested, in seconds; minus infinity without a promise.

        Returns:
            The time in seconds; minus infinity for a process that is not the
            owner.
        """
        if self._owned_lease is None:
            return -math.inf
        return self._owned_lease.compute_expiry(promised_at)

    def needs_renewal(self, now: float) -> bool:
        """Return whether the owner should renew the record.

        Args:
            now: Current time, in seconds.
        """
        if self._owned_lease is None:
            return False
        age = now - self._owned_lease.sent_at
        return age >= self._timing.outage_limit_s / 4

    def may_take(self, now: float) -> bool:
        """Return whether this process may try to take the lease.

        Args:
            now: Current time, in seconds.
        """
        if self._observation is None or self._write is not None:
            return False
        if self._owned_lease is not None:
            return False
        return lease.may_take(
            self._observation,
            self._process,
            now=now,
            promised_until=self._promised_until,
            timing=self._timing,
        )

    def promise(self, epoch: int, *, now: float) -> bool:
        """Promise an owner not to take over for the promise duration.

        Args:
            epoch: The owner's epoch.
            now: Current time, in seconds.

        Returns:
            Whether the promise is given. It is refused if a later epoch is
            known or this process is taking the lease, so the participant
            must not be discarded while it may receive requests.
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
        """Return the write that takes the lease.

        Args:
            standby: The standby to name; None for no standby.
            now: Current time, in seconds.
        """
        record = lease.make_successor(self.record, self._process, standby)
        return self._begin(WriteKind.TAKE, record, now)

    def begin_change(
        self, standby: lease.Process | None, *, now: float
    ) -> Write[Payload]:
        """Return the owner's write that renews the lease.

        Args:
            standby: The standby to name; None for no standby.
            now: Current time, in seconds.
        """
        assert self._owned_lease is not None
        current = self._owned_lease.record
        record = dataclasses.replace(
            current, standby=standby, renewal=current.renewal + 1
        )
        self._owned_lease.begin_change(record, sent_at=now)
        return self._begin(WriteKind.CHANGE, record, now)

    def begin_release(self, payload: Payload, *, now: float) -> Write[Payload]:
        """Return the owner's write that releases the lease.

        This process stops being the owner at once, before the write succeeds.

        Args:
            payload: Data for the next owner.
            now: Current time, in seconds.
        """
        assert self._owned_lease is not None
        current = self._owned_lease.record
        self._owned_lease = None
        record = lease.Record(
            current.epoch, None, None, current.renewal + 1, payload
        )
        return self._begin(WriteKind.RELEASE, record, now)

    def complete_write(self, *, now: float) -> None:
        """Register the pending write as applied.

        Args:
            now: Current time, in seconds.
        """
        assert self._write is not None
        write = self._write
        self._set_observation(write.record, now)
        self._end_write(applied=True)

    def cancel_write(self) -> None:
        """Drop a pending write that certainly cannot take effect any more.

        A release stays pending and is sent again, since its owner has already
        stopped.
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
        """Process the record returned by a read or by a write conflict.

        A read must have been sent after the last write of this process.

        Args:
            record: The record; None if the row is absent.
            now: Time after the answer arrived, in seconds.
        """
        write = self._write
        if write is not None and record != write.expected:
            self._set_observation(record, now)
            self._end_write(applied=record == write.record)
            return
        self._set_observation(record, now)
        owned_lease = self._owned_lease
        if owned_lease is not None and record != owned_lease.record:
            self._owned_lease = None

    def _begin(
        self, kind: WriteKind, record: lease.Record[Payload], now: float
    ) -> Write[Payload]:
        self._write = Write(kind, self.record, record, now)
        return self._write

    def _set_observation(
        self, record: lease.Record[Payload] | None, now: float
    ) -> None:
        if self._observation is None or self._observation.record != record:
            self._observation = lease.Observation(record, now)

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
