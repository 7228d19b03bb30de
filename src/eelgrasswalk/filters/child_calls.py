"""Ties a child call to the call that its target is serving."""

import asyncio

from .. import verdict
from . import filter_chain


class AdoptCheck:
    """Registers child calls, so that they end with their parent."""

    def check(self, item: filter_chain.Exchange) -> verdict.NotRun | None:
        """Add the running task to the served call's children."""
        task = asyncio.current_task()
        if item.served is not None and task is not None:
            item.served.begin_child(task, item.arrived_at)
        return None
