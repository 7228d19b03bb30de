"""Selection of members to probe, and the state of pings in flight."""

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
        probed: The probed member.
        sequence: Sequence number of its pings.
        sent_at: Monotonic time in seconds at which the first ping was sent.
        relay_at: Monotonic time in seconds at which indirect pings are due.
        deadline: Monotonic time in seconds at which the probe fails.
        relays: Node ids of the members that were sent indirect pings.
        nacks: Node ids of members that answered with a nack.
        relayed: Whether indirect pings were sent.
    """

    probed: member.Member
    sequence: int
    sent_at: float
    relay_at: float
    deadline: float
    relays: frozenset[str] = frozenset()
    nacks: set[str] = dataclasses.field(default_factory=set)
    relayed: bool = False

    def next_deadline(self) -> float:
        """Return the monotonic time of its next timer in seconds."""
        return self.deadline if self.relayed else self.relay_at


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping sent on behalf of another member.

    Args:
        address: Address of the member that asked.
        sequence: Sequence number in its request.
        deadline: Monotonic time in seconds at which a nack is sent to it.
    """

    address: member.Address
    sequence: int
    deadline: float


class ProbeRotation:
    """Returns all members in random order, once per round.

    A new member is inserted into the current round at a random position.

    Args:
        rng: Source of random numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._order: list[str] = []

    def add(self, node_id: str) -> None:
        """Add a new member to the current round."""
        position = self._rng.randrange(len(self._order) + 1)
        self._order.insert(position, node_id)

    def next(
        self, candidates: typing.Sequence[member.Member]
    ) -> member.Member | None:
        """Return the next member.

        Args:
            candidates: All members that may be probed.

        Returns:
            One of the candidates, or None if there are none.
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
    """Pings in flight that this node sent on behalf of other members."""

    def __init__(self) -> None:
        self._relayed: dict[int, RelayedPing] = {}

    def add(self, sequence: int, relayed: RelayedPing) -> bool:
        """Add a relayed ping unless the limit is reached.

        Args:
            sequence: Sequence number of the ping that this node sends.
            relayed: The relayed ping.

        Returns:
            Whether it was added.
        """
        if len(self._relayed) >= MAX_RELAYED_PINGS:
            return False
        self._relayed[sequence] = relayed
        return True

    def pop(self, sequence: int) -> RelayedPing | None:
        """Remove and return the relayed ping with a sequence number."""
        return self._relayed.pop(sequence, None)

    def pop_expired(self, now: float) -> list[RelayedPing]:
        """Remove and return the relayed pings whose deadline has passed."""
        expired = [
            sequence
            for sequence, item in self._relayed.items()
            if item.deadline <= now
        ]
        return [self._relayed.pop(sequence) for sequence in expired]

    def next_deadline(self) -> float:
        """Return the earliest deadline, or infinity without pings."""
        return min(
            (item.deadline for item in self._relayed.values()),
            default=math.inf,
        )


class SequenceCounter:
    """Generates sequence numbers of 32 bits for pings.

    Args:
        first: Number that precedes the first one returned.
    """

    def __init__(self, first: int) -> None:
        self._last = first

    def next(self) -> int:
        """Return the next sequence number."""
        self._last = (self._last + 1) & _SEQUENCE_MASK
        return self._last


def choose_relays(
    probed: member.Member,
    candidates: typing.Sequence[member.Member],
    count: int,
    rng: random.Random,
) -> list[member.Member]:
    """Choose relays, one of them in the probed member's data centre if any.

    Args:
        probed: The probed member.
        candidates: Members that may serve as relays.
        count: Maximum number of relays.
        rng: Source of random numbers.

    Returns:
        Up to `count` different members.
    """
    data_centre_candidates = [
        item for item in candidates if item.data_centre == probed.data_centre
    ]
    chosen = rng.sample(
        data_centre_candidates, min(1, len(data_centre_candidates))
    )
    others = [item for item in candidates if item not in chosen]
    count = min(count - len(chosen), len(others))
    return chosen + rng.sample(others, count)


def choose_members(
    candidates: typing.Sequence[member.Member],
    count: int,
    rng: random.Random,
) -> list[member.Member]:
    """Choose up to `count` different members at random."""
    return rng.sample(candidates, min(count, len(candidates)))
