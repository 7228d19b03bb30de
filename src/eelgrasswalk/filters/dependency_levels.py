"""Sheds calls by the overload levels of the services they depend on."""

import time

from .. import verdict
from ..policy import dependencies
from ..policy import levels
from ..transport import frames


class DependencyLevels:
    """Refuses calls whose child calls would be shed further downstream.

    Refusing them before they run saves the work of the target.

    Args:
        level_table: Overload levels by service and upstream.
    """

    def __init__(self, level_table: levels.LevelTable) -> None:
        self._levels = level_table
        self._dependencies = dependencies.Dependencies()

    def observe(self, route: str, services: set[str]) -> None:
        """Record which services a request called.

        Args:
            route: Name of the request's route.
            services: Names of the services that the target called for it.
        """
        self._dependencies.observe(route, services)

    def check(self, call: frames.Call) -> verdict.NotRun | None:
        """Refuse a call that a service it depends on would shed."""
        context = call.context
        now = time.monotonic()
        for service in self._dependencies.list_services(call.route):
            decision = self._levels.admits(
                service,
                context.importance,
                context.root_hash,
                now,
                is_nested=context.depth > 0,
            )
            if isinstance(decision, levels.Shed):
                return verdict.NotRun(
                    verdict.Reason.OVERLOAD,
                    retry_after_s=decision.retry_after_s,
                )
        return None

    def combine(self, route: str, level: levels.Level) -> levels.Level:
        """Return the strictest of a level and those of a route's dependencies.

        Args:
            route: Name of the route.
            level: Overload level of this node's own target.
        """
        services = self._dependencies.list_services(route)
        if not services:
            return level
        now = time.monotonic()
        downstream = [self._levels.find_level(name, now) for name in services]
        return levels.combine_levels(level, downstream)
