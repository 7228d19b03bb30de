"""Load-aware selection of upstreams.

Picks the cheaper of two randomly chosen upstreams by the load that they
report, or by the expected finish time where both report that. It copes with
upstreams that differ in speed, that have just started, that stop responding
or that fail part of their calls, and with many callers that choose at the
same time from slightly outdated reports. A bad upstream costs more but is
never excluded, so that it is retried occasionally and a call always finds a
target.

A cold target crashes under a rate that warm ones bear, so cold ones are
chosen only if there are no others.

A call with a tight deadline goes to the upstream with the lowest expected
latency in any data centre, since an idle but slow local one may answer too
late.
"""

import collections
import collections.abc
import math

from . import balance
from . import finish_time
from . import upstream_cost

# Runs of targets that are remembered as leaving; the oldest are forgotten.
MAX_LEAVING_RUNS = 1024


LoadAwareSettings = upstream_cost.LoadAwareSettings


class LoadAwareBalancer:
    """Chooses upstreams by their reported load.

    Does no I/O; callers pass the time and random numbers.

    Args:
        settings: The settings.
        data_centre: Data centre of this node.
    """

    def __init__(
        self, settings: LoadAwareSettings, *, data_centre: str
    ) -> None:
        self._settings = settings
        self._costs = upstream_cost.CostModel(settings)
        self._data_centre = data_centre
        self._services: dict[str, list[upstream_cost.State]] = {}
        self._states: dict[str, upstream_cost.State] = {}
        self._route_means = finish_time.RouteMeans()
        self._route_latency_s: dict[tuple[str, str], float] = {}
        self._leaving_runs: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        # No upstream is cold after this time.
        self._cold_until = -math.inf

    def replace(
        self,
        service: str,
        upstreams: collections.abc.Sequence[balance.Upstream],
        now: float,
    ) -> None:
        """Set the upstreams of a service.

        Args:
            service: The service.
            upstreams: All its ready upstreams.
            now: Monotonic time in seconds.
        """
        known = self._services.get(service, [])
        added_at = now if known else -math.inf
        states = [
            self._keep_state(upstream, added_at) for upstream in upstreams
        ]
        kept_ids = {state.upstream.node_id for state in states}
        for state in known:
            node_id = state.upstream.node_id
            if node_id not in kept_ids and self._states.get(node_id) is state:
                del self._states[node_id]
        self._services[service] = states

    def count_upstreams(
        self,
        service: str,
        *,
        data_centres: collections.abc.Set[str] | None = None,
    ) -> int:
        """Return the number of upstreams of a service.

        Args:
            service: The service.
            data_centres: Data centres to count in; None for all.
        """
        states = self._services.get(service, ())
        if data_centres is None:
            return len(states)
        return sum(
            state.upstream.data_centre in data_centres for state in states
        )

    def choose(
        self,
        service: str,
        now: float,
        random_pair: tuple[float, float],
        *,
        excluded: collections.abc.Set[str] = frozenset(),
        allowed: collections.abc.Set[str] | None = None,
        data_centres: collections.abc.Set[str] | None = None,
        avoided: collections.abc.Set[str] = frozenset(),
        route: str = '',
        remaining_s: float = math.inf,
    ) -> balance.Upstream | None:
        """Choose an upstream, or return None if there is none.

        Args:
            service: The service to call.
            now: Monotonic time in seconds.
            random_pair: Two random numbers, 0 <= value < 1.
            excluded: Ids of nodes not to choose, such as those already
                tried.
            allowed: Ids of the nodes to choose from; None for all.
            data_centres: Data centres to choose from; None for all.
            avoided: Data centres not to choose from.
            route: Name of the route of the call.
            remaining_s: Seconds until the deadline of the call.
        """
        usable = [
            state
            for state in self._services.get(service, ())
            if not state.leaving and state.upstream.node_id not in excluded
        ]
        if allowed is not None:
            usable = [
                state for state in usable if state.upstream.node_id in allowed
            ]
        if data_centres is not None or avoided:
            usable = [
                state
                for state in usable
                if _is_in(state.upstream.data_centre, data_centres, avoided)
            ]
        reachable = [
            state for state in usable if state.unreachable_until <= now
        ]
        states = reachable or usable
        if now < self._cold_until:
            warm = [state for state in states if state.cold_until <= now]
            states = warm or states
        rates = [
            self._costs.estimate_failure_rate(state, now)
            for state in states
            if state.failure_rate
        ]
        failure_rates = upstream_cost.FailureRates(sum(rates), len(states))
        chosen = self._choose_local_first(
            states,
            random_pair,
            failure_rates,
            now,
            self._route_means.find(service, route),
        )
        if chosen is None:
            return None
        if self._has_tight_deadline(chosen, route, remaining_s):
            chosen = self._choose_fastest(states, failure_rates, now) or chosen
        return chosen.upstream

    def _choose_local_first(
        self,
        states: list[upstream_cost.State],
        random_pair: tuple[float, float],
        failure_rates: upstream_cost.FailureRates,
        now: float,
        mean_s: float | None,
    ) -> upstream_cost.State | None:
        """Prefer a local upstream unless a remote one costs less."""
        local = [state for state in states if state.is_local]
        best = self._choose_of_two(
            local, random_pair, failure_rates, now, mean_s
        )
        if best is not None:
            cost = self._costs.compute_cost(best, failure_rates, now)
            has_excess_failures = self._has_excess_failures(
                best, failure_rates, now
            )
            if (
                cost <= self._settings.local_max_cost
                and not has_excess_failures
            ):
                return best
        remote = [state for state in states if not state.is_local]
        other = self._choose_of_two(
            remote, random_pair, failure_rates, now, mean_s
        )
        if other is None or best is None:
            return other or best
        cost, remote_cost = self._costs.compute_costs(
            (best, other), failure_rates, now, mean_s
        )
        remote_cost_factor = self._settings.remote_cost_factor
        return other if remote_cost * remote_cost_factor < cost else best

    def _choose_fastest(
        self,
        states: list[upstream_cost.State],
        failure_rates: upstream_cost.FailureRates,
        now: float,
    ) -> upstream_cost.State | None:
        """Return the upstream with the lowest latency, unless it is loaded."""
        tight_deadline_idle_cost = self._settings.tight_deadline_idle_cost
        fastest = min(
            states,
            key=lambda state: self._costs.compute_cost(
                state, failure_rates, now, tight_deadline_idle_cost
            ),
        )
        has_room = (
            self._costs.estimate_load(fastest, now)
            < self._settings.tight_deadline_max_load
        )
        return fastest if has_room else None

    def _has_excess_failures(
        self,
        state: upstream_cost.State,
        failure_rates: upstream_cost.FailureRates,
        now: float,
    ) -> bool:
        excess = failure_rates.compute_excess(
            self._costs.estimate_failure_rate(state, now)
        )
        return excess > self._settings.tolerated_failure_excess

    def _has_tight_deadline(
        self, state: upstream_cost.State, route: str, remaining_s: float
    ) -> bool:
        mean_s = self._route_latency_s.get((state.upstream.service, route))
        if mean_s is None:
            return False
        return (
            remaining_s
            < self._settings.tight_deadline_ratio
            * mean_s
            * state.latency_ratio
        )

    def start(self, node_id: str, now: float) -> None:
        """Record that a call was sent to an upstream."""
        state = self._states.get(node_id)
        if state is None:
            return
        if state.in_flight == 0:
            state.last_progress_at = now
        state.in_flight += 1
        state.sent_since_report += 1

    def finish(
        self,
        node_id: str,
        now: float,
        *,
        route: str,
        outcome: balance.Outcome,
        latency_s: float,
        load: float | None,
        failure_rate: float | None,
        cold_s: float | None = None,
        times: finish_time.Times | None = None,
    ) -> None:
        """Record the outcome of a call.

        Args:
            node_id: Id of the upstream's node.
            now: Monotonic time in seconds.
            route: Name of the route of the call.
            outcome: How the call ended.
            latency_s: Seconds from start to end.
            load: Load that the upstream reported, 1.0 if its slots are all
                in use; None without a report.
            failure_rate: Share of calls, 0 to 1, that fail through the
                target's own fault as the upstream reported it; None without
                a report.
            cold_s: Seconds for which the upstream says that its target
                remains cold, 0 if it is not; None without a report.
            times: What the upstream expects of another call of the route;
                None if it does not tell.
        """
        state = self._states.get(node_id)
        if state is None:
            return
        if cold_s is not None:
            self._set_cold(state, now + cold_s)
        state.in_flight = max(0, state.in_flight - 1)
        if outcome is balance.Outcome.CANCELLED:
            return
        if load is not None:
            state.load = load
            state.reported_at = now
            state.sent_since_report = 0
            state.report = self._build_report(state, route, times, now)
        if failure_rate is not None:
            state.failure_rate = failure_rate
            state.failure_reported_at = now
        if outcome is balance.Outcome.LEAVING:
            state.leaving = True
            return
        if outcome is balance.Outcome.FAILED:
            if failure_rate is None:
                self._count_failure(state, now)
            return
        state.last_progress_at = now
        state.unreachable_count = 0
        state.unreachable_until = -math.inf
        if outcome is balance.Outcome.ANSWERED:
            self._record_latency(state, route, latency_s)

    def mark_unreachable(self, node_id: str, now: float) -> None:
        """Avoid an upstream that could not be reached, for a limited time."""
        state = self._states.get(node_id)
        if state is None or state.unreachable_until > now:
            return
        settings = self._settings
        duration_s = settings.unreachable_s * 2.0 ** min(
            state.unreachable_count, 8
        )
        state.unreachable_count += 1
        state.unreachable_until = now + min(
            duration_s, settings.max_unreachable_s
        )

    def assume_cold(
        self, node_ids: collections.abc.Iterable[str], until: float
    ) -> None:
        """Take the targets beside some nodes for cold.

        Args:
            node_ids: Ids of the nodes; unknown ones are ignored.
            until: Monotonic time in seconds at which they are warm unless
                their nodes say so before.
        """
        for node_id in node_ids:
            state = self._states.get(node_id)
            if state is not None:
                self._set_cold(state, max(until, state.cold_until))

    def mark_leaving(self, node_id: str, run_id: str) -> None:
        """Send no more calls to a run of a target.

        It holds even if the node beside the target restarts and no longer
        knows that the target is leaving.

        Args:
            node_id: Id of the upstream's node.
            run_id: Id of the run.
        """
        self._leaving_runs[run_id] = None
        if len(self._leaving_runs) > MAX_LEAVING_RUNS:
            self._leaving_runs.popitem(last=False)
        state = self._states.get(node_id)
        if state is not None and state.upstream.run_id == run_id:
            state.leaving = True

    def _choose_of_two(
        self,
        states: list[upstream_cost.State],
        random_pair: tuple[float, float],
        failure_rates: upstream_cost.FailureRates,
        now: float,
        mean_s: float | None,
    ) -> upstream_cost.State | None:
        """Return the cheaper of two randomly chosen upstreams."""
        if len(states) < 2:
            return states[0] if states else None
        first = int(random_pair[0] * len(states))
        second = int(random_pair[1] * (len(states) - 1))
        if second >= first:
            second += 1
        pair = (states[first], states[second])
        costs = self._costs.compute_costs(pair, failure_rates, now, mean_s)
        return pair[0] if costs[0] <= costs[1] else pair[1]

    def _keep_state(
        self, upstream: balance.Upstream, added_at: float
    ) -> upstream_cost.State:
        state = self._states.get(upstream.node_id)
        if state is None or state.upstream != upstream:
            is_local = upstream.data_centre == self._data_centre
            state = upstream_cost.State(upstream, added_at, is_local)
            self._states[upstream.node_id] = state
            self._set_cold(state, upstream.cold_until)
        elif state.upstream.cold_until != upstream.cold_until:
            state.upstream = upstream
            self._set_cold(state, upstream.cold_until)
        state.leaving = upstream.run_id in self._leaving_runs
        return state

    def _set_cold(self, state: upstream_cost.State, until: float) -> None:
        state.cold_until = until
        self._cold_until = max(self._cold_until, until)

    def _build_report(
        self,
        state: upstream_cost.State,
        route: str,
        times: finish_time.Times | None,
        now: float,
    ) -> finish_time.Report:
        if times is None:
            return finish_time.NO_REPORT
        service = state.upstream.service
        return self._route_means.record(service, route, times, now)

    def _count_failure(self, state: upstream_cost.State, now: float) -> None:
        """Count a failed call for which the upstream reported no rate."""
        rate = self._costs.estimate_failure_rate(state, now)
        state.failure_rate = rate + self._settings.ewma_weight * (1.0 - rate)
        state.failure_reported_at = now

    def _record_latency(
        self, state: upstream_cost.State, route: str, latency_s: float
    ) -> None:
        """Compare a latency with the mean of its route over all upstreams."""
        ewma_weight = self._settings.ewma_weight
        key = (state.upstream.service, route)
        mean_s = self._route_latency_s.get(key)
        if mean_s is None:
            self._route_latency_s[key] = latency_s
            return
        self._route_latency_s[key] = (
            mean_s + ewma_weight * (latency_s - mean_s) / 4.0
        )
        ratio = latency_s / max(mean_s, 0.001)
        ratio = min(ratio, self._settings.max_latency_factor)
        state.latency_ratio += ewma_weight * (ratio - state.latency_ratio)

    def read(
        self, service: str, route: str
    ) -> tuple[list[upstream_cost.State], LoadAwareSettings, float | None]:
        """Return upstreams, settings and mean latency; don't change them."""
        mean_s = self._route_latency_s.get((service, route))
        return self._services.get(service, []), self._settings, mean_s

    def measure(
        self,
        states: list[upstream_cost.State],
        eligible: list[upstream_cost.State],
        now: float,
    ) -> list[tuple[float, float, bool]]:
        """Return costs and loads, and which upstreams fail too many calls."""
        costs = self._costs
        rates = [costs.estimate_failure_rate(state, now) for state in eligible]
        failure_rates = upstream_cost.FailureRates(sum(rates), len(rates))
        return [
            (
                costs.compute_cost(state, failure_rates, now),
                costs.estimate_load(state, now),
                self._has_excess_failures(state, failure_rates, now),
            )
            for state in states
        ]


def _is_in(
    data_centre: str,
    allowed: collections.abc.Set[str] | None,
    avoided: collections.abc.Set[str],
) -> bool:
    if data_centre in avoided:
        return False
    return allowed is None or data_centre in allowed
