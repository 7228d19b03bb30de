"""Requests that may have crashed a target, by the crashes that they share.

It handles a request that crashes every target that runs it and comes again.
A crash ends all requests in flight, and nearly all of them are innocent, so
each one becomes a suspect. A run that ends with an answer clears its request,
since a deadly request never gets one; a popular one soon does. A request that
several crashes share is a prime suspect: while there is one, the others that
were in flight at those crashes are taken for innocent.

A suspect is found guilty only when a target crashes while it runs there apart
from all other suspects. Two crashes are enough if no recent crash happened
without it. Otherwise something else crashes targets as well, and a third is
needed. If such a crash comes only later, the verdict was made by two crashes
and is withdrawn: the suspect may have met another deadly request by chance.
"""

import collections
import collections.abc
import dataclasses
import enum

# Crashes that find a suspect guilty although targets crash without it, too.
CERTAIN_CRASHES = 3
MIN_CRASHES = 2


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
    culprit: bytes | None = None


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
        self._runs: dict[bytes, set[str]] = {}
        # Whether a crash has prime suspects, as far as it was asked for since
        # the last change.
        self._has_prime: dict[str, bool] = {}

    def __bool__(self) -> bool:
        """Whether there are any suspects."""
        return any(
            crash.culprit is None and crash.digests
            for crash in self._crashes.values()
        )

    def __len__(self) -> int:
        """Number of requests that are remembered."""
        return len(self._runs)

    def record_crash(
        self,
        run_id: str,
        digests: collections.abc.Iterable[bytes],
        now: float,
        *,
        is_report: bool = True,
    ) -> None:
        """Record requests that were in flight when a run of a target ended.

        Args:
            run_id: Id of the run. What is recorded of it several times adds
                up.
            digests: Digests of the requests.
            now: Monotonic time in seconds.
            is_report: Whether these are all of them, as far as known.
        """
        self._forget_old(now)
        self._has_prime.clear()
        crash = self._crashes.get(run_id)
        if crash is None:
            crash = self._crashes[run_id] = _Crash(now)
        crash.is_reported = crash.is_reported or is_report
        for digest in digests:
            if len(crash.digests) >= self._settings.max_digests:
                break
            crash.digests.add(digest)
            self._runs.setdefault(digest, set()).add(run_id)

    def is_reported(self, run_id: str) -> bool:
        """Return whether all requests in flight at a crash are known."""
        crash = self._crashes.get(run_id)
        return crash is not None and crash.is_reported

    def clear(self, digest: bytes) -> bool:
        """Clear a request after a run of it has ended with an answer.

        Returns:
            Whether it was a suspect.
        """
        was_suspect = bool(self._list_open_runs(digest))
        self._has_prime.clear()
        for run_id in self._runs.pop(digest, ()):
            self._crashes[run_id].digests.discard(digest)
        return was_suspect

    def explain(self, digest: bytes) -> None:
        """Acquit the others of the crashes that a guilty request explains."""
        self._has_prime.clear()
        for run_id in self._list_open_runs(digest):
            self._crashes[run_id].culprit = digest

    def reopen(self, digest: bytes) -> None:
        """Explain no crash by a request any more; its verdict is withdrawn."""
        self._has_prime.clear()
        for crash in self._crashes.values():
            if crash.culprit == digest:
                crash.culprit = None

    def find_standing(self, digest: bytes) -> Standing:
        """Return how a request may be run."""
        runs = self._list_open_runs(digest)
        if not runs:
            return Standing.CLEAR
        if len(runs) > 1:
            return Standing.PRIME
        if self._has_prime_suspect(runs[0]):
            return Standing.CLEAR
        return Standing.SUSPECT

    def count_crashes(self, digest: bytes) -> int:
        """Return the unexplained crashes that a request was in flight at."""
        return len(self._list_open_runs(digest))

    def is_guilty(self, digest: bytes, now: float) -> bool:
        """Return whether a suspect that ran apart at its last crash is guilty.

        Args:
            digest: Digest of the request.
            now: Monotonic time in seconds.
        """
        # While a crash is not reported, others may have run at the last one
        # that are suspects as well.
        count = sum(map(self.is_reported, self._list_open_runs(digest)))
        if count >= CERTAIN_CRASHES:
            return True
        return count >= MIN_CRASHES and not any(
            digest not in crash.digests
            and crash.culprit is None
            and now - crash.at < self._settings.doubt_s
            for crash in self._crashes.values()
        )

    def _list_open_runs(self, digest: bytes) -> list[str]:
        """Return the crashes of a request that nothing explains."""
        return [
            run_id
            for run_id in self._runs.get(digest, ())
            if self._crashes[run_id].culprit is None
        ]

    def _has_prime_suspect(self, run_id: str) -> bool:
        known = self._has_prime.get(run_id)
        if known is None:
            known = self._has_prime[run_id] = any(
                len(self._list_open_runs(digest)) > 1
                for digest in self._crashes[run_id].digests
            )
        return known

    def _forget_old(self, now: float) -> None:
        while self._crashes:
            run_id, crash = next(iter(self._crashes.items()))
            is_old = now - crash.at >= self._settings.memory_s
            if not is_old and len(self._crashes) < self._settings.max_crashes:
                return
            for digest in crash.digests:
                self._runs[digest].discard(run_id)
                if not self._runs[digest]:
                    del self._runs[digest]
            del self._crashes[run_id]
