"""Registers child calls with the call that the target is serving."""

import asyncio

from .. import verdict
from . import filter_chain


class ChildCallCheck:
    """Registers child calls, so that they are cancelled with their parent."""

    def check(self, exchange: filter_chain.Exchange) -> verdict.NotRun | None:
        """Add the current task to the served call's child calls."""
        task = asyncio.current_task()
        if exchange.parent_call is not None and task is not None:
            exchange.parent_call.begin_child(task, exchange.arrived_at)
        return None
