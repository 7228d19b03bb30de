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
FRESH_S = 0.5
HOLD_S = 0.2
RECOVERY_S = 0.6
MIN_PROBE_INTERVAL_S = 0.2
MAX_PROBE_INTERVAL_S = 1.0
FORGET_S = 5.0
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


@dataclasses.dataclass(slots=True)
class _Service:
    upstreams: dict[str, _Seen]
    seen_at: float
    probe_at: float
    probe_interval_s: float = MIN_PROBE_INTERVAL_S


class LevelTable:
    """Levels seen on answers, by service and upstream.

    While no answer confirms a level, single calls are let through to probe
    it, less often with each probe in a row. The longer the silence, the less
    important they may be.
    """

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}
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
        known = self._services.get(service)
        if known is None:
            known = self._services[service] = _Service({}, now, now)
        known.seen_at = now
        seen = known.upstreams.get(upstream)
        if seen is None:
            known.upstreams[upstream] = _Seen(cutoff, level.queue_delay_s, now)
        else:
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
        known = self._services[service]
        cutoff = _compute_cutoff(known, now)
        if cutoff >= CLASSES:
            self._shedding.discard(service)
            return ADMIT
        place = importance + root_hash
        if place < cutoff + (BEGUN_SLACK if begun else 0.0):
            known.probe_interval_s = MIN_PROBE_INTERVAL_S
            return ADMIT
        silence_s = now - known.seen_at - HOLD_S
        reach = cutoff + CLASSES * silence_s / RECOVERY_S
        if silence_s > 0.0 and place < reach and now >= known.probe_at:
            known.probe_at = now + known.probe_interval_s
            known.probe_interval_s = min(
                MAX_PROBE_INTERVAL_S, 2.0 * known.probe_interval_s
            )
            return ADMIT
        return Shed(SHED_RETRY_AFTER_S)

    def find_level(self, service: str, now: float) -> Level | None:
        """Return a service's level, or None while it admits everything."""
        if service not in self._shedding:
            return None
        known = self._services[service]
        delays = [seen.queue_delay_s for seen in _list_fresh(known, now)]
        cutoff = _compute_cutoff(known, now)
        return make_level(cutoff, statistics.median_low(delays or [0.0]))

    def forget(self, service: str, upstream: str) -> None:
        """Drop an upstream that has left."""
        known = self._services.get(service)
        if known is None:
            return
        known.upstreams.pop(upstream, None)
        if not known.upstreams:
            del self._services[service]
            self._shedding.discard(service)


def _list_fresh(known: _Service, now: float) -> list[_Seen]:
    """Return the recent levels, or the last one if none is recent."""
    if now - known.seen_at >= FORGET_S:
        return []
    oldest = min(known.seen_at, now - FRESH_S)
    return [seen for seen in known.upstreams.values() if seen.at >= oldest]


def _compute_cutoff(known: _Service, now: float) -> float:
    # The upper median: one wrong upstream moves nothing, and the balancer
    # leads work to the less loaded half.
    fresh = [seen.cutoff for seen in _list_fresh(known, now)]
    return statistics.median_high(fresh) if fresh else float(CLASSES)
