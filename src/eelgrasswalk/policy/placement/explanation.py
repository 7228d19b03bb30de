"""Explains where a request would go, from what a node knows.

Nothing is changed: no token is taken, no random number is drawn, and no share
of a route's calls is used up.
"""

import collections
import collections.abc
import dataclasses
import enum
import heapq
import typing

from .. import call_rules
from . import candidates
from . import finish_time

# Candidates that an answer lists in all; a split route shares them out.
MAX_CANDIDATES = 32
# Services of a split that an answer lists.
MAX_SERVICES = 8
COMPARED = 2


class Problem(enum.Enum):
    """Why a question has no explanation."""

    UNKNOWN_ROUTE = 'unknown_route'
    MISSING_KEY = 'missing_key'
    UNKNOWN_KEY = 'unknown_key'
    NOT_READY = 'not_ready'
    BAD_QUESTION = 'bad_question'


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A question without an explanation.

    Args:
        problem: Why.
        detail: One sentence for operators.
    """

    problem: Problem
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The route and the account of a request.

    Args:
        route: The route.
        account: The client account; None where no key is needed.
    """

    route: call_rules.RouteRule
    account: call_rules.AccountRule | None


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """Whether an account is near its rate.

    Args:
        rate: Calls per second in force; 0 for no limit.
        burst: Calls that may arrive at once.
        owner: Node that grants its tokens; None if unknown.
        tokens: Tokens that are left; unknown at nodes that do not grant them.
        is_near: Whether the next call would find none; None if unknown.
        detail: Why something is unknown.
    """

    rate: float
    burst: float
    owner: str | None
    tokens: candidates.Figure
    is_near: bool | None
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """Whether the request is quarantined.

    Args:
        is_known: Whether this node holds the records of the service.
        standing: free, refused or trial, for a request without a body; empty
            if unknown.
        records: Records in force for requests of this method, path and
            account, whatever their bodies.
    """

    is_known: bool
    standing: str = ''
    records: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OwnTarget:
    """The target beside the asked node.

    Args:
        running: Calls that it runs.
        queued: Calls that wait for it.
        limit: Calls that it may run at a time.
        load: Calls that run or wait, per call that may run.
        service_s: Expected service time of the route, in seconds.
        cold_left_s: Seconds for which it is taken for cold.
        slowdown: Time that work takes on its host, 1 as usual.
        is_evacuated: Whether its data centre is evacuated.
        is_stopping: Whether the node is stopping.
    """

    running: candidates.Figure
    queued: candidates.Figure
    limit: candidates.Figure
    load: candidates.Figure
    service_s: candidates.Figure
    cold_left_s: candidates.Figure
    slowdown: candidates.Figure
    is_evacuated: bool
    is_stopping: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """A node of the service that is not among the balancer's upstreams.

    Args:
        node_id: Its id.
        data_centre: Its data centre.
        exclusion: The rule that leaves it out.
        state: State of its target as its entry says it.
    """

    node_id: str
    data_centre: str
    exclusion: candidates.Exclusion
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceKnowledge:
    """What the node knows of one service.

    Args:
        described: Its upstreams.
        absent: Its other nodes.
        quarantine: Whether the request is quarantined there.
        own_target: The node's own target if it is one of the service.
    """

    described: candidates.Description
    absent: collections.abc.Sequence[Absent]
    quarantine: Quarantine
    own_target: OwnTarget | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlacement:
    """Where the calls of one service would go.

    Args:
        service: Name of the service.
        share: Share of the route's calls that it gets, 0 to 1.
        expected_cost_s: Mean time of a call of the route, as the node
            measured it on its own calls.
        eligible: Candidates that calls may go to.
        compared: How the candidates are compared, and why.
        candidates: The best candidates, then excluded ones.
        absent: Nodes that the balancer does not consider.
        omitted: Candidates and nodes that are not listed.
        omitted_by_rule: How many of all candidates and nodes each rule leaves
            out.
        quarantine: Whether the request is quarantined.
        own_target: The node's own target if it is one of the service.
    """

    service: str
    share: float
    expected_cost_s: candidates.Figure
    eligible: int
    compared: str
    candidates: tuple[candidates.Candidate, ...]
    absent: tuple[Absent, ...]
    omitted: int
    omitted_by_rule: dict[str, int]
    quarantine: Quarantine
    own_target: OwnTarget | None


@dataclasses.dataclass(frozen=True, slots=True)
class RulesState:
    """The rules by which the explanation was made.

    Args:
        version: Their version.
        age_s: Seconds since they were the newest for certain; None if never.
        is_fresh: Whether keys may be accepted; requests are refused if not.
    """

    version: int
    age_s: float | None
    is_fresh: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would go, and why.

    Args:
        node_id: The asked node.
        data_centre: Its data centre.
        rules: The rules in force there.
        route: Name of the route.
        account: Name of the client account; empty where no key is needed.
        importance: Importance by which the request is shed.
        timeout_s: Longest time until its caller gets a response, in seconds.
        max_upstreams: Number of upstreams that it may be sent to.
        is_idempotent: Whether it may be sent again if it may have run.
        rate: Whether the account is near its rate; None without an account.
        homes: Data centres in which it may run; None for all.
        evacuated: Evacuated data centres.
        services: The services that may get it; more than one for a split.
        omitted_services: Services of the split that are not listed.
    """

    node_id: str
    data_centre: str
    rules: RulesState
    route: str
    account: str
    importance: str
    timeout_s: float
    max_upstreams: int
    is_idempotent: bool
    rate: Rate | None
    homes: tuple[str, ...] | None
    evacuated: tuple[str, ...]
    services: tuple[ServicePlacement, ...]
    omitted_services: int


# Takes a service and the maximum number of candidates to list.
Describe: typing.TypeAlias = typing.Callable[[str, int], ServiceKnowledge]


def find_admission(
    table: call_rules.RuleTable, hostname: str, path: str, key: bytes | None
) -> Admission | Refused:
    """Return the route and the account of a request, or why there is none.

    Args:
        table: The rules in force.
        hostname: Host name that the request is addressed to.
        path: Its path, without a query.
        key: Its API key; None without one.
    """
    route = table.find_route(hostname, path)
    if route is None:
        return Refused(
            Problem.UNKNOWN_ROUTE, 'No route matches this host and path.'
        )
    if route.open_to_all or not table.needs_keys:
        return Admission(route, None)
    if key is None:
        return Refused(
            Problem.MISSING_KEY, f'The route {route.name} needs a key.'
        )
    account = table.find_account(key)
    if account is None:
        return Refused(Problem.UNKNOWN_KEY, 'No account has this key.')
    return Admission(route, account)


def explain(
    admission: Admission,
    *,
    node_id: str,
    data_centre: str,
    rules: RulesState,
    rate: Rate | None,
    homes: frozenset[str] | None,
    evacuated: frozenset[str],
    describe: Describe,
) -> Explanation:
    """Explain where a request would go.

    Args:
        admission: Its route and account.
        node_id: The asked node.
        data_centre: Its data centre.
        rules: The rules in force there.
        rate: Whether the account is near its rate.
        homes: Data centres in which it may run; None for all.
        evacuated: Evacuated data centres.
        describe: Returns what the node knows of a service, with at most a
            given number of candidates.
    """
    route, account = admission.route, admission.account
    importance = route.importance
    if account is not None and account.importance is not None:
        importance = account.importance
    total = sum(share.weight for share in route.shares)
    ranked = sorted(route.shares, key=lambda share: -share.weight)
    listed = ranked[:MAX_SERVICES]
    max_candidates = MAX_CANDIDATES // len(listed)
    return Explanation(
        node_id=node_id,
        data_centre=data_centre,
        rules=rules,
        route=route.name,
        account='' if account is None else account.name,
        importance=importance.name.lower(),
        timeout_s=route.timeout_s,
        max_upstreams=route.max_upstreams,
        is_idempotent=route.idempotent,
        rate=rate,
        homes=None if homes is None else tuple(sorted(homes)),
        evacuated=tuple(sorted(evacuated)),
        services=tuple(
            _place(
                share.service,
                share.weight / total if total else 0.0,
                describe(share.service, max_candidates),
                max_candidates=max_candidates,
            )
            for share in listed
        ),
        omitted_services=len(ranked) - len(listed),
    )


def _place(
    service: str,
    share: float,
    known: ServiceKnowledge,
    *,
    max_candidates: int,
) -> ServicePlacement:
    described = known.described
    listed = described.candidates[:max_candidates]
    absent = heapq.nsmallest(
        max_candidates - len(listed),
        known.absent,
        key=lambda node: node.node_id,
    )
    by_rule = collections.Counter(node.exclusion for node in known.absent)
    by_rule.update(described.excluded)
    total = len(described.node_ids) + len(known.absent)
    return ServicePlacement(
        service=service,
        share=share,
        expected_cost_s=described.mean_latency_s,
        eligible=described.local + described.remote,
        compared=_explain_comparison(described),
        candidates=listed,
        absent=tuple(absent),
        omitted=total - len(listed) - len(absent),
        omitted_by_rule={rule.value: n for rule, n in by_rule.items()},
        quarantine=known.quarantine,
        own_target=known.own_target,
    )


def _explain_comparison(described: candidates.Description) -> str:
    local, remote = described.local, described.remote
    if not local and not remote:
        return 'No candidate is left; the request would be refused as not run.'
    if not local:
        return f'No local candidate is left; {_compare(remote, "remote")}.'
    text = _compare(local, 'local').capitalize()
    if not remote:
        return f'{text}; there is no remote candidate.'
    costly = local - described.preferred
    if not costly:
        return (
            f'{text}; remote ones are not considered, as all local ones cost '
            f'at most {described.local_max_cost:g} and fail no more than '
            'others.'
        )
    return (
        f'{text}; if it is one of the {costly} that cost more than '
        f'{described.local_max_cost:g} or fail more than others, '
        f'{_compare(remote, "remote")}, and it is used if its cost times '
        f'{described.remote_cost_factor:g} is lower.'
    )


def _compare(count: int, place: str) -> str:
    if count == 1:
        return f'the only {place} candidate is taken'
    return (
        f'{COMPARED} of {count} {place} candidates are drawn at random and '
        'the one with the lower cost is taken, or the one with the earlier '
        'expected finish if both have reported their times within '
        f'{finish_time.MAX_REPORT_AGE_S:g} s'
    )
