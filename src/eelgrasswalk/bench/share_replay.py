"""Replayer that drives a chain of services whose last one lacks room.

Roots begin at targets of the first service. Each target makes calls to the
next service one after the other, and fails when one of them does. The last
service has a queue in front of each target.
"""

import collections
import dataclasses
import functools
import itertools
import random
import typing

from .. import verdict
from ..document import model
from ..policy import admission
from ..policy import root_share
from ..policy.capacity import slot_queue
from . import simulated_clock
from . import traces

# Each service but the last has as many targets.
RELAYS = 4
RELAY_WORK_S = 0.015
MAX_GATES = 4

Done: typing.TypeAlias = typing.Callable[[verdict.Verdict, float], None]
_ANSWERED = verdict.Answered(verdict.Response(200, (), b''))
_FAILED = verdict.Answered(verdict.Response(500, (), b''))
_REFUSED = verdict.NotRun(verdict.Reason.OVERLOAD)


@dataclasses.dataclass(frozen=True, slots=True)
class ShareEvent:
    """An event at the chain.

    Args:
        at: When, in seconds.
        do: chain, which builds the services; roots, which sends some;
            targets, which sets how many targets of the last service there
            are; or span, which begins a span that is measured by itself.
        repeat: How often.
        every_s: Seconds between repetitions.
        calls: Calls that a target of each service makes to the next one.
        within_s: Seconds that a call to each service may take, the first
            one's being those of a root.
        targets: Targets of the last service.
        slots: Calls that each of these runs at a time.
        service_s: Seconds that it takes for one.
        returns: How often a refused root comes back.
        label: Name of the span.
    """

    at: float
    do: str
    repeat: int = 1
    every_s: float = 0.0
    calls: tuple[int, ...] = (4,)
    within_s: tuple[float, ...] = (5.0, 0.7)
    targets: int = 4
    slots: int = 17
    service_s: float = 0.015
    returns: int = 1
    label: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class _Root:
    hash: float
    deadline: float
    returns: int
    span: str


@dataclasses.dataclass(slots=True)
class _Deep:
    """A target of the last service."""

    queue: slot_queue.SlotQueue
    waiting: dict[int, Done] = dataclasses.field(default_factory=dict)


class ShareReplayer:
    """Plays roots and calls in simulated time."""

    def __init__(self) -> None:
        self._clock = simulated_clock.SimulatedClock()
        self._call_ids = itertools.count()
        self._random = random.Random(1)
        self._chain = ShareEvent(0.0, 'chain')
        self._relays: list[list[root_share.RootShares]] = []
        self._deep: list[_Deep] = []
        self._span = ''
        self._counts: collections.Counter[str] = collections.Counter()

    def replay(self, trace: traces.Trace) -> traces.Measures:
        """Replay a trace and return its measures."""
        self._random = random.Random(trace.seed)
        events = traces.load_events(trace, ShareEvent)
        for at, _, event in traces.expand(events):
            self._clock.run(at)
            self._apply(event)
        self._clock.run(self._clock.now + 60.0)
        measures: traces.Measures = dict(self._counts)
        for name in list(self._counts):
            kind, _, span = name.partition('.')
            if kind == 'roots':
                served = self._counts[f'served.{span}']
                measures[f'goodput.{span}'] = served / self._counts[name]
        shares = [
            relay.compute_share('', self._clock.now)
            for relay in self._relays[0]
        ]
        measures['share'] = sum(shares) / len(shares)
        return measures

    def _apply(self, event: ShareEvent) -> None:
        if event.do == 'chain':
            self._build(event)
        elif event.do == 'targets':
            self._resize(event.targets)
        elif event.do == 'span':
            self._span = event.label
        elif event.do == 'roots':
            self._counts[f'roots.{self._span}'] += 1
            root = _Root(
                self._random.random(),
                self._clock.now + self._chain.within_s[0],
                self._chain.returns,
                self._span,
            )
            self._begin(root)
        else:
            raise ValueError(f'unknown event: {event.do}')

    def _build(self, event: ShareEvent) -> None:
        self._chain = event
        settings = root_share.ShareSettings()
        self._relays = [
            [root_share.RootShares(settings) for _ in range(RELAYS)]
            for _ in event.calls
        ]
        self._resize(event.targets)

    def _resize(self, targets: int) -> None:
        del self._deep[targets:]
        while len(self._deep) < targets:
            queue = slot_queue.SlotQueue(
                slot_queue.SlotSettings(), slots=self._chain.slots
            )
            self._deep.append(_Deep(queue))

    # Roots

    def _begin(self, root: _Root) -> None:
        relay = self._random.choice(self._relays[0])
        if not relay.admits('', root.hash, self._clock.now):
            self._refuse(root, relay.retry_after_s)
            return
        self._relay(
            root, 0, root.deadline, lambda *ended: self._end(root, *ended)
        )

    def _refuse(self, root: _Root, pause_s: float) -> None:
        back_s = pause_s * (1.0 + self._random.random())
        if not root.returns or self._clock.now + back_s > root.deadline:
            self._counts[f'refused.{root.span}'] += 1
            return
        again = dataclasses.replace(root, returns=root.returns - 1)
        self._clock.schedule(back_s, lambda: self._begin(again))

    def _end(
        self, root: _Root, outcome: verdict.Verdict, below: float
    ) -> None:
        served = outcome is _ANSWERED and self._clock.now <= root.deadline
        name = 'served' if served else 'failed'
        self._counts[f'{name}.{root.span}'] += 1

    # Calls

    def _call(
        self, root: _Root, level: int, end_at: float, done: Done
    ) -> None:
        deadline = min(end_at, self._clock.now + self._chain.within_s[level])
        if level == len(self._relays):
            self._counts[f'calls.{root.span}'] += 1
            tried = self._random.sample(
                self._deep, min(MAX_GATES, len(self._deep))
            )
            self._try(root, tried, deadline, done)
            return
        self._relay(root, level, deadline, done)

    def _relay(
        self, root: _Root, level: int, deadline: float, done: Done
    ) -> None:
        """Run one call at a target that makes calls of its own."""
        relay = self._random.choice(self._relays[level])
        left = self._chain.calls[level]

        def take(outcome: verdict.Verdict, below: float) -> None:
            nonlocal left
            lacked_capacity = root_share.is_capacity_failure(outcome, below)
            relay.observe('', lacked_capacity, self._clock.now)
            left -= 1
            if outcome is not _ANSWERED:
                done(_FAILED, relay.get_capacity_failure_ratio(''))
            elif left == 0:
                done(_ANSWERED, relay.get_capacity_failure_ratio(''))
            else:
                self._call(root, level + 1, deadline, take)

        self._clock.schedule(
            RELAY_WORK_S, lambda: self._call(root, level + 1, deadline, take)
        )

    def _try(
        self, root: _Root, targets: list[_Deep], deadline: float, done: Done
    ) -> None:
        """Offer a call to one target after the other."""
        if not targets or self._clock.now >= deadline:
            done(_REFUSED, 0.0)
            return

        def take(outcome: verdict.Verdict, below: float) -> None:
            if isinstance(outcome, verdict.NotRun):
                self._try(root, targets[1:], deadline, done)
            else:
                done(outcome, below)

        self._offer(root, targets[0], deadline, take)

    def _offer(
        self, root: _Root, target: _Deep, deadline: float, done: Done
    ) -> None:
        call_id = next(self._call_ids)
        candidate = admission.Candidate(
            call_id,
            model.Importance.NORMAL,
            '',
            root.hash,
            0.0,
            deadline,
            1,
        )
        target.waiting[call_id] = done
        self._take(target, target.queue.offer(candidate, self._clock.now))
        expiry = target.queue.next_event_at()
        if expiry is not None:
            self._clock.schedule_at(expiry, lambda: self._expire(target))

    def _expire(self, target: _Deep) -> None:
        self._take(target, target.queue.expire(self._clock.now))

    def _take(self, target: _Deep, actions: list[admission.Action]) -> None:
        for action in actions:
            done = target.waiting.pop(action.call_id)
            if isinstance(action, admission.Refuse):
                done(_REFUSED, 0.0)
                continue
            finish = functools.partial(
                self._finish, target, action.call_id, done
            )
            self._clock.schedule(self._chain.service_s, finish)

    def _finish(self, target: _Deep, call_id: int, done: Done) -> None:
        self._take(
            target, target.queue.finish(call_id, self._clock.now, ok=True)
        )
        done(_ANSWERED, 0.0)
