"""Sheds, at the caller's node, requests that upstreams would refuse."""

import time

from .. import verdict
from ..policy import levels
from . import filter_chain


class LoadSheddingCheck:
    """Sheds by the overload levels that upstreams return with answers.

    Args:
        level_table: Overload levels by service and upstream.
    """

    def __init__(self, level_table: levels.LevelTable) -> None:
        self._levels = level_table

    def check(self, exchange: filter_chain.Exchange) -> verdict.NotRun | None:
        """Refuse a request that its service is currently shedding."""
        context = exchange.get_context()
        decision = self._levels.admits(
            exchange.get_route().service,
            context.importance,
            context.root_hash,
            time.monotonic(),
            is_nested=exchange.parent_call is not None,
        )
        if isinstance(decision, levels.Shed):
            return verdict.NotRun(
                verdict.Reason.OVERLOAD,
                retry_after_s=decision.retry_after_s,
            )
        return None
