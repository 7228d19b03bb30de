"""Sheds at the caller's node what the upstreams would refuse anyway."""

import time

from .. import verdict
from ..policy import levels
from . import filter_chain


class LoadSheddingCheck:
    """Goes by the levels that upstreams have answered with.

    Args:
        level_table: Levels by service and upstream.
    """

    def __init__(self, level_table: levels.LevelTable) -> None:
        self._levels = level_table

    def check(self, exchange: filter_chain.Exchange) -> verdict.NotRun | None:
        """Refuse a request that its service does not admit now."""
        context = exchange.get_context()
        decision = self._levels.admits(
            exchange.get_route().service,
            context.importance,
            context.root_hash,
            time.monotonic(),
            begun=exchange.served is not None,
        )
        if isinstance(decision, levels.Shed):
            return verdict.NotRun(
                verdict.Reason.OVERLOAD,
                retry_after_s=decision.retry_after_s,
            )
        return None
