"""Admission of calls to one target.

Decides which calls start, wait or are refused. It does no I/O: the time
comes in, actions go out, and each offered call gets one final action.
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
    """Settings of admission.

    Args:
        limit: Settings of the adaptive limit.
        level: Settings of the level.
        queue_s: Seconds that a new root may wait.
        long_queue_s: Seconds that work already begun, and the two most
            important classes, may wait.
        min_queue: Calls that may wait in any case.
        max_queue_factor: Calls that may wait, per call that may run.
        retry_after_s: Seconds after which a refused caller may come back.
    """

    limit: concurrency.ConcurrencySettings = dataclasses.field(
        default_factory=concurrency.ConcurrencySettings
    )
    level: shedding.SheddingSettings = dataclasses.field(
        default_factory=shedding.SheddingSettings
    )
    queue_s: float = 0.2
    long_queue_s: float = 0.5
    min_queue: int = 4
    max_queue_factor: float = 4.0
    retry_after_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Send the call to the target now.

    Args:
        call_id: The call.
    """

    call_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the call; it has not run.

    Args:
        call_id: The call.
        reason: Why.
        retry_after_s: Seconds after which a retry may succeed, to be
            spread by the caller.
    """

    call_id: int
    reason: verdict.Reason
    retry_after_s: float


Action: typing.TypeAlias = Start | Refuse


class Admission:
    """Admission to one target.

    Args:
        settings: The settings.
        slots: Calls that the target runs at a time.
    """

    def __init__(self, settings: AdmissionSettings, *, slots: int) -> None:
        self._settings = settings
        self._limit = concurrency.ConcurrencyLimit(settings.limit, slots=slots)
        self._control = shedding.LevelControl(settings.level)
        self._queue = queue.WaitingQueue()
        self._running: dict[int, float] = {}
        self._draining = False

    @property
    def in_flight(self) -> int:
        """Calls that are running."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Calls that are waiting."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Calls that may run at a time."""
        return self._limit.limit

    def offer(self, candidate: Candidate, now: float) -> list[Action]:
        """Offer a call.

        Args:
            candidate: The call.
            now: The time, in seconds.

        Returns:
            Actions, possibly for other calls. Without one for this call,
            it waits.
        """
        control = self._control
        if now >= control.window_ends_at:
            self._roll(now)
        if self._draining:
            reason = verdict.Reason.LEAVING
            return [Refuse(candidate.call_id, reason, 0.0)]
        control.observe_offer(candidate.importance, candidate.root_hash)
        if self._is_late(candidate, now):
            reason = verdict.Reason.DEADLINE
            return [Refuse(candidate.call_id, reason, 0.0)]
        if not self._queue and len(self._running) < self._limit.limit:
            self._start(candidate, 0.0, now)
            return [Start(candidate.call_id)]
        return self._enqueue(candidate, now)

    def finish(
        self, call_id: int, now: float, *, ok: bool, child_s: float = 0.0
    ) -> list[Action]:
        """End a started call.

        Args:
            call_id: The call; an unknown one changes nothing.
            now: The time, in seconds.
            ok: False if the target refused the call or was lost; True if
                it answered, whatever the status, and if the call was
                cancelled.
            child_s: Seconds that the target waited for calls of its own.

        Returns:
            Actions for waiting calls.
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
        """Drop a call whose caller has gone.

        A started call keeps its slot until finish is called for it.

        Args:
            call_id: The call.
            now: The time, in seconds.

        Returns:
            The refusal of the call if it was waiting.
        """
        if self._queue.remove(call_id) is None:
            return []
        return [Refuse(call_id, verdict.Reason.CALLER_GONE, 0.0)]

    def expire(self, now: float) -> list[Action]:
        """Refuse what has waited too long and start what can start."""
        if now >= self._control.window_ends_at:
            self._roll(now)
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
        """Return when to call expire, or None while nothing waits."""
        return self._queue.next_expiry()

    def report_load(self, in_flight: int, slots: int, now: float) -> None:
        """Take the target's own load report as a hint."""
        self._limit.observe_report(in_flight, slots, now)

    def resize(self, slots: int) -> None:
        """Change the number of slots."""
        self._limit.resize(slots)

    def drain(self, now: float) -> list[Action]:
        """Take no new calls; those that wait still run."""
        self._draining = True
        return self.expire(now)

    def level(self, now: float) -> levels.Level:
        """Return the level to put on answers."""
        if now >= self._control.window_ends_at:
            self._roll(now)
        return self._control.level()

    def _roll(self, now: float) -> None:
        load = shedding.Load(
            len(self._running), self._limit.limit, self._limit.service_s
        )
        self._control.roll(now, load)

    def _is_late(self, candidate: Candidate, now: float) -> bool:
        # With nothing running, the estimate is not trusted, so that one
        # slow period cannot refuse everything that comes after it.
        needed_s = self._limit.expected_s if self._running else 0.0
        return now + needed_s >= candidate.deadline

    def _start(
        self, candidate: Candidate, queue_delay_s: float, now: float
    ) -> None:
        self._running[candidate.call_id] = now
        self._limit.observe_start(len(self._running), now)
        self._control.observe_start(
            candidate.importance, candidate.root_hash, queue_delay_s
        )

    def _enqueue(self, candidate: Candidate, now: float) -> list[Action]:
        settings = self._settings
        is_short = (
            candidate.depth == 0
            and candidate.importance > model.Importance.HIGH
        )
        wait_s = settings.queue_s if is_short else settings.long_queue_s
        wait_s = max(wait_s, self._limit.service_s)
        latest = candidate.deadline - self._limit.expected_s
        self._queue.push(
            candidate, now=now, expires_at=min(now + wait_s, latest)
        )
        actions = self.expire(now)
        while len(self._queue) > self._compute_capacity():
            worst = self._queue.pop_worst()
            if worst is not None:
                actions.append(self._refuse(worst.candidate))
        return actions

    def _compute_capacity(self) -> int:
        limit = self._limit.limit
        service_s = self._limit.service_s
        most = self._settings.max_queue_factor * limit
        if service_s > 0.0:
            wait_s = max(self._settings.queue_s, service_s)
            most = min(most, wait_s * limit / service_s)
        return max(self._settings.min_queue, int(most))

    def _start_waiting(self, waiting: queue.Waiting, now: float) -> Action:
        candidate = waiting.candidate
        if self._is_late(candidate, now):
            self._observe_refusal(candidate)
            reason = verdict.Reason.DEADLINE
            return Refuse(candidate.call_id, reason, 0.0)
        self._start(candidate, now - waiting.queued_at, now)
        return Start(candidate.call_id)

    def _refuse_waiting(self, waiting: queue.Waiting, now: float) -> Refuse:
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
        self._control.observe_refusal(
            candidate.importance, candidate.root_hash
        )
