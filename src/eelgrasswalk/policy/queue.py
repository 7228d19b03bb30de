"""The short queue in front of a target.

Ordered by importance, then fair between client accounts, then work already
begun before new roots, then by the root's start.
"""

import dataclasses
import heapq
import math

from ..document import model


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A call that asks to run.

    Args:
        call_id: Unique among the calls that are queued or running.
        importance: Inherited from the root request.
        account: The client account of the root request.
        root_hash: The root's hash, 0 <= hash < 1.
        root_started_at: When the root began, in seconds; only compared
            with that of other roots.
        deadline: When the answer must be there, on the clock of now.
        depth: Hops below the root; 0 for a new root.
        route: Name of the route.
        objective_at: When the answer should be there for its full worth, on
            the clock of now.
        route_importance: Importance of the root's route; decides where the
            importance is the same.
        may_wait: Whether it takes a place in the queue if it cannot start
            at once.
    """

    call_id: int
    importance: model.Importance
    account: str
    root_hash: float
    root_started_at: float
    deadline: float
    depth: int
    route: str = ''
    objective_at: float = math.inf
    route_importance: int = 0
    may_wait: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A queued call.

    Args:
        candidate: The call.
        queued_at: When it was queued, in seconds.
        expires_at: When it must have left the queue, in seconds.
    """

    candidate: Candidate
    queued_at: float
    expires_at: float


_Rank = tuple[bool, float, int, float]


def _rank(candidate: Candidate) -> _Rank:
    is_new = candidate.depth == 0
    return (
        is_new,
        candidate.root_started_at,
        candidate.call_id,
        candidate.root_hash,
    )


def _rank_worst(rank: _Rank) -> tuple[bool, float, int]:
    is_new, _, call_id, root_hash = rank
    return (is_new, root_hash, call_id)


class _Lane:
    """The waiting calls of one importance, by client account."""

    def __init__(self) -> None:
        self._ranks: dict[str, list[_Rank]] = {}
        self._served: dict[str, int] = {}
        self._floor = 0

    def __bool__(self) -> bool:
        return bool(self._ranks)

    def push(self, candidate: Candidate) -> None:
        ranks = self._ranks.get(candidate.account)
        if ranks is None:
            ranks = self._ranks[candidate.account] = []
            # An account that comes back has no claim on the past.
            served = self._served.get(candidate.account, 0)
            self._served[candidate.account] = max(served, self._floor)
        heapq.heappush(ranks, _rank(candidate))

    def pop(self) -> int:
        account = min(self._ranks, key=self._served.__getitem__)
        self._floor = self._served[account]
        self._served[account] += 1
        call_id = heapq.heappop(self._ranks[account])[2]
        self._drop_empty(account)
        return call_id

    def pop_worst(self) -> int:
        account = max(self._ranks, key=lambda name: len(self._ranks[name]))
        ranks = self._ranks[account]
        worst = max(ranks, key=_rank_worst)
        self._discard(account, worst)
        return worst[2]

    def remove(self, candidate: Candidate) -> None:
        self._discard(candidate.account, _rank(candidate))

    def _discard(self, account: str, rank: _Rank) -> None:
        ranks = self._ranks[account]
        ranks.remove(rank)
        heapq.heapify(ranks)
        self._drop_empty(account)

    def _drop_empty(self, account: str) -> None:
        if self._ranks[account]:
            return
        del self._ranks[account]
        if not self._ranks:
            self._served.clear()
            self._floor = 0


class WaitingQueue:
    """Waiting calls in the order in which they should start."""

    def __init__(self) -> None:
        self._lanes = tuple(_Lane() for _ in model.Importance)
        self._waiting: dict[int, Waiting] = {}
        self._expiry: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def push(
        self, candidate: Candidate, *, now: float, expires_at: float
    ) -> None:
        """Queue a call."""
        waiting = Waiting(candidate, now, expires_at)
        self._waiting[candidate.call_id] = waiting
        self._lanes[candidate.importance].push(candidate)
        heapq.heappush(self._expiry, (expires_at, candidate.call_id))

    def pop(self) -> Waiting | None:
        """Take the call that should start next."""
        for lane in self._lanes:
            if lane:
                return self._waiting.pop(lane.pop())
        return None

    def pop_worst(self) -> Waiting | None:
        """Take the call that should be refused first.

        The least important class loses first; in it, the account with the
        longest queue; in that, new roots before begun work, and the root
        with the highest hash, which other hops shed first too.
        """
        for lane in reversed(self._lanes):
            if lane:
                return self._waiting.pop(lane.pop_worst())
        return None

    def remove(self, call_id: int) -> Waiting | None:
        """Take a call out, or return None if it is not queued."""
        waiting = self._waiting.pop(call_id, None)
        if waiting is not None:
            candidate = waiting.candidate
            self._lanes[candidate.importance].remove(candidate)
        return waiting

    def pop_expired(self, now: float) -> list[Waiting]:
        """Take all calls that should have left the queue by now."""
        expired = []
        while self._expiry and self._expiry[0][0] <= now:
            expires_at, call_id = heapq.heappop(self._expiry)
            waiting = self._waiting.get(call_id)
            if waiting is not None and waiting.expires_at == expires_at:
                self.remove(call_id)
                expired.append(waiting)
        return expired

    def next_expiry(self) -> float | None:
        """Return when the next call should leave, if one is queued."""
        while self._expiry:
            expires_at, call_id = self._expiry[0]
            waiting = self._waiting.get(call_id)
            if waiting is not None and waiting.expires_at == expires_at:
                return expires_at
            heapq.heappop(self._expiry)
        return None
