"""Replayers: each drives one part of the policy with a trace's events."""

import collections
import dataclasses
import heapq
import random

from .. import verdict
from ..document import model
from ..policy import breaker
from ..policy import levels
from ..policy import retries
from ..policy.placement import balance
from . import traces

MAX_DEPTH = 6


@dataclasses.dataclass(frozen=True, slots=True)
class LevelEvent:
    """An event at a caller's table of levels.

    Args:
        at: When, in seconds.
        do: observe an answer's level, ask for one root, or roots, which
            sends a thousand roots through a chain of services.
        repeat: How often.
        every_s: Seconds between repetitions.
        service: The service.
        chain: The services that each root passes.
        upstream: The upstream that answered.
        level: The level as a number from 0, nothing, to 4, everything.
        importance: The root's importance.
        root_hash: The root's hash.
        label: Name under which the decision is measured.
    """

    at: float
    do: str
    repeat: int = 1
    every_s: float = 0.0
    service: str = 'leaf'
    chain: tuple[str, ...] = ()
    upstream: str = 'n1'
    level: float = 4.0
    importance: str = 'normal'
    root_hash: float = 0.5
    label: str = ''


class LevelReplayer:
    """Drives the table of levels at a caller's node."""

    def __init__(self) -> None:
        self._table = levels.LevelTable()
        self._measures: traces.Measures = {}

    def replay(self, trace: traces.Trace) -> traces.Measures:
        """Replay a trace and return its measures."""
        events = traces.load_events(trace, LevelEvent)
        for at, _, event in traces.expand(events):
            if event.do == 'observe':
                level = levels.make_level(event.level, 0.0)
                self._table.observe(event.service, event.upstream, level, at)
            elif event.do == 'ask':
                admitted = self._admits(
                    event.service, event, event.root_hash, at
                )
                self._measures[event.label] = 'admit' if admitted else 'shed'
            elif event.do == 'roots':
                self._send_roots(event, at)
            else:
                raise ValueError(f'unknown event: {event.do}')
        return self._measures

    def _admits(
        self, service: str, event: LevelEvent, root_hash: float, now: float
    ) -> bool:
        decision = self._table.admits(
            service, model.Importance[event.importance.upper()], root_hash, now
        )
        return isinstance(decision, levels.Admit)

    def _send_roots(self, event: LevelEvent, now: float) -> None:
        roots = [number / 1000 for number in range(1000)]
        for depth, service in enumerate(event.chain):
            roots = [
                root
                for root in roots
                if self._admits(service, event, root, now)
            ]
            self._measures[f'roots.depth.{depth}'] = len(roots)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryEvent:
    """An event in call trees.

    Args:
        at: When, in seconds.
        do: start a request or a child call, answer or lose it, fail an
            attempt that the request made, or outage, in which new roots
            call a leaf that always fails through a chain of hops.
        repeat: How often.
        every_s: Seconds between repetitions.
        request: Number of the request.
        parent: Number of the request that makes it; 0 for a root.
        allowance: A root's allowance, or what a child asks for.
        verdict: not-run, may-have-run or answered.
        idempotent: Whether the request may run twice.
        depth: Hops from the root to the leaf.
        label: Name under which a decision is measured.
    """

    at: float
    do: str
    repeat: int = 1
    every_s: float = 0.0
    request: int = 0
    parent: int = 0
    allowance: int = 2
    verdict: str = 'not-run'
    idempotent: bool = False
    depth: int = 6
    label: str = ''


VERDICTS: dict[str, verdict.Verdict] = {
    'not-run': verdict.NotRun(
        verdict.Reason.OVERLOAD, retry_after_s=1.0, retry_elsewhere=True
    ),
    'may-have-run': verdict.MayHaveRun(verdict.Reason.TARGET_LOST),
    'answered': verdict.Answered(verdict.Response(500, (), b'')),
}


class RetryReplayer:
    """Drives the retry allowances, the retry decision and the breaker."""

    def __init__(self) -> None:
        self._retry_allowances: dict[int, retries.RetryAllowance] = {}
        self._parents: dict[int, int] = {}
        self._breakers = [breaker.RetryBreaker() for _ in range(MAX_DEPTH)]
        self._counts: collections.Counter[str] = collections.Counter()
        self._measures: traces.Measures = {}

    def replay(self, trace: traces.Trace) -> traces.Measures:
        """Replay a trace and return its measures."""
        events = traces.load_events(trace, RetryEvent)
        for at, _, event in traces.expand(events):
            self._apply(event, at)
        for request, retry_allowance in self._retry_allowances.items():
            self._measures[f'remaining.{request}'] = retry_allowance.remaining
        if self._counts['roots']:
            ratio = self._counts['leaf_attempts'] / self._counts['roots']
            self._measures['amplification'] = ratio
        return self._measures

    def _apply(self, event: RetryEvent, now: float) -> None:
        if event.do == 'start':
            self._start(event)
        elif event.do == 'answer':
            left = self._retry_allowances[event.request].remaining
            parent = self._retry_allowances[self._parents[event.request]]
            parent.reclaim(event.request, unspent=left)
        elif event.do == 'lose':
            parent = self._retry_allowances[self._parents[event.request]]
            parent.reclaim(event.request, unspent=None)
        elif event.do == 'fail':
            retry_allowance = self._retry_allowances[event.request]
            found = VERDICTS[event.verdict]
            decision = self._decide(event, found, retry_allowance, False, now)
            retried = isinstance(decision, retries.Retry)
            self._measures[event.label] = 'retry' if retried else 'give-up'
        elif event.do == 'outage':
            self._counts['roots'] += 1
            self._call_leaf(event, event.allowance, event.depth, now)
        else:
            raise ValueError(f'unknown event: {event.do}')

    def _start(self, event: RetryEvent) -> None:
        allowance = event.allowance
        if event.parent:
            parent = self._retry_allowances[event.parent]
            allowance = parent.allocate(event.request, allowance)
            self._parents[event.request] = event.parent
        self._retry_allowances[event.request] = retries.RetryAllowance(
            allowance
        )

    def _decide(
        self,
        event: RetryEvent,
        found: verdict.Verdict,
        retry_allowance: retries.RetryAllowance,
        breaker_open: bool,
        now: float,
    ) -> retries.Decision:
        return retries.decide_retry(
            found,
            idempotent=event.idempotent,
            retry_allowance=retry_allowance,
            breaker_open=breaker_open,
            now=now,
            deadline=now + 10.0,
        )

    def _call_leaf(
        self, event: RetryEvent, allowance: int, depth: int, now: float
    ) -> tuple[verdict.Verdict, int]:
        """Call down one hop, retrying here.

        Returns:
            The verdict that travels up, and the allowance that is left.
        """
        retry_allowance = retries.RetryAllowance(allowance)
        retry_breaker = self._breakers[depth - 1]
        retry_breaker.count_request('below', now)
        child_id = 0
        while True:
            child_id += 1
            found = VERDICTS[event.verdict]
            if depth == 1:
                self._counts['leaf_attempts'] += 1
            else:
                loan = retry_allowance.allocate(
                    child_id, retry_allowance.remaining
                )
                found, left = self._call_leaf(event, loan, depth - 1, now)
                retry_allowance.reclaim(child_id, unspent=left)
            is_open = retry_breaker.is_open('below', now)
            decision = self._decide(
                event, found, retry_allowance, is_open, now
            )
            if isinstance(decision, retries.GiveUp):
                return decision.verdict, retry_allowance.remaining
            retry_breaker.count_retry('below', now)


@dataclasses.dataclass(frozen=True, slots=True)
class BalanceEvent:
    """An event at a caller's balancer.

    Args:
        at: When, in seconds.
        do: replace the upstreams, behave, which sets how one upstream
            answers, calls, which sends one call, or mark, which starts
            counting anew.
        repeat: How often.
        every_s: Seconds between repetitions.
        nodes: All upstreams as data centre, slash, node.
        node: The upstream that behaves so.
        latency_s: Seconds that it takes.
        queue_delay_s: Queue delay that it returns.
        outcome: How its calls end.
    """

    at: float
    do: str
    repeat: int = 1
    every_s: float = 0.0
    nodes: tuple[str, ...] = ()
    node: str = ''
    latency_s: float = 0.01
    queue_delay_s: float = 0.0
    outcome: balance.Outcome = balance.Outcome.ANSWERED


class BalanceReplayer:
    """Drives a balancer in front of fake upstreams."""

    def __init__(self) -> None:
        self._balancer = balance.Balancer(
            balance.BalanceSettings(), data_centre='here', node_id='caller'
        )
        self._behaviour: dict[str, BalanceEvent] = {}
        self._default = BalanceEvent(0.0, 'behave')
        self._ends: list[tuple[float, int, str, BalanceEvent]] = []
        self._sent = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._ejected_max = 0
        self._names: set[str] = set()

    def replay(self, trace: traces.Trace) -> traces.Measures:
        """Replay a trace and return its measures."""
        rng = random.Random(trace.seed)
        events = traces.load_events(trace, BalanceEvent)
        for at, _, event in traces.expand(events):
            self._end_calls(at)
            if event.do == 'replace':
                upstreams = [_make_upstream(name) for name in event.nodes]
                self._balancer.replace('leaf', upstreams, at)
                self._names.update(u.node_id for u in upstreams)
            elif event.do == 'behave':
                self._behaviour[event.node] = event
            elif event.do == 'mark':
                self._counts.clear()
            elif event.do == 'calls':
                self._call((rng.random(), rng.random()), at)
            else:
                raise ValueError(f'unknown event: {event.do}')
        total = max(1, self._counts.total())
        measures: traces.Measures = {'ejected_max': self._ejected_max}
        for name in self._names:
            measures[f'share.{name}'] = self._counts[name] / total
        return measures

    def _call(self, pair: tuple[float, float], now: float) -> None:
        upstream = self._balancer.choose('leaf', now, pair)
        name = 'none' if upstream is None else upstream.node_id
        self._counts[name] += 1
        if upstream is None:
            return
        self._balancer.start(name, now)
        behaviour = self._behaviour.get(name, self._default)
        self._sent += 1
        end = now + behaviour.latency_s
        heapq.heappush(self._ends, (end, self._sent, name, behaviour))

    def _end_calls(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            at, _, name, behaviour = heapq.heappop(self._ends)
            self._balancer.finish(
                name,
                at,
                outcome=behaviour.outcome,
                latency_s=behaviour.latency_s,
                queue_delay_s=behaviour.queue_delay_s,
            )
            ejected = len(self._balancer.list_ejected('leaf', at))
            self._ejected_max = max(self._ejected_max, ejected)


def _make_upstream(name: str) -> balance.Upstream:
    data_centre, _, node_id = name.partition('/')
    return balance.Upstream(node_id, data_centre, 'leaf')
