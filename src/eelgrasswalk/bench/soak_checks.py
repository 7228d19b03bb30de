"""Checks of a soak: what callers and targets saw against the promises."""

import bisect
import collections
import collections.abc
import dataclasses
import math

# Limits of the rules, in seconds and calls.
STABLE_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5.0
TOLD_S = 0.5
DRAIN_S = 2.0
APPLY_S = 2.0
# A busy machine delays what is seen by this much.
CLOCK_SLACK_S = 0.5
# Tries of a request that has crashed three targets.
DEADLY_CRASHES = 3
DEADLY_TRIES = 3
COLD_WINDOW_S = 1.0
# An evacuation is in force this much later while the store is impaired.
MAX_SKEW_S = 5.0
# A call ends this soon after an answer without a valid status.
END_S = 1.5
VALID_STATUSES = range(100, 600)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request as its client saw it.

    Args:
        request_id: The client's id of it.
        node: Number of the node that it was sent to.
        path: Its path.
        unsafe: Whether it may run only once.
        sent_at: When it was sent, in seconds.
        ended_at: When its answer was there.
        status: Status of the answer; 0 without a whole answer.
        is_own: Whether the body answers this request.
        target_id: Target that the answer came from; empty if unknown.
        calls_per_s: Limit that the answer named.
        leaving: Whether the answer said that the target is leaving.
        is_ahead: Whether requests were sent ahead on its connection.
        is_behind_close: Whether an answer before its own closed the
            connection.
        has_answer: Whether a whole answer came, with whatever status.
    """

    request_id: str
    node: int
    path: str
    unsafe: bool
    sent_at: float
    ended_at: float
    status: int
    is_own: bool
    target_id: str = ''
    calls_per_s: float | None = None
    leaving: bool = False
    is_ahead: bool = False
    is_behind_close: bool = False
    has_answer: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request as its target saw it.

    Args:
        request_id: The client's id of it.
        target_id: The target.
        node: Number of the node that it was sent to by its client.
        at: When it arrived, in seconds.
        was_run: Whether the target ran it.
        path: Its path.
        gate: Number of the node beside the target.
        data_centre: Where the target is.
        is_fenced: Whether it was meant for an earlier run of the target.
        invalid_at: When it was answered without a valid status; infinite if
            it was not.
    """

    request_id: str
    target_id: str
    node: int
    at: float
    was_run: bool
    path: str = ''
    gate: int = 0
    data_centre: str = ''
    is_fenced: bool = False
    invalid_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A time in which something holds.

    Args:
        subject: Node number, target id, route or path.
        start: First second.
        end: Last second.
        figure: Limit that holds, or the time until it does.
    """

    subject: str
    start: float
    end: float = math.inf
    figure: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that did not hold."""

    promise: str
    detail: str


@dataclasses.dataclass(slots=True)
class Record:
    """Everything that was seen in one soak.

    Args:
        calls: What clients saw.
        runs: What targets saw.
        limits: Limits that targets named.
        routes: Routes that were added; the start is the acknowledgement.
        node_faults: Restarts and freezes of nodes.
        store_faults: Outages and restores of the store.
        crashes: Crashes of targets, by the path that caused them.
        departures: Targets that deregistered; the start is the
            acknowledgement.
        cold: Targets that were cold, with the most requests in any second.
        evacuations: Evacuated data centres; the start is the
            acknowledgement, and the figure is the time until it binds.
        stalls: Times in which the soak itself stood still, so that what
            came meanwhile seems to have come at once.
    """

    calls: list[Call] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    limits: list[Span] = dataclasses.field(default_factory=list)
    routes: list[Span] = dataclasses.field(default_factory=list)
    node_faults: list[Span] = dataclasses.field(default_factory=list)
    store_faults: list[Span] = dataclasses.field(default_factory=list)
    crashes: list[Span] = dataclasses.field(default_factory=list)
    departures: list[Span] = dataclasses.field(default_factory=list)
    cold: list[Span] = dataclasses.field(default_factory=list)
    evacuations: list[Span] = dataclasses.field(default_factory=list)
    stalls: list[Span] = dataclasses.field(default_factory=list)


def check_all(record: Record) -> list[Violation]:
    """Return every violation."""
    return [
        *check_answers(record),
        *check_runs(record),
        *check_limits(record),
        *check_leaving(record),
        *check_departures(record),
        *check_routes(record),
        *check_deadly(record),
        *check_cold(record),
        *check_evacuations(record),
        *check_ahead(record),
        *check_statuses(record),
    ]


def check_answers(record: Record) -> list[Violation]:
    """Check that answers belong to their requests."""
    return [
        Violation(
            'order' if call.is_ahead else 'mixed',
            f'{call.request_id} got the answer of another',
        )
        for call in record.calls
        if call.status == 200 and not call.is_own
    ]


def check_runs(record: Record) -> list[Violation]:
    """Check that unsafe calls run once, and never after a refusal."""
    runs = collections.Counter(
        run.request_id for run in record.runs if run.was_run
    )
    found = []
    for call in record.calls:
        if not call.unsafe:
            continue
        if runs[call.request_id] > 1:
            found.append(Violation('twice', call.request_id))
        if runs[call.request_id] and call.status in (408, 421, 429, 503):
            found.append(
                Violation('refused', f'{call.request_id} got {call.status}')
            )
    return found


def check_limits(record: Record) -> list[Violation]:
    """Check that targets get no more calls than the limits they name."""
    found = []
    for limit in record.limits:
        told = _find_told(record, limit.subject, _names_limit)
        times = sorted(
            run.at
            for run in record.runs
            if run.target_id == limit.subject
            and limit.start + STABLE_S < run.at < limit.end
            and _is_bound(record, told, run.node, run.at - TOLD_S, run.at)
        )
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit.figure + LIMIT_SLACK
        for index, first in enumerate(times):
            count = bisect.bisect_left(times, first + LIMIT_WINDOW_S) - index
            if count > allowed:
                found.append(
                    Violation(
                        'limit',
                        f'{limit.subject} got {count} calls in '
                        f'{LIMIT_WINDOW_S:.0f} s from {first:.2f}, '
                        f'{allowed:.0f} allowed',
                    )
                )
                break
    return found


def check_leaving(record: Record) -> list[Violation]:
    """Check that a target which says that it leaves gets no late call."""
    sent_at = {call.request_id: call.sent_at for call in record.calls}
    leaving = {call.target_id for call in record.calls if call.leaving}
    found = []
    for target_id in leaving:
        told = _find_told(record, target_id, _says_leaving)
        for run in record.runs:
            sent = sent_at.get(run.request_id)
            if (
                run.target_id == target_id
                and sent is not None
                and _is_bound(record, told, run.node, sent - DRAIN_S, run.at)
            ):
                found.append(
                    Violation('drain', f'{run.request_id} reached {target_id}')
                )
    return found


def check_departures(record: Record) -> list[Violation]:
    """Check that a target that has deregistered gets no late call.

    Neither a restart of its node nor an outage of the store excuses one.
    """
    acknowledged = {span.subject: span.start for span in record.departures}
    return [
        Violation('drain', f'{run.request_id} reached {run.target_id}')
        for run in record.runs
        if run.at
        > acknowledged.get(run.target_id, math.inf) + DRAIN_S + CLOCK_SLACK_S
    ]


def check_routes(record: Record) -> list[Violation]:
    """Check that added routes are served in time and stay."""
    found = []
    served: dict[tuple[int, str], float] = {}
    for call in sorted(record.calls, key=lambda item: item.sent_at):
        route = _find_route(record, call.path)
        if route is None:
            continue
        key = (call.node, route.subject)
        if call.status == 200:
            served.setdefault(key, call.ended_at)
        if call.status != 404:
            continue
        since = served.get(key, math.inf)
        if since < call.sent_at - CLOCK_SLACK_S and not _has_fault(
            record.node_faults, str(call.node), since, call.ended_at
        ):
            found.append(
                Violation('config', f'{call.request_id}: rules went back')
            )
        elif call.sent_at > route.start + APPLY_S + CLOCK_SLACK_S and (
            _is_in_touch(record, call.node, route.start, call.ended_at)
        ):
            found.append(
                Violation('config', f'{call.request_id}: route not in force')
            )
    return found


def check_deadly(record: Record) -> list[Violation]:
    """Check that requests which crash targets are soon kept from them."""
    crashes: dict[str, list[float]] = {}
    for crash in record.crashes:
        crashes.setdefault(crash.subject, []).append(crash.start)
    found = []
    for path, times in crashes.items():
        if len(times) < DEADLY_CRASHES:
            continue
        bound_from = sorted(times)[DEADLY_CRASHES - 1] + STABLE_S
        late = [
            run
            for run in record.runs
            if run.path == path
            and run.was_run
            and run.at > bound_from
            and _is_in_touch(record, run.node, run.at, run.at)
        ]
        if len(late) > DEADLY_TRIES:
            found.append(
                Violation(
                    'budget',
                    f'{path} was tried {len(late)} times from '
                    f'{bound_from:.2f}, {DEADLY_TRIES} allowed',
                )
            )
    return found


def check_cold(record: Record) -> list[Violation]:
    """Check that in no second a cold target gets more than it may.

    Neither a restart of a node nor an outage of the store excuses it.
    """
    found = []
    for cold in record.cold:
        times = sorted(
            run.at
            for run in record.runs
            if run.target_id == cold.subject
            and not run.is_fenced
            and cold.start <= run.at < cold.end
        )
        for index, first in enumerate(times):
            last = first + COLD_WINDOW_S
            count = bisect.bisect_left(times, last) - index
            if count > cold.figure and not any(
                stall.start < last and stall.end > first
                for stall in record.stalls
            ):
                found.append(
                    Violation(
                        'cold',
                        f'{cold.subject} got {count} calls in '
                        f'{COLD_WINDOW_S:.0f} s from {first:.2f}, '
                        f'{cold.figure:.2f} allowed; cold from '
                        f'{cold.start:.2f} to {cold.end:.2f}',
                    )
                )
                break
    return found


def check_evacuations(record: Record) -> list[Violation]:
    """Check that nothing reaches an evacuated data centre after the bound.

    Both nodes have to prevent it: the one where the call entered, and the one
    beside the target. It is excused where both were lately out of touch.
    """
    found = []
    for evacuation in record.evacuations:
        bound_from = evacuation.start + evacuation.figure + CLOCK_SLACK_S
        if _has_fault(
            record.store_faults,
            'store',
            evacuation.start - STABLE_S,
            bound_from,
        ):
            bound_from += MAX_SKEW_S
        found += [
            Violation(
                'evacuation',
                f'{run.request_id} reached {run.target_id} in '
                f'{evacuation.subject} at {run.at:.2f}, bound from '
                f'{bound_from:.2f} to {evacuation.end:.2f}',
            )
            for run in record.runs
            if run.data_centre == evacuation.subject
            and bound_from < run.at < evacuation.end
            and (
                _has_caught_up(record, run.node, run.at)
                or _has_caught_up(record, run.gate, run.at)
            )
        ]
    return found


def check_ahead(record: Record) -> list[Violation]:
    """Check answers to requests that were sent ahead on a connection."""
    begun = {run.request_id for run in record.runs}
    found = []
    for call in record.calls:
        if not call.is_ahead:
            continue
        if call.status == 400:
            found.append(
                Violation('ahead', f'{call.request_id} was refused with 400')
            )
        if call.is_behind_close and call.request_id in begun:
            found.append(
                Violation(
                    'ahead',
                    f'{call.request_id} was forwarded behind an answer that '
                    'closed the connection',
                )
            )
    return found


def check_statuses(record: Record) -> list[Violation]:
    """Check answers of targets whose status is none.

    None reaches a client, and an unsafe call ends soon as may have run.
    """
    found = [
        Violation('status', f'{call.request_id} got {call.status:03d}')
        for call in record.calls
        if call.has_answer and call.status not in VALID_STATUSES
    ]
    invalid = {
        run.request_id: run for run in record.runs if run.invalid_at < math.inf
    }
    for call in record.calls:
        run = invalid.get(call.request_id)
        if run is None or not call.unsafe:
            continue
        if any(
            _has_fault(
                record.node_faults,
                str(node),
                call.sent_at - STABLE_S,
                call.ended_at,
            )
            for node in (run.node, run.gate)
        ):
            continue
        late_s = call.ended_at - run.invalid_at
        if late_s > END_S:
            found.append(
                Violation(
                    'status',
                    f'{call.request_id} ended {late_s:.2f} s after an answer '
                    'without a valid status',
                )
            )
        elif call.status != 502 and call.status in VALID_STATUSES:
            found.append(
                Violation(
                    'status',
                    f'{call.request_id} got {call.status}, not 502, after an '
                    'answer without a valid status',
                )
            )
    return found


def _has_caught_up(record: Record, node: int, at: float) -> bool:
    """Return whether a node has had time to learn what operators ask."""
    begin = at - STABLE_S
    if _has_fault(record.store_faults, 'store', begin - MAX_SKEW_S, at):
        begin -= MAX_SKEW_S
    return not _has_fault(record.node_faults, str(node), begin, at)


def _names_limit(call: Call) -> bool:
    return call.calls_per_s is not None


def _says_leaving(call: Call) -> bool:
    return call.leaving


def _find_told(
    record: Record,
    target_id: str,
    tells: collections.abc.Callable[[Call], bool],
) -> dict[int, list[float]]:
    """Return when each node passed on an answer that tells something."""
    told: dict[int, list[float]] = {}
    for call in record.calls:
        if call.target_id == target_id and tells(call):
            told.setdefault(call.node, []).append(call.ended_at)
    return {node: sorted(times) for node, times in told.items()}


def _is_bound(
    record: Record,
    told: dict[int, list[float]],
    node: int,
    by: float,
    until: float,
) -> bool:
    """Return whether a node was told by a time and has had no fault since."""
    return any(
        at <= by and not _has_fault(record.node_faults, str(node), at, until)
        for at in told.get(node, ())
    )


def _find_route(record: Record, path: str) -> Span | None:
    for route in record.routes:
        if path.startswith(route.subject):
            return route
    return None


def _has_fault(
    faults: list[Span], subject: str, start: float, end: float
) -> bool:
    return any(
        fault.subject == subject and fault.start < end and fault.end > start
        for fault in faults
    )


def _is_in_touch(record: Record, node: int, start: float, end: float) -> bool:
    begin = start - STABLE_S
    return not _has_fault(
        record.node_faults, str(node), begin, end
    ) and not _has_fault(record.store_faults, 'store', begin, end)
