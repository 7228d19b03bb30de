"""Goes by the levels of the services that a target will call."""

import time

from .. import verdict
from ..policy import dependencies
from ..policy import levels
from ..transport import frames


class DependencyLevels:
    """Sheds before a target works on what a deeper service would refuse.

    Args:
        level_table: Levels by service and upstream.
    """

    def __init__(self, level_table: levels.LevelTable) -> None:
        self._levels = level_table
        self._dependencies = dependencies.Dependencies()

    def observe(self, route: str, services: set[str]) -> None:
        """Note which services one request of a route called."""
        self._dependencies.observe(route, services)

    def check(self, call: frames.Call) -> verdict.NotRun | None:
        """Refuse a call if a service that it needs would refuse it."""
        context = call.context
        now = time.monotonic()
        for service in self._dependencies.list_services(call.route):
            decision = self._levels.admits(
                service,
                context.importance,
                context.root_hash,
                now,
                begun=context.depth > 0,
            )
            if isinstance(decision, levels.Shed):
                return verdict.NotRun(
                    verdict.Reason.OVERLOAD,
                    retry_after_s=decision.retry_after_s,
                )
        return None

    def combine(self, route: str, level: levels.Level) -> levels.Level:
        """Return the strictest of a level and those below a route."""
        services = self._dependencies.list_services(route)
        if not services:
            return level
        now = time.monotonic()
        downstream = [self._levels.find_level(name, now) for name in services]
        return levels.combine_levels(level, downstream)
