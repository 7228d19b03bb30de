"""Leases stored as rows of the platform's table, with a hot standby.

A record names an owner, an epoch and a standby. The table's compare-and-set
puts all changes of a record in one order. A new epoch starts in one of four
cases: the record is absent or released; a new process runs on the owner's
node; the standby's promise has expired; or the record has not changed for the
outage limit.

A standby promises its owner, by message and for a short time, not to take
over. The owner may act only while

- it sent its last write of the record less than the outage limit ago, and
- it sent the request for the standby's last promise, or the write that named
  the standby, less than the promise duration ago.

Safety: a process that takes over because of the outage limit has observed an
unchanged record for that long, and observed it after it was written, hence
after the owner sent the write. The standby takes over one promise duration
after it first observed the record and after its last promise; both are later
than the times from which the owner counts. The owner shortens all its
durations by the largest relative difference of two clocks' rates. So the owner
has stopped before a new epoch starts. This needs no access to the table:
during an outage of the table nobody can take over, and the owner goes on up
to the outage limit as long as the standby renews its promise.
"""

import dataclasses
import typing

# Largest relative difference between the rates of two clocks.
CLOCK_RATE_MARGIN = 0.02
# Epoch of a lease's first record; records are never deleted.
FIRST_EPOCH = 1

Payload = typing.TypeVar('Payload')


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """One run of a node's process.

    Args:
        node_id: Id of the node.
        incarnation: Number that grows with each run of the node.
    """

    node_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Durations of leases.

    Args:
        promise_s: Seconds for which a standby promises not to take over.
        outage_limit_s: Seconds for which an owner stays owner without a
            write to the table, and after which any process may take over an
            unchanged record.
    """

    promise_s: float = 1.0
    outage_limit_s: float = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Record(typing.Generic[Payload]):
    """A lease as stored in the table.

    Args:
        epoch: Number of the epoch; grows by one with each change of owner.
        owner: The owner; None after a release.
        standby: The process that may take over once its promise expires;
            None without a standby.
        renewal: Number of the write within the epoch.
        payload: Data that the last owner left for the next one at its
            release; None otherwise.
    """

    epoch: int
    owner: Process | None
    standby: Process | None
    renewal: int = 0
    payload: Payload | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Observation(typing.Generic[Payload]):
    """A record as read from the table.

    Args:
        record: The record; None if the row is absent.
        seen_at: Time at which this state was first observed, in seconds on
            the reader's clock, taken after the read returned.
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
    """Return whether a process may try to take a lease.

    Args:
        observation: The process's last observation of the lease.
        process: The process.
        now: Time on the process's clock, in seconds.
        promised_until: End of its last promise to the owner, in seconds.
        timing: Durations of leases.

    Returns:
        Whether it may try; the table's compare-and-set decides whether the
        attempt succeeds.
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
    """Return the record that makes a process the owner.

    Args:
        record: The current record; None if the row is absent.
        process: The new owner.
        standby: The standby to name; None for no standby.
    """
    epoch = FIRST_EPOCH if record is None else record.epoch + 1
    return Record(epoch, process, standby)


class OwnedLease(typing.Generic[Payload]):
    """A lease as its owner sees it.

    Args:
        record: The record as written.
        sent_at: Time at which the write was sent, in seconds.
        timing: Durations of leases.
    """

    def __init__(
        self, record: Record[Payload], *, sent_at: float, timing: Timing
    ) -> None:
        self.record = record
        self._timing = timing
        self._sent_at = sent_at
        self._standby_named_at = sent_at
        self._standby_change_sent_at: float | None = None

    @property
    def sent_at(self) -> float:
        """Time at which the last applied write was sent, in seconds."""
        return self._sent_at

    @property
    def standby_named_at(self) -> float:
        """Time at which the write naming the standby was sent, in seconds."""
        return self._standby_named_at

    def compute_expiry(self, promised_at: float) -> float:
        """Return the time until which the owner may act, in seconds.

        Args:
            promised_at: Time at which the owner requested the standby's last
                promise, in seconds; minus infinity without a promise.
        """
        outage_end = self._sent_at + _shorten(self._timing.outage_limit_s)
        if self.record.standby is None:
            expiry = outage_end
        else:
            start = max(promised_at, self._standby_named_at)
            promise_end = start + _shorten(self._timing.promise_s)
            expiry = min(outage_end, promise_end)
        if self._standby_change_sent_at is not None:
            # It is unknown whether the old or the new standby is in force.
            promise_s = _shorten(self._timing.promise_s)
            expiry = min(expiry, self._standby_change_sent_at + promise_s)
        return expiry

    def begin_change(self, record: Record[Payload], *, sent_at: float) -> None:
        """Register a write of a changed record as sent.

        Args:
            record: The changed record, of the same epoch.
            sent_at: Time at which the write is first sent, in seconds.
        """
        if (
            record.standby != self.record.standby
            and self._standby_change_sent_at is None
        ):
            self._standby_change_sent_at = sent_at

    def end_change(
        self, record: Record[Payload], *, sent_at: float, applied: bool
    ) -> None:
        """Register the outcome of a write of a changed record.

        Args:
            record: The changed record.
            sent_at: Time at which the write was first sent, in seconds.
            applied: Whether the write took effect.
        """
        self._standby_change_sent_at = None
        if not applied:
            return
        if record.standby != self.record.standby:
            self._standby_named_at = sent_at
        self.record = record
        self._sent_at = sent_at


def _shorten(seconds: float) -> float:
    """Return a duration less the margin for clock rates."""
    return seconds * (1.0 - CLOCK_RATE_MARGIN)
