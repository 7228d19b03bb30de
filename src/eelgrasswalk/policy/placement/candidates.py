"""What a balancer knows of the upstreams of a service, for operators."""

import dataclasses
import enum


class Exclusion(enum.Enum):
    """The rule by which a call is not sent to an upstream.

    UNREACHABLE holds only while other upstreams can be reached, and COLD only
    while other upstreams are warm.
    """

    EVACUATED = 'evacuated'
    NOT_READY = 'not_ready'
    LEAVING = 'leaving'
    OUTSIDE_HOMES = 'outside_homes'
    UNREACHABLE = 'unreachable'
    COLD = 'cold'


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """A value and how long ago it was learned.

    Args:
        value: The value; None if unknown.
        age_s: Seconds since it was learned, 0 for what this node counts
            itself; None if unknown.
    """

    value: float | None
    age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream as the balancer sees it.

    Args:
        node_id: Id of its node.
        data_centre: Data centre of its node.
        is_local: Whether that is the data centre of the asked node.
        cost: Cost by which it is compared, in loads.
        is_preferred: Whether it is used without a comparison with upstreams
            in other data centres.
        slots: Calls that its target runs concurrently; 0 if unknown.
        load: Load that it last reported, 1.0 if its slots are all in use.
        estimated_load: That load after decay, with the calls sent since.
        in_flight: Calls of the asked node that it has not answered.
        sent_since_report: Calls sent to it since it reported its load.
        wait_s: Time until a call starts there, as it last reported.
        slowness: Its reported service time as a multiple of the mean of all
            upstreams.
        latency_ratio: Its latency relative to the mean of all upstreams.
        failure_rate: Share of calls, 0 to 1, that it last reported as failed.
        cold_left_s: Seconds for which its target is taken for cold.
        unreachable_left_s: Seconds for which it is avoided because it could
            not be reached.
        is_stalled: Whether calls are outstanding and it has not responded for
            some time.
        exclusion: The rule that leaves it out; None if calls may go to it.
    """

    node_id: str
    data_centre: str
    is_local: bool
    cost: float
    is_preferred: bool
    slots: int
    load: Figure
    estimated_load: Figure
    in_flight: Figure
    sent_since_report: Figure
    wait_s: Figure
    slowness: Figure
    latency_ratio: Figure
    failure_rate: Figure
    cold_left_s: Figure
    unreachable_left_s: Figure
    is_stalled: bool
    exclusion: Exclusion | None


@dataclasses.dataclass(frozen=True, slots=True)
class Description:
    """The upstreams of a service, and how they are compared.

    Args:
        candidates: The listed ones: those that calls may go to, best first,
            then the others.
        node_ids: Ids of the nodes of all upstreams, listed or not.
        local: Number of local upstreams that calls may go to.
        preferred: How many of these are used without a comparison with
            remote ones.
        remote: Number of remote upstreams that calls may go to.
        excluded: Number of upstreams that each rule leaves out.
        local_max_cost: Cost up to which a local upstream is used without a
            comparison with remote ones.
        remote_cost_factor: Cost factor of remote upstreams.
        mean_latency_s: Mean latency of the route's calls by node and target,
            in seconds, as this node measured it.
    """

    candidates: tuple[Candidate, ...]
    node_ids: frozenset[str]
    local: int
    preferred: int
    remote: int
    excluded: dict[Exclusion, int]
    local_max_cost: float
    remote_cost_factor: float
    mean_latency_s: Figure
