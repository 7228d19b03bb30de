"""Sends a call to an upstream, and to another where that is safe."""

import asyncio
import random
import secrets
import time
import typing

from .. import events
from .. import verdict
from ..policy import balance
from ..policy import retries
from ..policy import retry_budget
from ..policy import spread
from ..transport import bodies
from ..transport import dialler
from ..transport import frames
from . import front

# Upstreams whose gates may refuse one call before it is given up.
MAX_GATES = 4
# Shortest time after which a refused caller may come back.
LEAST_PAUSE_S = 0.1
_NEVER_ARRIVED = frozenset(
    (
        verdict.Reason.NO_UPSTREAM,
        verdict.Reason.TARGET_UNREACHABLE,
        verdict.Reason.FENCED,
        verdict.Reason.LEAVING,
        verdict.Reason.OVERLOAD,
        verdict.Reason.MEMORY,
    )
)


class AddressBook(typing.Protocol):
    """Knows where upstreams' nodes accept links."""

    def find_address(self, node_id: str) -> dialler.Address | None:
        """Return a node's address, or None when it is not known."""


class Runner(typing.Protocol):
    """Runs an attempt at this node's own target."""

    async def run(self, call: frames.Call) -> dialler.Reply:
        """Run one attempt."""


class Forwarder:
    """The last step of a call at the caller's node.

    Args:
        node_id: This node; attempts to itself need no link.
        book: Addresses of the upstreams' nodes.
        links: Sends attempts to other nodes.
        runner: Runs attempts at this node's own target.
        balancer: Chooses upstreams.
        repeats: This node's part of the bound on repeats.
        count_nodes: Returns how many nodes share that bound.
        source: Random numbers.
    """

    def __init__(
        self,
        *,
        node_id: str,
        book: AddressBook,
        links: dialler.Dialler,
        runner: Runner,
        balancer: spread.Spread,
        repeats: retry_budget.RetryBudget,
        count_nodes: typing.Callable[[], int],
        source: random.Random,
    ) -> None:
        self._node_id = node_id
        self._book = book
        self._links = links
        self._runner = runner
        self._balancer = balancer
        self._repeats = repeats
        self._count_nodes = count_nodes
        self._random = source
        self._loop = asyncio.get_running_loop()
        # The loop's own time is too coarse for latencies.
        self._clock = time.monotonic

    async def send(self, item: front.Item) -> verdict.Verdict:
        """Return what became of a call."""
        self._repeats.count_call(item.service, self._clock())
        tried: set[str] = set()
        arrivals = 0
        while True:
            upstream = self._choose(item.service, tried)
            if upstream is None:
                return self._give_up(item, None)
            tried.add(upstream.node_id)
            outcome = await self._attempt(item, upstream)
            if isinstance(outcome, verdict.Answered):
                return outcome
            if _has_arrived(outcome):
                arrivals += 1
            if not self._may_repeat(item, outcome, len(tried), arrivals):
                return self._give_up(item, outcome)

    def _choose(
        self, service: str, tried: set[str]
    ) -> balance.Upstream | None:
        return self._balancer.choose(
            service,
            self._clock(),
            (self._random.random(), self._random.random()),
            excluded=tried,
        )

    def _may_repeat(
        self,
        item: front.Item,
        outcome: verdict.NotRun | verdict.MayHaveRun,
        gates: int,
        arrivals: int,
    ) -> bool:
        if self._loop.time() >= item.deadline or gates >= MAX_GATES:
            return False
        if isinstance(outcome, verdict.MayHaveRun):
            if not item.route.idempotent:
                return False
            if outcome.reason not in retries.RETRYABLE_DOUBTS:
                return False
        elif not outcome.retry_elsewhere:
            return False
        if not _has_arrived(outcome):
            return True
        if arrivals >= item.route.max_upstreams:
            return False
        return self._repeats.take(
            item.service, self._clock(), self._count_nodes()
        )

    def _give_up(
        self,
        item: front.Item,
        outcome: verdict.NotRun | verdict.MayHaveRun | None,
    ) -> verdict.NotRun | verdict.MayHaveRun:
        if isinstance(outcome, verdict.MayHaveRun):
            return outcome
        reason = (
            verdict.Reason.NO_UPSTREAM if outcome is None else outcome.reason
        )
        backlog_s = 0.0
        if outcome is not None and outcome.retry_after_s is not None:
            backlog_s = outcome.retry_after_s
        # Callers that were refused together come back spread out, when the
        # queue that refused them has had time to empty.
        pause_s = max(LEAST_PAUSE_S, backlog_s) * (1.0 + self._random.random())
        return verdict.NotRun(reason, retry_after_s=pause_s)

    async def _attempt(
        self, item: front.Item, upstream: balance.Upstream
    ) -> verdict.Verdict:
        started_at = self._clock()
        call = self._build_call(item)
        outcome = balance.Outcome.CANCELLED
        load: float | None = None
        failed = False
        ended: verdict.Verdict | None = None
        self._balancer.start(upstream.node_id, started_at)
        try:
            reply = await self._transmit(item, upstream, call)
            ended = reply.outcome
            outcome = balance.classify_verdict(ended)
            failed = _is_failure(reply.outcome)
            if reply.feedback is not None:
                load = reply.feedback.load
            if _is_unreachable(ended):
                self._mark_down(upstream, ended)
        finally:
            now = self._clock()
            item.attempts.append(
                front.Attempt(
                    node_id=upstream.node_id,
                    outcome=_name_outcome(ended),
                    latency_s=now - started_at,
                    load=load,
                )
            )
            self._balancer.finish(
                upstream.node_id,
                now,
                route=item.route.name,
                outcome=outcome,
                latency_s=now - started_at,
                load=load,
                failed=failed,
            )
        return reply.outcome

    def _mark_down(
        self, upstream: balance.Upstream, outcome: verdict.Verdict
    ) -> None:
        events.log(
            events.LINK_LOST,
            peer=upstream.node_id,
            service=upstream.service,
            reason=_name_outcome(outcome),
        )
        self._balancer.mark_down(upstream.node_id, self._clock())

    async def _transmit(
        self, item: front.Item, upstream: balance.Upstream, call: frames.Call
    ) -> dialler.Reply:
        if upstream.node_id == self._node_id:
            return await self._runner.run(call)
        address = self._book.find_address(upstream.node_id)
        if address is None:
            refusal = verdict.NotRun(
                verdict.Reason.NO_UPSTREAM, retry_elsewhere=True
            )
            return dialler.Reply(refusal, None)
        return await self._links.call(
            address,
            call,
            deadline=item.deadline,
            retriable=item.route.idempotent,
        )

    def _build_call(self, item: front.Item) -> frames.Call:
        now = self._loop.time()
        body = item.request.body
        attempt = secrets.token_bytes(frames.ATTEMPT_BYTES)
        return frames.Call(
            attempt=attempt,
            route=item.route.name,
            context=frames.Context(
                account=item.account,
                importance=item.importance,
                root_id=attempt,
                root_hash=self._random.random(),
                root_age_s=max(0.0, now - item.arrived_at),
                # Only targets call on open routes.
                depth=int(item.route.open_to_all),
            ),
            remaining_s=max(0.0, item.deadline - now),
            allowance=0,
            idempotency_key='',
            request=item.request,
            body_length=len(body),
            digest=bodies.compute_digest(body),
            objective_s=max(
                0.0, item.arrived_at + item.route.objective_s - now
            ),
        )


def _name_outcome(outcome: verdict.Verdict | None) -> str:
    if outcome is None:
        return 'cancelled'
    if isinstance(outcome, verdict.Answered):
        return str(outcome.response.status)
    return outcome.reason.value


def _has_arrived(outcome: verdict.NotRun | verdict.MayHaveRun) -> bool:
    """Return whether the target has seen the call, or may have."""
    if isinstance(outcome, verdict.MayHaveRun):
        return True
    return outcome.reason not in _NEVER_ARRIVED


def _is_failure(outcome: verdict.Verdict) -> bool:
    if isinstance(outcome, verdict.Answered):
        return outcome.response.status >= 500
    return outcome.reason is verdict.Reason.TARGET_REFUSED


def _is_unreachable(outcome: verdict.Verdict) -> bool:
    if isinstance(outcome, verdict.Answered):
        return False
    return outcome.reason in balance.UNREACHABLE or (
        outcome.reason is verdict.Reason.LINK_LOST
    )
