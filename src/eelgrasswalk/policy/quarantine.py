"""Requests that are refused because they crash the targets that run them.

It handles a deadly request that comes for as long as its client likes. Each
further try may crash a target, so tries are rare: after half a minute for the
first time, in case the verdict was wrong, and much later after each further
crash. A try that gets an answer lifts the quarantine. After the last one it
stays until an operator lifts it.

Records merge by their revision, in any order and any number of times. No time
is passed on: each node counts from the moment at which it learned of a
revision, since clocks of hosts differ. A node that has started again waits
rather too long than too short.
"""

import dataclasses
import enum
import math

# Seconds until a request may be tried again, by the tries that have crashed
# another target.
TRIAL_AFTER_S = (30.0, 600.0, 3600.0)
# A verdict by fewer crashes is withdrawn if a target crashes without the
# request within DOUBT_S: another one that is deadly comes soon again.
CERTAIN_CRASHES = 3
DOUBT_S = 5.0
# Records that are kept; lifted ones go first, then the oldest.
MAX_RECORDS = 32


class Standing(enum.Enum):
    """How a request may be run: freely, not at all, or as a try."""

    FREE = 'free'
    REFUSED = 'refused'
    TRIAL = 'trial'


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """What operators recognise a request by.

    Args:
        method: HTTP method.
        target: Path with query; long ones are cut.
        account: Client account; empty on an open route.
    """

    method: str = ''
    target: str = ''
    account: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The quarantine of a request.

    Args:
        digest: Digest of the request.
        subject: What operators recognise it by.
        crashes: Targets that it is known to have crashed.
        tries: Tries that have crashed another target.
        revision: Grows with each change.
        lifted: Whether the request may be run again.
        since_ms: Unix milliseconds of its beginning, for operators only.
    """

    digest: bytes
    subject: Subject
    crashes: int
    tries: int = 0
    revision: int = 1
    lifted: bool = False
    since_ms: int = 0

    @property
    def is_certain(self) -> bool:
        """Whether it stands although targets crash without the request."""
        return self.crashes >= CERTAIN_CRASHES

    def build_lifted(self) -> 'Record':
        """Return the record once its quarantine is lifted."""
        return dataclasses.replace(
            self, revision=self.revision + 1, lifted=True
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    record: Record
    held_at: float
    trial_at: float


class Quarantine:
    """Records of one service's requests."""

    def __init__(self) -> None:
        self._held: dict[bytes, _Held] = {}

    def __bool__(self) -> bool:
        """Whether there are any records."""
        return bool(self._held)

    def find(self, digest: bytes) -> Record | None:
        """Return the record of a request, or None."""
        held = self._held.get(digest)
        return None if held is None else held.record

    def list_records(self) -> list[Record]:
        """Return all records, those of lifted quarantines included."""
        return [held.record for held in self._held.values()]

    def find_standing(self, digest: bytes, now: float) -> Standing:
        """Return how a request may be run.

        Args:
            digest: Digest of the request.
            now: Seconds of a clock that runs through suspension.
        """
        held = self._held.get(digest)
        if held is None or held.record.lifted:
            return Standing.FREE
        return Standing.TRIAL if now >= held.trial_at else Standing.REFUSED

    def confine(
        self,
        digest: bytes,
        subject: Subject,
        *,
        crashes: int,
        since_ms: int,
        now: float,
    ) -> Record:
        """Begin a quarantine, or renew it after a try that crashed a target.

        Args:
            digest: Digest of the request.
            subject: What operators recognise it by.
            crashes: Targets that it is known to have crashed.
            since_ms: Unix milliseconds, if it begins now.
            now: Seconds of a clock that runs through suspension.
        """
        known = self.find(digest)
        if known is None:
            record = Record(digest, subject, crashes, since_ms=since_ms)
        elif known.lifted:
            record = Record(
                digest,
                subject,
                max(known.crashes, crashes),
                tries=known.tries,
                revision=known.revision + 1,
                since_ms=since_ms,
            )
        else:
            record = dataclasses.replace(
                known,
                crashes=known.crashes + 1,
                tries=known.tries + 1,
                revision=known.revision + 1,
            )
        self._hold(record, now)
        return record

    def list_uncertain(self, now: float) -> list[Record]:
        """Return the records that another crash would cast doubt on.

        Args:
            now: Seconds of a clock that runs through suspension.
        """
        return [
            held.record
            for held in self._held.values()
            if not held.record.lifted
            and not held.record.is_certain
            and now < held.held_at + DOUBT_S
        ]

    def confirm(self, digest: bytes, now: float) -> Record | None:
        """Count a crash under a run that had begun before the verdict.

        Args:
            digest: Digest of the request.
            now: Seconds of a clock that runs through suspension.

        Returns:
            The changed record; None if there is none in force.
        """
        known = self.find(digest)
        if known is None or known.lifted:
            return None
        record = dataclasses.replace(
            known, crashes=known.crashes + 1, revision=known.revision + 1
        )
        self._hold(record, now)
        return record

    def merge(self, record: Record, now: float) -> bool:
        """Take a record that another node or the store holds.

        Returns:
            Whether it was newer than what was known.
        """
        known = self.find(record.digest)
        if known is not None and known.revision >= record.revision:
            return False
        self._hold(record, now)
        return True

    def _hold(self, record: Record, now: float) -> None:
        # The last come last, so that the oldest are found first.
        self._held.pop(record.digest, None)
        trial_after_s = math.inf
        if record.tries < len(TRIAL_AFTER_S):
            trial_after_s = TRIAL_AFTER_S[record.tries]
        self._held[record.digest] = _Held(record, now, now + trial_after_s)
        if len(self._held) > MAX_RECORDS:
            self._forget_one()

    def _forget_one(self) -> None:
        lifted = [
            digest for digest, held in self._held.items() if held.record.lifted
        ]
        del self._held[lifted[0] if lifted else next(iter(self._held))]
