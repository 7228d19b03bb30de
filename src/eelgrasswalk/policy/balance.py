"""Choice of the upstream for each call of one caller's node."""

import collections.abc
import dataclasses
import enum
import math

import xxhash

from .. import verdict

MEDIAN_INTERVAL_S = 0.1
MIN_LATENCY_S = 0.001


class Outcome(enum.Enum):
    """How a call to an upstream ended.

    ANSWERED covers every whole answer, whatever its status. REFUSED and
    LEAVING are proven not to have run. FAILED is a call that was lost or
    timed out. CANCELLED says nothing about the upstream.
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
    """Return what a verdict says of the upstream that it came from."""
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
        node_id: The node.
        data_centre: Where it is.
        service: What its target serves.
        slots: Calls that its target runs at a time; 0 when not known.
    """

    node_id: str
    data_centre: str
    service: str
    slots: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class BalanceSettings:
    """Settings of the balancer.

    Args:
        subset_size: Upstreams of a service that this node uses at most.
        min_remote: Upstreams in other data centres among them.
        spill_queue_s: Queue delay above which other data centres are
            compared with the own one.
        slow_start_s: Seconds in which a new upstream reaches its full
            share.
        slow_start_fraction: Share with which it begins.
        max_slow_factor: Bound on the weight of a slow answer.
        stall_s: Seconds without an answer, with calls outstanding, after
            which an upstream is avoided.
        failures: Failures in a row that eject an upstream.
        max_ejected_ratio: Share of a service's upstreams that may be
            ejected at a time.
        ejection_s: Seconds of the first ejection; doubles while others of
            the service answer.
        max_ejection_s: Longest ejection in seconds.
        leaving_s: Seconds for which an upstream that is leaving gets no
            calls; it may have been started again by then.
        latency_weight: Weight of the newest answer in the mean latency.
        decay_s: Time constant with which old measurements lose weight.
    """

    subset_size: int = 12
    min_remote: int = 4
    spill_queue_s: float = 0.02
    slow_start_s: float = 3.0
    slow_start_fraction: float = 0.1
    max_slow_factor: float = 20.0
    stall_s: float = 1.0
    failures: int = 5
    max_ejected_ratio: float = 0.34
    ejection_s: float = 1.0
    max_ejection_s: float = 30.0
    leaving_s: float = 1.0
    latency_weight: float = 0.1
    decay_s: float = 1.0


@dataclasses.dataclass(slots=True)
class _State:
    upstream: Upstream
    added_at: float
    in_flight: int = 0
    latency_s: float = 0.0
    queue_delay_s: float = 0.0
    measured_at: float = -math.inf
    progress_at: float = -math.inf
    failures: int = 0
    ejections: int = 0
    ejected_until: float = -math.inf
    leaving_until: float = -math.inf


@dataclasses.dataclass(slots=True)
class _Service:
    states: list[_State]
    own: list[_State]
    remote: list[_State]
    median_s: float = MIN_LATENCY_S
    median_until: float = -math.inf


class Balancer:
    """Picks the less loaded of two random upstreams, near ones first.

    Args:
        settings: The settings.
        data_centre: Where this node is.
        node_id: This node; spreads the subsets of different callers.
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
        self._services: dict[str, _Service] = {}
        self._states: dict[str, _State] = {}

    def replace(
        self,
        service: str,
        upstreams: collections.abc.Sequence[Upstream],
        now: float,
    ) -> None:
        """Set the upstreams of a service.

        What is known of upstreams that stay is kept. Those that join a
        service which already has some start slowly.

        Args:
            service: The service.
            upstreams: All its ready upstreams.
            now: The time, in seconds.
        """
        known = self._services.get(service)
        added_at = -math.inf if known is None or not known.states else now
        states = [
            self._keep_state(upstream, added_at)
            for upstream in self._choose_subset(upstreams)
        ]
        kept = {state.upstream.node_id for state in states}
        for state in known.states if known is not None else ():
            if state.upstream.node_id not in kept:
                del self._states[state.upstream.node_id]
        own = [s for s in states if self._is_near(s.upstream)]
        remote = [s for s in states if not self._is_near(s.upstream)]
        self._services[service] = _Service(states, own, remote)

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
            now: The time, in seconds.
            random_pair: Two random numbers, 0 <= value < 1.
            excluded: Nodes not to choose, such as those already tried.

        Returns:
            The upstream, or None if there is none.
        """
        known = self._services.get(service)
        if known is None:
            return None
        self._refresh_median(known, now)
        near = self._pick(known, known.own, now, random_pair, excluded)
        if near is not None and not self._should_spill(near, now):
            return near.upstream
        far = self._pick(known, known.remote, now, random_pair, excluded)
        if near is None or far is None:
            state = near or far or self._pick_last_resort(known, now, excluded)
            return None if state is None else state.upstream
        near_cost = self._compute_cost(near, known.median_s, now)
        far_cost = self._compute_cost(far, known.median_s, now)
        return (far if far_cost < near_cost else near).upstream

    def start(self, node_id: str, now: float) -> None:
        """Note that a call was sent to an upstream."""
        state = self._states.get(node_id)
        if state is None:
            return
        if state.in_flight == 0:
            state.progress_at = now
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
        """Note how a call ended.

        Args:
            node_id: The upstream's node.
            now: The time, in seconds.
            outcome: How the call ended.
            latency_s: Seconds from start to end.
            queue_delay_s: Queue delay that the upstream returned.
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
        state.progress_at = now
        if outcome is Outcome.LEAVING:
            state.leaving_until = now + self._settings.leaving_s
            return
        self._measure(state, outcome, latency_s, queue_delay_s, now)

    def list_ejected(self, service: str, now: float) -> list[str]:
        """Return the nodes of a service that are ejected."""
        known = self._services.get(service)
        states = known.states if known is not None else []
        return [s.upstream.node_id for s in states if s.ejected_until > now]

    def _is_near(self, upstream: Upstream) -> bool:
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
        own = [u for u in ranked if self._is_near(u)]
        remote = [u for u in ranked if not self._is_near(u)]
        reserved = min(self._settings.min_remote, len(remote))
        own = own[: size - reserved]
        return own + remote[: size - len(own)]

    def _rank_upstream(self, upstream: Upstream) -> int:
        pair = f'{self._node_id}\n{upstream.node_id}'
        return xxhash.xxh3_64_intdigest(pair.encode())

    def _pick(
        self,
        known: _Service,
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
        one_cost = self._compute_cost(one, known.median_s, now)
        other_cost = self._compute_cost(other, known.median_s, now)
        return other if other_cost < one_cost else one

    def _pick_last_resort(
        self,
        known: _Service,
        now: float,
        excluded: collections.abc.Set[str],
    ) -> _State | None:
        usable = [
            state
            for state in known.states
            if state.leaving_until <= now
            and state.upstream.node_id not in excluded
        ]
        return min(usable, key=_get_ejected_until, default=None)

    def _should_spill(self, state: _State, now: float) -> bool:
        if self._is_stalled(state, now):
            return True
        delay_s = state.queue_delay_s * self._compute_trust(state, now)
        return delay_s > self._settings.spill_queue_s

    def _compute_cost(
        self, state: _State, median_s: float, now: float
    ) -> float:
        settings = self._settings
        # A faster answer than the median earns nothing: an upstream that
        # fails at once, or that has just joined, must not attract calls.
        slow = min(state.latency_s / median_s, settings.max_slow_factor)
        trust = self._compute_trust(state, now)
        factor = 1.0 + max(0.0, slow - 1.0) * trust
        if self._is_stalled(state, now):
            factor = settings.max_slow_factor
        delay = state.queue_delay_s / median_s * trust
        cost = (state.in_flight + 1) * factor + delay
        age = (now - state.added_at) / settings.slow_start_s
        return cost / min(1.0, max(settings.slow_start_fraction, age))

    def _compute_trust(self, state: _State, now: float) -> float:
        age = max(0.0, now - state.measured_at)
        return math.exp(-age / self._settings.decay_s)

    def _is_stalled(self, state: _State, now: float) -> bool:
        if state.in_flight == 0:
            return False
        return now - state.progress_at > self._settings.stall_s

    def _refresh_median(self, known: _Service, now: float) -> None:
        if now < known.median_until:
            return
        known.median_until = now + MEDIAN_INTERVAL_S
        measured = [s.latency_s for s in known.states if s.latency_s > 0.0]
        measured.sort()
        median_s = measured[(len(measured) - 1) // 2] if measured else 0.0
        known.median_s = max(MIN_LATENCY_S, median_s)

    def _measure(
        self,
        state: _State,
        outcome: Outcome,
        latency_s: float,
        queue_delay_s: float,
        now: float,
    ) -> None:
        state.measured_at = now
        state.queue_delay_s = queue_delay_s
        state.failures = 0
        if outcome is not Outcome.ANSWERED:
            return
        state.ejections = 0
        if state.latency_s == 0.0:
            state.latency_s = latency_s
            return
        weight = self._settings.latency_weight
        state.latency_s += weight * (latency_s - state.latency_s)

    def _count_failure(self, state: _State, now: float) -> None:
        state.failures += 1
        settings = self._settings
        if state.failures < settings.failures or state.ejected_until > now:
            return
        known = self._services[state.upstream.service]
        ejected = len(self.list_ejected(state.upstream.service, now))
        most = int(settings.max_ejected_ratio * len(known.states))
        if len(known.states) < 2 or ejected >= max(1, most):
            return
        if all(other.failures for other in known.states):
            # The service fails as a whole, so this one is no outlier.
            state.ejections = 0
        length_s = settings.ejection_s * 2.0 ** min(state.ejections, 10)
        state.ejections += 1
        state.failures = settings.failures - 1
        state.ejected_until = now + min(length_s, settings.max_ejection_s)
        # It comes back as a new upstream does.
        state.added_at = state.ejected_until


def _get_ejected_until(state: _State) -> float:
    return state.ejected_until
