"""Choice of the upstream by what each one says of its load.

Load patterns that it answers: upstreams of different speed, some that are
slow, cold, silent or fail part of their calls, and many callers that choose
at the same time from reports that are a little old. The less costly of two
drawn upstreams is taken; a bad one is priced, not shut out, so that it is
tried again now and then and there is never nobody left.

A call with little time left goes to the upstream that answers soonest,
wherever it is: it may be too late at one that is near, idle and slow.
"""

import collections.abc
import dataclasses
import math

from . import balance


@dataclasses.dataclass(frozen=True, slots=True)
class LoadAwareSettings:
    """Settings of the choice.

    Args:
        idle_cost: Cost of an idle upstream, in loads; keeps the speeds of
            idle upstreams from deciding alone.
        weight: Weight of the newest call in means.
        failure_price: Cost factor of an upstream that always fails while
            the others do not.
        most_slow: Bound on the cost factor of a slow upstream.
        cold_price: Cost factor of an upstream that has just joined.
        cold_s: Seconds for which it has it.
        stall_s: Seconds without an answer, with calls outstanding, after
            which an upstream is avoided.
        down_s: Seconds for which an unreachable upstream is avoided first;
            doubles with each failure in a row.
        most_down_s: Longest such time.
        report_s: Seconds in which a report loses most of its weight.
        failing_s: The same for a report that the target fails by itself; an
            upstream that nobody calls any more is tried again.
        near_enough: Price up to which an upstream of the own data centre is
            taken without a look at the others.
        tolerated_failures: Share of calls above that of the others that
            such a one may fail; an idle one costs little otherwise.
        far_price: Cost factor of an upstream in another data centre.
        hurry: Times that an upstream takes for the route below which a call
            has little time left; one call in fifty takes four of them.
        hurry_cost: Cost of an idle upstream for such a call, in loads; with
            one, speed decides until the slots are full.
        hurry_room: Load up to which an upstream is taken for its speed; when
            it has more, all nodes would add to it at once.
    """

    idle_cost: float = 0.25
    weight: float = 0.1
    failure_price: float = 8.0
    most_slow: float = 8.0
    cold_price: float = 2.0
    cold_s: float = 3.0
    stall_s: float = 0.4
    down_s: float = 0.5
    most_down_s: float = 4.0
    report_s: float = 1.0
    failing_s: float = 10.0
    near_enough: float = 1.2
    tolerated_failures: float = 0.1
    far_price: float = 1.4
    hurry: float = 4.0
    hurry_cost: float = 1.0
    hurry_room: float = 0.7


@dataclasses.dataclass(slots=True)
class _State:
    upstream: balance.Upstream
    added_at: float
    is_near: bool
    in_flight: int = 0
    load: float = 0.0
    reported_at: float = -math.inf
    sent_since: int = 0
    slowness: float = 1.0
    failure_rate: float = 0.0
    failing_at: float = 0.0
    progress_at: float = -math.inf
    downs: int = 0
    down_until: float = -math.inf
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Peers:
    """How often the upstreams fail that a choice is made of.

    Args:
        total: Sum of their shares of calls that fail.
        count: How many there are.
    """

    total: float
    count: int

    def compare(self, rate: float) -> float:
        """Return by how much one of them fails more than the others do."""
        if self.count < 2:
            return 0.0
        return rate - (self.total - rate) / (self.count - 1)


class LoadAwareBalancer:
    """Picks upstreams; the time and random numbers come in.

    Args:
        settings: The settings.
        data_centre: Where this node is.
    """

    def __init__(
        self, settings: LoadAwareSettings, *, data_centre: str
    ) -> None:
        self._settings = settings
        self._data_centre = data_centre
        self._services: dict[str, list[_State]] = {}
        self._states: dict[str, _State] = {}
        self._route_s: dict[tuple[str, str], float] = {}

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
            now: The time, in seconds.
        """
        known = self._services.get(service, [])
        joined_at = now if known else -math.inf
        states = [self._keep(upstream, joined_at) for upstream in upstreams]
        kept = {state.upstream.node_id for state in states}
        for state in known:
            node_id = state.upstream.node_id
            if node_id not in kept and self._states.get(node_id) is state:
                del self._states[node_id]
        self._services[service] = states

    def count_upstreams(self, service: str) -> int:
        """Return how many upstreams of a service there are."""
        return len(self._services.get(service, ()))

    def choose(
        self,
        service: str,
        now: float,
        random_pair: tuple[float, float],
        *,
        excluded: collections.abc.Set[str] = frozenset(),
        allowed: collections.abc.Set[str] | None = None,
        route: str = '',
        remaining_s: float = math.inf,
    ) -> balance.Upstream | None:
        """Choose an upstream, or return None if there is none.

        Args:
            service: The service to call.
            now: The time, in seconds.
            random_pair: Two random numbers, 0 <= value < 1.
            excluded: Nodes not to choose, such as those already tried.
            among: Nodes to choose from; None for all.
            route: The route of the call.
            left_s: Seconds in which its answer must be there.
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
        up = [state for state in usable if state.down_until <= now]
        states = up or usable
        rates = [
            self._estimate_failures(state, now)
            for state in states
            if state.failure_rate
        ]
        peers = _Peers(sum(rates), len(states))
        chosen = self._choose_cheap(states, random_pair, peers, now)
        if chosen is None:
            return None
        if self._is_hurried(chosen, route, remaining_s):
            chosen = self._choose_soonest(states, peers, now) or chosen
        return chosen.upstream

    def _choose_cheap(
        self,
        states: list[_State],
        random_pair: tuple[float, float],
        peers: _Peers,
        now: float,
    ) -> _State | None:
        """Return a near upstream, unless it costs more than others."""
        near = [state for state in states if state.is_near]
        best = self._draw(near, random_pair, peers, now)
        price = math.inf
        if best is not None:
            price = self._price(best, peers, now)
            is_failing = self._is_failing(best, peers, now)
            if price <= self._settings.near_enough and not is_failing:
                return best
        far = [state for state in states if not state.is_near]
        other = self._draw(far, random_pair, peers, now)
        if other is None:
            return best
        far_price = self._settings.far_price
        other_price = self._price(other, peers, now)
        return other if other_price * far_price < price else best

    def _choose_soonest(
        self, states: list[_State], peers: _Peers, now: float
    ) -> _State | None:
        """Return the upstream that answers soonest, if it has room."""
        hurry_cost = self._settings.hurry_cost
        soonest = min(
            states,
            key=lambda state: self._price(state, peers, now, hurry_cost),
        )
        has_room = (
            self._estimate_load(soonest, now) < self._settings.hurry_room
        )
        return soonest if has_room else None

    def _is_failing(self, state: _State, peers: _Peers, now: float) -> bool:
        excess = peers.compare(self._estimate_failures(state, now))
        return excess > self._settings.tolerated_failures

    def _is_hurried(
        self, state: _State, route: str, remaining_s: float
    ) -> bool:
        mean_s = self._route_s.get((state.upstream.service, route))
        if mean_s is None:
            return False
        return remaining_s < self._settings.hurry * mean_s * state.slowness

    def start(self, node_id: str, now: float) -> None:
        """Note that a call was sent to an upstream."""
        state = self._states.get(node_id)
        if state is None:
            return
        if state.in_flight == 0:
            state.progress_at = now
        state.in_flight += 1
        state.sent_since += 1

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
    ) -> None:
        """Note how a call ended.

        Args:
            node_id: The upstream's node.
            now: The time, in seconds.
            route: The route of the call.
            outcome: How the call ended.
            latency_s: Seconds from start to end.
            load: What the upstream said of its load; None for nothing.
            failure_rate: What the upstream said of how often its target fails
                by itself; None for nothing.
        """
        state = self._states.get(node_id)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        if outcome is balance.Outcome.CANCELLED:
            return
        if load is not None:
            state.load = load
            state.reported_at = now
            state.sent_since = 0
        if failure_rate is not None:
            state.failure_rate = failure_rate
            state.failing_at = now
        if outcome is balance.Outcome.LEAVING:
            state.leaving = True
            return
        if outcome is balance.Outcome.FAILED:
            if failure_rate is None:
                self._count_failure(state, now)
            return
        state.progress_at = now
        state.downs = 0
        state.down_until = -math.inf
        if outcome is balance.Outcome.ANSWERED:
            self._measure(state, route, latency_s)

    def mark_unreachable(self, node_id: str, now: float) -> None:
        """Avoid an upstream that could not be reached."""
        state = self._states.get(node_id)
        if state is None or state.down_until > now:
            return
        settings = self._settings
        length_s = settings.down_s * 2.0 ** min(state.downs, 8)
        state.downs += 1
        state.down_until = now + min(length_s, settings.most_down_s)

    def _draw(
        self,
        states: list[_State],
        random_pair: tuple[float, float],
        peers: _Peers,
        now: float,
    ) -> _State | None:
        """Return the less costly of two drawn upstreams."""
        if len(states) < 2:
            return states[0] if states else None
        first = int(random_pair[0] * len(states))
        second = int(random_pair[1] * (len(states) - 1))
        if second >= first:
            second += 1
        return min(
            (states[first], states[second]),
            key=lambda state: self._price(state, peers, now),
        )

    def _keep(self, upstream: balance.Upstream, joined_at: float) -> _State:
        state = self._states.get(upstream.node_id)
        if state is None or state.upstream != upstream:
            is_near = upstream.data_centre == self._data_centre
            state = _State(upstream, joined_at, is_near)
            self._states[upstream.node_id] = state
        state.leaving = False
        return state

    def _price(
        self,
        state: _State,
        peers: _Peers,
        now: float,
        idle_cost: float | None = None,
    ) -> float:
        settings = self._settings
        if idle_cost is None:
            idle_cost = settings.idle_cost
        load = self._estimate_load(state, now)
        price = (idle_cost + load) * state.slowness
        failures = self._estimate_failures(state, now)
        excess = max(0.0, peers.compare(failures))
        price *= 1.0 + (settings.failure_price - 1.0) * excess
        if now - state.added_at < settings.cold_s:
            price *= settings.cold_price
        is_stalled = (
            state.in_flight > 0 and now - state.progress_at > settings.stall_s
        )
        return price * settings.most_slow if is_stalled else price

    def _estimate_load(self, state: _State, now: float) -> float:
        age_s = max(0.0, now - state.reported_at)
        trust = math.exp(-age_s / self._settings.report_s)
        slots = max(1, state.upstream.slots)
        load = state.load * trust + state.sent_since / slots
        return max(load, state.in_flight / slots)

    def _count_failure(self, state: _State, now: float) -> None:
        """Count a call about which the upstream itself said nothing."""
        rate = self._estimate_failures(state, now)
        state.failure_rate = rate + self._settings.weight * (1.0 - rate)
        state.failing_at = now

    def _estimate_failures(self, state: _State, now: float) -> float:
        if not state.failure_rate:
            return 0.0
        age_s = max(0.0, now - state.failing_at)
        return state.failure_rate * math.exp(-age_s / self._settings.failing_s)

    def _measure(self, state: _State, route: str, latency_s: float) -> None:
        """Compare a call with the mean of its route at all upstreams."""
        weight = self._settings.weight
        key = (state.upstream.service, route)
        mean_s = self._route_s.get(key)
        if mean_s is None:
            self._route_s[key] = latency_s
            return
        self._route_s[key] = mean_s + weight * (latency_s - mean_s) / 4.0
        ratio = latency_s / max(mean_s, 0.001)
        ratio = min(ratio, self._settings.most_slow)
        state.slowness += weight * (ratio - state.slowness)
