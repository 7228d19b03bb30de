"""Finds what became of a request, hop by hop, in the logs of all nodes."""

import collections
import collections.abc
import dataclasses
import statistics
import typing

from .. import events
from . import log_lines

# Changes of belief that are older do not show in a story, but the newest
# version of the rules always does.
BELIEF_WINDOW_S = 5.0

_ENTRY = events.CALL_ENDED.number
_GATE = events.ATTEMPT_ENDED.number

_OWNER_SILENT = (
    'the owner of its rate did not answer, so that the node could grant only '
    'what accounts may get beyond their rates'
)
_GATE_INPUTS = (
    'running',
    'limit',
    'queued',
    'waited_ms',
    'share',
    'left_ms',
    'cold_ms',
)
_ENTRY_INPUTS = (
    'rate',
    'burst',
    'owner',
    'owner_is_silent',
    'rules_version',
    'rules_age_s',
    'retry_after_s',
    'left_ms',
)

CAUSES = {
    'quota': 'the account was over its rate over all hosts',
    'overload': (
        'every upstream that was asked had more work than it could answer '
        'in time'
    ),
    'deadline': 'the time of the request ran out',
    'no-configuration': (
        'the node could not be certain of the rules: the store had not '
        'confirmed them for too long'
    ),
    'no-route': 'no route of the rules in force matches',
    'key-unknown': 'the rules in force know no such key',
    'key-missing': 'the request came without a key',
    'no-upstream': 'no target of the service was known to take calls',
    'leaving': 'the target or its node was stopping',
    'evacuated': 'the data centre of the target was evacuated',
    'target-unreachable': 'the target took no connection',
    'target-refused': 'the target itself refused the request',
    'target-lost': 'the target ended the connection before its answer',
    'target-crashed': 'the target ended while it ran the request',
    'isolated': (
        'the request ran when a target crashed, and could not be run apart '
        'from others in time'
    ),
    'quarantined': 'the request crashes the targets that run it',
    'link-lost': (
        'the link to the node of the target was lost while the request was '
        'there'
    ),
    'answer-incomplete': (
        'the answer of the target did not arrive whole or was not valid'
    ),
    'answer-too-large': (
        'the target sent more than the node takes, perhaps without end'
    ),
    'caller-gone': 'the caller left before its answer',
    'memory': 'the node held as many bodies as its memory allows',
}


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A line of the story.

    Args:
        at: Seconds by the clock of the node where the request began.
        line: The line.
        depth: Calls above it in the tree of the request.
        is_belief: Whether it is a change of belief of a node on the way.
    """

    at: float
    line: log_lines.LogLine
    depth: int = 0
    is_belief: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """What became of a request.

    Args:
        request_id: The request.
        steps: All lines about it in order of time.
        decisive: The line that tells the cause; None for no failure.
        cause: One sentence.
        offsets: Seconds by which each node's clock is ahead of that of the
            node where the request began, as far as the lines tell.
        omitted: Lines that the nodes on the way left out about then.
    """

    request_id: str
    steps: tuple[Step, ...]
    decisive: log_lines.LogLine | None
    cause: str
    offsets: dict[str, float]
    omitted: int


def tell_story(
    lines: collections.abc.Sequence[log_lines.LogLine], request_id: str
) -> Story | None:
    """Return what became of a request, or None when no line tells.

    Args:
        lines: Lines of all nodes, in any order.
        request_id: The id of a request or of a call that serves it.
    """
    depths = _find_depths(lines, request_id)
    own = [line for line in lines if line.request_id in depths]
    if not own:
        return None
    offsets = _find_offsets(lines, _choose_reference(own, depths))
    steps = [
        Step(
            line.at - offsets.get(line.node_id, 0.0),
            line,
            depths[line.request_id],
        )
        for line in own
    ]
    steps.extend(_find_beliefs(lines, steps, offsets))
    steps.sort(key=lambda step: step.at)
    decisive = _choose_decisive(own, request_id, depths)
    return Story(
        request_id,
        tuple(steps),
        decisive,
        _describe_cause(decisive),
        offsets,
        sum(_count_omitted(line) for line in own),
    )


def count_causes(
    lines: collections.abc.Iterable[log_lines.LogLine],
) -> collections.Counter[tuple[str, str, str, str]]:
    """Count how calls ended where they began.

    Args:
        lines: Lines of all nodes.

    Returns:
        Calls by service, account, outcome and reason.
    """
    counts: collections.Counter[tuple[str, str, str, str]] = (
        collections.Counter()
    )
    for line in lines:
        if line.event != _ENTRY:
            continue
        fields = line.fields
        counts[
            str(fields.get('service', '')),
            str(fields.get('account', '')),
            str(fields.get('outcome', '')),
            str(fields.get('reason', '')),
        ] += 1
    return counts


def _count_omitted(line: log_lines.LogLine) -> int:
    """Return how many lines its node had left out, of all weights."""
    omitted: dict[str, int] = line.fields.get('omitted') or {}
    return sum(omitted.values())


def _find_depths(
    lines: collections.abc.Iterable[log_lines.LogLine], request_id: str
) -> dict[str, int]:
    """Return the requests of the story with their depths in the tree.

    They are the request, those above it, and all calls below it.
    """
    parents: dict[str, str] = {}
    children: dict[str, list[str]] = {}
    for line in lines:
        parent = str(line.fields.get('parent', ''))
        if parent and line.request_id not in parents:
            parents[line.request_id] = parent
            children.setdefault(parent, []).append(line.request_id)
    above = [request_id]
    while above[-1] in parents and parents[above[-1]] not in above:
        above.append(parents[above[-1]])
    depths = {name: depth for depth, name in enumerate(reversed(above))}
    waiting = [request_id]
    while waiting:
        name = waiting.pop()
        for child in children.get(name, ()):
            if child not in depths:
                depths[child] = depths[name] + 1
                waiting.append(child)
    return depths


def _choose_reference(
    lines: collections.abc.Sequence[log_lines.LogLine],
    depths: collections.abc.Mapping[str, int],
) -> str:
    """Return the node by whose clock the story is told."""
    entries = [line for line in lines if line.event == _ENTRY]
    first = min(entries or lines, key=lambda line: depths[line.request_id])
    return first.node_id


# Clocks


def _find_offsets(
    lines: collections.abc.Iterable[log_lines.LogLine], reference: str
) -> dict[str, float]:
    """Return how far each node's clock is ahead of the reference's.

    A call that has one attempt lies around the attempt at the target's
    node, so the middles of both are at the same time.
    """
    pairs = _match_pairs(lines)
    known = {reference: 0.0}
    waiting = [reference]
    while waiting:
        node = waiting.pop()
        for (entry, gate), found in pairs.items():
            offset = statistics.median(found)
            if entry == node and gate not in known:
                known[gate] = known[node] + offset
                waiting.append(gate)
            elif gate == node and entry not in known:
                known[entry] = known[node] - offset
                waiting.append(entry)
    return known


def _match_pairs(
    lines: collections.abc.Iterable[log_lines.LogLine],
) -> dict[tuple[str, str], list[float]]:
    entries: dict[str, log_lines.LogLine] = {}
    gates: dict[tuple[str, str], log_lines.LogLine] = {}
    for line in lines:
        if line.event == _ENTRY and line.request_id:
            entries[line.request_id] = line
        elif line.event == _GATE and line.request_id:
            gates[line.request_id, line.node_id] = line
    pairs: dict[tuple[str, str], list[float]] = {}
    for request_id, entry in entries.items():
        attempts = entry.fields.get('attempts') or []
        if len(attempts) != 1:
            continue
        node_id = str(attempts[0].get('node', ''))
        gate = gates.get((request_id, node_id))
        if gate is None:
            continue
        middle = entry.at - float(attempts[0]['ms']) / 2000.0
        gate_middle = gate.at - float(gate.fields['latency_ms']) / 2000.0
        key = (entry.node_id, node_id)
        pairs.setdefault(key, []).append(gate_middle - middle)
    return pairs


# Beliefs


def _find_beliefs(
    lines: collections.abc.Iterable[log_lines.LogLine],
    steps: collections.abc.Sequence[Step],
    offsets: dict[str, float],
) -> list[Step]:
    """Return what the nodes on the way came to believe shortly before."""
    nodes = {step.line.node_id for step in steps}
    for step in steps:
        for attempt in step.line.fields.get('attempts') or []:
            nodes.add(str(attempt.get('node', '')))
    end = max(step.at for step in steps)
    start = min(step.at for step in steps) - BELIEF_WINDOW_S
    newest: dict[str, Step] = {}
    found = []
    for line in lines:
        if line.node_id not in nodes or line.event in (_ENTRY, _GATE):
            continue
        at = line.at - offsets.get(line.node_id, 0.0)
        if at > end:
            continue
        step = Step(at, line, is_belief=True)
        if line.event == events.CONFIGURATION_APPLIED.number:
            known = newest.get(line.node_id)
            if known is None or known.at < at:
                newest[line.node_id] = step
        elif at >= start:
            found.append(step)
    return found + list(newest.values())


# Cause


def _choose_decisive(
    lines: collections.abc.Iterable[log_lines.LogLine],
    request_id: str,
    depths: collections.abc.Mapping[str, int],
) -> log_lines.LogLine | None:
    """Return the failure furthest down; at its target's node if known."""
    failures = [line for line in lines if _has_failed(line)]
    if not failures:
        return None
    own = [line for line in failures if line.request_id == request_id]
    if own and own[0].fields.get('reason') != '500':
        failures = own
    return max(
        failures,
        key=lambda line: (
            depths[line.request_id],
            line.event == _GATE,
            line.at,
        ),
    )


def _has_failed(line: log_lines.LogLine) -> bool:
    outcome = line.fields.get('outcome')
    reason = str(line.fields.get('reason', ''))
    return outcome != 'answered' or reason >= '500'


def _describe_cause(line: log_lines.LogLine | None) -> str:
    if line is None:
        return 'no line tells of a failure'
    fields = line.fields
    reason = str(fields.get('reason', ''))
    if fields.get('outcome') == 'answered':
        return f'the target answered {reason}' + _describe_target(fields)
    known = CAUSES.get(reason, f'{reason} (see the catalogue of events)')
    if fields.get('owner_is_silent'):
        known = _OWNER_SILENT
    return known + _describe_inputs(line)


def _describe_target(fields: dict[str, typing.Any]) -> str:
    target = fields.get('target')
    return f' (target {target})' if target else ''


def _describe_inputs(line: log_lines.LogLine) -> str:
    """Return the figures that decided, as far as the line has them."""
    fields = line.fields
    names = _GATE_INPUTS if line.event == _GATE else _ENTRY_INPUTS
    figures = [
        f'{name} {fields[name]}'
        for name in names
        if fields.get(name) is not None
    ]
    return f' ({", ".join(figures)})' if figures else ''
