"""Suspicions of members and the node's doubt in itself."""

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

    A suspicion lasts longest with a single accuser; each independent one
    shortens it.
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
        """Start or confirm a suspicion.

        Args:
            node_id: The suspected member.
            incarnation: Its suspected incarnation.
            reporter: Who suspects it.
            members: Size of the mesh.
            now: Monotonic time in seconds.

        Returns:
            Whether it is new, or confirmed by a further accuser that counts.
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
        """End the suspicion of a member."""
        self._suspicions.pop(node_id, None)

    def postpone(self, seconds: float) -> None:
        """Move every timeout into the future."""
        for suspicion in self._suspicions.values():
            suspicion.started_at += seconds

    def next_deadline(self) -> float:
        """Return when the next check or end is due, or infinity."""
        return min(
            (
                self._find_next_event(item)
                for item in self._suspicions.values()
            ),
            default=math.inf,
        )

    def pop_due_pings(self, now: float) -> list[str]:
        """Return the members to ask for a refutation that may be lost.

        Each is returned at fixed shares of its suspicion, but none while so
        many are suspected that a whole group of hosts has likely gone.
        """
        too_many = len(self._suspicions) > MAX_PINGED_SUSPECTS
        due = []
        for node_id, item in self._suspicions.items():
            if (
                item.pings < len(PING_FRACTIONS)
                and self._find_next_event(item) <= now
            ):
                item.pings += 1
                due.append(node_id)
        return [] if too_many else due

    def pop_expired(self, now: float) -> list[str]:
        """Remove the suspicions that have ended and return the members."""
        expired = [
            node_id
            for node_id, item in self._suspicions.items()
            if self._deadline(item) <= now
        ]
        for node_id in expired:
            del self._suspicions[node_id]
        return expired

    def _find_next_event(self, suspicion: _Suspicion) -> float:
        deadline = self._deadline(suspicion)
        if suspicion.pings == len(PING_FRACTIONS):
            return deadline
        timeout_s = deadline - suspicion.started_at
        return (
            suspicion.started_at + PING_FRACTIONS[suspicion.pings] * timeout_s
        )

    def _deadline(self, suspicion: _Suspicion) -> float:
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
    """Counts signs that this node is slow, paused or cut off itself.

    The level stretches the node's own probes, so that it accuses others
    later the more likely the fault is its own.
    """

    def __init__(self) -> None:
        self.level = 0

    @property
    def interval_factor(self) -> int:
        """By how much probe interval and timeout are stretched."""
        return 1 + self.level

    @property
    def at_maximum(self) -> bool:
        """Whether the level cannot rise further."""
        return self.level >= MAX_DEGRADATION

    def raise_level(self, by: int = 1) -> None:
        """Count a sign against this node."""
        self.level = min(MAX_DEGRADATION, self.level + by)

    def lower_level(self) -> None:
        """Count a sign that this node is well."""
        self.level = max(0, self.level - 1)
