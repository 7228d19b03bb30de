"""Which calls run at a target, which wait for a slot, and which do not.

Load patterns that it answers: a burst over the whole mesh, a slow target, and
callers that come back at once. A call waits only while it is likely to be
answered in time for its objective; otherwise it is refused at once, so that
another upstream may take it or its caller may come back later.

Order of those that wait: calls of work already begun, whose refusal would
waste what their callers' targets have done; then the more important, by
client account and then by the root's route, since calls of targets serve
their root; then the one with the least time to lose.

Where calls of work already begun ask for more than all slots, a root that
needs several of them would lose one sooner or later, whichever goes first.
They then go by the hash of their root, so that all calls of some roots get
through, and wait only for a part of their time, as each root needs time for
several such calls.
"""

import dataclasses
import heapq
import math

from .. import verdict
from . import admission
from . import queue
from . import service_times
from . import work_rate

Candidate = queue.Candidate


@dataclasses.dataclass(frozen=True, slots=True)
class SlotSettings:
    """Settings of the queue.

    Args:
        fill: Share of the slots that are used; many targets slow down when
            they are nearly full.
        hopeless: Share of the expected time below which a call that has no
            more left is not begun; many calls take less than the mean.
        margin: Share of the expected time that is added when it is decided
            whether a call will be answered in time.
        least_wait_s: Wait that is always allowed, for bursts of a moment.
        longest_retry_s: Longest time after which a refused call may come
            back.
        crowded: Work already begun per slot above which it goes by the hash
            of its root, and waits for a part of its time only.
        impatience: Exponent by which that part falls as more work comes; at
            a third more than all slots can take, a tenth is left.
        crowded_rounds: Expected times that crowded work may always wait.
    """

    fill: float = 0.94
    hopeless: float = 0.5
    margin: float = 0.25
    least_wait_s: float = 0.01
    longest_retry_s: float = 2.0
    crowded: float = 1.0
    impatience: float = 8.0
    crowded_rounds: float = 2.0


@dataclasses.dataclass(slots=True)
class _Waiting:
    candidate: Candidate
    expected_s: float
    expires_at: float
    rank: tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    route: str
    started_at: float
    expected_s: float


class SlotQueue:
    """Decides for one target; the time comes in, actions go out.

    Args:
        settings: The settings.
        slots: Calls that the target runs at a time.
    """

    def __init__(self, settings: SlotSettings, *, slots: int) -> None:
        self._settings = settings
        self._times = service_times.ServiceTimes()
        self._running: dict[int, _Running] = {}
        self._waiting: dict[int, _Waiting] = {}
        self._order: list[tuple[tuple[float, ...], int]] = []
        self._expiry: list[tuple[float, int]] = []
        self._waiting_s = 0.0
        self._begun = work_rate.WorkRate()
        self._draining = False
        self._limit = 1
        self.resize(slots)

    @property
    def in_flight(self) -> int:
        """Calls that are running."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Calls that are waiting."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Calls that may run at a time."""
        return self._limit

    @property
    def backlog_s(self) -> float:
        """Seconds until a call that comes now would start, about."""
        if len(self._running) < self._limit:
            return 0.0
        return self._waiting_s / self._limit + self._times.mean_s / (
            2.0 * self._limit
        )

    def resize(self, slots: int) -> None:
        """Change the number of slots."""
        self._limit = max(1, round(slots * self._settings.fill))
        self._draining = False

    def offer(
        self, candidate: Candidate, now: float
    ) -> list[admission.Action]:
        """Offer a call.

        Args:
            candidate: The call.
            now: The time, in seconds.

        Returns:
            Actions, possibly for other calls. Without one for this call,
            it waits.
        """
        if self._draining:
            return [_refuse(candidate.call_id, verdict.Reason.LEAVING, 0.0)]
        expected_s = self._times.estimate(candidate.route)
        if candidate.depth > 0 and candidate.may_wait:
            self._begun.add(expected_s, now)
        least_s = self._settings.hopeless * expected_s
        if now + least_s > candidate.deadline and self._running:
            return [_refuse(candidate.call_id, verdict.Reason.DEADLINE, 0.0)]
        if not self._waiting and len(self._running) < self._limit:
            return [self._start(candidate, expected_s, now)]
        if not candidate.may_wait:
            return [self._refuse_full(candidate.call_id)]
        return self._enqueue(candidate, expected_s, now)

    def finish(
        self, call_id: int, now: float, *, ok: bool, child_s: float = 0.0
    ) -> list[admission.Action]:
        """End a started call and return actions for those that wait."""
        running = self._running.pop(call_id, None)
        if running is None:
            return []
        if ok:
            self._times.observe(running.route, now - running.started_at)
        return self.expire(now) if self._waiting else []

    def cancel(self, call_id: int, now: float) -> list[admission.Action]:
        """Drop a call whose caller has gone while it waits."""
        if self._remove(call_id) is None:
            return []
        return [_refuse(call_id, verdict.Reason.CALLER_GONE, 0.0)]

    def expire(self, now: float) -> list[admission.Action]:
        """Refuse what has waited too long and start what can start."""
        actions: list[admission.Action] = []
        while self._expiry and self._expiry[0][0] <= now:
            _, call_id = heapq.heappop(self._expiry)
            if self._remove(call_id) is not None:
                actions.append(self._refuse_full(call_id))
        while self._order and len(self._running) < self._limit:
            _, call_id = heapq.heappop(self._order)
            waiting = self._remove(call_id)
            if waiting is not None:
                actions.append(
                    self._start(waiting.candidate, waiting.expected_s, now)
                )
        return actions

    def next_event_at(self) -> float | None:
        """Return when to call expire, or None while nothing waits."""
        while self._expiry and self._expiry[0][1] not in self._waiting:
            heapq.heappop(self._expiry)
        return self._expiry[0][0] if self._expiry else None

    def drain(self, now: float) -> list[admission.Action]:
        """Take no new calls; those that wait still run."""
        self._draining = True
        return self.expire(now)

    def _start(
        self, candidate: Candidate, expected_s: float, now: float
    ) -> admission.Start:
        self._running[candidate.call_id] = _Running(
            candidate.route, now, expected_s
        )
        return admission.Start(candidate.call_id)

    def _enqueue(
        self, candidate: Candidate, expected_s: float, now: float
    ) -> list[admission.Action]:
        latest = _find_latest_start(
            candidate, expected_s * (1.0 + self._settings.margin)
        )
        latest = max(latest, now + self._settings.least_wait_s)
        crowding = 0.0
        if candidate.depth > 0:
            crowding = self._begun.measure(self._limit, now)
        if crowding > self._settings.crowded:
            longest_s = self._limit_wait(latest - now, expected_s, crowding)
            latest = now + longest_s
            rank = _rank(candidate, candidate.root_hash)
        else:
            rank = _rank(candidate, latest)
        wait_s = self._estimate_wait(rank, now)
        if now + wait_s > latest:
            return [self._refuse_full(candidate.call_id)]
        waiting = _Waiting(candidate, expected_s, latest, rank)
        self._waiting[candidate.call_id] = waiting
        self._waiting_s += expected_s
        heapq.heappush(self._order, (rank, candidate.call_id))
        heapq.heappush(self._expiry, (latest, candidate.call_id))
        return []

    def _limit_wait(
        self, longest_s: float, expected_s: float, crowding: float
    ) -> float:
        """Return how long begun work may wait while it is crowded.

        Args:
            longest_s: How long it might wait for its own sake.
            expected_s: Seconds that it takes.
            crowding: Work already begun that comes, per slot.
        """
        settings = self._settings
        part = math.pow(settings.crowded / crowding, settings.impatience)
        always_s = settings.crowded_rounds * expected_s
        return min(longest_s, max(always_s, longest_s * part))

    def _estimate_wait(self, rank: tuple[float, ...], now: float) -> float:
        """Return the seconds until a call of this rank would start."""
        ahead_s = sum(
            waiting.expected_s
            for waiting in self._waiting.values()
            if waiting.rank <= rank
        )
        left_s = sum(
            max(0.0, running.started_at + running.expected_s - now)
            for running in self._running.values()
        )
        first_s = left_s / max(1, len(self._running)) / self._limit
        return ahead_s / self._limit + first_s

    def _remove(self, call_id: int) -> _Waiting | None:
        waiting = self._waiting.pop(call_id, None)
        if waiting is not None:
            self._waiting_s -= waiting.expected_s
        if not self._waiting:
            self._waiting_s = 0.0
            self._order.clear()
            self._expiry.clear()
        return waiting

    def _refuse_full(self, call_id: int) -> admission.Refuse:
        retry_s = min(self.backlog_s, self._settings.longest_retry_s)
        return _refuse(call_id, verdict.Reason.OVERLOAD, retry_s)


def _refuse(
    call_id: int, reason: verdict.Reason, retry_after_s: float
) -> admission.Refuse:
    return admission.Refuse(call_id, reason, retry_after_s)


def _find_latest_start(candidate: Candidate, needed_s: float) -> float:
    """Return until when it is worth while to start a call.

    Work already begun has the time that its caller's target gives it; the
    objective of such a call by itself means nothing.
    """
    if candidate.depth > 0 or not math.isfinite(candidate.objective_at):
        return candidate.deadline - needed_s
    return min(candidate.objective_at, candidate.deadline) - needed_s


def _rank(candidate: Candidate, last: float) -> tuple[float, ...]:
    begun = 0.0 if candidate.depth > 0 else 1.0
    return (
        begun,
        float(candidate.importance),
        float(candidate.route_importance),
        last,
    )
