"""Bounded queue of the calls that wait for a target.

Calls are ordered by importance, then by fair queueing between client accounts,
then nested calls before root calls, then by the start time of the root.
"""

import dataclasses
import heapq
import math

from ..document import model


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A call that requests admission.

    Args:
        call_id: Unique among the calls that are queued or running.
        importance: Importance class of the root request.
        account: Client account of the root request.
        root_hash: Hash of the root request, 0 <= hash < 1.
        root_started_at: Start time of the root request, in seconds; only
            compared with that of other roots.
        deadline: Time by which the response is due, on the clock of now.
        depth: Hops below the root; 0 for the root call itself, more for
            nested calls.
        route: Name of the route.
        objective_at: Time by which the response meets the latency objective
            of the route, on the clock of now.
        route_importance: Importance of the root's route; breaks ties between
            calls of equal importance.
        may_wait: Whether the call may be queued if it cannot start
            immediately.
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
class QueuedCall:
    """A queued call.

    Args:
        candidate: The call.
        queued_at: When it was queued, in seconds.
        expires_at: Latest time at which it may leave the queue, in seconds.
    """

    candidate: Candidate
    queued_at: float
    expires_at: float


_StartOrder = tuple[bool, float, int, float]


def _start_order(candidate: Candidate) -> _StartOrder:
    is_new = candidate.depth == 0
    return (
        is_new,
        candidate.root_started_at,
        candidate.call_id,
        candidate.root_hash,
    )


def _refusal_order(rank: _StartOrder) -> tuple[bool, float, int]:
    is_new, _, call_id, root_hash = rank
    return (is_new, root_hash, call_id)


class _ImportanceQueue:
    """Queued calls of one importance class, with fair queueing by account.

    The account with the fewest calls served goes next. The virtual time is
    the served count of the account that was served last.
    """

    def __init__(self) -> None:
        self._ranks: dict[str, list[_StartOrder]] = {}
        self._served: dict[str, int] = {}
        self._virtual_time = 0

    def __bool__(self) -> bool:
        return bool(self._ranks)

    def push(self, candidate: Candidate) -> None:
        ranks = self._ranks.get(candidate.account)
        if ranks is None:
            ranks = self._ranks[candidate.account] = []
            # An account that was idle gets no credit for that time.
            served = self._served.get(candidate.account, 0)
            self._served[candidate.account] = max(served, self._virtual_time)
        heapq.heappush(ranks, _start_order(candidate))

    def pop(self) -> int:
        account = min(self._ranks, key=self._served.__getitem__)
        self._virtual_time = self._served[account]
        self._served[account] += 1
        call_id = heapq.heappop(self._ranks[account])[2]
        self._drop_empty(account)
        return call_id

    def pop_first_refused(self) -> int:
        account = max(self._ranks, key=lambda name: len(self._ranks[name]))
        ranks = self._ranks[account]
        refused = max(ranks, key=_refusal_order)
        self._discard(account, refused)
        return refused[2]

    def remove(self, candidate: Candidate) -> None:
        self._discard(candidate.account, _start_order(candidate))

    def _discard(self, account: str, rank: _StartOrder) -> None:
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
            self._virtual_time = 0


class WaitingQueue:
    """Queued calls in the order in which they should start."""

    def __init__(self) -> None:
        self._by_importance = tuple(
            _ImportanceQueue() for _ in model.Importance
        )
        self._waiting: dict[int, QueuedCall] = {}
        self._expiry: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def push(
        self, candidate: Candidate, *, now: float, expires_at: float
    ) -> None:
        """Queue a call."""
        waiting = QueuedCall(candidate, now, expires_at)
        self._waiting[candidate.call_id] = waiting
        self._by_importance[candidate.importance].push(candidate)
        heapq.heappush(self._expiry, (expires_at, candidate.call_id))

    def pop(self) -> QueuedCall | None:
        """Remove and return the call that should start next, if any."""
        for importance_queue in self._by_importance:
            if importance_queue:
                return self._waiting.pop(importance_queue.pop())
        return None

    def pop_first_refused(self) -> QueuedCall | None:
        """Remove and return the call that should be refused first, if any.

        It is chosen from the least important class and the account with the
        longest queue there. Root calls are refused before nested ones, those
        with the highest root hash first, as every other hop does.
        """
        for importance_queue in reversed(self._by_importance):
            if importance_queue:
                return self._waiting.pop(importance_queue.pop_first_refused())
        return None

    def remove(self, call_id: int) -> QueuedCall | None:
        """Remove and return a call, or return None if it is not queued."""
        waiting = self._waiting.pop(call_id, None)
        if waiting is not None:
            candidate = waiting.candidate
            self._by_importance[candidate.importance].remove(candidate)
        return waiting

    def pop_expired(self, now: float) -> list[QueuedCall]:
        """Remove and return all calls that have expired."""
        expired = []
        while self._expiry and self._expiry[0][0] <= now:
            expires_at, call_id = heapq.heappop(self._expiry)
            waiting = self._waiting.get(call_id)
            if waiting is not None and waiting.expires_at == expires_at:
                self.remove(call_id)
                expired.append(waiting)
        return expired

    def get_next_expiry(self) -> float | None:
        """Return when the next call expires, or None if none is queued."""
        while self._expiry:
            expires_at, call_id = self._expiry[0]
            waiting = self._waiting.get(call_id)
            if waiting is not None and waiting.expires_at == expires_at:
                return expires_at
            heapq.heappop(self._expiry)
        return None
