"""Admits and delivers calls at the upstream's node in eelgrasswalk-sidecar."""

import asyncio
import collections.abc
import math
import time
import typing

import msgspec

from .. import clock
from .. import events
from .. import ports
from .. import request_log
from .. import verdict
from ..policy import root_share
from ..policy import running_calls
from ..policy import target_failures
from ..policy.capacity import slot_queue
from ..transport import budget
from ..transport import client_connection
from ..transport import dialler
from ..transport import frames
from ..transport import http_client
from ..transport import message
from . import admit
from . import attempt_log
from . import attempt_outcomes
from . import coldness
from . import deliveries
from . import isolation as call_isolation
from . import load_observer
from . import target_limit

MAX_ANSWER_BYTES = 33_554_432
MIN_REMAINING_S = 0.002
# Longest wait that is reported to callers; a target may accept no call at all.
MAX_REPORTED_WAIT_S = 600.0
# Fraction of the drain time for which calls are still accepted, as peers may
# have sent them before they learned of the drain.
ACCEPT_DRAIN_RATIO = 0.4
# Fraction of the drain time after which queued calls are no longer delivered.
DELIVER_DRAIN_RATIO = 0.8
BuildIsolation: typing.TypeAlias = typing.Callable[
    [deliveries.Deliveries], call_isolation.Isolation
]
_CALLER_GONE = dialler.Reply(
    verdict.MayHaveRun(verdict.Reason.CALLER_GONE), None
)


class Gate:
    """Admits calls and delivers them to this node's target.

    Args:
        dialect: Header format of the target.
        pool: Connections to the target.
        admitter: Queues calls and decides which ones start.
        bodies: Memory budget for bodies.
        running: Requests that the target is running.
        shares: Decides which new call trees to accept while the target's own
            calls fail for lack of capacity downstream.
        isolate: Builds what keeps deadly requests away from the target.
        get_retry_use: Returns which part of the retry budgets for the
            target's own calls is used.
        log: Records the outcome of each attempt.
        service: Name of the target's service, for the log.
        drain_s: Seconds after an acknowledged drain during which calls may
            still reach the target.

    Attributes:
        coldness: Whether the target is or may be cold.
        isolation: Keeps deadly requests away from the target.
        loads: What the target reports of its load.
        drain_s: As above; a change applies to the next drain.
        on_leaving: Called with the id of the target when it says in an answer
            that it is leaving.
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
        isolate: BuildIsolation,
        get_retry_use: typing.Callable[[], float],
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
        self._failures = target_failures.TargetFailures()
        self._get_retry_use = get_retry_use
        self.drain_s = drain_s
        self.on_leaving: typing.Callable[[str], None] = _ignore
        self._loop = asyncio.get_running_loop()
        self._is_stopping = False
        self._is_evacuated = False
        self._target_id = ''
        self._run_id = ''
        self._refused = attempt_outcomes.RefusedRequests()
        self._limit = target_limit.TargetLimit(admitter)
        self.coldness = coldness.Coldness(admitter)
        self._log = attempt_log.AttemptLog(
            dialect,
            log,
            service,
            policy=admitter.policy,
            limit=self._limit,
            cold=self.coldness,
            shares=shares,
            bodies=bodies,
        )
        self._deliveries = deliveries.Deliveries(pool, self._handle_crash)
        self.isolation = isolate(self._deliveries)
        self.loads = load_observer.LoadObserver(
            dialect,
            log,
            count_calls=lambda: admitter.policy.in_flight,
            count_abandoned=self._deliveries.count_abandoned,
        )
        self._accepts_until = math.inf
        self._delivers_until = math.inf

    def set_target(self, target_id: str, slots: int, *, run_id: str) -> None:
        """Set the target that calls are delivered to and end any drain.

        Args:
            target_id: Id of the target, which alone may run the calls.
            slots: Number of calls that the target runs at a time.
            run_id: Id of this run of the target.
        """
        if run_id != self._run_id:
            if self._run_id:
                self._deliveries.handle_end(self._run_id)
            self._failures = target_failures.TargetFailures()
            self._limit.reset()
        is_known = run_id == self._run_id
        self._target_id = target_id
        self._run_id = run_id
        self._accepts_until = math.inf
        self._delivers_until = math.inf
        self._admitter.policy.resize(slots)
        self.loads.set_target(target_id, slots, run_id=run_id)
        if not is_known:
            self.coldness.set_target(target_id)

    def announce_cold(self, run_id: str, cold_s: float | None) -> None:
        """Take how long the target says that it remains cold.

        Args:
            run_id: Id of the run that says so; another run is ignored.
            cold_s: Seconds; None for a malformed value.
        """
        if run_id == self._run_id:
            self.coldness.announce(cold_s)

    def assume_cold(
        self, source: coldness.Source = coldness.Source.EVACUATION_LIFTED
    ) -> None:
        """Assume that the target is cold until a later health check."""
        self.coldness.assume(source)

    def start_draining(self) -> None:
        """Start to drain the target; no effect once calls are refused."""
        now = clock.read_boot_time()
        if self._accepts_until <= now:
            return
        self._accepts_until = now + ACCEPT_DRAIN_RATIO * self.drain_s
        self._delivers_until = now + DELIVER_DRAIN_RATIO * self.drain_s

    def stop_accepting(self) -> None:
        """Refuse new calls, as this node is about to stop."""
        self._is_stopping = True

    def set_evacuated(self, evacuated: bool) -> None:
        """Choose whether calls are refused because of an evacuation.

        Queued calls are refused at once, so that they can run elsewhere in
        time.
        """
        self._is_evacuated = evacuated
        if evacuated:
            self._admitter.carry_out(
                self._admitter.policy.refuse_waiting(verdict.Reason.EVACUATED)
            )

    def refuse(
        self, call: frames.Call, refusal: verdict.NotRun
    ) -> dialler.Reply:
        """Refuse a call before anything else is decided on it."""
        reply = dialler.Reply(refusal, None)
        self._record(call, reply, self._loop.time())
        return reply

    async def run(self, call: frames.Call) -> dialler.Reply:
        """Run one attempt; the reply reports the target's load."""
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
        self._adopt_notice(call)
        refusal = self._check(call)
        if refusal is not None:
            return dialler.Reply(refusal, None)
        allowed = await self.isolation.enter(
            call, wait_s=min(call.objective_s, call.remaining_s)
        )
        if isinstance(allowed, call_isolation.Refused):
            feedback = self._build_feedback(call.route, 0.0)
            return dialler.Reply(
                allowed.outcome,
                msgspec.structs.replace(feedback, run_at=allowed.run_at),
            )
        outcome: verdict.Verdict | None = None
        try:
            reply = await self._run_admitted(call, started_at)
            outcome = reply.outcome
        finally:
            self.isolation.leave(call, allowed, outcome)
        return reply

    async def _run_admitted(
        self, call: frames.Call, started_at: float
    ) -> dialler.Reply:
        if self._is_evacuated:
            # The evacuation has begun while the call was kept apart.
            return dialler.Reply(
                attempt_outcomes.refuse(verdict.Reason.EVACUATED), None
            )
        deadline = started_at + call.remaining_s
        self.coldness.note_call()
        self._update_slowdown()
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
            running_calls.Priority(
                call.context.importance, call.context.route_importance
            ),
            is_retry=call.context.is_retry,
        )
        run_id = self._run_id
        try:
            outcome = await self._deliver(
                call, deadline, run_id, admitted.call_id
            )
            ok = attempt_outcomes.is_ok(outcome)
        finally:
            has_failed_call = self._running.end(request_id)
            self._admitter.finish(admitted.call_id, ok=ok)
        if not attempt_outcomes.is_withheld(outcome):
            self._failures.observe(outcome, has_failed_call=has_failed_call)
        feedback = self._build_feedback(call.route, waited_s)
        if attempt_outcomes.is_crash(outcome):
            feedback = msgspec.structs.replace(feedback, ended_run=run_id)
        return dialler.Reply(outcome, feedback)

    def _record(
        self, call: frames.Call, reply: dialler.Reply, started_at: float
    ) -> None:
        self._log.record(
            call,
            reply,
            target_id=self._target_id,
            latency_s=self._loop.time() - started_at,
        )

    def _check(self, call: frames.Call) -> verdict.NotRun | None:
        if call.remaining_s <= MIN_REMAINING_S:
            return verdict.NotRun(verdict.Reason.DEADLINE)
        if self._is_evacuated:
            return attempt_outcomes.refuse(verdict.Reason.EVACUATED)
        if not self._target_id:
            return attempt_outcomes.refuse(verdict.Reason.TARGET_UNREACHABLE)
        if self._is_stopping or clock.read_boot_time() >= self._accepts_until:
            return attempt_outcomes.refuse(verdict.Reason.LEAVING)
        if not self._bodies.admits_calls(call.request.body):
            return attempt_outcomes.refuse(verdict.Reason.MEMORY)
        return self._check_share(call)

    def _check_share(self, call: frames.Call) -> verdict.NotRun | None:
        if call.context.depth > 0:
            return None
        if self._shares.admits(
            call.route, call.context.root_hash, time.monotonic()
        ):
            return None
        # All targets of a service call the same services, so a retry at
        # another target would not help.
        return verdict.NotRun(
            verdict.Reason.OVERLOAD, retry_after_s=self._shares.retry_after_s
        )

    async def _deliver(
        self, call: frames.Call, deadline: float, run_id: str, call_id: int
    ) -> verdict.Verdict:
        # The drain time includes time for which the host is suspended.
        if clock.read_boot_time() >= self._delivers_until:
            return attempt_outcomes.refuse(verdict.Reason.LEAVING)
        if self._is_evacuated:
            return attempt_outcomes.refuse(verdict.Reason.EVACUATED)
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
        self._limit.count_sent()
        echo = self._dialect.find_echo(call.request.headers)
        self._deliveries.begin(call)
        try:
            outcome = await self._pool.send(
                request,
                max_answer_bytes=MAX_ANSWER_BYTES,
                find_echo=self._dialect.find_echo,
                deadline=deadline,
                # A copy of an earlier refusal would pass for the answer.
                fresh=echo in self._refused,
                # It may have waited for a connection, and the target may have
                # become cold or its data centre been evacuated meanwhile.
                may_send=lambda: self._may_send(call_id),
            )
            if await self._has_crashed(outcome, run_id):
                self._deliveries.end(call)
                self._assume_cold(run_id, coldness.Source.CRASH)
                return verdict.MayHaveRun(verdict.Reason.TARGET_CRASHED)
        except TimeoutError:
            self._deliveries.end(call)
            return verdict.MayHaveRun(verdict.Reason.DEADLINE)
        except asyncio.CancelledError:
            self._deliveries.abandon(call, run_id)
            raise
        if isinstance(outcome, http_client.Broken):
            self._deliveries.abandon(call, run_id)
            if attempt_outcomes.is_excess(outcome):
                self._log.record_given_up(call, outcome, self._target_id)
        else:
            self._deliveries.end(call)
        if isinstance(outcome, http_client.NotSent) and outcome.is_refusal:
            self._deliveries.handle_end(run_id)
            self._assume_cold(run_id, coldness.Source.REFUSED_CONNECTION)
        classified = self._classify_outcome(outcome, run_id)
        self._refused.record(echo, classified)
        return classified

    def _may_send(self, call_id: int) -> bool:
        if self._is_evacuated:
            return False
        return self.coldness.confirm_start(call_id)

    async def _has_crashed(
        self, outcome: http_client.Outcome, run_id: str
    ) -> bool:
        """Return whether a call was lost because its target has ended."""
        return attempt_outcomes.is_lost(
            outcome
        ) and await self._deliveries.has_target_ended(run_id)

    def _handle_crash(
        self,
        run_id: str,
        started: collections.abc.Sequence[deliveries.Started],
    ) -> None:
        self._assume_cold(run_id, coldness.Source.CRASH)
        is_leaving = self._accepts_until < math.inf
        self._log.record_crash(run_id, started, is_leaving=is_leaving)
        if not is_leaving:
            # The end of a target that leaves has been announced.
            self.isolation.handle_crash(run_id, started)

    def _assume_cold(self, run_id: str, source: coldness.Source) -> None:
        # The target may start again under the same id.
        if run_id == self._run_id:
            self.coldness.assume(source)

    def _classify_outcome(
        self, outcome: http_client.Outcome, run_id: str
    ) -> verdict.Verdict:
        if isinstance(outcome, http_client.NotSent):
            if self._is_evacuated:
                return attempt_outcomes.refuse(verdict.Reason.EVACUATED)
            if outcome.is_withheld:
                return attempt_outcomes.refuse(
                    verdict.Reason.OVERLOAD, self.coldness.compute_wait()
                )
            events.log(events.TARGET_UNREACHABLE, detail=outcome.detail)
            return attempt_outcomes.refuse(verdict.Reason.TARGET_UNREACHABLE)
        if isinstance(outcome, http_client.Broken):
            return verdict.MayHaveRun(outcome.reason, outcome.detail)
        notice = self._dialect.read_notice(outcome.response)
        # An answer of an earlier run says nothing of this one.
        if notice is not None and run_id == self._run_id:
            self._apply_notice(notice)
        self.loads.observe(outcome.response, run_id)
        self._update_slowdown()
        classified = self._dialect.judge(outcome.response)
        if isinstance(classified, verdict.Answered):
            answer = classified.response
            if (
                len(answer.body) > budget.UNCOUNTED_BYTES
                or len(answer.headers) >= client_connection.COUNTED_HEADERS
            ):
                # Share the body memory already charged for the original
                # response.
                budget.keep_alive(answer, outcome.response)
        return classified

    def _adopt_notice(self, call: frames.Call) -> None:
        """Go by what a caller's node knows until the target has answered."""
        notice = call.notice
        if notice is not None and notice.run_id == self._run_id:
            self._limit.adopt(notice.calls_per_s, self._target_id)

    def _apply_notice(self, notice: ports.TargetNotice) -> None:
        self._limit.apply(notice.calls_per_s, self._target_id)
        if notice.leaving and self._accepts_until == math.inf:
            self.start_draining()
            events.log(events.TARGET_LEAVING, target=self._target_id)
            self.on_leaving(self._target_id)

    def _build_feedback(self, route: str, waited_s: float) -> frames.Feedback:
        policy = self._admitter.policy
        now = time.monotonic()
        service_s: float | None = None
        if self._update_slowdown():
            service_s = policy.estimate_service(route)
        return frames.Feedback(
            importance=frames.SILENT_FEEDBACK.importance,
            fraction=1.0,
            queue_delay_s=waited_s,
            unspent=0,
            load=policy.compute_load(now),
            capacity_failure_ratio=self._shares.get_capacity_failure_ratio(
                route
            ),
            failing=self._failures.rate,
            makes_calls=self._running.makes_calls(route),
            retry_use=self._get_retry_use(),
            notice=self._build_notice(),
            cold_s=self.coldness.compute_feedback(),
            wait_s=(
                0.0
                if service_s is None
                else min(policy.estimate_start(now), MAX_REPORTED_WAIT_S)
            ),
            service_s=service_s or 0.0,
        )

    def _update_slowdown(self) -> bool:
        """Tell the queue the slowdown; return whether the target states it."""
        slowdown = self.loads.find_slowdown()
        self._admitter.policy.slowdown = 1.0 if slowdown is None else slowdown
        return slowdown is not None

    def _build_notice(self) -> frames.TargetNotice | None:
        is_leaving = self._accepts_until < math.inf
        calls_per_s = self._limit.calls_per_s
        is_silent = calls_per_s is None and not is_leaving
        if is_silent or not self._run_id:
            return None
        return frames.TargetNotice(self._run_id, calls_per_s, is_leaving)


def _ignore(target_id: str) -> None:
    """Ignore that the target is leaving."""
