"""The upstream's side of a call: admits it and delivers it to the target."""

import asyncio
import time
import typing

from .. import clock
from .. import events
from .. import ports
from .. import request_log
from .. import verdict
from ..policy import root_share
from ..policy import running_calls
from ..policy import slot_queue
from ..policy import target_faults
from ..transport import budget
from ..transport import dialler
from ..transport import frames
from ..transport import http_client
from ..transport import message
from . import admit

MAX_ANSWER_BYTES = 33_554_432
MIN_REMAINING_S = 0.002
# Calls that peers had sent before they heard of a drain are still taken for
# this share of the time that a drain allows.
ACCEPT_DRAIN_RATIO = 0.4
# What waits longer than that must not reach the target any more.
DELIVER_DRAIN_RATIO = 0.8
_CALLER_GONE = dialler.Reply(
    verdict.MayHaveRun(verdict.Reason.CALLER_GONE), None
)


class Gate:
    """Admits calls and delivers them to this node's target.

    Args:
        dialect: How the target is spoken to.
        pool: Connections to the target.
        admitter: Decides which call starts.
        bodies: Budget for bodies.
        running: What the target runs.
        shares: Which new calls are begun while the target's own starve.
        log: Takes what became of each attempt.
        service: The target's service, for the log.
        drain_s: Seconds after an acknowledged drain in which calls may
            still reach the target.

    Attributes:
        drain_s: The same, for the next drain.
    """

    def __init__(
        self,
        dialect: ports.Dialect,
        pool: http_client.TargetPool,
        admitter: admit.Admitter[slot_queue.SlotQueue],
        bodies: budget.ByteBudget,
        running: running_calls.RunningCalls,
        shares: root_share.RootShares,
        *,
        log: request_log.RequestLog,
        service: str,
        drain_s: float,
    ) -> None:
        self._dialect = dialect
        self._pool = pool
        self._admitter = admitter
        self._bodies = bodies
        self._running = running
        self._shares = shares
        self._faults = target_faults.TargetFailures()
        self._log = log
        self._service = service
        self.drain_s = drain_s
        self._loop = asyncio.get_running_loop()
        self._target_id = ''
        self._accepts_until = float('inf')
        self._delivers_until = float('inf')

    def set_target(self, target_id: str, slots: int) -> None:
        """Deliver to this lifetime from now on."""
        if target_id != self._target_id:
            self._faults = target_faults.TargetFailures()
        self._target_id = target_id
        self._accepts_until = float('inf')
        self._delivers_until = float('inf')
        self._admitter.policy.resize(slots)

    def start_draining(self) -> None:
        """Let the target's calls come to an end."""
        now = clock.read_boot_time()
        if self._accepts_until <= now:
            return
        self._accepts_until = now + ACCEPT_DRAIN_RATIO * self.drain_s
        self._delivers_until = now + DELIVER_DRAIN_RATIO * self.drain_s

    async def run(self, call: frames.Call) -> dialler.Reply:
        """Run one attempt and tell the target's load with its outcome."""
        started_at = self._loop.time()
        try:
            reply = await self._run(call, started_at)
        except asyncio.CancelledError:
            self._record(call, _CALLER_GONE, started_at)
            raise
        self._record(call, reply, started_at)
        return reply

    async def _run(
        self, call: frames.Call, started_at: float
    ) -> dialler.Reply:
        refusal = self._check(call)
        if refusal is not None:
            return dialler.Reply(refusal, None)
        deadline = started_at + call.remaining_s
        admitted = await self._admitter.admit(
            call.context,
            deadline=deadline,
            route=call.route,
            objective_at=started_at + call.objective_s,
            may_wait=call.may_wait,
        )
        if isinstance(admitted, verdict.NotRun):
            return dialler.Reply(
                admitted, self._build_feedback(call.route, 0.0)
            )
        waited_s = self._loop.time() - started_at
        ok = True
        request_id = self._dialect.read_request_id(call.request.headers)
        self._running.begin(
            request_id,
            call.route,
            running_calls.Urgency(
                call.context.importance, call.context.route_importance
            ),
        )
        try:
            outcome = await self._deliver(call, deadline)
            ok = _is_ok(outcome)
        finally:
            has_failed_call = self._running.end(request_id)
            self._admitter.finish(admitted.call_id, ok=ok)
        self._faults.observe(outcome, has_failed_call=has_failed_call)
        return dialler.Reply(
            outcome, self._build_feedback(call.route, waited_s)
        )

    def _record(
        self, call: frames.Call, reply: dialler.Reply, started_at: float
    ) -> None:
        self._log.record(
            events.ATTEMPT_ENDED,
            reply.outcome,
            hop='gate',
            service=self._service,
            account=call.context.account,
            latency_s=self._loop.time() - started_at,
            describe=lambda: self._describe(call, reply),
        )

    def _describe(
        self, call: frames.Call, reply: dialler.Reply
    ) -> dict[str, typing.Any]:
        policy = self._admitter.policy
        feedback = reply.feedback
        return {
            'request': self._dialect.read_request_id(call.request.headers),
            'route': call.route,
            'target': self._target_id,
            'left_ms': round(call.remaining_s * 1000.0),
            'waited_ms': (
                None
                if feedback is None
                else round(feedback.queue_delay_s * 1000.0, 1)
            ),
            'running': policy.in_flight,
            'queued': policy.queued,
            'limit': policy.limit,
            'share': round(
                self._shares.compute_share(call.route, time.monotonic()), 2
            ),
        }

    def _check(self, call: frames.Call) -> verdict.NotRun | None:
        if call.remaining_s <= MIN_REMAINING_S:
            return verdict.NotRun(verdict.Reason.DEADLINE)
        if not self._target_id:
            return _refuse(verdict.Reason.TARGET_UNREACHABLE)
        if clock.read_boot_time() >= self._accepts_until:
            return _refuse(verdict.Reason.LEAVING)
        if not self._bodies.admits_calls():
            return _refuse(verdict.Reason.MEMORY)
        return self._check_share(call)

    def _check_share(self, call: frames.Call) -> verdict.NotRun | None:
        if call.context.depth > 0:
            return None
        if self._shares.admits(
            call.route, call.context.root_hash, time.monotonic()
        ):
            return None
        # The services that the target calls are the same for all targets of
        # its service, so another one would not help.
        return verdict.NotRun(
            verdict.Reason.OVERLOAD, retry_after_s=self._shares.retry_after_s
        )

    async def _deliver(
        self, call: frames.Call, deadline: float
    ) -> verdict.Verdict:
        # A drain counts through a suspension of the host, too.
        if clock.read_boot_time() >= self._delivers_until:
            return _refuse(verdict.Reason.LEAVING)
        remaining_s = deadline - self._loop.time()
        if remaining_s <= MIN_REMAINING_S:
            return verdict.NotRun(verdict.Reason.DEADLINE)
        request = message.Request(
            method=call.request.method,
            target=call.request.target,
            headers=self._dialect.build_delivered(
                call.request.headers,
                remaining_s=remaining_s,
                target_id=self._target_id,
            ),
            body=call.request.body,
        )
        try:
            outcome = await self._pool.send(
                request,
                max_answer_bytes=MAX_ANSWER_BYTES,
                find_echo=self._dialect.find_echo,
                deadline=deadline,
            )
        except TimeoutError:
            return verdict.MayHaveRun(verdict.Reason.DEADLINE)
        return self._classify_outcome(outcome)

    def _classify_outcome(
        self, outcome: http_client.Outcome
    ) -> verdict.Verdict:
        if isinstance(outcome, http_client.NotSent):
            events.log(events.TARGET_UNREACHABLE, detail=outcome.detail)
            return _refuse(verdict.Reason.TARGET_UNREACHABLE)
        if isinstance(outcome, http_client.Broken):
            return verdict.MayHaveRun(outcome.reason, outcome.detail)
        classified = self._dialect.judge(outcome.response)
        if isinstance(classified, verdict.Answered):
            answer = classified.response
            if len(answer.body) > budget.UNCOUNTED_BYTES:
                # The new answer keeps the old one's place in the budget.
                budget.keep_alive(answer, outcome.response)
        return classified

    def _build_feedback(self, route: str, waited_s: float) -> frames.Feedback:
        policy = self._admitter.policy
        busy = policy.in_flight + policy.queued
        return frames.Feedback(
            importance=frames.SILENT_FEEDBACK.importance,
            fraction=1.0,
            queue_delay_s=waited_s,
            unspent=0,
            load=busy / policy.limit,
            starved=self._shares.measure_starving(route),
            failing=self._faults.rate,
            makes_calls=self._running.makes_calls(route),
        )


def _refuse(reason: verdict.Reason) -> verdict.NotRun:
    return verdict.NotRun(reason, retry_elsewhere=True)


def _is_ok(outcome: verdict.Verdict) -> bool:
    if isinstance(outcome, verdict.Answered):
        return True
    return outcome.reason in (
        verdict.Reason.CALLER_GONE,
        verdict.Reason.DEADLINE,
    )
