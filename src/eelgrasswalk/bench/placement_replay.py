"""Placement of calls in virtual time, at targets of uneven speed.

The decisions are the nodes' own: the choice of a target, the search for a
free slot, and the queue in front of each target, with what targets report of
their hosts. Arrivals, work and slow moments of hosts are the same for all
ways of choosing, so that their figures compare.
"""

import collections.abc
import dataclasses
import enum
import itertools
import random
import typing

from .. import ports
from ..document import model
from ..policy import admission
from ..policy.capacity import load_reports
from ..policy.capacity import slot_queue
from ..policy.placement import balance
from ..policy.placement import finish_time
from ..policy.placement import probing
from ..policy.placement import spread
from . import simulated_clock

SERVICE = 'back'
ROUTE = 'browse'
WORK_S = 0.033
OBJECTIVE_S = 0.2
DEADLINE_S = 0.7
SETTLE_S = 1.0
MOST_ATTEMPTS = 4
# Hosts are slower by this factor for moments.
MOMENT_SLOWDOWN = 2.5
MOMENT_S = 0.3
BETWEEN_MOMENTS_S = 2.0
TAIL_SHARE = 0.01
TAIL_FACTOR = 7.0
# Reported slowdowns differ a little each time, as measured ones do.
SLOWDOWN_NOISE = 0.03


class Choice(enum.Enum):
    """How a target is chosen."""

    LOAD = 'load'
    FINISH_OF_TWO = 'finish-of-two'
    FINISH_OF_THREE = 'finish-of-three'


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One run.

    Args:
        choice: How a target is chosen.
        seed: Seed of the random numbers.
        speeds: Lowest and highest speed of the targets, 1.0 on average.
        has_moments: Whether hosts are slower for moments.
        has_tails: Whether some calls take far longer than the mean.
        is_moved: Whether all clients of one data centre are moved to the
            other after half of the time.
        load: Work that comes, as a share of what all targets can do at their
            usual speeds.
        callers: Nodes that call.
        targets: Targets of the service.
        slots: Slots of each target.
        data_centres: Data centres of callers and targets.
        delay_s: Shortest and longest time of a message on its way.
        seconds: Virtual seconds.
    """

    choice: Choice
    seed: int
    speeds: tuple[float, float] = (1.0, 1.0)
    has_moments: bool = False
    has_tails: bool = False
    is_moved: bool = False
    load: float = 0.75
    callers: int = 8
    targets: int = 8
    slots: int = 4
    data_centres: int = 1
    delay_s: tuple[float, float] = (0.0005, 0.015)
    seconds: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Figures of a run.

    Args:
        p50_s: Median time until the answer, in seconds.
        p99_s: The same of the slowest in a hundred.
        timely_ratio: Share of all calls that are answered in time.
    """

    p50_s: float
    p99_s: float
    timely_ratio: float


@dataclasses.dataclass(slots=True)
class _Call:
    caller: int
    began_at: float
    work_s: float
    attempts: int = 0
    is_probe: bool = False
    probed: set[str] = dataclasses.field(default_factory=set)
    tried: set[str] = dataclasses.field(default_factory=set)
    sent_at: float = 0.0


class _Host:
    """The speed of a host over time."""

    def __init__(self, speed: float, seed: str, *, has_moments: bool) -> None:
        self._speed = speed
        self._random = random.Random(seed)
        self._has_moments = has_moments
        # Begins of the spans in turn, usual ones first.
        self._begins = [0.0]

    def get_slowdown(self, now: float) -> float:
        """Return the slowdown at a time."""
        return self._get_factor(self._find_span(now))

    def compute_end(self, now: float, work_s: float) -> float:
        """Return when work that starts now ends."""
        left_s = work_s / self._speed
        span = self._find_span(now)
        while True:
            factor = self._get_factor(span)
            room_s = self._begins[span + 1] - now
            if left_s * factor <= room_s:
                return now + left_s * factor
            left_s -= room_s / factor
            span += 1
            now = self._begins[span]
            self._extend(span + 1)

    def _get_factor(self, span: int) -> float:
        return MOMENT_SLOWDOWN if span % 2 else 1.0

    def _find_span(self, now: float) -> int:
        span = len(self._begins) - 1
        while self._begins[span] <= now:
            span += 1
            self._extend(span)
        while self._begins[span] > now:
            span -= 1
        return span

    def _extend(self, span: int) -> None:
        while len(self._begins) <= span:
            mean_s = (
                MOMENT_S if len(self._begins) % 2 == 0 else (BETWEEN_MOMENTS_S)
            )
            length_s = self._random.expovariate(1.0 / mean_s)
            if not self._has_moments:
                length_s = 1e9
            self._begins.append(self._begins[-1] + length_s)


class _Target:
    def __init__(self, index: int, plan: Plan, speed: float) -> None:
        self.node_id = f't{index}'
        self.data_centre = str(index % plan.data_centres)
        self.slots = plan.slots
        self.host = _Host(
            speed, f'{plan.seed}-{index}', has_moments=plan.has_moments
        )
        self.queue = slot_queue.SlotQueue(
            slot_queue.SlotSettings(), slots=plan.slots
        )
        self.reports = load_reports.LoadReports()
        self.calls: dict[int, _Call] = {}

    def report(self, now: float, noise: float) -> None:
        """Take what the target reports in an answer."""
        running = self.queue.in_flight
        self.reports.record(
            ports.LoadReport(
                running,
                0,
                self.slots,
                self.host.get_slowdown(now) * noise,
                has_slowdown=True,
            ),
            now,
            load_reports.Expected(running, running, self.slots),
        )

    def update_slowdown(self, now: float) -> None:
        """Tell the queue the slowdown, as the gate does."""
        known = self.reports.find(now)
        slowdown = None if known is None else known.compute_slowdown()
        self.queue.slowdown = 1.0 if slowdown is None else slowdown


class _OfThree(spread.LoadAwareBalancer):
    """Compares three random upstreams instead of two."""

    def _choose_of_two(
        self,
        states: list[typing.Any],
        random_pair: tuple[float, float],
        *context: typing.Any,
    ) -> typing.Any:
        if len(states) < 3:
            return super()._choose_of_two(states, random_pair, *context)
        third = states[int(random_pair[0] * len(states) * 997.0) % len(states)]
        best = super()._choose_of_two(states, random_pair, *context)
        assert best is not None
        costs = self._costs.compute_costs((best, third), *context)
        return third if costs[1] < costs[0] else best


class Replay:
    """Callers and targets, and the events between them.

    Args:
        plan: The run.
    """

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._arrivals = random.Random(f'arrivals-{plan.seed}')
        self._random = random.Random(f'choices-{plan.seed}')
        self._clock = simulated_clock.SimulatedClock()
        self._call_ids = itertools.count()
        low, high = plan.speeds
        steps = max(1, plan.targets - 1)
        speeds = [
            low + (high - low) * index / steps for index in range(plan.targets)
        ]
        self._capacity = sum(speeds) * plan.slots / WORK_S
        self._arrivals.shuffle(speeds)
        self._targets = {
            f't{index}': _Target(index, plan, speed)
            for index, speed in enumerate(speeds)
        }
        self._spreads = [self._build_spread(i) for i in range(plan.callers)]
        self._probings = [
            probing.ProbePolicy(probing.ProbeSettings())
            for _ in range(plan.callers)
        ]
        self._offered = 0
        self._latencies: list[float] = []

    def _build_spread(self, index: int) -> spread.LoadAwareBalancer:
        build = (
            _OfThree
            if self._plan.choice is Choice.FINISH_OF_THREE
            else spread.LoadAwareBalancer
        )
        chooser = build(
            spread.LoadAwareSettings(),
            data_centre=str(index % self._plan.data_centres),
        )
        upstreams = [
            balance.Upstream(
                target.node_id, target.data_centre, SERVICE, target.slots
            )
            for target in self._targets.values()
        ]
        chooser.replace(SERVICE, upstreams, 0.0)
        return chooser

    def run(self) -> Figures:
        """Run the plan and return its figures."""
        self._schedule_arrival()
        self._clock.run()
        latencies = sorted(self._latencies)
        timely = sum(latency <= OBJECTIVE_S for latency in latencies)
        return Figures(
            p50_s=latencies[len(latencies) // 2],
            p99_s=latencies[len(latencies) * 99 // 100],
            timely_ratio=timely / self._offered,
        )

    def _schedule_arrival(self) -> None:
        work = 1.0
        if self._plan.has_tails:
            work += TAIL_SHARE * (TAIL_FACTOR - 1.0)
        rate = self._plan.load * self._capacity / work
        self._clock.schedule(self._arrivals.expovariate(rate), self._arrive)

    def _arrive(self) -> None:
        plan = self._plan
        if self._clock.now > plan.seconds:
            return
        caller = self._arrivals.randrange(plan.callers)
        if plan.is_moved and self._clock.now > plan.seconds / 2.0:
            caller -= caller % plan.data_centres
        work_s = WORK_S * self._arrivals.gammavariate(4.0, 0.25)
        if self._arrivals.random() < TAIL_SHARE and plan.has_tails:
            work_s = WORK_S * TAIL_FACTOR
        if self._clock.now > SETTLE_S:
            self._offered += 1
        self._send(_Call(caller, self._clock.now, work_s))
        self._schedule_arrival()

    def _send(self, call: _Call) -> None:
        call.is_probe = self._probings[call.caller].should_probe(
            SERVICE,
            probes=len(call.probed),
            targets=len(self._targets),
            random_value=self._random.random(),
        )
        chosen = self._choose(call, call.tried | call.probed)
        if chosen is None and call.probed:
            chosen = self._choose(call, call.tried)
        if chosen is None:
            return
        target = self._targets[chosen.node_id]
        call.sent_at = self._clock.now
        self._spreads[call.caller].start(target.node_id, self._clock.now)
        self._clock.schedule(
            self._draw_delay(), lambda: self._reach(call, target)
        )

    def _choose(
        self, call: _Call, excluded: collections.abc.Set[str]
    ) -> balance.Upstream | None:
        return self._spreads[call.caller].choose(
            SERVICE,
            self._clock.now,
            (self._random.random(), self._random.random()),
            excluded=excluded,
            route=ROUTE,
        )

    def _draw_delay(self) -> float:
        return self._random.uniform(*self._plan.delay_s)

    def _reach(self, call: _Call, target: _Target) -> None:
        now = self._clock.now
        call_id = next(self._call_ids)
        target.calls[call_id] = call
        candidate = slot_queue.Candidate(
            call_id=call_id,
            importance=model.Importance.NORMAL,
            account='',
            root_hash=self._random.random(),
            root_started_at=call.began_at,
            deadline=call.began_at + DEADLINE_S,
            depth=0,
            route=ROUTE,
            objective_at=call.began_at + OBJECTIVE_S,
            may_wait=not call.is_probe,
        )
        target.update_slowdown(now)
        self._act(target, target.queue.offer(candidate, now))

    def _act(self, target: _Target, actions: list[admission.Action]) -> None:
        for action in actions:
            if isinstance(action, admission.Start):
                self._start(target, action.call_id)
            else:
                call = target.calls.pop(action.call_id)
                self._reply(call, target, balance.Outcome.REFUSED)
        expires_at = target.queue.next_event_at()
        if expires_at is not None:
            self._clock.schedule_at(
                max(expires_at, self._clock.now),
                lambda: self._act(
                    target, target.queue.expire(self._clock.now)
                ),
            )

    def _start(self, target: _Target, call_id: int) -> None:
        work_s = target.calls[call_id].work_s
        self._clock.schedule_at(
            target.host.compute_end(self._clock.now, work_s),
            lambda: self._finish(target, call_id),
        )

    def _finish(self, target: _Target, call_id: int) -> None:
        now = self._clock.now
        call = target.calls.pop(call_id)
        noise = 1.0 + self._random.uniform(-SLOWDOWN_NOISE, SLOWDOWN_NOISE)
        target.report(now, noise)
        target.update_slowdown(now)
        actions = target.queue.finish(call_id, now, ok=True)
        self._reply(call, target, balance.Outcome.ANSWERED)
        self._act(target, actions)

    def _reply(
        self, call: _Call, target: _Target, outcome: balance.Outcome
    ) -> None:
        now = self._clock.now
        target.update_slowdown(now)
        load = target.queue.compute_load(now)
        times: finish_time.Times | None = None
        service_s = target.queue.estimate_service(ROUTE)
        if service_s is not None and self._plan.choice is not Choice.LOAD:
            wait_s = target.queue.estimate_start(now)
            times = finish_time.Times(wait_s, service_s)
        self._clock.schedule(
            self._draw_delay(),
            lambda: self._hear(call, target, outcome, load, times),
        )

    def _hear(
        self,
        call: _Call,
        target: _Target,
        outcome: balance.Outcome,
        load: float,
        times: finish_time.Times | None,
    ) -> None:
        now = self._clock.now
        is_answered = outcome is balance.Outcome.ANSWERED
        self._spreads[call.caller].finish(
            target.node_id,
            now,
            route=ROUTE,
            outcome=outcome,
            latency_s=now - call.sent_at,
            load=load,
            failure_rate=0.0,
            times=times,
        )
        self._probings[call.caller].observe(
            SERVICE, found_free_slot=is_answered
        )
        if is_answered:
            if call.began_at > SETTLE_S:
                self._latencies.append(now - call.began_at)
            return
        if call.is_probe:
            call.probed.add(target.node_id)
        else:
            call.tried.add(target.node_id)
            call.attempts += 1
        waited_s = now - call.began_at
        if call.attempts < MOST_ATTEMPTS and waited_s < DEADLINE_S:
            self._send(call)


def compare(
    seeds: collections.abc.Iterable[int],
    choices: collections.abc.Iterable[Choice] = tuple(Choice),
    **options: typing.Any,
) -> dict[Choice, Figures]:
    """Return the mean figures of each choice over some seeds.

    Args:
        seeds: The seeds.
        choices: The choices.
        options: Further fields of the plan.
    """
    found = {}
    for choice in choices:
        runs = [Replay(Plan(choice, seed, **options)).run() for seed in seeds]
        found[choice] = Figures(
            *(
                sum(getattr(run, field.name) for run in runs) / len(runs)
                for field in dataclasses.fields(Figures)
            )
        )
    return found
