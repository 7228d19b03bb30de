"""Describes the upstreams of a service as a balancer sees them."""

import collections
import collections.abc
import heapq
import math

from . import candidates
from . import spread
from . import upstream_cost


def describe(
    balancer: spread.LoadAwareBalancer,
    service: str,
    now: float,
    *,
    max_listed: int,
    data_centres: collections.abc.Set[str] | None = None,
    route: str = '',
) -> candidates.Description:
    """Describe the upstreams of a service; nothing is changed.

    Args:
        balancer: The balancer.
        service: The service.
        now: Monotonic time in seconds.
        max_listed: Maximum number of upstreams to list.
        data_centres: Data centres that a call may go to; None for all.
        route: Name of the route whose mean latency is described.
    """
    states, settings, mean_latency_s = balancer.read(service, route)
    exclusions = _find_exclusions(states, now, data_centres)
    eligible = [
        state
        for state, exclusion in zip(states, exclusions, strict=True)
        if exclusion is None
    ]
    measured = balancer.measure(states, eligible, now)
    # Only the listed upstreams are described in full: describing all of 1,200
    # took most of the time of an answer.
    ranks: list[tuple[bool, bool, float, str, int]] = []
    preferred = 0
    for index, (cost, _, has_excess_failures) in enumerate(measured):
        state = states[index]
        is_preferred = (
            state.is_local
            and cost <= settings.local_max_cost
            and not has_excess_failures
        )
        is_excluded = exclusions[index] is not None
        preferred += is_preferred and not is_excluded
        if not state.is_local:
            cost *= settings.remote_cost_factor
        node_id = state.upstream.node_id
        ranks.append((is_excluded, not is_preferred, cost, node_id, index))
    local = sum(state.is_local for state in eligible)
    return candidates.Description(
        tuple(
            _describe_one(
                states[index],
                measured[index][:2],
                exclusions[index],
                now,
                is_preferred=not is_costly,
                stall_s=settings.stall_s,
            )
            for _, is_costly, _, _, index in heapq.nsmallest(max_listed, ranks)
        ),
        node_ids=frozenset(state.upstream.node_id for state in states),
        local=local,
        preferred=preferred,
        remote=len(eligible) - local,
        excluded=dict(
            collections.Counter(
                exclusion for exclusion in exclusions if exclusion is not None
            )
        ),
        local_max_cost=settings.local_max_cost,
        remote_cost_factor=settings.remote_cost_factor,
        mean_latency_s=candidates.Figure(mean_latency_s),
    )


def _find_exclusions(
    states: collections.abc.Sequence[upstream_cost.State],
    now: float,
    data_centres: collections.abc.Set[str] | None,
) -> list[candidates.Exclusion | None]:
    """Return the rule that excludes each upstream; None if none does.

    It follows the rules of the balancer's `choose` for a call that was not
    tried yet.
    """
    excluded: list[candidates.Exclusion | None] = [None] * len(states)
    remaining: list[int] = []
    for index, state in enumerate(states):
        if state.leaving:
            excluded[index] = candidates.Exclusion.LEAVING
        elif (
            data_centres is not None
            and state.upstream.data_centre not in data_centres
        ):
            excluded[index] = candidates.Exclusion.OUTSIDE_HOMES
        else:
            remaining.append(index)
    reachable = [i for i in remaining if states[i].unreachable_until <= now]
    if reachable:
        for index in remaining:
            if states[index].unreachable_until > now:
                excluded[index] = candidates.Exclusion.UNREACHABLE
        remaining = reachable
    if any(states[index].cold_until <= now for index in remaining):
        for index in remaining:
            if states[index].cold_until > now:
                excluded[index] = candidates.Exclusion.COLD
    return excluded


def _describe_one(
    state: upstream_cost.State,
    cost_and_load: tuple[float, float],
    exclusion: candidates.Exclusion | None,
    now: float,
    *,
    is_preferred: bool,
    stall_s: float,
) -> candidates.Candidate:
    cost, estimated_load = cost_and_load
    report_age_s = None
    load = None
    if state.reported_at > -math.inf:
        report_age_s = max(0.0, now - state.reported_at)
        load = state.load
    report = state.report
    times_age_s = None
    if report.reported_at > -math.inf:
        times_age_s = max(0.0, now - report.reported_at)
    failure_age_s = None
    if state.failure_rate or state.failure_reported_at:
        failure_age_s = max(0.0, now - state.failure_reported_at)
    return candidates.Candidate(
        node_id=state.upstream.node_id,
        data_centre=state.upstream.data_centre,
        is_local=state.is_local,
        cost=cost,
        is_preferred=is_preferred,
        slots=state.upstream.slots,
        load=candidates.Figure(load, report_age_s),
        estimated_load=candidates.Figure(estimated_load, report_age_s),
        in_flight=candidates.Figure(state.in_flight, 0.0),
        sent_since_report=candidates.Figure(state.sent_since_report, 0.0),
        wait_s=candidates.Figure(
            None if times_age_s is None else report.wait_s, times_age_s
        ),
        slowness=candidates.Figure(
            None if times_age_s is None else report.slowness, times_age_s
        ),
        latency_ratio=candidates.Figure(state.latency_ratio),
        failure_rate=candidates.Figure(
            None if failure_age_s is None else state.failure_rate,
            failure_age_s,
        ),
        cold_left_s=candidates.Figure(max(0.0, state.cold_until - now)),
        unreachable_left_s=candidates.Figure(
            max(0.0, state.unreachable_until - now)
        ),
        is_stalled=state.in_flight > 0
        and now - state.last_progress_at > stall_s,
        exclusion=exclusion,
    )
