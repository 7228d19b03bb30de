"""Fakes at the policy's interfaces: targets, nodes and their calls.

Not a model of a cluster: no membership, links or faults of the network, and
one constant delay between any two nodes.
"""

import collections
import dataclasses
import random
import typing

from .. import verdict
from ..policy import admission
from ..policy import breaker
from ..policy import fairness
from ..policy import levels
from ..policy import retries
from ..policy.placement import balance
from . import overload_scenario as scenario

TRANSIT_S = 0.001
HOP_TIMEOUT_S = 1.0
STATIC_QUEUE_FACTOR = 2
ALLOWANCE = 2
BURST_S = 1.0

Done = typing.Callable[[verdict.Verdict], None]

OK = verdict.Answered(verdict.Response(200, (), b''))
CHILD_FAILED = verdict.Answered(verdict.Response(502, (), b''))
LOST = verdict.MayHaveRun(verdict.Reason.TARGET_LOST)
TIMED_OUT = verdict.MayHaveRun(verdict.Reason.DEADLINE)
GONE = verdict.NotRun(verdict.Reason.CALLER_GONE)


@dataclasses.dataclass(slots=True, eq=False)
class Root:
    """One attempt of a client, and the call tree below it.

    Args:
        chain: The services that it passes.
        importance: Importance of its route.
        account: Its client account.
        root_hash: Its fair rank.
        started_at: When it began, in seconds.
        deadline: When its client gives up, in seconds.
        dead: Whether its client has its answer or has gone.
        work_s: Target time spent on it, in seconds.
        leaf_attempts: Attempts that reached a target of the deep service.
        queued: Where its calls wait.
    """

    chain: tuple[str, ...]
    importance: scenario.Importance
    account: str
    root_hash: float
    started_at: float
    deadline: float
    dead: bool = False
    work_s: float = 0.0
    leaf_attempts: int = 0
    queued: dict[int, 'Node'] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """One attempt of one hop.

    Args:
        call_id: Unique in a run.
        root: The root that it belongs to.
        depth: Hops below the root.
        retry_allowance: The extra attempts lent to it.
        reply: Takes the verdict at the upstream's node.
        child_s: Seconds that it waited for calls of its own.
    """

    call_id: int
    root: Root
    depth: int
    retry_allowance: retries.RetryAllowance
    reply: Done
    child_s: float = 0.0


class Target:
    """A target with slots; further connections wait in order."""

    def __init__(self, plan: scenario.ServicePlan) -> None:
        self._plan = plan
        self._busy = 0
        self._waiting: collections.deque[typing.Callable[[], None]] = (
            collections.deque()
        )
        self.work_s = plan.work_s

    def accept(self, serve: typing.Callable[[], None]) -> bool:
        """Serve a call now or later; False without a free connection."""
        if self._busy < self._plan.slots:
            self._busy += 1
            serve()
            return True
        if self._busy + len(self._waiting) >= self._plan.connections:
            return False
        self._waiting.append(serve)
        return True

    def release(self) -> None:
        """Free a slot."""
        if self._waiting:
            self._waiting.popleft()()
        else:
            self._busy -= 1


class Guard(typing.Protocol):
    """What a node does before its target."""

    def offer(self, call: Call, now: float) -> list[admission.Action]:
        """Offer a call."""

    def finish(
        self, call: Call, now: float, ok: bool
    ) -> list[admission.Action]:
        """End a call."""


class OpenGuard:
    """Passes everything."""

    def offer(self, call: Call, now: float) -> list[admission.Action]:
        """Start the call."""
        return [admission.Start(call.call_id)]

    def finish(
        self, call: Call, now: float, ok: bool
    ) -> list[admission.Action]:
        """Do nothing."""
        return []


class StaticGuard:
    """A fixed limit and a queue in order of arrival."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._running = 0
        self._queue: collections.deque[int] = collections.deque()

    def offer(self, call: Call, now: float) -> list[admission.Action]:
        """Start, queue or refuse the call."""
        if self._running < self._slots:
            self._running += 1
            return [admission.Start(call.call_id)]
        if len(self._queue) >= STATIC_QUEUE_FACTOR * self._slots:
            reason = verdict.Reason.OVERLOAD
            return [admission.Refuse(call.call_id, reason, 1.0)]
        self._queue.append(call.call_id)
        return []

    def finish(
        self, call: Call, now: float, ok: bool
    ) -> list[admission.Action]:
        """Start the next call."""
        if self._queue:
            return [admission.Start(self._queue.popleft())]
        self._running -= 1
        return []


class AdaptiveGuard:
    """The policy's admission."""

    def __init__(self, slots: int) -> None:
        settings = admission.AdmissionSettings()
        self.admission = admission.Admission(settings, slots=slots)

    def offer(self, call: Call, now: float) -> list[admission.Action]:
        """Offer the call to admission."""
        root = call.root
        candidate = admission.Candidate(
            call.call_id,
            root.importance,
            root.account,
            root.root_hash,
            root.started_at,
            root.deadline,
            call.depth,
        )
        return self.admission.offer(candidate, now)

    def finish(
        self, call: Call, now: float, ok: bool
    ) -> list[admission.Action]:
        """Tell admission of the end."""
        return self.admission.finish(
            call.call_id, now, ok=ok, child_s=call.child_s
        )


def make_guard(policy: scenario.Policy, slots: int) -> Guard:
    """Return the guard of a policy."""
    if not policy.limited:
        return OpenGuard()
    if policy == scenario.EELGRASSWALK:
        return AdaptiveGuard(slots)
    return StaticGuard(slots)


class Node:
    """A node with its target, and what it knows as a caller."""

    def __init__(
        self,
        upstream: balance.Upstream,
        plan: scenario.ServicePlan,
        policy: scenario.Policy,
    ) -> None:
        self.upstream = upstream
        self.target = Target(plan)
        self.guard = make_guard(policy, plan.slots)
        self.calls: dict[int, Call] = {}
        self.wake_at = 0.0
        self.table = levels.LevelTable()
        self.retry_breaker = breaker.RetryBreaker()
        self.ranks = {
            kind: fairness.FairRank() for kind in scenario.Importance
        }
        self.balancer = balance.Balancer(
            balance.BalanceSettings(),
            data_centre=upstream.data_centre,
            node_id=upstream.node_id,
        )

    def get_level(self, next_service: str | None, now: float) -> levels.Level:
        """Return the level for an answer."""
        if not isinstance(self.guard, AdaptiveGuard):
            return levels.OPEN
        own = self.guard.admission.level(now)
        if next_service is None:
            return own
        below = self.table.find_level(next_service, now)
        return levels.combine_levels(own, [below])


class Bucket:
    """A token bucket, the fake of the fleet's quota."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._burst = max(1.0, rate * BURST_S)
        self._tokens = self._burst
        self._at = 0.0

    def take(self, now: float) -> bool:
        """Take a token if there is one."""
        elapsed = now - self._at
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def draw_pair(rng: random.Random) -> tuple[float, float]:
    """Return the two random numbers of one choice."""
    return rng.random(), rng.random()
