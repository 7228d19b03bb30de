"""Runs an admission policy on the event loop with futures and a timer."""

import asyncio
import dataclasses
import itertools
import math
import random
import time
import typing

from .. import verdict
from ..document import model
from ..policy import admission
from ..policy import retries
from ..transport import frames

_RETRY_ELSEWHERE = frozenset(
    (verdict.Reason.LEAVING, verdict.Reason.EVACUATED)
)
_IMPORTANCES = tuple(sorted(model.Importance))


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The call may start now.

    Args:
        call_id: Id to pass to Admitter.finish when the call ends.
    """

    call_id: int


class Policy(typing.Protocol):
    """Decides which calls start, wait or are refused.

    Times are seconds of a monotonic clock. Every method returns actions for
    the calls that it decides on.
    """

    def offer(
        self, candidate: admission.Candidate, now: float
    ) -> list[admission.Action]:
        """Submit a new call."""

    def finish(
        self, call_id: int, now: float, *, ok: bool, child_s: float = 0.0
    ) -> list[admission.Action]:
        """Report that a started call has ended."""

    def cancel(self, call_id: int, now: float) -> list[admission.Action]:
        """Remove a waiting call whose caller has disconnected."""

    def expire(self, now: float) -> list[admission.Action]:
        """Refuse calls that waited too long and start those that fit."""

    def next_event_at(self) -> float | None:
        """Return when expire is next due, or None while no call waits."""

    def drain(self, now: float) -> list[admission.Action]:
        """Stop accepting new calls."""


PolicyT = typing.TypeVar('PolicyT', bound=Policy)


class Admitter(typing.Generic[PolicyT]):
    """Queues calls until the policy starts or refuses them.

    Args:
        policy: Decides which calls start, wait or are refused.
        source: Random number generator, for jitter.
        retry_elsewhere: Reasons of refusal after which the caller's node may
            try another upstream.
    """

    def __init__(
        self,
        policy: PolicyT,
        *,
        source: random.Random,
        retry_elsewhere: frozenset[verdict.Reason] = _RETRY_ELSEWHERE,
    ) -> None:
        self._retry_elsewhere = retry_elsewhere
        self.policy = policy
        self._random = source
        self._loop = asyncio.get_running_loop()
        # The event loop's clock is too coarse to measure service times.
        self._clock = time.monotonic
        self._ids = itertools.count(1)
        self._waiting: dict[
            int, asyncio.Future[admission.Start | admission.Refuse]
        ] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float('inf')

    async def admit(
        self,
        context: frames.Context,
        *,
        deadline: float,
        route: str = '',
        objective_at: float = math.inf,
        may_wait: bool = True,
    ) -> Admitted | verdict.NotRun:
        """Wait until a call may start or is refused.

        Args:
            context: The call's context.
            deadline: Loop time by which the answer is due.
            route: Name of the call's route.
            objective_at: Loop time up to which an answer has its full value.
            may_wait: Whether to queue the call if it cannot start at once.

        Returns:
            Admitted, or the refusal.
        """
        now = self._clock()
        call_id = next(self._ids)
        candidate = admission.Candidate(
            call_id=call_id,
            importance=_clamp_importance(context.importance),
            account=context.account,
            root_hash=context.root_hash,
            root_started_at=now - context.root_age_s,
            deadline=deadline,
            depth=context.depth,
            route=route,
            objective_at=objective_at,
            route_importance=context.route_importance,
            may_wait=may_wait,
        )
        actions = self.policy.offer(candidate, now)
        for action in actions:
            if action.call_id == call_id:
                self._apply_actions(actions, skipped_call_id=call_id)
                return self._build_result(action)
        self._apply_actions(actions)
        return await self._wait(call_id)

    def finish(self, call_id: int, *, ok: bool, child_s: float = 0.0) -> None:
        """Report that an admitted call has ended.

        Args:
            call_id: Id of the call.
            ok: False if the target refused the call or was lost.
            child_s: Seconds for which child calls of the call were running.
        """
        now = self._clock()
        self._apply_actions(
            self.policy.finish(call_id, now, ok=ok, child_s=child_s)
        )

    def carry_out(
        self, actions: list[admission.Start | admission.Refuse]
    ) -> None:
        """Carry out actions of the policy after its settings have changed."""
        self._apply_actions(actions)

    def drain(self) -> None:
        """Stop accepting new calls."""
        self._apply_actions(self.policy.drain(self._clock()))

    def stop(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    async def _wait(self, call_id: int) -> Admitted | verdict.NotRun:
        future: asyncio.Future[admission.Start | admission.Refuse] = (
            self._loop.create_future()
        )
        self._waiting[call_id] = future
        self._set_timer()
        try:
            action = await future
        except asyncio.CancelledError:
            self._waiting.pop(call_id, None)
            if future.done() and not future.cancelled():
                self._release_unused(call_id, future.result())
            else:
                now = self._clock()
                self._apply_actions(self.policy.cancel(call_id, now))
                # The call may have been started since its caller left, before
                # this task ran again; otherwise this is without effect.
                self.finish(call_id, ok=False)
            raise
        return self._build_result(action)

    def _release_unused(
        self, call_id: int, action: admission.Start | admission.Refuse
    ) -> None:
        if isinstance(action, admission.Start):
            self.finish(call_id, ok=False)

    def _build_result(
        self, action: admission.Start | admission.Refuse
    ) -> Admitted | verdict.NotRun:
        if isinstance(action, admission.Start):
            return Admitted(action.call_id)
        return verdict.NotRun(
            action.reason,
            retry_after_s=retries.compute_retry_after(
                action.retry_after_s, self._random.random()
            ),
            retry_elsewhere=action.reason in self._retry_elsewhere,
        )

    def _apply_actions(
        self,
        actions: list[admission.Start | admission.Refuse],
        *,
        skipped_call_id: int = 0,
    ) -> None:
        for action in actions:
            if action.call_id == skipped_call_id:
                continue
            future = self._waiting.pop(action.call_id, None)
            if future is not None and not future.done():
                future.set_result(action)
        if self._waiting:
            self._set_timer()

    def _set_timer(self) -> None:
        at = self.policy.next_event_at()
        if at is None or at >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = at
        self._timer = self._loop.call_later(
            max(0.0, at - self._clock()), self._expire
        )

    def _expire(self) -> None:
        self._timer = None
        self._timer_at = float('inf')
        self._apply_actions(self.policy.expire(self._clock()))
        self._set_timer()


def _clamp_importance(value: int) -> model.Importance:
    return _IMPORTANCES[min(value, len(_IMPORTANCES) - 1)]
