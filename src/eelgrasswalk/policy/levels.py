"""Levels: which importance, and which share of it, a service admits.

A level is one point on a line from 0 (nothing) to the number of importance
classes (everything). A root's place on it is its importance plus its hash,
so every hop that sheds at the same level keeps the same roots.
"""

import dataclasses
import math
import statistics
import typing

from ..document import model

CLASSES = len(model.Importance)
HOLD_S = 0.2
RECOVERY_S = 0.8
FORGET_S = 30.0
BEGUN_SLACK = 0.5
SHED_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """What is admitted.

    Args:
        importance: All classes more important than this are admitted.
        fraction: Share of this class's roots that are admitted, by hash.
        queue_delay_s: Seconds that admitted work waits.
    """

    importance: int
    fraction: float
    queue_delay_s: float


OPEN = Level(CLASSES - 1, 1.0, 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """The call may be sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The call would be refused, so it is not sent.

    Args:
        retry_after_s: Seconds after which a retry may succeed, to be
            spread by the caller.
    """

    retry_after_s: float


ADMIT = Admit()


def admits(level: Level, importance: int, root_hash: float) -> bool:
    """Return whether a level admits a root.

    Args:
        level: The level.
        importance: The root's importance.
        root_hash: The root's hash, 0 <= hash < 1.
    """
    if importance != level.importance:
        return importance < level.importance
    return root_hash < level.fraction


def compute_cutoff(level: Level) -> float:
    """Return the level's point on the line from 0 to CLASSES."""
    cutoff = level.importance + level.fraction
    if not math.isfinite(cutoff):
        return float(CLASSES)
    return min(max(cutoff, 0.0), float(CLASSES))


def make_level(cutoff: float, queue_delay_s: float) -> Level:
    """Return the level at a point on the line from 0 to CLASSES."""
    importance = min(int(cutoff), CLASSES - 1)
    return Level(importance, cutoff - importance, queue_delay_s)


def combine_levels(
    own: Level, downstream: typing.Iterable[Level | None]
) -> Level:
    """Return the strictest of a node's level and those that it depends on.

    Args:
        own: The level of the node's own admission.
        downstream: Levels of the services that its target calls.
    """
    cutoff = compute_cutoff(own)
    delay_s = own.queue_delay_s
    for level in downstream:
        if level is not None:
            cutoff = min(cutoff, compute_cutoff(level))
            delay_s = max(delay_s, level.queue_delay_s)
    return make_level(cutoff, delay_s)


@dataclasses.dataclass(slots=True)
class _Seen:
    cutoff: float
    queue_delay_s: float
    at: float


class LevelTable:
    """Levels seen on answers, by service and upstream.

    A level that no answer confirms rises back to open, so that a stale one
    is probed by a growing share of roots within about a second.
    """

    def __init__(self) -> None:
        self._seen: dict[str, dict[str, _Seen]] = {}
        self._shedding: set[str] = set()

    def observe(
        self, service: str, upstream: str, level: Level, now: float
    ) -> None:
        """Remember the level on an answer.

        Args:
            service: The service that answered.
            upstream: The upstream's node.
            level: The level that it returned.
            now: The time, in seconds.
        """
        cutoff = compute_cutoff(level)
        upstreams = self._seen.setdefault(service, {})
        seen = upstreams.get(upstream)
        if seen is None:
            upstreams[upstream] = _Seen(cutoff, level.queue_delay_s, now)
        elif now >= seen.at:
            seen.cutoff = cutoff
            seen.queue_delay_s = level.queue_delay_s
            seen.at = now
        if cutoff < CLASSES:
            self._shedding.add(service)

    def admits(
        self,
        service: str,
        importance: int,
        root_hash: float,
        now: float,
        *,
        begun: bool = False,
    ) -> Admit | Shed:
        """Decide whether to send a call.

        Args:
            service: The service to call.
            importance: The root's importance.
            root_hash: The root's hash, 0 <= hash < 1.
            now: The time, in seconds.
            begun: Whether the tree has run already, so that refusing it
                would waste work; such calls get some slack.
        """
        if service not in self._shedding:
            return ADMIT
        cutoff = self._compute_cutoff(service, now)
        if cutoff >= CLASSES:
            self._shedding.discard(service)
            return ADMIT
        slack = BEGUN_SLACK if begun else 0.0
        if importance + root_hash < cutoff + slack:
            return ADMIT
        return Shed(SHED_RETRY_AFTER_S)

    def find_level(self, service: str, now: float) -> Level | None:
        """Return a service's level, or None while it admits everything."""
        if service not in self._shedding:
            return None
        delays = [s.queue_delay_s for s in self._seen[service].values()]
        cutoff = self._compute_cutoff(service, now)
        return make_level(cutoff, statistics.median_low(delays))

    def forget(self, service: str, upstream: str) -> None:
        """Drop an upstream that has left."""
        upstreams = self._seen.get(service)
        if upstreams is None:
            return
        upstreams.pop(upstream, None)
        if not upstreams:
            del self._seen[service]
            self._shedding.discard(service)

    def _compute_cutoff(self, service: str, now: float) -> float:
        # The upper median: one wrong upstream moves nothing, and the
        # balancer leads work to the less loaded half.
        upstreams = self._seen[service]
        fresh = [
            _recover(seen, now)
            for seen in upstreams.values()
            if now - seen.at < FORGET_S
        ]
        return statistics.median_high(fresh) if fresh else float(CLASSES)


def _recover(seen: _Seen, now: float) -> float:
    age = now - seen.at - HOLD_S
    if age <= 0.0:
        return seen.cutoff
    return min(float(CLASSES), seen.cutoff + CLASSES * age / RECOVERY_S)
