"""Which new calls a target begins while the calls it makes itself starve.

Load pattern that it answers: a service further down has lost so much that it
cannot serve all calls that targets make. Each root needs several such calls,
so that most roots would fail after all their work. New roots are turned away
before the target works on them, until the calls of those that are left get
through.

The share falls by what starves and grows back in steps that double while
nothing starves. Which roots are turned away follows from their hash, so that
a root which comes again meets the same answer at every node.
"""

import dataclasses

from .. import verdict
from . import service_times

_NO_ROOM = frozenset((verdict.Reason.OVERLOAD, verdict.Reason.DEADLINE))


@dataclasses.dataclass(frozen=True, slots=True)
class ShareSettings:
    """Settings of the share.

    Args:
        interval_s: Seconds over which calls are counted; a few round trips
            of a call to a service further down.
        least_calls: Calls that are needed to judge an interval.
        tolerated: Share of calls that may starve, as single ones always do.
        cut: Part of the share taken away for each part of the calls that
            starves; half of it, as roots make several calls.
        most_cut: Largest part of the share that one interval takes away.
        least_share: Share that is always begun, to notice that calls get
            through again.
        settling: Intervals after a cut that take away nothing, while calls
            of roots begun before it still starve.
        first_step: Growth after the first interval in which none starved.
        most_step: Largest growth in one interval.
        pause_s: Seconds after which a caller that was turned away may come
            back; a share needs a few intervals to grow.
    """

    interval_s: float = 0.25
    least_calls: int = 4
    tolerated: float = 0.05
    cut: float = 0.5
    most_cut: float = 0.3
    least_share: float = 0.05
    settling: int = 1
    first_step: float = 0.02
    most_step: float = 0.2
    pause_s: float = 1.0


class RootShares:
    """Decides for one target, route by route; the time comes in.

    Args:
        settings: The settings.
    """

    def __init__(self, settings: ShareSettings) -> None:
        self._settings = settings
        # Where ids never tell which route a call serves, all share one.
        self._common = _Share(settings)
        self._by_route: dict[str, _Share] = {}

    @property
    def retry_after_s(self) -> float:
        """Seconds after which a root that was turned away may come back."""
        return self._settings.pause_s

    def observe(self, route: str | None, starved: bool, now: float) -> None:
        """Note how one of the target's own calls ended.

        Args:
            route: Route of the request that it served. None if unknown,
                as that of a request which has ended; such calls count only
                while no call had a known route.
            starved: Whether it failed for want of room.
            now: The time, in seconds.
        """
        if route is not None or not self._by_route:
            self._find(route).observe(starved, now)

    def admits(self, route: str, root_hash: float, now: float) -> bool:
        """Return whether the target may begin a new root.

        Args:
            route: Its route.
            root_hash: Its position, 0 <= hash < 1.
            now: The time, in seconds.
        """
        return root_hash < self.compute_share(route, now)

    def compute_share(self, route: str, now: float) -> float:
        """Return the share of new roots of a route that is begun."""
        share = self._common.compute(now)
        known = self._by_route.get(route)
        return share if known is None else min(share, known.compute(now))

    def measure_starving(self, route: str) -> float:
        """Return the share of the calls of a route's runs that starve."""
        known = self._by_route.get(route)
        level = 0.0 if known is None else known.level
        return max(level, self._common.level)

    def _find(self, route: str | None) -> '_Share':
        if route is None:
            return self._common
        share = self._by_route.get(route)
        if share is None:
            if len(self._by_route) >= service_times.MAX_ROUTES:
                self._by_route.clear()
            share = self._by_route[route] = _Share(self._settings)
        return share


class _Share:
    """The share of one route.

    Attributes:
        level: Share of calls that starved in the last interval.
    """

    def __init__(self, settings: ShareSettings) -> None:
        self._settings = settings
        self._share = 1.0
        self._step = settings.first_step
        self._ends_at = 0.0
        self._calls = 0
        self._starved = 0
        self._settling = 0
        self.level = 0.0

    def observe(self, starved: bool, now: float) -> None:
        """Note how a call ended."""
        self._calls += 1
        self._starved += starved
        self._close_interval(now)

    def compute(self, now: float) -> float:
        """Return the share that is begun."""
        if self._share < 1.0:
            self._close_interval(now)
        return self._share

    def _close_interval(self, now: float) -> None:
        if now < self._ends_at:
            return
        settings = self._settings
        self._ends_at = now + settings.interval_s
        calls = self._calls
        level = self._starved / calls if calls else 0.0
        self._calls = 0
        self._starved = 0
        if calls < settings.least_calls and level > 0.0:
            return
        self.level = level
        if level > settings.tolerated:
            self._cut(level)
        else:
            self._grow()

    def _cut(self, level: float) -> None:
        if self._settling > 0:
            self._settling -= 1
            return
        settings = self._settings
        excess = level - settings.tolerated
        cut = min(settings.most_cut, settings.cut * excess)
        self._share = max(settings.least_share, self._share * (1.0 - cut))
        self._step = settings.first_step
        self._settling = settings.settling

    def _grow(self) -> None:
        self._settling = 0
        self._share = min(1.0, self._share + self._step)
        self._step = min(self._settings.most_step, 2.0 * self._step)


def has_starved(outcome: verdict.Verdict, below: float) -> bool:
    """Return whether a call failed for want of room further down.

    Args:
        outcome: What became of it.
        below: Share of the calls of its target that starve themselves.
    """
    if isinstance(outcome, verdict.Answered):
        return outcome.is_failure and below > 0.0
    return outcome.reason in _NO_ROOM
