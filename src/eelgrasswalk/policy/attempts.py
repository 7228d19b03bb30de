"""Records of the attempts that an upstream's node has received.

A caller's node that lost its link queries the outcome of an attempt. The query
fences an attempt that has not arrived: if it arrives late, it is refused. A
record is kept for longer than any query for it can arrive, so that an attempt
that ran is never reported as unknown.
"""

import dataclasses
import enum
import typing

from .. import verdict
from . import client_load

# Time for which a record is kept beyond the deadline of its attempt.
RETENTION_MARGIN_S = 10.0


class Arrival(enum.Enum):
    """How an arriving attempt is to be treated."""

    NEW = 'new'
    DUPLICATE = 'duplicate'
    FENCED = 'fenced'


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """The attempt is still running."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The attempt has ended with a known outcome."""

    outcome: verdict.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """The attempt had not arrived and is refused from now on."""


Status: typing.TypeAlias = Running | Ended | Fenced

_ANSWER_DROPPED = Ended(
    verdict.MayHaveRun(
        verdict.Reason.LINK_LOST, 'the answer is no longer kept'
    )
)


@dataclasses.dataclass(slots=True)
class _Record:
    status: Status
    expires_at: float
    length: int = 0


class AttemptTable:
    """Records of attempts, bounded in time and in bytes.

    Args:
        max_answer_bytes: Maximum bytes of answers kept for queries; beyond
            it the oldest answers are dropped and their attempts reported as
            possibly run.

    Attributes:
        answer_bytes: Bytes of answers that are kept now.
    """

    def __init__(self, *, max_answer_bytes: int) -> None:
        self.answer_bytes = 0
        self._max_answer_bytes = max_answer_bytes
        self._records: dict[bytes, _Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def begin(self, attempt_id: bytes, *, expires_at: float) -> Arrival:
        """Record an attempt that has arrived.

        Args:
            attempt_id: Id of the attempt.
            expires_at: Deadline of the attempt in monotonic seconds.
        """
        record = self._records.get(attempt_id)
        if record is None:
            self._records[attempt_id] = _Record(
                Running(), expires_at + RETENTION_MARGIN_S
            )
            return Arrival.NEW
        if isinstance(record.status, Fenced):
            return Arrival.FENCED
        return Arrival.DUPLICATE

    def finish(self, attempt_id: bytes, outcome: verdict.Verdict) -> None:
        """Record the outcome of a running attempt."""
        record = self._records.get(attempt_id)
        if record is None or not isinstance(record.status, Running):
            return
        record.status = Ended(outcome)
        if isinstance(outcome, verdict.Answered):
            record.length = client_load.compute_answer_cost(outcome.response)
            self.answer_bytes += record.length
            self._drop_oldest_answers()

    def query(
        self, attempt_id: bytes, *, now: float, fence_s: float
    ) -> Status:
        """Return the status of an attempt; fence it if it is unknown.

        Args:
            attempt_id: Id of the attempt.
            now: Monotonic time in seconds.
            fence_s: Seconds for which a late arrival must be refused.
        """
        record = self._records.get(attempt_id)
        if record is None:
            record = _Record(Fenced(), now + fence_s + RETENTION_MARGIN_S)
            self._records[attempt_id] = record
        return record.status

    def acknowledge(self, attempt_id: bytes) -> None:
        """Drop an ended attempt whose outcome the caller has received."""
        record = self._records.get(attempt_id)
        if record is not None and isinstance(record.status, Ended):
            self._forget(attempt_id, record)

    def purge(self, now: float) -> None:
        """Drop the records that can no longer be queried."""
        expired = [
            (attempt_id, record)
            for attempt_id, record in self._records.items()
            if record.expires_at <= now
            and not isinstance(record.status, Running)
        ]
        for attempt_id, record in expired:
            self._forget(attempt_id, record)

    def _forget(self, attempt_id: bytes, record: _Record) -> None:
        self.answer_bytes -= record.length
        del self._records[attempt_id]

    def _drop_oldest_answers(self) -> None:
        if self.answer_bytes <= self._max_answer_bytes:
            return
        for record in self._records.values():
            if record.length:
                record.status = _ANSWER_DROPPED
                self.answer_bytes -= record.length
                record.length = 0
            if self.answer_bytes <= self._max_answer_bytes:
                return
