"""Leases on rows of the table, with a standby that can take over quickly.

A record names an owner, an epoch and a standby. The table's compare-and-set
orders all changes. Four ways lead to a new epoch: the record is absent or
released; its owner's node runs a new process; the standby's promise has
lapsed; or the record has not changed for the outage limit.

A standby promises its owner, by message and for a short time, not to take
over. The owner may act only while

- its last write of the record was sent less than the outage limit ago, and
- the standby's last promise was asked for less than the promise time ago, or
  the write that named the standby was sent less than the promise time ago.

Safety: whoever takes over by the outage limit has seen the same record for
that long, and saw it after it was written, so after the owner's write was
sent. The standby takes over a promise time after it first saw the record
and after its last promise, both later than what the owner counts from. The
owner shortens all its times by the largest difference of clock rates. So
the owner has stopped before a new epoch begins, also without the table:
during its outage nobody can take over, and owner and standby go on.
"""

import dataclasses
import typing

CLOCK_RATE_MARGIN = 0.02
# Epoch of a record that no other has preceded; records are never deleted.
FIRST_EPOCH = 1

Payload = typing.TypeVar('Payload')


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """One run of a node.

    Args:
        node_id: Name of the node.
        incarnation: Number that differs for each run of the node.
    """

    node_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """How long leases last.

    Args:
        promise_s: Seconds for which a standby promises to stand back.
        outage_limit_s: Seconds for which an owner goes on without a write
            to the table, and which any other process waits out.
    """

    promise_s: float = 1.0
    outage_limit_s: float = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Record(typing.Generic[Payload]):
    """What the table holds about a lease.

    Args:
        epoch: Grows by one with each owner.
        owner: The owner; None if it released the lease.
        standby: The process that may take over when its promise lapses.
        renewal: Grows with each write of the same epoch.
        payload: What the previous owner left at its release.
    """

    epoch: int
    owner: Process | None
    standby: Process | None
    renewal: int = 0
    payload: Payload | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Observation(typing.Generic[Payload]):
    """A record as it was read.

    Args:
        record: The record; None if there is none.
        seen_at: When this very state was first seen, in seconds on the
            reader's clock, taken after the read returned.
    """

    record: Record[Payload] | None
    seen_at: float


def may_take(
    observation: Observation[Payload],
    process: Process,
    *,
    now: float,
    promised_until: float,
    timing: Timing,
) -> bool:
    """Tell whether a process may try to take a lease.

    Args:
        observation: What it has seen of the lease.
        process: The process.
        now: Its clock, in seconds.
        promised_until: End of its last promise to the owner, in seconds.
        timing: How long leases last.

    Returns:
        Whether it may; the table decides whether it succeeds.
    """
    record = observation.record
    if record is None or record.owner is None:
        return True
    if record.owner == process:
        return False
    if record.owner.node_id == process.node_id:
        return record.owner.incarnation < process.incarnation
    if now >= observation.seen_at + timing.outage_limit_s:
        return True
    if record.standby != process:
        return False
    return now >= max(promised_until, observation.seen_at + timing.promise_s)


def make_successor(
    record: Record[Payload] | None,
    process: Process,
    standby: Process | None,
) -> Record[Payload]:
    """Return the record with which a process takes a lease."""
    epoch = FIRST_EPOCH if record is None else record.epoch + 1
    return Record(epoch, process, standby)


class OwnedLease(typing.Generic[Payload]):
    """An owner's view of its lease.

    Args:
        record: The record as written.
        sent_at: When its write was sent, in seconds.
        timing: How long leases last.
    """

    def __init__(
        self, record: Record[Payload], *, sent_at: float, timing: Timing
    ) -> None:
        self.record = record
        self._timing = timing
        self._sent_at = sent_at
        self._standby_named_at = sent_at
        self._pending: float | None = None

    @property
    def sent_at(self) -> float:
        """When the last known write was sent, in seconds."""
        return self._sent_at

    @property
    def standby_named_at(self) -> float:
        """When the write that named the standby was sent, in seconds."""
        return self._standby_named_at

    def compute_expiry(self, promised_at: float) -> float:
        """Return until when the owner may act, in seconds.

        Args:
            promised_at: When the last promise that the standby gave was
                asked for, in seconds; minus infinity if there is none.
        """
        outage_end = self._sent_at + _shorten(self._timing.outage_limit_s)
        if self.record.standby is None:
            end = outage_end
        else:
            start = max(promised_at, self._standby_named_at)
            promise_end = start + _shorten(self._timing.promise_s)
            end = min(outage_end, promise_end)
        if self._pending is not None:
            # The new standby may have been named by now, or the old one not.
            promise_s = _shorten(self._timing.promise_s)
            end = min(end, self._pending + promise_s)
        return end

    def begin_change(self, record: Record[Payload], *, sent_at: float) -> None:
        """Note that a write of another record for this epoch is sent."""
        if record.standby != self.record.standby and self._pending is None:
            self._pending = sent_at

    def end_change(
        self, record: Record[Payload], *, sent_at: float, applied: bool
    ) -> None:
        """Note whether a change took effect."""
        self._pending = None
        if not applied:
            return
        if record.standby != self.record.standby:
            self._standby_named_at = sent_at
        self.record = record
        self._sent_at = sent_at


def _shorten(seconds: float) -> float:
    return seconds * (1.0 - CLOCK_RATE_MARGIN)
