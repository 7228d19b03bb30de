"""Expected finish times of calls, from what the upstreams' gates report.

Addresses targets of one service that differ in speed, hosts that are slower
for moments, and service times with long tails. A caller sees too few calls of
each target to learn this in time; the gate beside the target sees all of them.
"""

import dataclasses
import math

# Older reports are not used; loads change many times per second.
MAX_REPORT_AGE_S = 1.0
# The mean of a route covers about this many reports of all upstreams.
MEAN_REPORTS = 40
# Part of the service time that counts at an idle target; the rest grows with
# the load. Without the load, callers whose reports are a little old fill the
# fastest targets, and calls that find no free slot there are sent again: in
# the replay the median rose by 3 to 12% on uneven targets.
IDLE_SERVICE_RATIO = 0.5
# Bounds the memory, as configuration changes add and remove routes.
MAX_ROUTES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Times:
    """What a gate expects of a call that is offered now.

    Args:
        wait_s: Seconds until it starts.
        service_s: Seconds from its start to its end, above 0.
    """

    wait_s: float
    service_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The newest times of one upstream.

    Args:
        wait_s: As in Times.
        slowness: Service time as a multiple of the mean of the same route
            over all upstreams. It holds for calls of other routes, too.
        reported_at: Monotonic time in seconds at which they arrived.
    """

    wait_s: float = 0.0
    slowness: float = 1.0
    reported_at: float = -math.inf

    def is_new(self, now: float) -> bool:
        """Return whether the times may be used."""
        return now - self.reported_at <= MAX_REPORT_AGE_S

    def estimate(
        self,
        mean_s: float,
        now: float,
        *,
        sent: int,
        slots: int,
        load: float,
    ) -> float:
        """Return the cost of a call sent now, in seconds until its end.

        Args:
            mean_s: Mean service time of its route over all upstreams.
            now: Monotonic time in seconds.
            sent: Calls that this node has sent since the report.
            slots: Calls that the target runs concurrently.
            load: Estimated load of the target; the service time counts in
                full at 1.0, where all slots are in use.
        """
        service_s = mean_s * self.slowness
        wait_s = max(0.0, self.wait_s - max(0.0, now - self.reported_at))
        wait_s += sent * service_s / max(1, slots)
        load_ratio = (1.0 - IDLE_SERVICE_RATIO) * load
        return wait_s + service_s * (IDLE_SERVICE_RATIO + load_ratio)


NO_REPORT = Report()


@dataclasses.dataclass(slots=True)
class _Mean:
    service_s: float = 0.0
    reports: int = 0

    def add(self, service_s: float) -> None:
        self.reports = min(MEAN_REPORTS, self.reports + 1)
        self.service_s += (service_s - self.service_s) / self.reports


class RouteMeans:
    """Mean reported service times by service and route."""

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], _Mean] = {}

    def record(
        self, service: str, route: str, times: Times, now: float
    ) -> Report:
        """Count the times that an upstream reports and return its report."""
        mean = self._means.get((service, route))
        if mean is None:
            if len(self._means) >= MAX_ROUTES:
                self._means.clear()
            mean = self._means[(service, route)] = _Mean()
        mean.add(times.service_s)
        return Report(times.wait_s, times.service_s / mean.service_s, now)

    def find(self, service: str, route: str) -> float | None:
        """Return the mean in seconds; None if nothing was reported."""
        mean = self._means.get((service, route))
        return None if mean is None else mean.service_s
