"""Admission control for the calls to one target.

Decides which calls start, wait in the queue or are refused. It performs no
I/O: callers pass in the current time and carry out the returned actions. Each
offered call gets exactly one final action.
"""

import dataclasses
import typing

from .. import verdict
from ..document import model
from . import concurrency
from . import levels
from . import queue
from . import shedding

Candidate = queue.Candidate


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of admission control.

    Args:
        limit: Settings of the adaptive concurrency limit.
        level: Settings of load shedding.
        max_wait_s: Longest time that a root call may wait, in seconds.
        max_priority_wait_s: The same for nested calls and for the two most
            important classes, in seconds.
        min_queue_length: Calls that may wait regardless of the limit.
        max_queue_per_slot: Calls that may wait per call that may run.
        retry_after_s: Seconds after which a refused caller may retry.
    """

    limit: concurrency.ConcurrencySettings = dataclasses.field(
        default_factory=concurrency.ConcurrencySettings
    )
    level: shedding.SheddingSettings = dataclasses.field(
        default_factory=shedding.SheddingSettings
    )
    max_wait_s: float = 0.2
    max_priority_wait_s: float = 0.5
    min_queue_length: int = 4
    max_queue_per_slot: float = 4.0
    retry_after_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Send the call to the target now.

    Args:
        call_id: ID of the call.
    """

    call_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the call; it has not run.

    Args:
        call_id: ID of the call.
        reason: Why it is refused.
        retry_after_s: Seconds after which a retry may succeed; the caller
            adds jitter.
    """

    call_id: int
    reason: verdict.Reason
    retry_after_s: float


Action: typing.TypeAlias = Start | Refuse


class Admission:
    """Admission control for one target.

    Args:
        settings: Limits of the queue, the concurrency and the level.
        slots: Calls that the target can run concurrently.
    """

    def __init__(self, settings: AdmissionSettings, *, slots: int) -> None:
        self._settings = settings
        self._limit = concurrency.ConcurrencyLimit(settings.limit, slots=slots)
        self._level_controller = shedding.LevelController(settings.level)
        self._queue = queue.WaitingQueue()
        self._running: dict[int, float] = {}
        self._draining = False

    @property
    def in_flight(self) -> int:
        """Number of running calls."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of queued calls."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Calls that may run concurrently."""
        return self._limit.limit

    def offer(self, candidate: Candidate, now: float) -> list[Action]:
        """Offer a call.

        Args:
            candidate: The call.
            now: The time, in seconds.

        Returns:
            Actions, possibly for other calls. A call without an action is
            queued.
        """
        control = self._level_controller
        if now >= control.window_ends_at:
            self._end_window(now)
        if self._draining:
            reason = verdict.Reason.LEAVING
            return [Refuse(candidate.call_id, reason, 0.0)]
        control.observe_offer(candidate.importance, candidate.root_hash)
        if self._would_miss_deadline(candidate, now):
            reason = verdict.Reason.DEADLINE
            return [Refuse(candidate.call_id, reason, 0.0)]
        if not self._queue and len(self._running) < self._limit.limit:
            self._start(candidate, 0.0, now)
            return [Start(candidate.call_id)]
        return self._enqueue(candidate, now)

    def finish(
        self, call_id: int, now: float, *, ok: bool, child_s: float = 0.0
    ) -> list[Action]:
        """Record the end of a started call.

        Args:
            call_id: ID of the call; an unknown one is ignored.
            now: The time, in seconds.
            ok: False if the target refused the call or the connection to it
                was lost; True for a response of any status and for a
                cancelled call.
            child_s: Seconds that the target waited for its own calls.

        Returns:
            Actions for queued calls.
        """
        started_at = self._running.pop(call_id, None)
        if started_at is None:
            return []
        service_s = now - started_at
        own_s = max(0.0, service_s - child_s)
        self._limit.observe_finish(service_s, own_s, now, ok)
        if not self._queue:
            return []
        return self.expire(now)

    def cancel(self, call_id: int, now: float) -> list[Action]:
        """Remove a call whose caller has disconnected from the queue.

        A started call keeps its slot until finish is called for it.

        Args:
            call_id: ID of the call.
            now: The time, in seconds.

        Returns:
            The refusal of the call if it was queued.
        """
        if self._queue.remove(call_id) is None:
            return []
        return [Refuse(call_id, verdict.Reason.CALLER_GONE, 0.0)]

    def expire(self, now: float) -> list[Action]:
        """Refuse calls that waited too long and start those that fit."""
        if now >= self._level_controller.window_ends_at:
            self._end_window(now)
        actions: list[Action] = [
            self._refuse_waiting(waiting, now)
            for waiting in self._queue.pop_expired(now)
        ]
        while self._queue and len(self._running) < self._limit.limit:
            waiting = self._queue.pop()
            if waiting is not None:
                actions.append(self._start_waiting(waiting, now))
        return actions

    def next_event_at(self) -> float | None:
        """Return when to call expire next, or None if the queue is empty."""
        return self._queue.get_next_expiry()

    def report_load(self, in_flight: int, slots: int, now: float) -> None:
        """Pass the target's own load report to the concurrency limit."""
        self._limit.observe_report(in_flight, slots, now)

    def resize(self, slots: int) -> None:
        """Change the number of slots."""
        self._limit.resize(slots)

    def drain(self, now: float) -> list[Action]:
        """Refuse new calls; queued calls still run."""
        self._draining = True
        return self.expire(now)

    def level(self, now: float) -> levels.Level:
        """Return the level to attach to responses."""
        if now >= self._level_controller.window_ends_at:
            self._end_window(now)
        return self._level_controller.level()

    def _end_window(self, now: float) -> None:
        load = shedding.Load(
            len(self._running), self._limit.limit, self._limit.service_s
        )
        self._level_controller.end_window(now, load)

    def _would_miss_deadline(self, candidate: Candidate, now: float) -> bool:
        # The estimate is ignored while no call runs. Otherwise one slow
        # period could keep it too high to admit any later call.
        needed_s = self._limit.expected_s if self._running else 0.0
        return now + needed_s >= candidate.deadline

    def _start(
        self, candidate: Candidate, queue_delay_s: float, now: float
    ) -> None:
        self._running[candidate.call_id] = now
        self._limit.observe_start(len(self._running), now)
        self._level_controller.observe_start(
            candidate.importance, candidate.root_hash, queue_delay_s
        )

    def _enqueue(self, candidate: Candidate, now: float) -> list[Action]:
        settings = self._settings
        is_short = (
            candidate.depth == 0
            and candidate.importance > model.Importance.HIGH
        )
        wait_s = (
            settings.max_wait_s if is_short else settings.max_priority_wait_s
        )
        wait_s = max(wait_s, self._limit.service_s)
        latest = candidate.deadline - self._limit.expected_s
        self._queue.push(
            candidate, now=now, expires_at=min(now + wait_s, latest)
        )
        actions = self.expire(now)
        while len(self._queue) > self._compute_max_queue_length():
            refused = self._queue.pop_first_refused()
            if refused is not None:
                actions.append(self._refuse(refused.candidate))
        return actions

    def _compute_max_queue_length(self) -> int:
        limit = self._limit.limit
        service_s = self._limit.service_s
        most = self._settings.max_queue_per_slot * limit
        if service_s > 0.0:
            wait_s = max(self._settings.max_wait_s, service_s)
            most = min(most, wait_s * limit / service_s)
        return max(self._settings.min_queue_length, int(most))

    def _start_waiting(self, waiting: queue.QueuedCall, now: float) -> Action:
        candidate = waiting.candidate
        if self._would_miss_deadline(candidate, now):
            self._observe_refusal(candidate)
            reason = verdict.Reason.DEADLINE
            return Refuse(candidate.call_id, reason, 0.0)
        self._start(candidate, now - waiting.queued_at, now)
        return Start(candidate.call_id)

    def _refuse_waiting(self, waiting: queue.QueuedCall, now: float) -> Refuse:
        candidate = waiting.candidate
        if now + self._limit.expected_s >= candidate.deadline:
            self._observe_refusal(candidate)
            reason = verdict.Reason.DEADLINE
            return Refuse(candidate.call_id, reason, 0.0)
        return self._refuse(candidate)

    def _refuse(self, candidate: Candidate) -> Refuse:
        self._observe_refusal(candidate)
        return Refuse(
            candidate.call_id,
            verdict.Reason.OVERLOAD,
            self._settings.retry_after_s,
        )

    def _observe_refusal(self, candidate: Candidate) -> None:
        self._level_controller.observe_refusal(
            candidate.importance, candidate.root_hash
        )
