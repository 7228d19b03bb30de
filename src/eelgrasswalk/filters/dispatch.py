"""Sends requests to upstreams, retrying where safe, in eelgrasswalk-node."""

import asyncio
import dataclasses
import random
import time
import typing

import msgspec

from .. import verdict
from ..policy import breaker
from ..policy import levels
from ..policy import retries
from ..policy.placement import balance
from ..transport import attempt_ids
from ..transport import bodies
from ..transport import budget
from ..transport import dialler
from ..transport import frames
from ..transport import message
from . import filter_chain

# Attempts that reach no upstream add no load and use no retry allowance. Their
# backoff gives a starting node time to become reachable.
MAX_UNREACHABLE_ATTEMPTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    upstream: balance.Upstream
    call: frames.Call
    started_at: float


@dataclasses.dataclass(slots=True)
class _AttemptHistory:
    """Attempts made so far for one request.

    Args:
        tried: Ids of nodes that the next attempt avoids.
        attempts: Number of attempts.
        unreachable_attempts: Number of consecutive attempts that reached no
            upstream.
        failure: Combined verdict of all attempts; None before the first.
    """

    tried: set[str] = dataclasses.field(default_factory=set)
    attempts: int = 0
    unreachable_attempts: int = 0
    failure: verdict.Failure | None = None

    def record(self, outcome: verdict.Failure) -> None:
        """Record a failed attempt."""
        self.attempts += 1
        self.failure = verdict.combine(self.failure, outcome)
        self.unreachable_attempts = (
            self.unreachable_attempts + 1
            if _reached_no_upstream(outcome)
            else 0
        )
        if outcome.reason is verdict.Reason.FENCED:
            # The link failed, not the upstream, which may be the only one
            # of its service.
            self.tried.clear()

    def may_retry_unreachable(self) -> bool:
        """Return whether to retry after upstreams could not be reached.

        During a rolling restart, both the stopping and the starting upstream
        can be unreachable for a moment.
        """
        is_unknown = self.attempts == 1 and not self.tried
        return (
            not is_unknown
            and self.unreachable_attempts <= MAX_UNREACHABLE_ATTEMPTS
        )


class Transmitter(typing.Protocol):
    """Sends attempts to the nodes of their upstreams."""

    async def transmit(
        self,
        node_id: str,
        call: frames.Call,
        *,
        deadline: float,
        retriable: bool,
    ) -> dialler.Reply:
        """Run one attempt at an upstream and return the reply."""


class Dispatcher:
    """Sends requests to upstreams as the last step of the filter chain.

    Args:
        transmitter: Sends attempts to the upstreams' nodes.
        balancer: Chooses an upstream for each attempt.
        level_table: Overload levels received from upstreams.
        retry_breaker: Circuit breaker for retries to a service that fails as
            a whole.
        source: Random number generator, for load balancing and jitter.
        removed_headers: Lower-case names of headers that are not forwarded to
            other nodes.
    """

    def __init__(
        self,
        *,
        transmitter: Transmitter,
        balancer: balance.Balancer,
        level_table: levels.LevelTable,
        retry_breaker: breaker.RetryBreaker,
        source: random.Random,
        removed_headers: frozenset[bytes],
    ) -> None:
        self._removed = removed_headers
        self._transmitter = transmitter
        self._balancer = balancer
        self._levels = level_table
        self._retry_breaker = retry_breaker
        self._random = source
        self._ids = attempt_ids.AttemptIds()
        # The event loop's clock is too coarse to measure latencies.
        self._clock = time.monotonic

    async def send(self, exchange: filter_chain.Exchange) -> verdict.Verdict:
        """Send a request, with retries as far as its allowance permits."""
        exchange.request = self._strip(exchange.request)
        service = exchange.get_route().service
        self._retry_breaker.count_request(service, self._clock())
        history = _AttemptHistory()
        while True:
            outcome = await self._send_once(exchange, history.tried)
            if isinstance(outcome, verdict.Answered):
                return outcome
            history.record(outcome)
            decision = self._decide(exchange, outcome, history)
            if isinstance(decision, retries.GiveUp):
                return verdict.combine(history.failure, decision.verdict)
            if not _reached_no_upstream(outcome):
                self._retry_breaker.count_retry(service, self._clock())
            await asyncio.sleep(decision.delay_s)

    def _strip(self, request: message.Request) -> message.Request:
        headers = message.strip_headers(request.headers, remove=self._removed)
        # Other hosts have other clocks.
        stripped = msgspec.structs.replace(
            request, headers=headers, received_at=None
        )
        if len(request.body) > budget.UNCOUNTED_BYTES:
            budget.keep_alive(stripped, request)
        return stripped

    def _decide(
        self,
        exchange: filter_chain.Exchange,
        outcome: verdict.Failure,
        history: _AttemptHistory,
    ) -> retries.Retry | retries.GiveUp:
        route = exchange.get_route()
        now = self._clock()
        random_value = self._random.random()
        if _reached_no_upstream(outcome) and history.may_retry_unreachable():
            delay_s = retries.compute_backoff(
                history.unreachable_attempts, random_value
            )
            if now + delay_s < exchange.deadline:
                return retries.Retry(delay_s)
        return retries.decide_retry(
            outcome,
            idempotent=route.idempotent,
            retry_allowance=exchange.get_retry_allowance(),
            # An attempt that reached no upstream added no load to the
            # service, so its retry does not add to a retry storm.
            breaker_open=not _reached_no_upstream(outcome)
            and self._retry_breaker.is_open(route.service, now),
            now=now,
            deadline=exchange.deadline,
            attempt=history.attempts,
            random_value=random_value,
        )

    async def _send_once(
        self, exchange: filter_chain.Exchange, tried: set[str]
    ) -> verdict.Verdict:
        now = self._clock()
        upstream = self._balancer.choose(
            exchange.get_route().service,
            now,
            (self._random.random(), self._random.random()),
            excluded=tried,
        )
        if upstream is None:
            # All upstreams have been tried; the first may be reachable again.
            tried.clear()
            return verdict.NotRun(
                verdict.Reason.NO_UPSTREAM,
                retry_after_s=retries.compute_retry_after(
                    1.0, self._random.random()
                ),
                detail='no upstream of the service is known',
            )
        tried.add(upstream.node_id)
        retry_allowance = exchange.get_retry_allowance()
        attempt = self._ids.take()
        granted = retry_allowance.allocate(
            int.from_bytes(attempt),
            retries.compute_child_allowance(retry_allowance.remaining),
        )
        call = self._build_call(exchange, attempt, granted, now)
        reply = await self._run(_Attempt(upstream, call, now), exchange)
        return reply.outcome

    async def _run(
        self, attempt: _Attempt, exchange: filter_chain.Exchange
    ) -> dialler.Reply:
        upstream = attempt.upstream
        unspent: int | None = None
        outcome = balance.Outcome.CANCELLED
        queue_delay_s = 0.0
        self._balancer.start(upstream.node_id, attempt.started_at)
        try:
            reply = await self._transmitter.transmit(
                upstream.node_id,
                attempt.call,
                deadline=exchange.deadline,
                retriable=exchange.get_route().idempotent,
            )
            outcome = balance.classify_verdict(reply.outcome)
            if reply.feedback is not None:
                unspent = reply.feedback.unspent
                queue_delay_s = reply.feedback.queue_delay_s
                self._observe_level(upstream, reply.feedback)
        finally:
            now = self._clock()
            exchange.get_retry_allowance().reclaim(
                int.from_bytes(attempt.call.attempt), unspent=unspent
            )
            self._balancer.finish(
                upstream.node_id,
                now,
                outcome=outcome,
                latency_s=now - attempt.started_at,
                queue_delay_s=queue_delay_s,
            )
        return reply

    def _observe_level(
        self, upstream: balance.Upstream, feedback: frames.Feedback
    ) -> None:
        if feedback.importance >= levels.CLASSES:
            return
        self._levels.observe(
            upstream.service,
            upstream.node_id,
            levels.Level(
                feedback.importance,
                feedback.fraction,
                feedback.queue_delay_s,
            ),
            self._clock(),
        )

    def _build_call(
        self,
        exchange: filter_chain.Exchange,
        attempt: bytes,
        granted: int,
        now: float,
    ) -> frames.Call:
        body = exchange.request.body
        context = exchange.get_context()
        return frames.Call(
            attempt=attempt,
            route=exchange.get_route().name,
            context=frames.Context(
                account=context.account,
                importance=context.importance,
                root_id=context.root_id,
                root_hash=context.root_hash,
                root_age_s=max(0.0, now - exchange.root_started_at),
                depth=context.depth,
            ),
            remaining_s=max(0.0, exchange.deadline - now),
            allowance=granted,
            idempotency_key=exchange.idempotency_key,
            request=exchange.request,
            body_length=len(body),
            digest=bodies.compute_digest(body),
        )


def _reached_no_upstream(outcome: verdict.Verdict) -> bool:
    """Return whether the upstream was unreachable or is stopping."""
    return isinstance(outcome, verdict.NotRun) and (
        outcome.reason in balance.UNREACHABLE_REASONS
        or outcome.reason is verdict.Reason.LEAVING
    )
