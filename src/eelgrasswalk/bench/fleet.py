"""A fleet in virtual time: many callers before the targets of one service.

The decisions are the nodes' own: the choice of a target, the search for a
free slot, and the queue in front of each target. The network is a delay, the
work of a call a random time at a target of some speed.
"""

import collections
import dataclasses
import itertools
import random
import statistics
import typing

import click

from ..document import model
from ..policy import admission
from ..policy.capacity import slot_queue
from ..policy.placement import balance
from ..policy.placement import probing
from ..policy.placement import spread
from . import report
from . import simulated_clock

DATA_CENTRES = 6
NEAR_S = 0.0002
FAR_S = 0.0014
MOST_ATTEMPTS = 4
SERVICE = 'back'
SETTLE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of call.

    Args:
        name: Its name.
        share: Its share of all calls.
        work_s: Seconds of work at a target, on average.
        objective_s: Seconds in which its answer should be there.
        deadline_s: Seconds in which it must be.
        depth: 0 for roots, 1 for calls that targets make.
    """

    name: str
    share: float
    work_s: float
    objective_s: float
    deadline_s: float
    depth: int


# Long roots and short calls of other targets at the same service.
KINDS = (
    Kind('look-up', 0.95, 0.033, 0.312, 0.703, 1),
    Kind('root', 0.05, 0.544, 1.684, 6.0, 0),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One run.

    Args:
        callers: Nodes that call.
        targets: Targets of the service.
        slots: Slots of each target.
        load: Work that comes, as a share of all slots.
        seconds: Virtual seconds.
        probes: Whether calls look for a free slot.
        seed: Seed of the random numbers.
    """

    callers: int
    targets: int
    slots: int
    load: float
    seconds: float
    probes: bool
    seed: int = 1


@dataclasses.dataclass(slots=True)
class _Call:
    kind: Kind
    caller: int
    began_at: float
    work: float
    attempts: int = 0
    is_probe: bool = False
    probed: set[str] = dataclasses.field(default_factory=set)
    tried: set[str] = dataclasses.field(default_factory=set)
    sent_at: float = 0.0


class _Target:
    def __init__(self, index: int, slots: int, speed: float) -> None:
        self.index = index
        self.node_id = f't{index}'
        self.speed = speed
        self.queue = slot_queue.SlotQueue(
            slot_queue.SlotSettings(), slots=slots
        )
        self.calls: dict[int, _Call] = {}
        self.arrivals = 0


class Fleet:
    """Callers and targets, and the events between them.

    Args:
        plan: The run.
    """

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._clock = simulated_clock.SimulatedClock()
        self._call_ids = itertools.count()
        self._targets = [
            _Target(index, plan.slots, self._random.uniform(0.8, 1.4))
            for index in range(plan.targets)
        ]
        self._by_id = {target.node_id: target for target in self._targets}
        self._spreads = [
            self._build_spread(index) for index in range(plan.callers)
        ]
        self._probings = [
            probing.ProbePolicy(probing.ProbeSettings())
            for _ in range(plan.callers)
        ]
        self.offered: collections.Counter[str] = collections.Counter()
        self.timely: collections.Counter[str] = collections.Counter()
        self.messages = 0

    def _build_spread(self, index: int) -> spread.LoadAwareBalancer:
        chooser = spread.LoadAwareBalancer(
            spread.LoadAwareSettings(), data_centre=str(index % DATA_CENTRES)
        )
        chooser.replace(
            SERVICE,
            [
                balance.Upstream(
                    target.node_id,
                    str(target.index % DATA_CENTRES),
                    SERVICE,
                    self._plan.slots,
                )
                for target in self._targets
            ],
            0.0,
        )
        return chooser

    def run(self) -> dict[str, typing.Any]:
        """Run the plan and return its figures."""
        self._schedule_arrival()
        self._clock.run()
        arrivals = [target.arrivals for target in self._targets]
        timely = sum(self.timely.values())
        offered = sum(self.offered.values())
        return {
            'callers': self._plan.callers,
            'targets': self._plan.targets,
            'slots': self._plan.slots,
            'load': self._plan.load,
            'probes': self._plan.probes,
            'timely_ratio': round(timely / max(1, offered), 4),
            'timely_by_kind': {
                name: round(self.timely[name] / count, 4)
                for name, count in sorted(self.offered.items())
            },
            'messages_per_call': round(self.messages / max(1, offered), 2),
            'busiest_to_mean': round(
                max(arrivals) / max(1.0, statistics.mean(arrivals)), 2
            ),
        }

    def _schedule_arrival(self) -> None:
        work_s = sum(kind.share * kind.work_s for kind in KINDS)
        speed = statistics.mean(target.speed for target in self._targets)
        slots = self._plan.targets * self._plan.slots
        rate = self._plan.load * slots / (work_s * speed)
        self._clock.schedule(self._random.expovariate(rate), self._arrive)

    def _arrive(self) -> None:
        if self._clock.now > self._plan.seconds:
            return
        kind = self._random.choices(KINDS, [kind.share for kind in KINDS])[0]
        call = _Call(
            kind,
            self._random.randrange(self._plan.callers),
            self._clock.now,
            kind.work_s * self._random.gammavariate(4.0, 0.25),
        )
        if self._clock.now > SETTLE_S:
            self.offered[kind.name] += 1
        self._send(call)
        self._schedule_arrival()

    def _send(self, call: _Call) -> None:
        chooser = self._spreads[call.caller]
        call.is_probe = self._plan.probes and self._probings[
            call.caller
        ].should_probe(
            SERVICE,
            probes=len(call.probed),
            targets=self._plan.targets,
            random_value=self._random.random(),
        )
        chosen = self._choose(call, call.tried | call.probed)
        if chosen is None and call.probed:
            chosen = self._choose(call, call.tried)
        if chosen is None:
            return
        call.sent_at = self._clock.now
        chooser.start(chosen.node_id, self._clock.now)
        target = self._by_id[chosen.node_id]
        self.messages += 2
        self._clock.schedule(
            self._delay(call, target), lambda: self._reach(call, target)
        )

    def _choose(
        self, call: _Call, excluded: set[str]
    ) -> balance.Upstream | None:
        return self._spreads[call.caller].choose(
            SERVICE,
            self._clock.now,
            (self._random.random(), self._random.random()),
            excluded=excluded,
            route=call.kind.name,
            remaining_s=call.began_at + call.kind.deadline_s - self._clock.now,
        )

    def _delay(self, call: _Call, target: _Target) -> float:
        is_near = call.caller % DATA_CENTRES == target.index % DATA_CENTRES
        return NEAR_S if is_near else FAR_S

    def _reach(self, call: _Call, target: _Target) -> None:
        kind = call.kind
        call_id = next(self._call_ids)
        target.calls[call_id] = call
        candidate = slot_queue.Candidate(
            call_id=call_id,
            importance=model.Importance.NORMAL,
            account='',
            root_hash=self._random.random(),
            root_started_at=call.began_at,
            deadline=call.began_at + kind.deadline_s,
            depth=kind.depth,
            route=kind.name,
            objective_at=call.began_at + kind.objective_s,
            may_wait=not call.is_probe,
        )
        self._act(target, target.queue.offer(candidate, self._clock.now))

    def _act(self, target: _Target, actions: list[admission.Action]) -> None:
        for action in actions:
            if isinstance(action, admission.Start):
                self._start(target, action.call_id)
            else:
                call = target.calls.pop(action.call_id)
                self._reply(call, target, balance.Outcome.REFUSED)
        expires_at = target.queue.next_event_at()
        if expires_at is not None:
            self._clock.schedule(
                expires_at - self._clock.now,
                lambda: self._act(
                    target, target.queue.expire(self._clock.now)
                ),
            )

    def _start(self, target: _Target, call_id: int) -> None:
        call = target.calls[call_id]
        target.arrivals += 1
        self._clock.schedule(
            call.work * target.speed, lambda: self._finish(target, call_id)
        )

    def _finish(self, target: _Target, call_id: int) -> None:
        call = target.calls.pop(call_id)
        actions = target.queue.finish(call_id, self._clock.now, ok=True)
        self._reply(call, target, balance.Outcome.ANSWERED)
        self._act(target, actions)

    def _reply(
        self, call: _Call, target: _Target, outcome: balance.Outcome
    ) -> None:
        queue = target.queue
        load = (queue.in_flight + queue.queued) / queue.limit
        self._clock.schedule(
            self._delay(call, target),
            lambda: self._hear(call, target, outcome, load),
        )

    def _hear(
        self,
        call: _Call,
        target: _Target,
        outcome: balance.Outcome,
        load: float,
    ) -> None:
        self._spreads[call.caller].finish(
            target.node_id,
            self._clock.now,
            route=call.kind.name,
            outcome=outcome,
            latency_s=self._clock.now - call.sent_at,
            load=load,
            failure_rate=0.0,
        )
        is_answered = outcome is balance.Outcome.ANSWERED
        self._probings[call.caller].observe(
            SERVICE, found_free_slot=is_answered
        )
        waited_s = self._clock.now - call.began_at
        if is_answered:
            limit_s = call.kind.objective_s
            if call.kind.depth:
                limit_s = call.kind.deadline_s
            if waited_s <= limit_s and call.began_at > SETTLE_S:
                self.timely[call.kind.name] += 1
            return
        if call.is_probe:
            call.probed.add(target.node_id)
        else:
            call.tried.add(target.node_id)
            call.attempts += 1
        if call.attempts < MOST_ATTEMPTS and waited_s < call.kind.deadline_s:
            self._send(call)


def compare(
    *, callers: int, targets: int, slots: int, seconds: float
) -> list[dict[str, typing.Any]]:
    """Return the figures with and without the search, at some loads."""
    return [
        Fleet(
            Plan(callers, targets, slots, load, seconds, probes=probes)
        ).run()
        for load in (0.4, 0.7, 0.9, 1.2)
        for probes in (False, True)
    ]


@click.command()
@click.option('--json', 'as_json', is_flag=True, help='One line of JSON.')
@click.option('--quick', is_flag=True, help='A few seconds.')
@click.option('--callers', default=194, show_default=True)
@click.option('--targets', default=52, show_default=True)
@click.option('--slots', default=2, show_default=True)
def command(
    as_json: bool, quick: bool, callers: int, targets: int, slots: int
) -> None:
    """Place calls on the targets of one service, in virtual time."""
    run = report.start_run('fleet', seed=1)
    points = compare(
        callers=callers,
        targets=targets,
        slots=slots,
        seconds=6.0 if quick else 30.0,
    )
    report.print_result(run, {'points': points}, as_json=as_json)
