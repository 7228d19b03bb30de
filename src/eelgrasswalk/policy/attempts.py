"""What an upstream's node knows of the attempts that were sent to it.

A caller's node that lost its link asks what became of an attempt. An attempt
that never arrived is fenced by the question: should it arrive late, it is
refused. A record outlives every question that can still come for it, so that
"unknown" is never said of an attempt that ran.
"""

import dataclasses
import enum
import typing

from .. import verdict

# Seconds a record is kept beyond its attempt's deadline.
RETENTION_MARGIN_S = 10.0


class Arrival(enum.Enum):
    """What to do with an attempt that has arrived."""

    NEW = 'new'
    DUPLICATE = 'duplicate'
    FENCED = 'fenced'


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """The attempt has not ended yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The attempt's outcome is known."""

    outcome: verdict.Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """The attempt had not arrived; from now on it is refused."""


Status: typing.TypeAlias = Running | Ended | Fenced

_FORGOTTEN = Ended(
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
        max_answer_bytes: Bytes of answers kept for questions; beyond it the
            oldest answers are dropped and count as possibly run.
    """

    def __init__(self, *, max_answer_bytes: int) -> None:
        self.answer_bytes = 0
        self._max_answer_bytes = max_answer_bytes
        self._records: dict[bytes, _Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def begin(self, attempt: bytes, *, expires_at: float) -> Arrival:
        """Record an attempt that has arrived.

        Args:
            attempt: Its id.
            expires_at: Its deadline.
        """
        record = self._records.get(attempt)
        if record is None:
            self._records[attempt] = _Record(
                Running(), expires_at + RETENTION_MARGIN_S
            )
            return Arrival.NEW
        if isinstance(record.status, Fenced):
            return Arrival.FENCED
        return Arrival.DUPLICATE

    def finish(self, attempt: bytes, outcome: verdict.Verdict) -> None:
        """Record the outcome of a running attempt."""
        record = self._records.get(attempt)
        if record is None or not isinstance(record.status, Running):
            return
        record.status = Ended(outcome)
        if isinstance(outcome, verdict.Answered):
            record.length = len(outcome.response.body)
            self.answer_bytes += record.length
            self._drop_oldest_answers()

    def ask(self, attempt: bytes, *, now: float, fence_s: float) -> Status:
        """Tell what became of an attempt; fence it if it is unknown.

        Args:
            attempt: Its id.
            now: Monotonic time in seconds.
            fence_s: Seconds for which a late arrival is refused.
        """
        record = self._records.get(attempt)
        if record is None:
            record = _Record(Fenced(), now + fence_s + RETENTION_MARGIN_S)
            self._records[attempt] = record
        return record.status

    def acknowledge(self, attempt: bytes) -> None:
        """Drop an ended attempt whose outcome has reached the caller."""
        record = self._records.get(attempt)
        if record is not None and isinstance(record.status, Ended):
            self._forget(attempt, record)

    def purge(self, now: float) -> None:
        """Drop the records that no question can come for any more."""
        expired = [
            (attempt, record)
            for attempt, record in self._records.items()
            if record.expires_at <= now
            and not isinstance(record.status, Running)
        ]
        for attempt, record in expired:
            self._forget(attempt, record)

    def _forget(self, attempt: bytes, record: _Record) -> None:
        self.answer_bytes -= record.length
        del self._records[attempt]

    def _drop_oldest_answers(self) -> None:
        if self.answer_bytes <= self._max_answer_bytes:
            return
        for record in self._records.values():
            if record.length:
                record.status = _FORGOTTEN
                self.answer_bytes -= record.length
                record.length = 0
            if self.answer_bytes <= self._max_answer_bytes:
                return
