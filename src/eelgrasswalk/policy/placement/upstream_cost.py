"""What the load-aware balancer knows of each upstream, and its cost."""

import collections.abc
import dataclasses
import math

from . import balance
from . import finish_time


@dataclasses.dataclass(frozen=True, slots=True)
class LoadAwareSettings:
    """Settings of the load-aware balancer.

    Costs are in loads: 1.0 is an upstream whose slots are all in use.

    Args:
        idle_load_cost: Cost of an idle upstream; keeps latency alone from
            deciding between idle upstreams.
        ewma_weight: Weight of the newest call in moving averages.
        failure_cost_factor: Cost factor of an upstream that always fails
            while the others never do.
        max_latency_factor: Upper bound on the cost factor of a slow
            upstream.
        slow_start_cost_factor: Cost factor of an upstream that has just
            joined.
        slow_start_s: Seconds for which that factor applies.
        stall_s: Seconds without a response, with calls outstanding, after
            which an upstream is avoided.
        unreachable_s: Seconds for which an unreachable upstream is avoided
            at first; doubles with each consecutive failure to reach it.
        max_unreachable_s: Upper bound on that time in seconds.
        load_decay_s: Time constant in seconds with which a reported load
            loses weight.
        failure_decay_s: Time constant in seconds with which a failure rate
            decays, so that an upstream that gets no calls is retried.
        local_max_cost: Cost up to which an upstream in the local data
            centre is used without comparing it with remote ones.
        tolerated_failure_excess: Failure rate above the mean of the others
            up to which such a local upstream is used; needed because an
            idle upstream costs little even if it fails.
        remote_cost_factor: Cost factor of an upstream in another data
            centre.
        tight_deadline_ratio: A deadline is tight if the remaining time is
            below this multiple of the expected latency; one call in fifty
            takes four times the expected latency.
        tight_deadline_idle_cost: Replaces idle_load_cost for calls with a
            tight deadline; at 1.0, latency decides until the slots are
            full.
        tight_deadline_max_load: Load up to which an upstream is chosen for
            its latency; above it, all nodes would add load to it at once.
    """

    idle_load_cost: float = 0.25
    ewma_weight: float = 0.1
    failure_cost_factor: float = 8.0
    max_latency_factor: float = 8.0
    slow_start_cost_factor: float = 2.0
    slow_start_s: float = 3.0
    stall_s: float = 0.4
    unreachable_s: float = 0.5
    max_unreachable_s: float = 4.0
    load_decay_s: float = 1.0
    failure_decay_s: float = 10.0
    local_max_cost: float = 1.2
    tolerated_failure_excess: float = 0.1
    remote_cost_factor: float = 1.4
    tight_deadline_ratio: float = 4.0
    tight_deadline_idle_cost: float = 1.0
    tight_deadline_max_load: float = 0.7


@dataclasses.dataclass(slots=True)
class State:
    upstream: balance.Upstream
    added_at: float
    is_local: bool
    in_flight: int = 0
    load: float = 0.0
    reported_at: float = -math.inf
    sent_since_report: int = 0
    latency_ratio: float = 1.0
    report: finish_time.Report = finish_time.NO_REPORT
    failure_rate: float = 0.0
    failure_reported_at: float = 0.0
    last_progress_at: float = -math.inf
    unreachable_count: int = 0
    unreachable_until: float = -math.inf
    leaving: bool = False
    cold_until: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class FailureRates:
    """Failure rates of the upstreams that a call can go to.

    Args:
        total: Sum of their failure rates, each from 0 to 1.
        count: Number of these upstreams.
    """

    total: float
    count: int

    def compute_excess(self, rate: float) -> float:
        """Return how far a rate is above the mean rate of the others."""
        if self.count < 2:
            return 0.0
        return rate - (self.total - rate) / (self.count - 1)


class CostModel:
    """Computes the cost of sending a call to an upstream.

    Args:
        settings: The settings.
    """

    def __init__(self, settings: LoadAwareSettings) -> None:
        self._settings = settings

    def compute_costs(
        self,
        states: collections.abc.Sequence[State],
        failure_rates: FailureRates,
        now: float,
        mean_s: float | None,
    ) -> list[float]:
        """Return costs of upstreams that are compared with each other.

        These are expected finish times if all have new reports of them, and
        otherwise costs by load.

        Args:
            states: The upstreams.
            failure_rates: Failure rates of all that the call can go to.
            now: Monotonic time in seconds.
            mean_s: Mean service time of the route; None if unknown.
        """
        if mean_s is None or not all(
            state.report.is_new(now) for state in states
        ):
            return [
                self.compute_cost(state, failure_rates, now)
                for state in states
            ]
        return [
            self._penalize(
                state.report.estimate(
                    mean_s,
                    now,
                    sent=state.sent_since_report,
                    slots=state.upstream.slots,
                    load=self.estimate_load(state, now),
                ),
                state,
                failure_rates,
                now,
            )
            for state in states
        ]

    def compute_cost(
        self,
        state: State,
        failure_rates: FailureRates,
        now: float,
        idle_load_cost: float | None = None,
    ) -> float:
        """Return the cost of an upstream by its load."""
        if idle_load_cost is None:
            idle_load_cost = self._settings.idle_load_cost
        load = self.estimate_load(state, now)
        cost = (idle_load_cost + load) * state.latency_ratio
        return self._penalize(cost, state, failure_rates, now)

    def _penalize(
        self,
        cost: float,
        state: State,
        failure_rates: FailureRates,
        now: float,
    ) -> float:
        """Raise the cost of an upstream that fails, has joined or stalls."""
        settings = self._settings
        failures = self.estimate_failure_rate(state, now)
        excess = max(0.0, failure_rates.compute_excess(failures))
        cost *= 1.0 + (settings.failure_cost_factor - 1.0) * excess
        if now - state.added_at < settings.slow_start_s:
            cost *= settings.slow_start_cost_factor
        is_stalled = (
            state.in_flight > 0
            and now - state.last_progress_at > settings.stall_s
        )
        return cost * settings.max_latency_factor if is_stalled else cost

    def estimate_load(self, state: State, now: float) -> float:
        """Return the load of an upstream; 1.0 if its slots are in use."""
        age_s = max(0.0, now - state.reported_at)
        report_weight = math.exp(-age_s / self._settings.load_decay_s)
        slots = max(1, state.upstream.slots)
        load = state.load * report_weight + state.sent_since_report / slots
        return max(load, state.in_flight / slots)

    def estimate_failure_rate(self, state: State, now: float) -> float:
        """Return the share of calls, 0 to 1, at which an upstream fails."""
        if not state.failure_rate:
            return 0.0
        age_s = max(0.0, now - state.failure_reported_at)
        return state.failure_rate * math.exp(
            -age_s / self._settings.failure_decay_s
        )
