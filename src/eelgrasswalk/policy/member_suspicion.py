"""Suspicion timeouts and the local node's degradation level.

Both follow Lifeguard, an extension of the SWIM protocol.
"""

import dataclasses
import math

from . import member
from . import member_timing

MAX_DEGRADATION = 4
PING_FRACTIONS = (0.5, 0.7, 0.9)
MAX_PINGED_SUSPECTS = 16
PAUSE_DEGRADATION = 2


@dataclasses.dataclass(slots=True)
class _Suspicion:
    incarnation: member.Incarnation
    started_at: float
    min_timeout_s: float
    reporters: set[str]
    pings: int = 0


class Suspicions:
    """Runs one timeout for every suspected member.

    The timeout is longest with a single reporter; each further independent
    reporter shortens it.

    Args:
        timing: Intervals and limits of the protocol.
    """

    def __init__(self, timing: member_timing.Timing) -> None:
        self._timing = timing
        self._suspicions: dict[str, _Suspicion] = {}

    def suspect(
        self,
        node_id: str,
        incarnation: member.Incarnation,
        reporter: str,
        *,
        members: int,
        now: float,
    ) -> bool:
        """Start a suspicion or add a reporter to it.

        Args:
            node_id: Node id of the suspected member.
            incarnation: Incarnation of the member that is suspected.
            reporter: Node id of the member that reports the suspicion.
            members: Number of present members.
            now: Monotonic time in seconds.

        Returns:
            Whether the suspicion is new or has a new reporter that shortens
            its timeout.
        """
        known = self._suspicions.get(node_id)
        if known is None or known.incarnation < incarnation:
            self._suspicions[node_id] = _Suspicion(
                incarnation,
                now,
                self._timing.min_suspicion_s(members),
                {reporter},
            )
            return True
        if known.incarnation > incarnation or reporter in known.reporters:
            return False
        if len(known.reporters) > self._timing.confirmations:
            return False
        known.reporters.add(reporter)
        return True

    def clear(self, node_id: str) -> None:
        """Remove the suspicion of a member, if there is one."""
        self._suspicions.pop(node_id, None)

    def postpone(self, seconds: float) -> None:
        """Extend every timeout by a number of seconds."""
        for suspicion in self._suspicions.values():
            suspicion.started_at += seconds

    def next_deadline(self) -> float:
        """Return when the next ping or timeout is due.

        Returns:
            Monotonic time in seconds, or infinity without suspicions.
        """
        return min(
            (self._find_next_due(item) for item in self._suspicions.values()),
            default=math.inf,
        )

    def pop_due_pings(self, now: float) -> list[str]:
        """Return the suspects to ping again, as a refutation may be lost.

        Each suspect is returned at fixed fractions of its timeout. None is
        returned while so many members are suspected that a whole group of
        hosts has probably failed.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Node ids of the suspects.
        """
        too_many = len(self._suspicions) > MAX_PINGED_SUSPECTS
        due = []
        for node_id, item in self._suspicions.items():
            if (
                item.pings < len(PING_FRACTIONS)
                and self._find_next_due(item) <= now
            ):
                item.pings += 1
                due.append(node_id)
        return [] if too_many else due

    def pop_expired(self, now: float) -> list[str]:
        """Remove the suspicions that timed out and return their node ids."""
        expired = [
            node_id
            for node_id, item in self._suspicions.items()
            if self._find_deadline(item) <= now
        ]
        for node_id in expired:
            del self._suspicions[node_id]
        return expired

    def _find_next_due(self, suspicion: _Suspicion) -> float:
        deadline = self._find_deadline(suspicion)
        if suspicion.pings == len(PING_FRACTIONS):
            return deadline
        timeout_s = deadline - suspicion.started_at
        return (
            suspicion.started_at + PING_FRACTIONS[suspicion.pings] * timeout_s
        )

    def _find_deadline(self, suspicion: _Suspicion) -> float:
        max_timeout_s = (
            suspicion.min_timeout_s * self._timing.suspicion_max_factor
        )
        confirmations = min(
            len(suspicion.reporters) - 1, self._timing.confirmations
        )
        share = math.log(confirmations + 1) / math.log(
            self._timing.confirmations + 1
        )
        timeout_s = (
            max_timeout_s - (max_timeout_s - suspicion.min_timeout_s) * share
        )
        return suspicion.started_at + timeout_s


class LocalDegradation:
    """Counts signs that the local node is slow, paused or isolated itself.

    Probe intervals and timeouts grow with the level: the more likely the
    fault is local, the later this node suspects others.
    """

    def __init__(self) -> None:
        self.level = 0

    @property
    def interval_factor(self) -> int:
        """Factor by which probe interval and ack timeout are multiplied."""
        return 1 + self.level

    @property
    def at_maximum(self) -> bool:
        """Whether the level has reached its maximum."""
        return self.level >= MAX_DEGRADATION

    def raise_level(self, by: int = 1) -> None:
        """Count a sign that the local node is degraded.

        Args:
            by: Number of levels by which it rises.
        """
        self.level = min(MAX_DEGRADATION, self.level + by)

    def lower_level(self) -> None:
        """Count a sign that the local node works normally."""
        self.level = max(0, self.level - 1)
