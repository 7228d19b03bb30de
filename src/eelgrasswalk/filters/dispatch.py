"""Sends a request to an upstream, and once more where that is safe."""

import asyncio
import dataclasses
import random
import secrets
import time
import typing

from .. import verdict
from ..policy import balance
from ..policy import breaker
from ..policy import levels
from ..policy import retries
from ..transport import bodies
from ..transport import budget
from ..transport import dialler
from ..transport import frames
from ..transport import message
from . import exchange


class AddressBook(typing.Protocol):
    """Knows where upstreams' nodes accept links."""

    def find_address(self, node_id: str) -> dialler.Address | None:
        """Return a node's address, or None when it is not a member."""


class Runner(typing.Protocol):
    """Runs an attempt at this node's own target."""

    async def run(self, call: frames.Call) -> dialler.Reply:
        """Run one attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    upstream: balance.Upstream
    call: frames.Call
    started_at: float


class Dispatcher:
    """The last step of the chain.

    Args:
        node_id: This node; attempts to itself need no link.
        book: Addresses of the upstreams' nodes.
        links: Sends attempts to other nodes.
        runner: Runs attempts at this node's own target.
        balancer: Chooses upstreams.
        level_table: Levels that upstreams have answered with.
        storm: Stops retries of a service that fails as a whole.
        source: Random numbers for choice and jitter.
        removed_headers: Headers that cross no link, in lower case.
    """

    def __init__(
        self,
        *,
        node_id: str,
        book: AddressBook,
        links: dialler.Dialler,
        runner: Runner,
        balancer: balance.Balancer,
        level_table: levels.LevelTable,
        storm: breaker.StormBreaker,
        source: random.Random,
        removed_headers: frozenset[bytes],
    ) -> None:
        self._removed = removed_headers
        self._node_id = node_id
        self._book = book
        self._links = links
        self._runner = runner
        self._balancer = balancer
        self._levels = level_table
        self._storm = storm
        self._random = source
        # The loop's own time is too coarse for latencies.
        self._clock = time.monotonic

    async def send(self, item: exchange.Exchange) -> verdict.Verdict:
        """Return what became of a request after at most its allowance."""
        item.request = self._strip(item.request)
        service = item.get_route().service
        self._storm.count_request(service, self._clock())
        tried: set[str] = set()
        attempts = 0
        while True:
            outcome = await self._send_once(item, tried)
            attempts += 1
            decision = self._decide(item, outcome, attempts)
            if isinstance(decision, retries.GiveUp):
                return decision.verdict
            if _is_fenced(outcome):
                # The link failed, not the upstream, which may be the only
                # one; the next attempt goes by a new link.
                tried.clear()
            if not _never_arrived(outcome):
                self._storm.count_retry(service, self._clock())
            await asyncio.sleep(decision.delay_s)

    def _strip(self, request: message.Request) -> message.Request:
        headers = message.strip_headers(request.headers, remove=self._removed)
        stripped = dataclasses.replace(request, headers=headers)
        if len(request.body) > budget.UNCOUNTED_BYTES:
            budget.keep_alive(stripped, request)
        return stripped

    def _decide(
        self, item: exchange.Exchange, outcome: verdict.Verdict, attempt: int
    ) -> retries.Retry | retries.GiveUp:
        if isinstance(outcome, verdict.Answered):
            return retries.GiveUp(outcome)
        route = item.get_route()
        now = self._clock()
        return retries.decide_retry(
            outcome,
            idempotent=route.idempotent,
            ledger=item.get_ledger(),
            # An attempt that never arrived has not loaded the service, so
            # another one elsewhere is no part of a storm.
            breaker_open=not _never_arrived(outcome)
            and self._storm.is_open(route.service, now),
            now=now,
            deadline=item.deadline,
            attempt=attempt,
            random_value=self._random.random(),
        )

    async def _send_once(
        self, item: exchange.Exchange, tried: set[str]
    ) -> verdict.Verdict:
        now = self._clock()
        upstream = self._balancer.choose(
            item.get_route().service,
            now,
            (self._random.random(), self._random.random()),
            excluded=tried,
        )
        if upstream is None:
            return verdict.NotRun(
                verdict.Reason.NO_UPSTREAM,
                retry_after_s=retries.compute_retry_after(
                    1.0, self._random.random()
                ),
                detail='no upstream of the service is known',
            )
        tried.add(upstream.node_id)
        ledger = item.get_ledger()
        attempt = secrets.token_bytes(frames.ATTEMPT_BYTES)
        lent = ledger.borrow(
            int.from_bytes(attempt), retries.compute_loan(ledger.remaining)
        )
        call = self._build_call(item, attempt, lent, now)
        reply = await self._run(_Attempt(upstream, call, now), item)
        return reply.outcome

    async def _run(
        self, attempt: _Attempt, item: exchange.Exchange
    ) -> dialler.Reply:
        upstream = attempt.upstream
        returned: int | None = None
        outcome = balance.Outcome.CANCELLED
        queue_delay_s = 0.0
        self._balancer.start(upstream.node_id, attempt.started_at)
        try:
            reply = await self._transmit(attempt, item)
            outcome = balance.classify_verdict(reply.outcome)
            if reply.feedback is not None:
                returned = reply.feedback.unspent
                queue_delay_s = reply.feedback.queue_delay_s
                self._observe_level(upstream, reply.feedback)
        finally:
            now = self._clock()
            item.get_ledger().settle(
                int.from_bytes(attempt.call.attempt), returned=returned
            )
            self._balancer.finish(
                upstream.node_id,
                now,
                outcome=outcome,
                latency_s=now - attempt.started_at,
                queue_delay_s=queue_delay_s,
            )
        return reply

    async def _transmit(
        self, attempt: _Attempt, item: exchange.Exchange
    ) -> dialler.Reply:
        if attempt.upstream.node_id == self._node_id:
            return await self._runner.run(attempt.call)
        address = self._book.find_address(attempt.upstream.node_id)
        if address is None:
            return dialler.Reply(
                verdict.NotRun(
                    verdict.Reason.NO_UPSTREAM, retry_elsewhere=True
                ),
                None,
            )
        return await self._links.call(
            address,
            attempt.call,
            deadline=item.deadline,
            retriable=item.get_route().idempotent,
        )

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
        self, item: exchange.Exchange, attempt: bytes, lent: int, now: float
    ) -> frames.Call:
        body = item.request.body
        context = item.get_context()
        return frames.Call(
            attempt=attempt,
            route=item.get_route().name,
            context=frames.Context(
                account=context.account,
                importance=context.importance,
                root_id=context.root_id,
                root_hash=context.root_hash,
                root_age_s=max(0.0, now - item.root_started_at),
                depth=context.depth,
            ),
            remaining_s=max(0.0, item.deadline - now),
            allowance=lent,
            idempotency_key=item.idempotency_key,
            request=item.request,
            body_length=len(body),
            digest=bodies.compute_digest(body),
        )


def _is_fenced(outcome: verdict.Verdict) -> bool:
    return (
        isinstance(outcome, verdict.NotRun)
        and outcome.reason is verdict.Reason.FENCED
    )


def _never_arrived(outcome: verdict.Verdict) -> bool:
    return isinstance(outcome, verdict.NotRun) and (
        outcome.reason in balance.UNREACHABLE
        or outcome.reason is verdict.Reason.LEAVING
    )
