"""Load shedding levels of services.

A level says which importance classes a service admits, and which share of the
last of them. It corresponds to a cutoff from 0 (admits nothing) to the number
of classes (admits everything). A root is admitted if its importance plus its
hash is below the cutoff, so all hops with the same level admit the same roots.
"""

import dataclasses
import math
import statistics
import typing

from ..document import model

CLASSES = len(model.Importance)
FRESH_PERIOD_S = 0.5
PROBE_DELAY_S = 0.2
RECOVERY_PERIOD_S = 0.6
MIN_PROBE_INTERVAL_S = 0.2
MAX_PROBE_INTERVAL_S = 1.0
MAX_LEVEL_AGE_S = 5.0
NESTED_SLACK = 0.5
SHED_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """The calls that a service admits.

    Args:
        importance: All more important classes are admitted entirely.
        fraction: Share of the roots of this class that is admitted, by hash.
        queue_delay_s: Queue delay of admitted calls, in seconds.
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
        retry_after_s: Seconds after which a retry may succeed; the caller
            adds jitter.
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
    """Return the cutoff of a level, from 0 to CLASSES."""
    cutoff = level.importance + level.fraction
    if not math.isfinite(cutoff):
        return float(CLASSES)
    return min(max(cutoff, 0.0), float(CLASSES))


def make_level(cutoff: float, queue_delay_s: float) -> Level:
    """Return the level of a cutoff from 0 to CLASSES."""
    importance = min(int(cutoff), CLASSES - 1)
    return Level(importance, cutoff - importance, queue_delay_s)


def combine_levels(
    own: Level, downstream: typing.Iterable[Level | None]
) -> Level:
    """Return the strictest level of a node and its dependencies.

    Args:
        own: The level of the node's own admission control.
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
class _ReceivedLevel:
    cutoff: float
    queue_delay_s: float
    at: float


@dataclasses.dataclass(slots=True)
class _ServiceLevels:
    upstreams: dict[str, _ReceivedLevel]
    received_at: float
    probe_at: float
    probe_interval_s: float = MIN_PROBE_INTERVAL_S


class LevelTable:
    """Most recent levels received in responses, by service and upstream.

    While no response confirms a level, individual calls are admitted as
    probes, with an interval that doubles after each probe. The longer no
    response arrives, the less important the probes may be.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceLevels] = {}
        self._shedding: set[str] = set()

    def observe(
        self, service: str, upstream: str, level: Level, now: float
    ) -> None:
        """Record the level received in a response.

        Args:
            service: The service that responded.
            upstream: ID of the upstream's node.
            level: The level that it returned.
            now: The time, in seconds.
        """
        cutoff = compute_cutoff(level)
        known = self._services.get(service)
        if known is None:
            known = self._services[service] = _ServiceLevels({}, now, now)
        known.received_at = now
        received = known.upstreams.get(upstream)
        if received is None:
            known.upstreams[upstream] = _ReceivedLevel(
                cutoff, level.queue_delay_s, now
            )
        else:
            received.cutoff = cutoff
            received.queue_delay_s = level.queue_delay_s
            received.at = now
        if cutoff < CLASSES:
            self._shedding.add(service)

    def admits(
        self,
        service: str,
        importance: int,
        root_hash: float,
        now: float,
        *,
        is_nested: bool = False,
    ) -> Admit | Shed:
        """Decide whether to send a call.

        Args:
            service: The service to call.
            importance: The root's importance.
            root_hash: The root's hash, 0 <= hash < 1.
            now: The time, in seconds.
            is_nested: Whether the call tree has already started, so that
                refusing the call would waste work; such calls are admitted
                somewhat beyond the cutoff.
        """
        if service not in self._shedding:
            return ADMIT
        known = self._services[service]
        cutoff = _compute_cutoff(known, now)
        if cutoff >= CLASSES:
            self._shedding.discard(service)
            return ADMIT
        position = importance + root_hash
        if position < cutoff + (NESTED_SLACK if is_nested else 0.0):
            known.probe_interval_s = MIN_PROBE_INTERVAL_S
            return ADMIT
        silence_s = now - known.received_at - PROBE_DELAY_S
        reach = cutoff + CLASSES * silence_s / RECOVERY_PERIOD_S
        if silence_s > 0.0 and position < reach and now >= known.probe_at:
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
        delays = [
            received.queue_delay_s for received in _list_fresh(known, now)
        ]
        cutoff = _compute_cutoff(known, now)
        return make_level(cutoff, statistics.median_low(delays or [0.0]))

    def forget(self, service: str, upstream: str) -> None:
        """Remove an upstream that has left."""
        known = self._services.get(service)
        if known is None:
            return
        known.upstreams.pop(upstream, None)
        if not known.upstreams:
            del self._services[service]
            self._shedding.discard(service)


def _list_fresh(known: _ServiceLevels, now: float) -> list[_ReceivedLevel]:
    """Return the recent levels, or the last one if none is recent."""
    if now - known.received_at >= MAX_LEVEL_AGE_S:
        return []
    oldest = min(known.received_at, now - FRESH_PERIOD_S)
    return [
        received
        for received in known.upstreams.values()
        if received.at >= oldest
    ]


def _compute_cutoff(known: _ServiceLevels, now: float) -> float:
    # The upper median is robust against one wrong upstream, and the balancer
    # directs calls to the less loaded half.
    fresh = [received.cutoff for received in _list_fresh(known, now)]
    return statistics.median_high(fresh) if fresh else float(CLASSES)
