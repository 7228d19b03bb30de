"""Sends calls to upstreams, retrying where safe, in eelgrasswalk-sidecar."""

import asyncio
import collections.abc
import math
import random
import time
import typing

from .. import events
from .. import verdict
from ..policy import retries
from ..policy import retry_budget
from ..policy import root_share
from ..policy import running_calls
from ..policy.capacity import service_times
from ..policy.capacity import target_notices
from ..policy.placement import balance
from ..policy.placement import finish_time
from ..policy.placement import probing
from ..policy.placement import spread
from ..transport import attempt_ids
from ..transport import bodies
from ..transport import dialler
from ..transport import frames
from . import attempt_history
from . import front
from . import transmit

# Attempts of one call that may queue but reach no target.
MAX_UNDELIVERED = 4
# Attempts of one call that reach a target. A target that rejects half of its
# calls accepts one of eight almost certainly.
MAX_DELIVERIES = 8
# A call that queued for less than this counts as having found a free slot.
IMMEDIATE_START_S = 0.001
FindHomes: typing.TypeAlias = typing.Callable[
    [front.IncomingCall], collections.abc.Set[str] | None
]
# Minimum retry-after, before jitter, of a call that was refused everywhere.
MIN_RETRY_AFTER_S = 0.1


def _find_no_homes(call: front.IncomingCall) -> None:
    """Allow all data centres."""


class Forwarder:
    """Forwards calls as the last step at the caller's node.

    Args:
        transmitter: Sends attempts to the upstreams' nodes.
        balancer: Chooses an upstream for each attempt.
        running: Requests that this node's own target is running.
        shares: Is told which calls of this node's own target failed for lack
            of capacity downstream.
        budget: This node's part of the fleet-wide retry budget.
        count_nodes: Returns the number of nodes that share that budget.
        source: Random number generator, for load balancing and jitter.
        find_homes: Returns the data centres in which a call may run, or None
            for all.
    """

    def __init__(
        self,
        *,
        transmitter: transmit.Transmitter,
        balancer: spread.LoadAwareBalancer,
        running: running_calls.RunningCalls,
        shares: root_share.RootShares,
        budget: retry_budget.RetryBudget,
        count_nodes: typing.Callable[[], int],
        source: random.Random,
        find_homes: FindHomes = _find_no_homes,
    ) -> None:
        self._transmitter = transmitter
        self._balancer = balancer
        self._running = running
        self._shares = shares
        self._retry_budget = budget
        self._count_nodes = count_nodes
        # Services and routes whose requests are known to make no child calls.
        self._leaf_routes: set[tuple[str, str]] = set()
        self._notices: target_notices.TargetNotices[frames.TargetNotice] = (
            target_notices.TargetNotices()
        )
        self._probing = probing.ProbePolicy(probing.ProbeSettings())
        self._random = source
        self._find_homes = find_homes
        self._ids = attempt_ids.AttemptIds()
        self._loop = asyncio.get_running_loop()
        # The event loop's clock is too coarse to measure latencies.
        self._clock = time.monotonic

    async def send(self, call: front.IncomingCall) -> verdict.Verdict:
        """Send a call, with retries where allowed, and return the verdict."""
        if _is_target_call(call):
            self._running.record_call(call.parent_id)
            run = self._running.find(call.parent_id)
            if run is not None:
                # A call that the target makes inherits from the request that
                # it is made for.
                call.priority = run.priority
                call.is_retry = run.is_retry
        outcome, downstream_starved_ratio = await self._try_upstreams(call)
        if _is_target_call(call):
            self._record_target_call(call, outcome, downstream_starved_ratio)
        return outcome

    def _record_target_call(
        self,
        call: front.IncomingCall,
        outcome: verdict.Verdict,
        downstream_starved_ratio: float,
    ) -> None:
        """Attribute the outcome to the request that the call was made for."""
        if _has_failed(outcome):
            self._running.record_failed_call(call.parent_id)
        run = self._running.find(call.parent_id)
        self._shares.observe(
            None if run is None else run.route,
            root_share.is_capacity_failure(outcome, downstream_starved_ratio),
            self._clock(),
        )

    async def _try_upstreams(
        self, call: front.IncomingCall
    ) -> tuple[verdict.Verdict, float]:
        """Try upstreams until one answers or no retry is allowed.

        Returns:
            The verdict, and the ratio of child calls that the upstream last
            reported as failing for lack of capacity.
        """
        self._retry_budget.count_call(
            call.service,
            self._clock(),
            is_nested=_is_target_call(call),
            is_retry=call.is_retry,
        )
        history = attempt_history.AttemptHistory()
        failure: verdict.Failure = verdict.NotRun(verdict.Reason.NO_UPSTREAM)
        capacity_failure_ratio = 0.0
        while True:
            homes = history.homes = self._find_homes(call)
            upstream = self._choose(call, history, homes)
            if upstream is None:
                return self._give_up(failure), capacity_failure_ratio
            may_wait = not self._may_probe(call, history, homes)
            reply = await self._attempt(
                call, upstream, history, may_wait=may_wait
            )
            outcome = reply.outcome
            self._record_free_slot(call, reply)
            if reply.feedback is not None:
                capacity_failure_ratio = reply.feedback.capacity_failure_ratio
            if isinstance(outcome, verdict.Answered):
                return outcome, capacity_failure_ratio
            if not may_wait and attempt_history.is_retriable_overload(outcome):
                history.probed.add(upstream.node_id)
                continue
            failure = verdict.combine(failure, outcome)
            if attempt_history.is_evacuated(outcome):
                history.record_evacuated(
                    upstream.node_id, upstream.data_centre
                )
                if self._loop.time() >= call.deadline:
                    return self._give_up(failure), capacity_failure_ratio
                continue
            history.record(upstream.node_id, outcome)
            if reply.feedback is not None:
                history.run_at = reply.feedback.run_at
            if not self._may_retry(call, outcome, history):
                return self._give_up(failure), capacity_failure_ratio
            call.is_retry = call.is_retry or history.deliveries > 0

    def _may_probe(
        self,
        call: front.IncomingCall,
        history: attempt_history.AttemptHistory,
        homes: collections.abc.Set[str] | None,
    ) -> bool:
        """Return whether the next attempt is a probe, which does not queue."""
        if history.attempts or history.reached:
            return False
        return self._probing.should_probe(
            call.service,
            probes=len(history.probed),
            targets=self._balancer.count_upstreams(
                call.service, data_centres=homes
            ),
            random_value=self._random.random(),
        )

    def _record_free_slot(
        self, call: front.IncomingCall, reply: dialler.Reply
    ) -> None:
        feedback = reply.feedback
        if feedback is None or feedback.cold_s:
            # A cold target says nothing of the slots of the others.
            return
        is_retriable_overload = attempt_history.is_retriable_overload(
            reply.outcome
        )
        found = (
            not is_retriable_overload
            and feedback.queue_delay_s < IMMEDIATE_START_S
        )
        self._probing.observe(call.service, found_free_slot=found)

    def _choose(
        self,
        call: front.IncomingCall,
        history: attempt_history.AttemptHistory,
        homes: collections.abc.Set[str] | None,
    ) -> balance.Upstream | None:
        def choose(
            excluded: collections.abc.Set[str],
            allowed: collections.abc.Set[str] | None = None,
        ) -> balance.Upstream | None:
            return self._balancer.choose(
                call.service,
                self._clock(),
                (self._random.random(), self._random.random()),
                excluded=excluded,
                allowed=allowed,
                data_centres=homes,
                avoided=history.evacuated,
                route=call.route.name,
                remaining_s=self._compute_remaining(call),
            )

        if len(history.reached) >= call.route.max_upstreams:
            return choose(frozenset(), history.reached)
        if history.run_at:
            found = choose(frozenset(), {history.run_at})
            if found is not None:
                return found
        tried = history.tried
        if history.probed:
            found = choose(tried | history.probed)
            if found is not None:
                return found
        return choose(tried)

    def _compute_remaining(self, call: front.IncomingCall) -> float:
        """Return the seconds left, as far as the choice of upstream uses them.

        Calls of clients have large bodies, which cost more to send to another
        data centre than a faster upstream saves. They never count as urgent.
        """
        if not _is_target_call(call):
            return math.inf
        return call.deadline - self._loop.time()

    def _may_retry(
        self,
        call: front.IncomingCall,
        outcome: verdict.Failure,
        history: attempt_history.AttemptHistory,
    ) -> bool:
        if self._loop.time() >= call.deadline:
            return False
        if history.deliveries >= MAX_DELIVERIES:
            return False
        if history.attempts - history.deliveries >= MAX_UNDELIVERED:
            return False
        if isinstance(outcome, verdict.MayHaveRun):
            if not call.route.idempotent:
                return False
            if outcome.reason not in retries.RETRYABLE_IF_IDEMPOTENT:
                return False
        elif not outcome.retry_elsewhere:
            return False
        if not attempt_history.may_have_reached_target(outcome):
            return True
        may_have_run = isinstance(outcome, verdict.MayHaveRun)
        if may_have_run and len(history.reached) >= call.route.max_upstreams:
            return False
        return self._retry_budget.acquire(
            call.service,
            self._clock(),
            self._count_nodes(),
            priority=call.priority,
            makes_calls=(call.service, call.route.name)
            not in self._leaf_routes,
        )

    def _give_up(self, failure: verdict.Failure) -> verdict.Failure:
        if isinstance(failure, verdict.MayHaveRun):
            return failure
        if failure.reason is verdict.Reason.QUARANTINED:
            # Coming back would be of no use.
            return failure
        # Jitter spreads the retries of callers that were refused together; the
        # base gives the queue that refused them time to drain.
        queue_drain_s = failure.retry_after_s or 0.0
        delay_s = max(MIN_RETRY_AFTER_S, queue_drain_s) * (
            1.0 + self._random.random()
        )
        return verdict.NotRun(failure.reason, retry_after_s=delay_s)

    async def _attempt(
        self,
        call: front.IncomingCall,
        upstream: balance.Upstream,
        history: attempt_history.AttemptHistory,
        *,
        may_wait: bool,
    ) -> dialler.Reply:
        started_at = self._clock()
        self._balancer.start(upstream.node_id, started_at)
        try:
            reply = await self._transmitter.transmit(
                upstream.node_id,
                self._build_call(call, upstream, history, may_wait=may_wait),
                deadline=call.deadline,
                retriable=call.route.idempotent,
            )
        except BaseException:
            self._record_attempt(call, upstream, None, started_at)
            raise
        self._record_attempt(call, upstream, reply, started_at)
        if _is_unreachable(reply.outcome):
            self._mark_down(upstream, reply.outcome)
        return reply

    def _record_attempt(
        self,
        call: front.IncomingCall,
        upstream: balance.Upstream,
        reply: dialler.Reply | None,
        started_at: float,
    ) -> None:
        """Record how an attempt ended; without a reply it was cancelled."""
        now = self._clock()
        outcome = None if reply is None else reply.outcome
        load: float | None = None
        failure_rate: float | None = None
        cold_s: float | None = None
        times: finish_time.Times | None = None
        if reply is not None and reply.feedback is not None:
            load = reply.feedback.load
            cold_s = _read_cold_s(reply)
            times = _read_times(reply.feedback)
            failure_rate = reply.feedback.failing
            self._record_leaf(call, reply.feedback)
            self._record_notice(upstream, reply)
            if reply.feedback.ended_run:
                call.ended_runs += (reply.feedback.ended_run,)
            self._retry_budget.record_report(
                call.service, reply.feedback.retry_use, now
            )
        call.attempts.append(
            front.Attempt(
                node_id=upstream.node_id,
                outcome=_name_outcome(outcome),
                latency_s=now - started_at,
                load=load,
                times=times,
            )
        )
        self._balancer.finish(
            upstream.node_id,
            now,
            route=call.route.name,
            outcome=(
                balance.Outcome.CANCELLED
                if outcome is None
                else balance.classify_verdict(outcome)
            ),
            latency_s=now - started_at,
            load=load,
            failure_rate=failure_rate,
            cold_s=cold_s,
            times=times,
        )

    def _record_leaf(
        self, call: front.IncomingCall, feedback: frames.Feedback
    ) -> None:
        key = (call.service, call.route.name)
        if feedback.makes_calls:
            self._leaf_routes.discard(key)
        elif len(self._leaf_routes) < service_times.MAX_ROUTES:
            self._leaf_routes.add(key)

    def _record_notice(
        self, upstream: balance.Upstream, reply: dialler.Reply
    ) -> None:
        assert reply.feedback is not None
        notice = reply.feedback.notice
        if notice is not None and notice.leaving:
            self._balancer.mark_leaving(upstream.node_id, notice.run_id)
        # The feedback of a refusal may be empty.
        if notice is not None or isinstance(reply.outcome, verdict.Answered):
            self._notices.record(upstream.node_id, notice)

    def _mark_down(
        self, upstream: balance.Upstream, outcome: verdict.Verdict
    ) -> None:
        events.log(
            events.LINK_LOST,
            peer=upstream.node_id,
            service=upstream.service,
            reason=_name_outcome(outcome),
        )
        self._balancer.mark_unreachable(upstream.node_id, self._clock())

    def _build_call(
        self,
        call: front.IncomingCall,
        upstream: balance.Upstream,
        history: attempt_history.AttemptHistory,
        *,
        may_wait: bool,
    ) -> frames.Call:
        now = self._loop.time()
        body = call.request.body
        attempt = self._ids.take()
        return frames.Call(
            attempt=attempt,
            route=call.route.name,
            context=frames.Context(
                account=call.account,
                importance=call.priority.importance,
                root_id=attempt,
                root_hash=call.root_hash,
                root_age_s=max(0.0, now - call.arrived_at),
                depth=int(_is_target_call(call)),
                route_importance=call.priority.route_importance,
                is_retry=call.is_retry,
            ),
            remaining_s=max(0.0, call.deadline - now),
            allowance=0,
            idempotency_key='',
            request=call.request,
            body_length=len(body),
            digest=bodies.compute_digest(body),
            objective_s=max(
                0.0, call.arrived_at + call.route.objective_s - now
            ),
            may_wait=may_wait,
            notice=self._notices.find(upstream.node_id),
            history=_build_history(call, history),
        )


def _read_cold_s(reply: dialler.Reply) -> float | None:
    """Return how long the upstream's target remains cold; None if unknown.

    The feedback of a refusal may be empty, so it never shows a warm target.
    """
    assert reply.feedback is not None
    cold_s = reply.feedback.cold_s
    if cold_s or isinstance(reply.outcome, verdict.Answered):
        return cold_s
    return None


def _read_times(feedback: frames.Feedback) -> finish_time.Times | None:
    if not feedback.service_s:
        return None
    return finish_time.Times(feedback.wait_s, feedback.service_s)


def _name_outcome(outcome: verdict.Verdict | None) -> str:
    if outcome is None:
        return 'cancelled'
    if isinstance(outcome, verdict.Answered):
        return str(outcome.response.status)
    return outcome.reason.value


def _build_history(
    call: front.IncomingCall, history: attempt_history.AttemptHistory
) -> frames.CallHistory | None:
    if not (call.ended_runs or history.unreachable or history.homes):
        return None
    # Sorted, so that all callers leave out the same ones of too many.
    homes = sorted(history.homes or ())
    return frames.CallHistory(
        ended_runs=call.ended_runs[: frames.MAX_NAMES],
        unreachable=tuple(history.unreachable)[: frames.MAX_NAMES],
        data_centres=tuple(homes[: frames.MAX_NAMES]),
    )


def _is_target_call(call: front.IncomingCall) -> bool:
    """Return whether this node's own target makes the call."""
    # Only targets use open routes.
    return call.route.open_to_all


def _has_failed(outcome: verdict.Verdict) -> bool:
    return not isinstance(outcome, verdict.Answered) or outcome.is_failure


def _is_unreachable(outcome: verdict.Verdict) -> bool:
    if isinstance(outcome, verdict.Answered):
        return False
    return outcome.reason in balance.UNREACHABLE_REASONS or (
        outcome.reason is verdict.Reason.LINK_LOST
    )
