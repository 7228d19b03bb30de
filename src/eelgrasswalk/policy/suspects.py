"""Requests that may have crashed a target, by the crashes that they share.

It handles a request that crashes every target that runs it and comes again.
A crash ends all requests in flight, and nearly all of them are innocent, so
each one becomes a suspect. A run that ends with an answer clears its request,
since a deadly request never gets one; a popular one soon does. A request that
several crashes share is a prime suspect: while there is one, the others that
were in flight at those crashes are taken for innocent.

A suspect is found guilty only when a target crashes while it runs there apart
from all other suspects. Two crashes are enough if its caller has sent it more
than once and no recent crash happened without it. Otherwise a third is needed:
a single request that was repeated once may have met another deadly one twice.
"""

import collections
import collections.abc
import dataclasses
import enum

# Crashes that find a suspect guilty in any case.
CERTAIN_CRASHES = 3
MIN_CRASHES = 2
# Ids that are remembered of a request, to tell that it was sent again.
MAX_IDS = 4


class Standing(enum.Enum):
    """How a request may be run.

    CLEAR is like any other. A SUSPECT ran at a crash that no prime suspect
    explains. A PRIME suspect ran at several.
    """

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    PRIME = 'prime'


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectSettings:
    """Bounds of what is remembered.

    Args:
        max_crashes: Crashes that are remembered; the oldest are forgotten.
        max_digests: Requests that are remembered for each crash.
        memory_s: Seconds for which a crash is remembered. A deadly request
            that comes less often crashes one target each time.
        doubt_s: Seconds for which a crash without a request casts doubt on
            its guilt for others.
    """

    max_crashes: int = 16
    max_digests: int = 256
    memory_s: float = 3600.0
    doubt_s: float = 30.0


@dataclasses.dataclass(slots=True)
class _Crash:
    at: float
    digests: set[bytes] = dataclasses.field(default_factory=set)
    is_reported: bool = False
    is_explained: bool = False


@dataclasses.dataclass(slots=True)
class _Suspect:
    runs: set[str] = dataclasses.field(default_factory=set)
    ids: set[str] = dataclasses.field(default_factory=set)


class Suspects:
    """Crashes of one service's targets, and the requests in flight at them.

    Args:
        settings: Bounds of what is remembered.
    """

    def __init__(self, settings: SuspectSettings) -> None:
        self._settings = settings
        self._crashes: collections.OrderedDict[str, _Crash] = (
            collections.OrderedDict()
        )
        self._known: dict[bytes, _Suspect] = {}

    def __bool__(self) -> bool:
        """Whether there are any suspects."""
        return bool(self._known)

    def __len__(self) -> int:
        return len(self._known)

    def record_crash(
        self,
        run_id: str,
        requests: collections.abc.Iterable[tuple[bytes, str]],
        now: float,
        *,
        is_report: bool = True,
    ) -> None:
        """Record requests that were in flight when a run of a target ended.

        Args:
            run_id: Id of the run. What is recorded of it several times adds
                up.
            requests: Digest and id of each request; the id may be empty.
            now: Monotonic time in seconds.
            is_report: Whether these are all of them, as far as known.
        """
        self._forget_old(now)
        crash = self._crashes.get(run_id)
        if crash is None:
            crash = self._crashes[run_id] = _Crash(now)
        crash.is_reported = crash.is_reported or is_report
        if crash.is_explained:
            return
        for digest, request_id in requests:
            if len(crash.digests) >= self._settings.max_digests:
                break
            crash.digests.add(digest)
            suspect = self._known.setdefault(digest, _Suspect())
            suspect.runs.add(run_id)
            if request_id and len(suspect.ids) < MAX_IDS:
                suspect.ids.add(request_id)

    def is_reported(self, run_id: str) -> bool:
        """Return whether all requests in flight at a crash are known."""
        crash = self._crashes.get(run_id)
        return crash is not None and crash.is_reported

    def clear(self, digest: bytes) -> bool:
        """Clear a request after a run of it has ended with an answer.

        Returns:
            Whether it was a suspect.
        """
        suspect = self._known.pop(digest, None)
        if suspect is None:
            return False
        for run_id in suspect.runs:
            self._crashes[run_id].digests.discard(digest)
        return True

    def explain(self, digest: bytes) -> None:
        """Acquit the others of the crashes that a guilty request explains."""
        for run_id in self._known.pop(digest, _Suspect()).runs:
            crash = self._crashes[run_id]
            crash.is_explained = True
            self._drop_digests(run_id, crash)

    def find_standing(self, digest: bytes) -> Standing:
        """Return how a request may be run."""
        suspect = self._known.get(digest)
        if suspect is None:
            return Standing.CLEAR
        if len(suspect.runs) > 1:
            return Standing.PRIME
        if any(self._has_prime_suspect(run_id) for run_id in suspect.runs):
            return Standing.CLEAR
        return Standing.SUSPECT

    def count_crashes(self, digest: bytes) -> int:
        """Return the crashes that a request was in flight at."""
        suspect = self._known.get(digest)
        return 0 if suspect is None else len(suspect.runs)

    def is_guilty(self, digest: bytes, now: float) -> bool:
        """Return whether a suspect that ran apart at its last crash is guilty.

        Args:
            digest: Digest of the request.
            now: Monotonic time in seconds.
        """
        suspect = self._known.get(digest, _Suspect())
        # While a crash is not reported, others may have run at the last one
        # that are suspects as well.
        count = sum(self.is_reported(run_id) for run_id in suspect.runs)
        if count >= CERTAIN_CRASHES:
            return True
        if count < MIN_CRASHES or len(suspect.ids) < 2:
            return False
        return not any(
            digest not in crash.digests
            and not crash.is_explained
            and now - crash.at < self._settings.doubt_s
            for crash in self._crashes.values()
        )

    def _has_prime_suspect(self, run_id: str) -> bool:
        return any(
            len(self._known[digest].runs) > 1
            for digest in self._crashes[run_id].digests
        )

    def _forget_old(self, now: float) -> None:
        while self._crashes:
            run_id, crash = next(iter(self._crashes.items()))
            is_old = now - crash.at >= self._settings.memory_s
            if not is_old and len(self._crashes) < self._settings.max_crashes:
                return
            self._drop_digests(run_id, crash)
            del self._crashes[run_id]

    def _drop_digests(self, run_id: str, crash: _Crash) -> None:
        for digest in crash.digests:
            suspect = self._known.get(digest)
            if suspect is None:
                continue
            suspect.runs.discard(run_id)
            if not suspect.runs:
                del self._known[digest]
        crash.digests.clear()
