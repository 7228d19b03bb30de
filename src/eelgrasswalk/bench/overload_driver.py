"""In-process driver: sends calls through fakes around the policy modules."""

import dataclasses
import functools
import itertools
import random
import typing

from .. import verdict
from ..policy import admission
from ..policy import levels
from ..policy import retries
from ..policy.placement import balance
from . import overload_fakes as fakes
from . import overload_scenario as scenario
from . import simulated_clock

OVERLOADED_BELOW = verdict.NotRun(verdict.Reason.OVERLOAD, 1.0)


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """A call of one hop with its retries.

    Args:
        node: The caller's node.
        root: The root that it belongs to.
        depth: Hops below the root.
        retry_allowance: Allowance of the request that makes the call.
        done: Takes the final verdict.
        attempts: Attempts so far.
        excluded: Nodes that refused it.
    """

    node: fakes.Node
    root: fakes.Root
    depth: int
    retry_allowance: retries.RetryAllowance
    done: fakes.Done
    attempts: int = 0
    excluded: frozenset[str] = frozenset()

    @property
    def service(self) -> str:
        """The service called."""
        return self.root.chain[self.depth]


class Driver:
    """Runs calls through a mesh of fakes under one policy."""

    def __init__(
        self, plan: scenario.MeshPlan, policy: scenario.Policy, seed: int
    ) -> None:
        self.clock = simulated_clock.SimulatedClock()
        self.rng = random.Random(seed)
        self.policy = policy
        self.leaf_fails = False
        self.work_s = 0.0
        self._ids = itertools.count(1)
        self._turns = itertools.count()
        self.nodes: dict[str, fakes.Node] = {}
        self.services: dict[str, list[fakes.Node]] = {}
        for service in plan.services:
            self._add_service(plan, service)
        self.entries = list(self.nodes.values())

    def _add_service(
        self, plan: scenario.MeshPlan, service: scenario.ServicePlan
    ) -> None:
        members = []
        for place in plan.places:
            name = f'{service.name}.{place}'
            upstream = balance.Upstream(name, place, service.name)
            node = fakes.Node(upstream, service, self.policy)
            self.nodes[name] = node
            members.append(node)
        self.services[service.name] = members

    def connect(self) -> None:
        """Tell every node of all upstreams."""
        for node in self.nodes.values():
            for name, members in self.services.items():
                upstreams = [member.upstream for member in members]
                node.balancer.replace(name, upstreams, 0.0)

    @property
    def protects(self) -> bool:
        """Whether the policy under test is in force."""
        return self.policy == scenario.EELGRASSWALK

    def enter(
        self,
        node: fakes.Node,
        root: fakes.Root,
        allowance: int,
        quota: fakes.Bucket,
        done: fakes.Done,
    ) -> None:
        """Take a root request at its entry node.

        Shedding comes before the quota, so that a request that never runs
        uses up no token.
        """
        if self.protects:
            decision = node.table.admits(
                root.chain[0], root.importance, root.root_hash, self.clock.now
            )
            if isinstance(decision, levels.Shed):
                reason = verdict.Reason.OVERLOAD
                done(verdict.NotRun(reason, decision.retry_after_s))
                return
            if not quota.take(self.clock.now):
                done(verdict.NotRun(verdict.Reason.QUOTA))
                return
        retry_allowance = retries.RetryAllowance(allowance)
        self._send(Exchange(node, root, 0, retry_allowance, done))

    def end_root(self, root: fakes.Root) -> None:
        """Mark a root as ended and cancel what waits for it."""
        root.dead = True
        if not self.protects:
            return
        for call_id, node in list(root.queued.items()):
            guard = typing.cast(fakes.AdaptiveGuard, node.guard)
            now = self.clock.now
            self._take(node, guard.admission.cancel(call_id, now))

    def _send(self, exchange: Exchange) -> None:
        now = self.clock.now
        node, root = exchange.node, exchange.root
        if self.protects and (root.dead or now >= root.deadline):
            exchange.done(fakes.GONE)
            return
        found = self._choose(exchange)
        if found is None:
            exchange.done(verdict.NotRun(verdict.Reason.NO_UPSTREAM))
            return
        exchange.attempts += 1
        call_id = next(self._ids)
        wanted = retries.compute_child_allowance(
            exchange.retry_allowance.remaining
        )
        loan = exchange.retry_allowance.allocate(call_id, wanted)
        call = fakes.Call(
            call_id,
            root,
            exchange.depth,
            retries.RetryAllowance(loan),
            _ignore,
        )
        if exchange.attempts == 1:
            node.retry_breaker.count_request(exchange.service, now)
        node.balancer.start(found.upstream.node_id, now)
        finished = False

        def finish(result: verdict.Verdict) -> None:
            nonlocal finished
            if not finished:
                finished = True
                exchange.retry_allowance.reclaim(
                    call_id, unspent=call.retry_allowance.remaining
                )
                self._receive(exchange, found, result, now)

        def reply(result: verdict.Verdict) -> None:
            self.clock.schedule(fakes.TRANSIT_S, lambda: finish(result))

        call.reply = reply
        if not self.protects:
            self.clock.schedule(
                fakes.HOP_TIMEOUT_S, lambda: finish(fakes.TIMED_OUT)
            )
        self.clock.schedule(fakes.TRANSIT_S, lambda: self._arrive(found, call))

    def _choose(self, exchange: Exchange) -> fakes.Node | None:
        members = self.services[exchange.service]
        if not self.protects:
            return members[next(self._turns) % len(members)]
        upstream = exchange.node.balancer.choose(
            exchange.service,
            self.clock.now,
            fakes.draw_pair(self.rng),
            excluded=exchange.excluded,
        )
        return None if upstream is None else self.nodes[upstream.node_id]

    def _receive(
        self,
        exchange: Exchange,
        upstream: fakes.Node,
        result: verdict.Verdict,
        sent_at: float,
    ) -> None:
        if not self.protects:
            if result is fakes.OK or exchange.attempts > self.policy.retries:
                exchange.done(result)
            else:
                self._send(exchange)
            return
        self._observe(exchange, upstream, result, sent_at)
        now = self.clock.now
        service, node = exchange.service, exchange.node
        decision = retries.decide_retry(
            result,
            idempotent=exchange.root.importance > scenario.Importance.HIGH,
            retry_allowance=exchange.retry_allowance,
            breaker_open=node.retry_breaker.is_open(service, now),
            now=now,
            deadline=exchange.root.deadline,
            attempt=exchange.attempts,
            random_value=self.rng.random(),
        )
        if isinstance(decision, retries.GiveUp):
            exchange.done(decision.verdict)
            return
        node.retry_breaker.count_retry(service, now)
        exchange.excluded |= {upstream.upstream.node_id}
        self.clock.schedule(decision.delay_s, lambda: self._send(exchange))

    def _observe(
        self,
        exchange: Exchange,
        upstream: fakes.Node,
        result: verdict.Verdict,
        sent_at: float,
    ) -> None:
        now = self.clock.now
        chain, depth = exchange.root.chain, exchange.depth
        below = chain[depth + 1] if depth + 1 < len(chain) else None
        level = upstream.get_level(below, now)
        name = upstream.upstream.node_id
        exchange.node.table.observe(exchange.service, name, level, now)
        outcome = balance.Outcome.ANSWERED
        if isinstance(result, verdict.NotRun):
            outcome = balance.Outcome.REFUSED
            if result.reason is verdict.Reason.CALLER_GONE:
                outcome = balance.Outcome.CANCELLED
        elif isinstance(result, verdict.MayHaveRun):
            outcome = balance.Outcome.FAILED
        exchange.node.balancer.finish(
            name,
            now,
            outcome=outcome,
            latency_s=now - sent_at,
            queue_delay_s=level.queue_delay_s,
        )

    def _arrive(self, node: fakes.Node, call: fakes.Call) -> None:
        if self.protects and call.root.dead:
            call.reply(fakes.GONE)
            return
        if self.protects and self._sheds_below(node, call):
            call.reply(OVERLOADED_BELOW)
            return
        node.calls[call.call_id] = call
        call.root.queued[call.call_id] = node
        self._take(node, node.guard.offer(call, self.clock.now))
        self._set_timer(node)

    def _sheds_below(self, node: fakes.Node, call: fakes.Call) -> bool:
        """Return whether a service that the target calls would refuse."""
        root = call.root
        if call.depth + 1 == len(root.chain):
            return False
        decision = node.table.admits(
            root.chain[call.depth + 1],
            root.importance,
            root.root_hash,
            self.clock.now,
            is_nested=call.depth > 0,
        )
        return isinstance(decision, levels.Shed)

    def _set_timer(self, node: fakes.Node) -> None:
        if not isinstance(node.guard, fakes.AdaptiveGuard):
            return
        at = node.guard.admission.next_event_at()
        now = self.clock.now
        if at is None or now < node.wake_at <= at:
            return
        node.wake_at = at
        self.clock.schedule(at - now, lambda: self._wake(node))

    def _wake(self, node: fakes.Node) -> None:
        guard = typing.cast(fakes.AdaptiveGuard, node.guard)
        self._take(node, guard.admission.expire(self.clock.now))
        self._set_timer(node)

    def _take(self, node: fakes.Node, actions: list[admission.Action]) -> None:
        for action in actions:
            call = node.calls[action.call_id]
            del call.root.queued[action.call_id]
            if isinstance(action, admission.Refuse):
                del node.calls[action.call_id]
                call.reply(
                    verdict.NotRun(
                        action.reason,
                        action.retry_after_s,
                        retry_elsewhere=action.reason
                        is verdict.Reason.OVERLOAD,
                    )
                )
                continue
            serve = functools.partial(self._serve, node, call)
            if not node.target.accept(serve):
                reason = verdict.Reason.TARGET_REFUSED
                refused = verdict.NotRun(reason, retry_elsewhere=True)
                self._end(node, call, refused, False)

    def _serve(self, node: fakes.Node, call: fakes.Call) -> None:
        if self.protects and call.root.dead:
            self._finish(node, call, fakes.GONE)
            return
        work_s = node.target.work_s * self.rng.uniform(0.5, 1.5)
        self.clock.schedule(work_s, lambda: self._work(node, call, work_s))

    def _work(self, node: fakes.Node, call: fakes.Call, work_s: float) -> None:
        root = call.root
        self.work_s += work_s
        root.work_s += work_s
        if call.depth + 1 < len(root.chain):
            sent_at = self.clock.now

            def done(result: verdict.Verdict) -> None:
                call.child_s = self.clock.now - sent_at
                answer = result if result is fakes.OK else fakes.CHILD_FAILED
                self._finish(node, call, answer)

            self._send(
                Exchange(
                    node, root, call.depth + 1, call.retry_allowance, done
                )
            )
            return
        root.leaf_attempts += 1
        self._finish(node, call, fakes.LOST if self.leaf_fails else fakes.OK)

    def _finish(
        self, node: fakes.Node, call: fakes.Call, result: verdict.Verdict
    ) -> None:
        self._end(
            node, call, result, not isinstance(result, verdict.MayHaveRun)
        )
        node.target.release()

    def _end(
        self,
        node: fakes.Node,
        call: fakes.Call,
        result: verdict.Verdict,
        ok: bool,
    ) -> None:
        del node.calls[call.call_id]
        actions = node.guard.finish(call, self.clock.now, ok)
        call.reply(result)
        # The freed slot is free only after this event.
        self.clock.schedule(0.0, lambda: self._take(node, actions))


def _ignore(result: verdict.Verdict) -> None:
    del result
