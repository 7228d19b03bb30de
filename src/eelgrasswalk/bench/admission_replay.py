"""Replayer that drives admission in front of a fake target."""

import collections
import dataclasses
import heapq

from ..document import model
from ..policy import admission
from ..policy import fairness
from ..policy import levels
from . import traces

GOLDEN_RATIO = 0.6180339887498949


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionEvent:
    """An event at one upstream's node.

    Args:
        at: When, in seconds.
        do: offer, finish, cancel, report, drain, or target, which sets how
            the target behaves.
        repeat: How often.
        every_s: Seconds between repetitions.
        call: Number of the first call; repetitions count on.
        importance: The call's importance.
        account: The call's client account.
        depth: Hops below the root.
        within_s: Seconds to the call's deadline.
        service_s: Seconds that the target takes; 0 to finish by event.
        slots: Slots that the node knows, the target has, or reports.
        in_flight: Calls that the target reports.
    """

    at: float
    do: str
    repeat: int = 1
    every_s: float = 0.0
    call: int = 0
    importance: str = 'normal'
    account: str = 'a'
    depth: int = 0
    within_s: float = 10.0
    service_s: float = 0.0
    slots: int = 10
    in_flight: int = 0


class AdmissionReplayer:
    """Drives admission in front of a fake target.

    The fake runs as many calls at a time as it has slots; beyond that all
    its calls slow down in proportion.
    """

    def __init__(self) -> None:
        self._admission: admission.Admission | None = None
        self._ranks = {kind: fairness.FairRank() for kind in model.Importance}
        self._target_slots = 1
        self._service_s = 0.0
        self._offered: dict[int, admission.Candidate] = {}
        self._ends: list[tuple[float, int]] = []
        self._measures: traces.Measures = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._in_flight_max = 0

    def replay(self, trace: traces.Trace) -> traces.Measures:
        """Replay a trace and return its measures."""
        events = traces.load_events(trace, AdmissionEvent)
        now = 0.0
        for at, number, event in traces.expand(events):
            self._run_until(at)
            self._apply(event, number, at)
            now = at
        made = self._require()
        level = levels.compute_cutoff(made.level(now))
        limit = made.limit
        self._run_until(now + 1000.0)
        self._measures.update(self._counts)
        self._measures['in_flight_max'] = self._in_flight_max
        self._measures['limit'] = limit
        self._measures['level'] = level
        return self._measures

    def _require(self) -> admission.Admission:
        if self._admission is None:
            raise ValueError('the trace starts without a target')
        return self._admission

    def _apply(self, event: AdmissionEvent, number: int, now: float) -> None:
        if event.do == 'target':
            self._set_target(event)
            return
        made = self._require()
        call_id = event.call + number
        if event.do == 'offer':
            root_hash = call_id * GOLDEN_RATIO % 1.0
            fair = self._ranks[model.Importance[event.importance.upper()]]
            rank = fair.rank(event.account, root_hash, now)
            candidate = _make_candidate(event, call_id, rank, now)
            self._offered[call_id] = candidate
            self._counts[f'offered.{event.importance}'] += 1
            self._take(made.offer(candidate, now), now)
        elif event.do == 'finish':
            self._take(made.finish(call_id, now, ok=True), now)
        elif event.do == 'cancel':
            self._take(made.cancel(call_id, now), now)
        elif event.do == 'report':
            made.report_load(event.in_flight, event.slots, now)
        elif event.do == 'drain':
            self._take(made.drain(now), now)
        else:
            raise ValueError(f'unknown event: {event.do}')

    def _set_target(self, event: AdmissionEvent) -> None:
        self._service_s = event.service_s
        self._target_slots = event.slots
        if self._admission is None:
            self._admission = admission.Admission(
                admission.AdmissionSettings(), slots=event.slots
            )

    def _run_until(self, now: float) -> None:
        while True:
            made = self._admission
            expiry = made.next_event_at() if made is not None else None
            end = self._ends[0][0] if self._ends else None
            times = [at for at in (expiry, end) if at is not None]
            if made is None or not times or min(times) > now:
                return
            if end is not None and end == min(times):
                at, call_id = heapq.heappop(self._ends)
                if at > self._offered[call_id].deadline:
                    self._counts['answered_late'] += 1
                self._take(made.finish(call_id, at, ok=True), at)
            elif expiry is not None:
                self._take(made.expire(expiry), expiry)

    def _take(self, actions: list[admission.Action], now: float) -> None:
        for action in actions:
            candidate = self._offered[action.call_id]
            name = 'started'
            if isinstance(action, admission.Refuse):
                name = action.reason.value
            self._measures[f'call.{action.call_id}'] = name
            self._counts[f'{name}.{candidate.importance.name.lower()}'] += 1
            self._counts[f'{name}.account.{candidate.account}'] += 1
            if name == 'started':
                self._start(action.call_id, now)

    def _start(self, call_id: int, now: float) -> None:
        in_flight = self._require().in_flight
        self._in_flight_max = max(self._in_flight_max, in_flight)
        if self._service_s > 0.0:
            slowdown = max(1.0, in_flight / self._target_slots)
            end = now + self._service_s * slowdown
            heapq.heappush(self._ends, (end, call_id))


def _make_candidate(
    event: AdmissionEvent, call_id: int, rank: float, now: float
) -> admission.Candidate:
    return admission.Candidate(
        call_id,
        model.Importance[event.importance.upper()],
        event.account,
        rank,
        now,
        now + event.within_s,
        event.depth,
    )
