"""Deadline-aware queue in front of the slots of one target.

It handles bursts across the whole mesh, slow targets and callers that retry
immediately. A call is queued only while it is likely to meet its latency
objective. Otherwise it is refused at once, so that another upstream can take
it or its caller can retry later.

Nested calls go first, since refusing them would waste the work that their
callers' targets have already done. Calls are then ordered by the importance
of the client account, by that of the root's route, which nested calls
inherit, and by the least slack.

When nested calls exceed the capacity of all slots, a root that needs several
of them would lose at least one in any order of start. They are then ordered
by root hash, so that all calls of some roots succeed, and may wait only for
part of their time, since each root needs time for several such calls.

A target in trouble may name the calls per second that it accepts. Calls then
start no faster, in the same order.

While the target is or may be cold, a call that would exceed its limit is
refused at once, also if it is queued already, because warm targets respond
sooner.
"""

import dataclasses
import heapq
import math

from ... import verdict
from .. import admission
from .. import decaying_rate
from .. import queue
from . import cold_start
from . import service_times
from . import start_rate

Candidate = queue.Candidate

# Time over which the load of nested calls is averaged, in seconds.
NESTED_LOAD_SPAN_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class SlotSettings:
    """Settings of the queue.

    Args:
        max_utilization: Share of the slots that may be used; many targets
            slow down when they are nearly full.
        min_time_ratio: Share of the expected service time that a call must
            have left to be started by a busy target; many calls take less
            than the mean.
        min_busy_ratio: Share of the limit that must be running for a target
            to be busy. Below it a call with little time takes no slot from
            another, and if it is answered it corrects the expected time.
        time_margin: Share of the expected service time that is added when
            estimating whether a call will be answered in time.
        min_wait_s: Wait that is always allowed, in seconds, to absorb short
            bursts.
        max_retry_after_s: Longest delay suggested for the retry of a refused
            call, in seconds.
        nested_overload: Load of nested calls, as a multiple of the capacity
            of all slots, above which they are ordered by root hash and may
            wait only for part of their time.
        wait_exponent: Exponent by which that part falls with the load; at a
            load of 4/3, a tenth is left.
        min_overload_wait: Wait that nested calls are always allowed during
            overload, as a multiple of their expected service time.
    """

    max_utilization: float = 0.94
    min_time_ratio: float = 0.5
    min_busy_ratio: float = 0.5
    time_margin: float = 0.25
    min_wait_s: float = 0.01
    max_retry_after_s: float = 2.0
    nested_overload: float = 1.0
    wait_exponent: float = 8.0
    min_overload_wait: float = 2.0


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
    slowdown: float

    def estimate_left(self, now: float) -> float:
        """Return the expected seconds until the call ends.

        A call that has exceeded its expected time is likely a long one, so
        that time is expected once more.
        """
        left_s = self.started_at + self.expected_s - now
        return left_s if left_s > 0.0 else self.expected_s


class SlotQueue:
    """Admission control for one target by its slots.

    It performs no I/O: callers pass in the current time and carry out the
    returned actions.

    Args:
        settings: Limits of the queue and of the waiting time.
        slots: Calls that the target can run concurrently.
        cold: Limits the starts while the target is cold; without a limit by
            default.

    Attributes:
        cold: As above.
        slowdown: Present slowdown of the target's host; 1.0 is the usual
            speed, and remains for a target that states none.
    """

    def __init__(
        self,
        settings: SlotSettings,
        *,
        slots: int,
        cold: cold_start.ColdStart | None = None,
    ) -> None:
        self._settings = settings
        self.cold = cold_start.ColdStart(None) if cold is None else cold
        self.slowdown = 1.0
        self._times = service_times.ServiceTimes()
        self._running: dict[int, _Running] = {}
        self._waiting: dict[int, _Waiting] = {}
        self._order: list[tuple[tuple[float, ...], int]] = []
        self._expiry: list[tuple[float, int]] = []
        self._waiting_s = 0.0
        self._nested_work = decaying_rate.DecayingRate(NESTED_LOAD_SPAN_S)
        self._start_rate = start_rate.StartRate()
        self._draining = False
        self._limit = 1
        self.resize(slots)

    @property
    def in_flight(self) -> int:
        """Number of running calls."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of queued calls."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Calls that may run concurrently."""
        return self._limit

    def compute_load(self, now: float) -> float:
        """Return the calls that run or wait, per call that may run.

        A target that limits the rate of its calls has the load of that rate
        if it is higher.
        """
        busy = len(self._running) + len(self._waiting)
        return max(
            busy / self._limit,
            self._start_rate.compute_load(now, waiting=len(self._waiting)),
        )

    def estimate_backlog(self, now: float) -> float:
        """Return the estimated seconds until a call offered now starts."""
        rate_wait_s = self._start_rate.compute_wait(
            now, ahead=len(self._waiting)
        )
        if len(self._running) < self._limit:
            return rate_wait_s
        slot_wait_s = self._waiting_s / self._limit + self._times.mean_s / (
            2.0 * self._limit
        )
        return max(slot_wait_s, rate_wait_s)

    def estimate_start(self, now: float) -> float:
        """Return the expected seconds until a call offered now starts.

        Unlike the backlog, it depends on how long each running call is still
        expected to run.
        """
        rate_wait_s = self._start_rate.compute_wait(
            now, ahead=len(self._waiting)
        )
        if len(self._running) < self._limit:
            return rate_wait_s
        left_s = sum(
            running.estimate_left(now) for running in self._running.values()
        )
        next_free_s = left_s / len(self._running)
        slot_wait_s = (self._waiting_s + next_free_s) / self._limit
        return max(slot_wait_s, rate_wait_s)

    def estimate_service(self, route: str) -> float | None:
        """Return the expected seconds of service; None if unknown.

        Args:
            route: Name of the route; it is known once a call of it has been
                answered.
        """
        usual_s = self._times.find(route)
        return None if usual_s is None else usual_s * self.slowdown

    def resize(self, slots: int) -> None:
        """Change the number of slots."""
        self._limit = max(1, round(slots * self._settings.max_utilization))
        self._draining = False

    def limit_rate(
        self, calls_per_s: float | None, now: float
    ) -> list[admission.Action]:
        """Limit the rate at which calls start.

        Args:
            calls_per_s: Calls per second that the target accepts; None for
                no limit.
            now: The time, in seconds.

        Returns:
            Actions for queued calls.
        """
        self._start_rate.set_limit(calls_per_s, now)
        return self.expire(now) if self._waiting else []

    def offer(
        self, candidate: Candidate, now: float
    ) -> list[admission.Action]:
        """Offer a call.

        Args:
            candidate: The call.
            now: The time, in seconds.

        Returns:
            Actions, possibly for other calls. A call without an action is
            queued.
        """
        if self._draining:
            return [_refuse(candidate.call_id, verdict.Reason.LEAVING, 0.0)]
        if not self.cold.may_start(now):
            return [self._refuse_cold(candidate.call_id, now)]
        expected_s = self._times.estimate(candidate.route) * self.slowdown
        if candidate.depth > 0 and candidate.may_wait:
            self._nested_work.add(expected_s, now)
        min_remaining_s = self._settings.min_time_ratio * expected_s
        is_short = now + min_remaining_s > candidate.deadline
        if is_short and self._is_busy(now):
            return [_refuse(candidate.call_id, verdict.Reason.DEADLINE, 0.0)]
        if not self._waiting and self._has_room(now):
            return [self._start(candidate, expected_s, now)]
        if not candidate.may_wait:
            return [self._refuse_full(candidate.call_id, now)]
        return self._enqueue(candidate, expected_s, now)

    def finish(
        self, call_id: int, now: float, *, ok: bool, child_s: float = 0.0
    ) -> list[admission.Action]:
        """Record the end of a call and return actions for queued calls."""
        running = self._running.pop(call_id, None)
        if running is None:
            return []
        if ok:
            self._times.observe(
                running.route,
                now - running.started_at,
                slowdown=(running.slowdown + self.slowdown) / 2.0,
            )
        return self.expire(now) if self._waiting else []

    def cancel(self, call_id: int, now: float) -> list[admission.Action]:
        """Remove a queued call whose caller has disconnected."""
        if self._remove_waiting(call_id) is None:
            return []
        return [_refuse(call_id, verdict.Reason.CALLER_GONE, 0.0)]

    def refuse_waiting(self, reason: verdict.Reason) -> list[admission.Action]:
        """Refuse all queued calls."""
        call_ids = list(self._waiting)
        for call_id in call_ids:
            self._remove_waiting(call_id)
        return [_refuse(call_id, reason, 0.0) for call_id in call_ids]

    def expire(self, now: float) -> list[admission.Action]:
        """Refuse calls that waited too long and start those that fit."""
        actions: list[admission.Action] = []
        while self._expiry and self._expiry[0][0] <= now:
            _, call_id = heapq.heappop(self._expiry)
            if self._remove_waiting(call_id) is not None:
                actions.append(self._refuse_full(call_id, now))
        while self._order and self._has_room(now) and self.cold.may_start(now):
            _, call_id = heapq.heappop(self._order)
            waiting = self._remove_waiting(call_id)
            if waiting is not None:
                actions.append(
                    self._start(waiting.candidate, waiting.expected_s, now)
                )
        if self._waiting and not self.cold.may_start(now):
            for call_id in list(self._waiting):
                self._remove_waiting(call_id)
                actions.append(self._refuse_cold(call_id, now))
        return actions

    def confirm_start(self, call_id: int, now: float) -> bool:
        """Return whether a started call may be sent, and count it.

        Args:
            call_id: Id of the call; it may have waited for a connection.
            now: The time, in seconds.
        """
        running = self._running.get(call_id)
        if running is not None and self.cold.move(running.started_at, now):
            return True
        self.cold.refused += 1
        return False

    def next_event_at(self) -> float | None:
        """Return when to call expire next, or None if the queue is empty."""
        while self._expiry and self._expiry[0][1] not in self._waiting:
            heapq.heappop(self._expiry)
        if not self._expiry:
            return None
        expires_at = self._expiry[0][0]
        starts_at = self._start_rate.next_start_at
        if starts_at is None or len(self._running) >= self._limit:
            return expires_at
        return min(expires_at, starts_at)

    def drain(self, now: float) -> list[admission.Action]:
        """Refuse new calls; queued calls still run."""
        self._draining = True
        return self.expire(now)

    def _is_busy(self, now: float) -> bool:
        """Return whether a call that starts takes a slot from another."""
        running = len(self._running)
        if not running:
            return False
        if self._waiting or not self._has_room(now):
            return True
        return running >= self._settings.min_busy_ratio * self._limit

    def _has_room(self, now: float) -> bool:
        return len(self._running) < self._limit and self._start_rate.may_start(
            now
        )

    def _start(
        self, candidate: Candidate, expected_s: float, now: float
    ) -> admission.Start:
        self._start_rate.take(now)
        if self.cold.is_cold(now):
            self.cold.take(now)
        self._running[candidate.call_id] = _Running(
            candidate.route, now, expected_s, self.slowdown
        )
        return admission.Start(candidate.call_id)

    def _enqueue(
        self, candidate: Candidate, expected_s: float, now: float
    ) -> list[admission.Action]:
        latest = _compute_latest_start(
            candidate, expected_s * (1.0 + self._settings.time_margin)
        )
        latest = max(latest, now + self._settings.min_wait_s)
        nested_load = 0.0
        if candidate.depth > 0:
            nested_load = self._nested_work.measure(now) / self._limit
        if nested_load > self._settings.nested_overload:
            longest_s = self._limit_wait(latest - now, expected_s, nested_load)
            latest = now + longest_s
            rank = _rank(candidate, candidate.root_hash)
        else:
            rank = _rank(candidate, latest)
        wait_s = self._estimate_wait(rank, now)
        if now + wait_s > latest:
            return [self._refuse_full(candidate.call_id, now)]
        waiting = _Waiting(candidate, expected_s, latest, rank)
        self._waiting[candidate.call_id] = waiting
        self._waiting_s += expected_s
        heapq.heappush(self._order, (rank, candidate.call_id))
        heapq.heappush(self._expiry, (latest, candidate.call_id))
        return []

    def _limit_wait(
        self, longest_s: float, expected_s: float, nested_load: float
    ) -> float:
        """Return how long a nested call may wait during overload.

        Args:
            longest_s: Seconds until its latest possible start.
            expected_s: Expected service time, in seconds.
            nested_load: Load of nested calls, as a multiple of the capacity
                of all slots.
        """
        settings = self._settings
        share = math.pow(
            settings.nested_overload / nested_load, settings.wait_exponent
        )
        min_s = settings.min_overload_wait * expected_s
        return min(longest_s, max(min_s, longest_s * share))

    def _estimate_wait(self, rank: tuple[float, ...], now: float) -> float:
        """Estimate the seconds until a call of this rank would start."""
        ahead = [
            waiting.expected_s
            for waiting in self._waiting.values()
            if waiting.rank <= rank
        ]
        left_s = sum(
            max(0.0, running.started_at + running.expected_s - now)
            for running in self._running.values()
        )
        next_free_s = left_s / max(1, len(self._running)) / self._limit
        slot_wait_s = sum(ahead) / self._limit + next_free_s
        return max(
            slot_wait_s, self._start_rate.compute_wait(now, ahead=len(ahead))
        )

    def _remove_waiting(self, call_id: int) -> _Waiting | None:
        waiting = self._waiting.pop(call_id, None)
        if waiting is not None:
            self._waiting_s -= waiting.expected_s
        if not self._waiting:
            self._waiting_s = 0.0
            self._order.clear()
            self._expiry.clear()
        return waiting

    def _refuse_cold(self, call_id: int, now: float) -> admission.Refuse:
        self.cold.refused += 1
        return _refuse(
            call_id, verdict.Reason.OVERLOAD, self.cold.compute_wait(now)
        )

    def _refuse_full(self, call_id: int, now: float) -> admission.Refuse:
        retry_s = min(
            self.estimate_backlog(now), self._settings.max_retry_after_s
        )
        return _refuse(call_id, verdict.Reason.OVERLOAD, retry_s)


def _refuse(
    call_id: int, reason: verdict.Reason, retry_after_s: float
) -> admission.Refuse:
    return admission.Refuse(call_id, reason, retry_after_s)


def _compute_latest_start(candidate: Candidate, needed_s: float) -> float:
    """Return the latest useful start time of a call.

    Nested calls have until the deadline that the calling target set. Their
    objective is ignored, since only that of the root matters.
    """
    if candidate.depth > 0 or not math.isfinite(candidate.objective_at):
        return candidate.deadline - needed_s
    return min(candidate.objective_at, candidate.deadline) - needed_s


def _rank(candidate: Candidate, tie_breaker: float) -> tuple[float, ...]:
    depth_rank = 0.0 if candidate.depth > 0 else 1.0
    return (
        depth_rank,
        float(candidate.importance),
        float(candidate.route_importance),
        tie_breaker,
    )
