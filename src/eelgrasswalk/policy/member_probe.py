"""Chooses members to probe and keeps the probes in flight."""

import dataclasses
import math
import random
import typing

from . import member

MAX_RELAYED_PINGS = 64
_SEQUENCE_MASK = 0xFFFF_FFFF


@dataclasses.dataclass(slots=True)
class Probe:
    """The probe in flight.

    Args:
        target: The probed member.
        sequence: Sequence number of its pings.
        sent_at: When the first ping was sent.
        relay_at: When relays are asked.
        deadline: When it has failed.
        relays: Node ids of the relays that were asked.
        nacks: Relays that answered without success.
        relayed: Whether relays were asked.
    """

    target: member.Member
    sequence: int
    sent_at: float
    relay_at: float
    deadline: float
    relays: frozenset[str] = frozenset()
    nacks: set[str] = dataclasses.field(default_factory=set)
    relayed: bool = False

    def next_deadline(self) -> float:
        """Return when it needs attention next."""
        return self.deadline if self.relayed else self.relay_at


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping sent for another member.

    Args:
        address: The member that asked.
        sequence: The sequence number in its request.
        deadline: When it is told that there is no answer.
    """

    address: member.Address
    sequence: int
    deadline: float


class ProbeRotation:
    """Goes round all members in random order.

    Every member comes once in each round; a new one joins the current round
    at a random place.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._order: list[str] = []

    def add(self, node_id: str) -> None:
        """Add a new member to the current round."""
        place = self._rng.randrange(len(self._order) + 1)
        self._order.insert(place, node_id)

    def next(
        self, candidates: typing.Sequence[member.Member]
    ) -> member.Member | None:
        """Return the next member.

        Args:
            candidates: All members that may be chosen.

        Returns:
            One of them, or None if there is none.
        """
        by_id = {item.node_id: item for item in candidates}
        if not by_id:
            return None
        while True:
            if not self._order:
                self._order = list(by_id)
                self._rng.shuffle(self._order)
            chosen = by_id.get(self._order.pop())
            if chosen is not None:
                return chosen


class RelayedPings:
    """Keeps the pings that this node sent for others."""

    def __init__(self) -> None:
        self._relayed: dict[int, RelayedPing] = {}

    def add(self, sequence: int, relayed: RelayedPing) -> bool:
        """Keep one; returns False when there are too many."""
        if len(self._relayed) >= MAX_RELAYED_PINGS:
            return False
        self._relayed[sequence] = relayed
        return True

    def pop(self, sequence: int) -> RelayedPing | None:
        """Remove and return the one that an answer belongs to."""
        return self._relayed.pop(sequence, None)

    def pop_expired(self, now: float) -> list[RelayedPing]:
        """Remove and return those without an answer in time."""
        expired = [
            sequence
            for sequence, item in self._relayed.items()
            if item.deadline <= now
        ]
        return [self._relayed.pop(sequence) for sequence in expired]

    def next_deadline(self) -> float:
        """Return when the next one has no answer in time, or infinity."""
        return min(
            (item.deadline for item in self._relayed.values()),
            default=math.inf,
        )


class SequenceCounter:
    """Numbers pings."""

    def __init__(self, first: int) -> None:
        self._last = first

    def next(self) -> int:
        """Return the next number."""
        self._last = (self._last + 1) & _SEQUENCE_MASK
        return self._last


def choose_relays(
    target: member.Member,
    candidates: typing.Sequence[member.Member],
    count: int,
    rng: random.Random,
) -> list[member.Member]:
    """Choose relays, one of them in the target's data centre if possible.

    Args:
        target: The probed member.
        candidates: Members that may relay.
        count: How many to choose.
        rng: Source of random numbers.

    Returns:
        Up to `count` different members.
    """
    near = [
        item for item in candidates if item.data_centre == target.data_centre
    ]
    chosen = rng.sample(near, min(1, len(near)))
    others = [item for item in candidates if item not in chosen]
    count = min(count - len(chosen), len(others))
    return chosen + rng.sample(others, count)


def choose_members(
    candidates: typing.Sequence[member.Member],
    count: int,
    rng: random.Random,
) -> list[member.Member]:
    """Choose different members at random."""
    return rng.sample(candidates, min(count, len(candidates)))
