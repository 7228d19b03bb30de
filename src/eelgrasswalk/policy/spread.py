"""Choice of the upstream by what each one says of its load.

Load patterns that it answers: upstreams of different speed, some that are
slow, cold, silent or fail part of their calls, and many callers that choose
at the same time from reports that are a little old. The less costly of two
drawn upstreams is taken; a bad one is priced, not shut out, so that it is
tried again now and then and there is never nobody left.
"""

import collections.abc
import dataclasses
import math

from . import balance


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadSettings:
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
        near_enough: Price up to which an upstream of the own data centre is
            taken without a look at the others.
        far_price: Cost factor of an upstream in another data centre.
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
    near_enough: float = 1.2
    far_price: float = 1.4


@dataclasses.dataclass(slots=True)
class _State:
    upstream: balance.Upstream
    added_at: float
    in_flight: int = 0
    load: float = 0.0
    reported_at: float = -math.inf
    sent_since: int = 0
    slowness: float = 1.0
    failure_rate: float = 0.0
    progress_at: float = -math.inf
    downs: int = 0
    down_until: float = -math.inf
    leaving: bool = False


class Spread:
    """Picks upstreams; the time and random numbers come in.

    Args:
        settings: The settings.
        data_centre: Where this node is.
    """

    def __init__(self, settings: SpreadSettings, *, data_centre: str) -> None:
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

    def choose(
        self,
        service: str,
        now: float,
        random_pair: tuple[float, float],
        *,
        excluded: collections.abc.Set[str] = frozenset(),
    ) -> balance.Upstream | None:
        """Choose an upstream, or return None if there is none.

        Args:
            service: The service to call.
            now: The time, in seconds.
            random_pair: Two random numbers, 0 <= value < 1.
            excluded: Nodes not to choose, such as those already tried.
        """
        usable = [
            state
            for state in self._services.get(service, ())
            if not state.leaving and state.upstream.node_id not in excluded
        ]
        up = [state for state in usable if state.down_until <= now]
        states = up or usable
        mean = sum(state.failure_rate for state in states) / max(
            1, len(states)
        )
        near = [state for state in states if self._is_near(state)]
        far = [state for state in states if not self._is_near(state)]
        best = self._draw(near, random_pair, mean, now)
        if best is not None:
            price = self._price(best, mean, now)
            if price <= self._settings.near_enough:
                return best.upstream
        other = self._draw(far, random_pair, mean, now)
        if best is None or other is None:
            best = best or other
            return None if best is None else best.upstream
        if self._price(other, mean, now) * self._settings.far_price < price:
            best = other
        return best.upstream

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
        failed: bool,
    ) -> None:
        """Note how a call ended.

        Args:
            node_id: The upstream's node.
            now: The time, in seconds.
            route: The route of the call.
            outcome: How the call ended.
            latency_s: Seconds from start to end.
            load: What the upstream said of its load; None for nothing.
            failed: Whether the target answered with a failure or refused
                the call, though there was room for it.
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
        if outcome is balance.Outcome.LEAVING:
            state.leaving = True
            return
        if outcome is balance.Outcome.FAILED:
            self._count(state, 1.0)
            return
        state.progress_at = now
        state.downs = 0
        state.down_until = -math.inf
        if failed or outcome is balance.Outcome.ANSWERED:
            self._count(state, 1.0 if failed else 0.0)
        if outcome is balance.Outcome.ANSWERED:
            self._measure(state, route, latency_s)

    def mark_down(self, node_id: str, now: float) -> None:
        """Avoid an upstream that could not be reached."""
        state = self._states.get(node_id)
        if state is None or state.down_until > now:
            return
        settings = self._settings
        length_s = settings.down_s * 2.0 ** min(state.downs, 8)
        state.downs += 1
        state.down_until = now + min(length_s, settings.most_down_s)

    def _is_near(self, state: _State) -> bool:
        return state.upstream.data_centre == self._data_centre

    def _draw(
        self,
        states: list[_State],
        random_pair: tuple[float, float],
        mean_failures: float,
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
            key=lambda state: self._price(state, mean_failures, now),
        )

    def _keep(self, upstream: balance.Upstream, joined_at: float) -> _State:
        state = self._states.get(upstream.node_id)
        if state is None or state.upstream != upstream:
            state = _State(upstream, joined_at)
            self._states[upstream.node_id] = state
        state.leaving = False
        return state

    def _price(self, state: _State, mean_failures: float, now: float) -> float:
        settings = self._settings
        age_s = max(0.0, now - state.reported_at)
        trust = math.exp(-age_s / settings.report_s)
        slots = max(1, state.upstream.slots)
        load = state.load * trust + state.sent_since / slots
        load = max(load, state.in_flight / slots)
        price = (settings.idle_cost + load) * state.slowness
        excess = max(0.0, state.failure_rate - mean_failures)
        price *= 1.0 + (settings.failure_price - 1.0) * excess
        if now - state.added_at < settings.cold_s:
            price *= settings.cold_price
        is_stalled = (
            state.in_flight > 0 and now - state.progress_at > settings.stall_s
        )
        return price * settings.most_slow if is_stalled else price

    def _count(self, state: _State, failure: float) -> None:
        weight = self._settings.weight
        state.failure_rate += weight * (failure - state.failure_rate)

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
