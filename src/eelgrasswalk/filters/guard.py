"""Admits and runs calls at the upstream's node in eelgrasswalk-node."""

import asyncio
import dataclasses
import time
import typing

from .. import verdict
from ..document import model
from ..policy import admission
from ..policy import levels
from ..policy import retries
from ..policy import routing
from ..transport import budget
from ..transport import dialler
from ..transport import frames
from . import admit
from . import delivery
from . import dependency_levels
from . import filter_chain
from . import served_calls

Proceed: typing.TypeAlias = typing.Callable[
    [], typing.Coroutine[typing.Any, typing.Any, verdict.Verdict]
]


class Claims(typing.Protocol):
    """Ensures that a non-idempotent request runs at most once."""

    async def run_once(
        self,
        call: frames.Call,
        route: model.Route,
        proceed: Proceed,
    ) -> verdict.Verdict:
        """Run a request, replay its stored answer, or refuse it.

        Args:
            call: The call.
            route: Route of the call.
            proceed: Runs the request at the target.
        """


class Guard:
    """Admits attempts and delivers them to the target.

    Args:
        get_table: Returns the active configuration, or None if there is none.
        admitter: Queues calls and decides which ones start.
        deliverer: Sends calls to the target.
        calls: Registry of the calls that the target is serving.
        bodies: Memory budget for bodies.
        dependencies: Overload levels of the services that the target calls.
        claims: At-most-once claims, for routes that ask for them; None
            without a store.

    Attributes:
        draining: Whether new calls are refused because the node is stopping.
        answered_count: Number of calls that the target has answered.
    """

    def __init__(
        self,
        *,
        get_table: typing.Callable[[], routing.RoutingTable | None],
        admitter: admit.Admitter[admission.Admission],
        deliverer: delivery.Deliverer,
        calls: served_calls.ServedCalls,
        bodies: budget.ByteBudget,
        dependencies: dependency_levels.DependencyLevels,
        claims: Claims | None = None,
    ) -> None:
        self.draining = False
        self.answered_count = 0
        self._get_table = get_table
        self._admitter = admitter
        self._deliverer = deliverer
        self._calls = calls
        self._bodies = bodies
        self._dependencies = dependencies
        self._claims = claims
        self._loop = asyncio.get_running_loop()

    async def run(self, call: frames.Call) -> dialler.Reply:
        """Run one attempt; the reply reports this node's overload level."""
        retry_allowance = retries.RetryAllowance(call.allowance)
        outcome = await self._check_and_run(call, retry_allowance)
        return dialler.Reply(
            outcome, self._build_feedback(call.route, retry_allowance)
        )

    async def _check_and_run(
        self, call: frames.Call, retry_allowance: retries.RetryAllowance
    ) -> verdict.Verdict:
        refusal = self._check(call)
        if refusal is not None:
            return refusal
        resolved = self._resolve(call, retry_allowance)
        if resolved is None:
            return verdict.NotRun(
                verdict.Reason.NO_CONFIGURATION, retry_elsewhere=True
            )
        return await self._admit(resolved)

    def _check(self, call: frames.Call) -> verdict.NotRun | None:
        if call.remaining_s <= 0:
            return verdict.NotRun(verdict.Reason.DEADLINE)
        if self.draining:
            return verdict.NotRun(verdict.Reason.LEAVING, retry_elsewhere=True)
        if not self._bodies.admits_calls(call.request.body):
            return verdict.NotRun(
                verdict.Reason.MEMORY, retry_after_s=1.0, retry_elsewhere=True
            )
        return self._dependencies.check(call)

    def _resolve(
        self, call: frames.Call, retry_allowance: retries.RetryAllowance
    ) -> '_ResolvedCall | None':
        """Look up the call's route and service; None if one is unknown."""
        table = self._get_table()
        route = table.routes.get(call.route) if table else None
        if table is None or route is None:
            return None
        service = table.services.get(route.service)
        if service is None:
            return None
        deadline = self._loop.time() + call.remaining_s
        return _ResolvedCall(call, retry_allowance, route, service, deadline)

    async def _admit(self, resolved: '_ResolvedCall') -> verdict.Verdict:
        admitted = await self._admitter.admit(
            resolved.call.context, deadline=resolved.deadline
        )
        if isinstance(admitted, verdict.NotRun):
            return admitted
        slot = _Slot(self._admitter, admitted.call_id)
        try:
            return await self._claim(resolved, slot)
        finally:
            slot.release_unused()

    async def _claim(
        self, resolved: '_ResolvedCall', slot: '_Slot'
    ) -> verdict.Verdict:
        async def proceed() -> verdict.Verdict:
            with slot:
                outcome = await self._deliver(resolved, slot)
                slot.ok = _is_ok(outcome)
                self.answered_count += isinstance(outcome, verdict.Answered)
            return outcome

        if self._claims is None or not resolved.needs_claim:
            return await proceed()
        return await self._claims.run_once(
            resolved.call, resolved.route, proceed
        )

    async def _deliver(
        self, resolved: '_ResolvedCall', slot: '_Slot'
    ) -> verdict.Verdict:
        call = resolved.call
        served_call = filter_chain.ServedCall(
            context=call.context,
            root_started_at=self._loop.time() - call.context.root_age_s,
            deadline=resolved.deadline,
            retry_allowance=resolved.retry_allowance,
        )
        token = self._calls.add(served_call)
        try:
            return await self._deliverer.deliver(
                call.request,
                token=token,
                route=resolved.route,
                service=resolved.service,
                deadline=resolved.deadline,
                has_child_calls=lambda: bool(served_call.services),
            )
        finally:
            self._calls.remove(token)
            slot.child_s = served_call.child_s
            self._dependencies.observe(
                resolved.route.name, served_call.services
            )

    def _build_feedback(
        self, route: str, retry_allowance: retries.RetryAllowance
    ) -> frames.Feedback:
        own: levels.Level = self._admitter.policy.level(time.monotonic())
        level = self._dependencies.combine(route, own)
        return frames.Feedback(
            importance=level.importance,
            fraction=level.fraction,
            queue_delay_s=level.queue_delay_s,
            unspent=retry_allowance.remaining,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _ResolvedCall:
    """A call with its route and service looked up."""

    call: frames.Call
    retry_allowance: retries.RetryAllowance
    route: model.Route
    service: model.Service
    deadline: float

    @property
    def needs_claim(self) -> bool:
        """Whether the call must hold an at-most-once claim to run."""
        return (
            not self.route.idempotent
            and self.route.once is not model.OnceMode.NONE
            and bool(self.call.idempotency_key)
        )


class _Slot:
    """The slot that an admitted call occupies at the target.

    A claimed request keeps running after its caller has disconnected, so the
    slot is released when the target has finished, not when the caller stops
    waiting.

    Args:
        admitter: Is told when the slot is released.
        call_id: Id of the admitted call.

    Attributes:
        ok: False if the target refused the call or was lost.
        child_s: Seconds during which child calls of the call were running.
    """

    def __init__(
        self, admitter: admit.Admitter[admission.Admission], call_id: int
    ) -> None:
        self.ok = True
        self.child_s = 0.0
        self._admitter = admitter
        self._call_id = call_id
        self._used = False

    def __enter__(self) -> None:
        self._used = True

    def __exit__(self, *_: object) -> None:
        self._admitter.finish(self._call_id, ok=self.ok, child_s=self.child_s)

    def release_unused(self) -> None:
        """Release the slot unless the request was started."""
        if not self._used:
            self._admitter.finish(self._call_id, ok=True)


def _is_ok(outcome: verdict.Verdict) -> bool:
    """Return whether the target neither refused the call nor was lost."""
    if isinstance(outcome, verdict.Answered):
        return True
    return outcome.reason in (
        verdict.Reason.CALLER_GONE,
        verdict.Reason.DEADLINE,
    )
