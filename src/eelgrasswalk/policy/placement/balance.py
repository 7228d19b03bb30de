"""Latency-aware selection of the upstream for each outgoing call."""

import collections.abc
import dataclasses
import enum
import math

import xxhash

from ... import verdict

MEDIAN_INTERVAL_S = 0.1
MIN_LATENCY_S = 0.001


class Outcome(enum.Enum):
    """How a call to an upstream ended.

    ANSWERED is any complete response, whatever its status. REFUSED and
    LEAVING calls are known not to have run. FAILED calls were lost or timed
    out. CANCELLED calls are no evidence about the upstream.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    LEAVING = 'leaving'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


UNREACHABLE_REASONS = frozenset(
    (
        verdict.Reason.NO_UPSTREAM,
        verdict.Reason.TARGET_UNREACHABLE,
        verdict.Reason.FENCED,
    )
)


def classify_verdict(outcome: verdict.Verdict) -> Outcome:
    """Return the outcome of a call for the upstream that it was sent to."""
    if isinstance(outcome, verdict.Answered):
        return Outcome.ANSWERED
    if isinstance(outcome, verdict.MayHaveRun):
        return Outcome.FAILED
    if outcome.reason is verdict.Reason.LEAVING:
        return Outcome.LEAVING
    if outcome.reason in UNREACHABLE_REASONS:
        return Outcome.FAILED
    return Outcome.REFUSED


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """A node that serves a service.

    Args:
        node_id: Id of the node.
        data_centre: Data centre of the node.
        service: Service of its target.
        slots: Number of calls that its target runs concurrently; 0 if
            unknown.
        run_id: Id of the current run of its target; empty if unknown.
        cold_until: Monotonic time until which its target is cold, in
            seconds. It changes while the upstream stays the same.
    """

    node_id: str
    data_centre: str
    service: str
    slots: int = 0
    run_id: str = ''
    cold_until: float = dataclasses.field(default=-math.inf, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class BalanceSettings:
    """Settings of the balancer.

    Args:
        subset_size: Maximum number of upstreams of a service that this node
            uses.
        min_remote: Number of them reserved for other data centres.
        spillover_delay_s: Queue delay in seconds above which local upstreams
            are compared with remote ones.
        slow_start_s: Seconds in which a new upstream reaches its full
            share.
        slow_start_fraction: Share of calls that a new upstream begins with.
        max_latency_factor: Upper bound on the cost factor of a slow
            upstream.
        stall_s: Seconds without a response, with calls outstanding, after
            which an upstream is avoided.
        consecutive_failures: Consecutive failures that eject an upstream.
        max_ejected_ratio: Share of a service's upstreams that may be
            ejected at the same time.
        ejection_s: Seconds of the first ejection; doubles with each further
            one while other upstreams of the service respond.
        max_ejection_s: Longest ejection in seconds.
        leaving_cooldown_s: Seconds for which an upstream that is leaving
            gets no calls; it may have restarted by then.
        latency_weight: Weight of the newest response in the moving average
            of the latency.
        measurement_decay_s: Time constant in seconds with which
            measurements lose weight.
    """

    subset_size: int = 12
    min_remote: int = 4
    spillover_delay_s: float = 0.02
    slow_start_s: float = 3.0
    slow_start_fraction: float = 0.1
    max_latency_factor: float = 20.0
    stall_s: float = 1.0
    consecutive_failures: int = 5
    max_ejected_ratio: float = 0.34
    ejection_s: float = 1.0
    max_ejection_s: float = 30.0
    leaving_cooldown_s: float = 1.0
    latency_weight: float = 0.1
    measurement_decay_s: float = 1.0


@dataclasses.dataclass(slots=True)
class _State:
    upstream: Upstream
    added_at: float
    in_flight: int = 0
    latency_s: float = 0.0
    queue_delay_s: float = 0.0
    measured_at: float = -math.inf
    last_progress_at: float = -math.inf
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = -math.inf
    leaving_until: float = -math.inf


@dataclasses.dataclass(slots=True)
class _ServiceUpstreams:
    states: list[_State]
    local: list[_State]
    remote: list[_State]
    median_s: float = MIN_LATENCY_S
    median_until: float = -math.inf


class Balancer:
    """Picks the cheaper of two random upstreams, preferring local ones.

    Args:
        settings: The settings.
        data_centre: Data centre of this node.
        node_id: Id of this node; nodes with different ids use different
            subsets of the upstreams.
    """

    def __init__(
        self,
        settings: BalanceSettings,
        *,
        data_centre: str,
        node_id: str = '',
    ) -> None:
        self._settings = settings
        self._data_centre = data_centre
        self._node_id = node_id
        self._services: dict[str, _ServiceUpstreams] = {}
        self._states: dict[str, _State] = {}

    def replace(
        self,
        service: str,
        upstreams: collections.abc.Sequence[Upstream],
        now: float,
    ) -> None:
        """Set the upstreams of a service.

        Measurements of upstreams that stay are kept. An upstream that joins
        a service which already has some gets its share gradually.

        Args:
            service: The service.
            upstreams: All its ready upstreams.
            now: Monotonic time in seconds.
        """
        pool = self._services.get(service)
        added_at = -math.inf if pool is None or not pool.states else now
        states = [
            self._keep_state(upstream, added_at)
            for upstream in self._choose_subset(upstreams)
        ]
        kept_ids = {state.upstream.node_id for state in states}
        for state in pool.states if pool is not None else ():
            if state.upstream.node_id not in kept_ids:
                del self._states[state.upstream.node_id]
        local = [s for s in states if self._is_local(s.upstream)]
        remote = [s for s in states if not self._is_local(s.upstream)]
        self._services[service] = _ServiceUpstreams(states, local, remote)

    def choose(
        self,
        service: str,
        now: float,
        random_pair: tuple[float, float],
        *,
        excluded: collections.abc.Set[str] = frozenset(),
    ) -> Upstream | None:
        """Choose an upstream.

        Args:
            service: The service to call.
            now: Monotonic time in seconds.
            random_pair: Two random numbers, 0 <= value < 1.
            excluded: Ids of nodes not to choose, such as those already
                tried.

        Returns:
            The upstream, or None if there is none.
        """
        pool = self._services.get(service)
        if pool is None:
            return None
        self._refresh_median(pool, now)
        local = self._choose_of_two(
            pool, pool.local, now, random_pair, excluded
        )
        if local is not None and not self._should_spill_over(local, now):
            return local.upstream
        remote = self._choose_of_two(
            pool, pool.remote, now, random_pair, excluded
        )
        if local is None or remote is None:
            state = (
                local
                or remote
                or self._choose_last_resort(pool, now, excluded)
            )
            return None if state is None else state.upstream
        local_cost = self._compute_cost(local, pool.median_s, now)
        remote_cost = self._compute_cost(remote, pool.median_s, now)
        return (remote if remote_cost < local_cost else local).upstream

    def start(self, node_id: str, now: float) -> None:
        """Record that a call was sent to an upstream."""
        state = self._states.get(node_id)
        if state is None:
            return
        if state.in_flight == 0:
            state.last_progress_at = now
        state.in_flight += 1

    def finish(
        self,
        node_id: str,
        now: float,
        *,
        outcome: Outcome,
        latency_s: float,
        queue_delay_s: float,
    ) -> None:
        """Record the outcome of a call.

        Args:
            node_id: Id of the upstream's node.
            now: Monotonic time in seconds.
            outcome: How the call ended.
            latency_s: Seconds from start to end.
            queue_delay_s: Queue delay in seconds that the upstream reported.
        """
        state = self._states.get(node_id)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        if outcome is Outcome.CANCELLED:
            return
        if outcome is Outcome.FAILED:
            self._count_failure(state, now)
            return
        state.last_progress_at = now
        if outcome is Outcome.LEAVING:
            state.leaving_until = now + self._settings.leaving_cooldown_s
            return
        self._record_response(state, outcome, latency_s, queue_delay_s, now)

    def list_ejected(self, service: str, now: float) -> list[str]:
        """Return the ids of the ejected nodes of a service."""
        pool = self._services.get(service)
        states = pool.states if pool is not None else []
        return [s.upstream.node_id for s in states if s.ejected_until > now]

    def _is_local(self, upstream: Upstream) -> bool:
        return upstream.data_centre == self._data_centre

    def _keep_state(self, upstream: Upstream, added_at: float) -> _State:
        state = self._states.get(upstream.node_id)
        if state is None or state.upstream != upstream:
            state = _State(upstream, added_at)
            self._states[upstream.node_id] = state
        state.leaving_until = -math.inf
        return state

    def _choose_subset(
        self, upstreams: collections.abc.Sequence[Upstream]
    ) -> list[Upstream]:
        size = self._settings.subset_size
        if len(upstreams) <= size:
            return list(upstreams)
        ranked = sorted(upstreams, key=self._rank_upstream)
        local = [u for u in ranked if self._is_local(u)]
        remote = [u for u in ranked if not self._is_local(u)]
        reserved = min(self._settings.min_remote, len(remote))
        local = local[: size - reserved]
        return local + remote[: size - len(local)]

    def _rank_upstream(self, upstream: Upstream) -> int:
        pair = f'{self._node_id}\n{upstream.node_id}'
        return xxhash.xxh3_64_intdigest(pair.encode())

    def _choose_of_two(
        self,
        pool: _ServiceUpstreams,
        states: list[_State],
        now: float,
        random_pair: tuple[float, float],
        excluded: collections.abc.Set[str],
    ) -> _State | None:
        usable = [
            state
            for state in states
            if state.ejected_until <= now
            and state.leaving_until <= now
            and state.upstream.node_id not in excluded
        ]
        if len(usable) < 2:
            return usable[0] if usable else None
        first = int(random_pair[0] * len(usable))
        second = int(random_pair[1] * (len(usable) - 1))
        if second >= first:
            second += 1
        one, other = usable[first], usable[second]
        one_cost = self._compute_cost(one, pool.median_s, now)
        other_cost = self._compute_cost(other, pool.median_s, now)
        return other if other_cost < one_cost else one

    def _choose_last_resort(
        self,
        pool: _ServiceUpstreams,
        now: float,
        excluded: collections.abc.Set[str],
    ) -> _State | None:
        usable = [
            state
            for state in pool.states
            if state.leaving_until <= now
            and state.upstream.node_id not in excluded
        ]
        return min(usable, key=_get_ejected_until, default=None)

    def _should_spill_over(self, state: _State, now: float) -> bool:
        if self._is_stalled(state, now):
            return True
        delay_s = state.queue_delay_s * self._compute_measurement_weight(
            state, now
        )
        return delay_s > self._settings.spillover_delay_s

    def _compute_cost(
        self, state: _State, median_s: float, now: float
    ) -> float:
        settings = self._settings
        # A latency below the median does not lower the cost: an upstream
        # that fails fast or has just joined must not attract calls.
        slow = min(state.latency_s / median_s, settings.max_latency_factor)
        measurement_weight = self._compute_measurement_weight(state, now)
        factor = 1.0 + max(0.0, slow - 1.0) * measurement_weight
        if self._is_stalled(state, now):
            factor = settings.max_latency_factor
        delay = state.queue_delay_s / median_s * measurement_weight
        cost = (state.in_flight + 1) * factor + delay
        age = (now - state.added_at) / settings.slow_start_s
        return cost / min(1.0, max(settings.slow_start_fraction, age))

    def _compute_measurement_weight(self, state: _State, now: float) -> float:
        age = max(0.0, now - state.measured_at)
        return math.exp(-age / self._settings.measurement_decay_s)

    def _is_stalled(self, state: _State, now: float) -> bool:
        if state.in_flight == 0:
            return False
        return now - state.last_progress_at > self._settings.stall_s

    def _refresh_median(self, pool: _ServiceUpstreams, now: float) -> None:
        if now < pool.median_until:
            return
        pool.median_until = now + MEDIAN_INTERVAL_S
        measured = [s.latency_s for s in pool.states if s.latency_s > 0.0]
        measured.sort()
        median_s = measured[(len(measured) - 1) // 2] if measured else 0.0
        pool.median_s = max(MIN_LATENCY_S, median_s)

    def _record_response(
        self,
        state: _State,
        outcome: Outcome,
        latency_s: float,
        queue_delay_s: float,
        now: float,
    ) -> None:
        state.measured_at = now
        state.queue_delay_s = queue_delay_s
        state.consecutive_failures = 0
        if outcome is not Outcome.ANSWERED:
            return
        state.ejections = 0
        if state.latency_s == 0.0:
            state.latency_s = latency_s
            return
        weight = self._settings.latency_weight
        state.latency_s += weight * (latency_s - state.latency_s)

    def _count_failure(self, state: _State, now: float) -> None:
        state.consecutive_failures += 1
        settings = self._settings
        if (
            state.consecutive_failures < settings.consecutive_failures
            or state.ejected_until > now
        ):
            return
        pool = self._services[state.upstream.service]
        ejected = len(self.list_ejected(state.upstream.service, now))
        max_ejected = int(settings.max_ejected_ratio * len(pool.states))
        if len(pool.states) < 2 or ejected >= max(1, max_ejected):
            return
        if all(other.consecutive_failures for other in pool.states):
            # All upstreams of the service fail, so this one is no outlier.
            state.ejections = 0
        duration_s = settings.ejection_s * 2.0 ** min(state.ejections, 10)
        state.ejections += 1
        state.consecutive_failures = settings.consecutive_failures - 1
        state.ejected_until = now + min(duration_s, settings.max_ejection_s)
        # After the ejection it gets its share gradually, like a new one.
        state.added_at = state.ejected_until


def _get_ejected_until(state: _State) -> float:
    return state.ejected_until
