"""Checks of every promise against what a run of faults left behind."""

import bisect
import collections
import collections.abc
import typing

from . import chaos_records as records

WITHDRAWAL_S = 2.0
TOLERANCE_TOKENS = 1e-6
CONFLICT = 409
UNAVAILABLE = 503
PLATFORM_FAULTS = frozenset(
    {
        'lost-answers',
        'platform-cut',
        'platform-down',
        'platform-silence',
        'platform-slow',
    }
)

Found: typing.TypeAlias = typing.Iterator[str]


def find_violations(
    evidence: records.Evidence,
) -> list[records.Violation]:
    """Return every violation of every promise."""
    return [
        records.Violation(promise, detail)
        for promise, check in CHECKS.items()
        for detail in check(evidence)
    ]


def find_double_bookings(evidence: records.Evidence) -> Found:
    """Find bookings that ran more than once."""
    for name, count in _count_bookings(evidence).items():
        if count > 1:
            yield f'booking {name} ran {count} times'


def find_lost_bookings(evidence: records.Evidence) -> Found:
    """Find bookings that were answered and are in no ledger."""
    runs = _count_bookings(evidence)
    for name, told in _list_bookings(evidence).items():
        if records.Told.ANSWERED in told and name not in runs:
            yield f'booking {name} was answered and did not run'


def find_untrue_refusals(evidence: records.Evidence) -> Found:
    """Find requests that were only told not-run and did run."""
    runs = {run.request for run in evidence.runs}
    told: dict[str, set[records.Told]] = collections.defaultdict(set)
    for attempt in evidence.attempts:
        told[attempt.request].add(attempt.told)
    for name, outcomes in told.items():
        if outcomes == {records.Told.NOT_RUN} and name in runs:
            yield f'{name} was told not-run and ran'


def find_crossed_answers(evidence: records.Evidence) -> Found:
    """Find answers to another request than the caller's."""
    for attempt in evidence.attempts:
        if attempt.status == 200 and attempt.echoed != attempt.request:
            yield f'{attempt.request} got the answer to {attempt.echoed!r}'


def find_seen_keys(evidence: records.Evidence) -> Found:
    """Find requests that brought a key to a target."""
    for run in evidence.runs:
        if run.has_key:
            yield f'{run.request or run.path} held a key at its target'


def find_late_keys(evidence: records.Evidence) -> Found:
    """Find withdrawn keys that were answered after their time.

    A paused node hears nothing; its time runs from when it goes on.
    """
    gone = {item.key: item.at for item in evidence.withdrawals}
    pauses = [span for span in evidence.spans if span.kind == 'pause']
    for attempt in evidence.attempts:
        if attempt.status != 200 or attempt.key not in gone:
            continue
        due = gone[attempt.key] + WITHDRAWAL_S
        for span in sorted(pauses, key=lambda item: item.start):
            if span.node == attempt.entry and span.start <= due:
                due = max(due, span.end + WITHDRAWAL_S)
        if attempt.sent_at > due:
            at = gone[attempt.key]
            late_s = attempt.sent_at - at
            spans = [
                span
                for span in evidence.spans
                if span.start <= attempt.sent_at and span.end >= at
            ]
            yield (
                f'{attempt.request} at node {attempt.entry}: 200 '
                f'{late_s:.2f} s after {attempt.key} was withdrawn '
                f'during {_describe_spans(spans)}'
            )


def find_overruns(evidence: records.Evidence) -> Found:
    """Find windows with more admissions than rate * t + burst.

    A request was admitted between its sending and its start at the target.
    Only requests whose whole span lies in a window count in that window, as
    a paused node lets requests start long after they were admitted.
    """
    worst, window_s = compute_overrun(
        list_admissions(evidence), evidence.rate, evidence.burst
    )
    if worst > TOLERANCE_TOKENS:
        yield f'{worst:.2f} tokens over in a window of {window_s:.2f} s'


def list_admissions(
    evidence: records.Evidence,
) -> list[tuple[float, float]]:
    """Return when requests of the greedy account were sent and began."""
    began: dict[str, float] = {}
    for run in evidence.runs:
        first = began.get(run.request, run.start)
        began[run.request] = min(first, run.start)
    return [
        (attempt.sent_at, began[attempt.request])
        for attempt in evidence.attempts
        if attempt.load == records.Load.GREEDY and attempt.request in began
    ]


def compute_overrun(
    admissions: collections.abc.Iterable[tuple[float, float]],
    rate: float,
    burst: float,
) -> tuple[float, float]:
    """Return the worst window's tokens over its bound, and its seconds.

    Args:
        admissions: Earliest and latest time of each admission, in seconds.
        rate: Tokens a second.
        burst: Tokens at once.
    """
    ordered = sorted(admissions, key=lambda item: item[1])
    starts: list[float] = []
    worst = (float('-inf'), 0.0)
    for earliest, latest in ordered:
        bisect.insort(starts, earliest)
        count = len(starts)
        for index, start in enumerate(starts):
            window_s = max(0.0, latest - start)
            over = count - index - rate * window_s - burst
            worst = max(worst, (over, window_s))
    return worst


def find_excess_retries(evidence: records.Evidence) -> Found:
    """Find call trees with more attempts at a service than allowed.

    A booking's caller sends it again under the same root, so that its
    attempts are bounded by `find_double_bookings` instead.
    """
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for run in evidence.runs:
        if run.root and not run.booking:
            counts[run.root, run.path] += 1
    for (root, path), count in counts.items():
        if count > 1 + evidence.allowance:
            yield f'{root} came {count} times to {path}'


def find_reverted_versions(evidence: records.Evidence) -> Found:
    """Find nodes that went back to an earlier version."""
    known: dict[int, int] = {}
    for sample in evidence.samples:
        before = known.get(sample.node, 0)
        if 0 < sample.version < before:
            yield f'node {sample.node} {before} -> {sample.version}'
        known[sample.node] = max(before, sample.version)


def find_lagging_nodes(evidence: records.Evidence) -> Found:
    """Find nodes without the last accepted version in force at the end."""
    for node in evidence.lagging:
        yield f'node {node} does not have version {evidence.accepted[-1]}'


def find_broken_races(evidence: records.Evidence) -> Found:
    """Find races with two winners, and gaps in the audit log."""
    for race in evidence.races:
        if len(race.versions) > 1:
            yield f'both operators won: {race.versions}'
        for version in race.versions:
            if version not in evidence.accepted:
                yield f'version {version} is not in the audit log'
    if not evidence.is_chain_whole:
        yield 'the audit log does not verify'


def find_cut_requests(evidence: records.Evidence) -> Found:
    """Find requests that were cut or in doubt without an unplanned cause.

    A caller that left an earlier try of a booking, or was cut from it, made
    the doubt about it; that earlier try is checked for itself. So did an
    earlier try that was refused while the platform failed: its claim may be
    written and its answer lost, which no other node can tell from a run.
    """
    doubted: set[str] = set()
    for node, code in evidence.stops:
        if code:
            yield f'node {node} ended its planned stop with {code}'
    for attempt in evidence.attempts:
        cut = attempt.told is records.Told.CUT
        doubtful = attempt.told is records.Told.MAY_HAVE_RUN
        is_known = attempt.request in doubted
        if (
            cut
            or doubtful
            or attempt.told is records.Told.LEFT
            or _may_have_claimed(evidence, attempt)
        ):
            doubted.add(attempt.request)
        if not cut and not doubtful:
            continue
        if is_known and attempt.status == CONFLICT:
            continue
        spans = list(_list_spans(evidence, attempt))
        if any(_can_cut(span, attempt, cut) for span in spans):
            continue
        earlier = [
            f'{each.told.value} {each.status}'
            for each in evidence.attempts
            if each.request == attempt.request
            and each.sent_at < attempt.sent_at
        ]
        yield (
            f'{attempt.request} at node {attempt.entry}: '
            f'{attempt.told.value} {attempt.detail} after {earlier} '
            f'during {_describe_spans(spans)}'
        )


def _can_cut(span: records.Span, attempt: records.Attempt, cut: bool) -> bool:
    if cut:
        return span.kind == 'kill' and span.node == attempt.entry
    return span.kind in {'kill', 'pause', 'cut', 'silence'}


def _may_have_claimed(
    evidence: records.Evidence, attempt: records.Attempt
) -> bool:
    return (
        attempt.load is records.Load.BOOKING
        and attempt.status == UNAVAILABLE
        and any(
            span.kind in PLATFORM_FAULTS
            for span in _list_spans(evidence, attempt)
        )
    )


def _list_spans(
    evidence: records.Evidence, attempt: records.Attempt
) -> typing.Iterator[records.Span]:
    for span in evidence.spans:
        if span.start <= attempt.ended_at and span.end >= attempt.sent_at:
            yield span


def _describe_spans(
    spans: collections.abc.Iterable[records.Span],
) -> list[str]:
    return sorted(
        span.kind if span.node is None else f'{span.kind} {span.node}'
        for span in spans
    )


def _count_bookings(
    evidence: records.Evidence,
) -> collections.Counter[str]:
    return collections.Counter(
        run.booking for run in evidence.runs if run.booking
    )


def _list_bookings(
    evidence: records.Evidence,
) -> dict[str, set[records.Told]]:
    told: dict[str, set[records.Told]] = collections.defaultdict(set)
    for attempt in evidence.attempts:
        if attempt.load is records.Load.BOOKING:
            told[attempt.request].add(attempt.told)
    return told


CHECKS: dict[str, collections.abc.Callable[[records.Evidence], Found]] = {
    'at-most-once': find_double_bookings,
    'answered-booking-ran': find_lost_bookings,
    'not-run-is-true': find_untrue_refusals,
    'own-answer': find_crossed_answers,
    'no-key-at-target': find_seen_keys,
    'withdrawn-key': find_late_keys,
    'quota': find_overruns,
    'bounded-retries': find_excess_retries,
    'configuration-never-reverts': find_reverted_versions,
    'configuration-in-force': find_lagging_nodes,
    'one-winner': find_broken_races,
    'no-request-cut': find_cut_requests,
}
