"""Passes HTTP requests through the filter chain and renders the verdicts."""

import asyncio
import traceback
import typing

from .. import counters
from .. import events
from .. import verdict
from ..policy import routing
from ..transport import message
from ..transport import problem
from . import filter_chain


class Entry:
    """Handles the requests of one listener.

    Args:
        source: The listener.
        chain: Filters that each request passes through.
        get_table: Returns the active configuration, or None if there is none.
        counts: Counts verdicts.
    """

    def __init__(
        self,
        source: filter_chain.Source,
        chain: filter_chain.Chain,
        *,
        get_table: typing.Callable[[], routing.RoutingTable | None],
        counts: counters.Counters,
    ) -> None:
        self._source = source
        self._chain = chain
        self._get_table = get_table
        self._counts = counts
        self._loop = asyncio.get_running_loop()

    async def handle(self, request: message.Request) -> verdict.Response:
        """Answer one request."""
        table = self._get_table()
        if table is None:
            refusal = verdict.NotRun(
                verdict.Reason.NO_CONFIGURATION, retry_after_s=1.0
            )
            self._counts.count(self._source, None, refusal)
            return problem.render_verdict(refusal)
        exchange = filter_chain.Exchange(
            request=request,
            source=self._source,
            arrived_at=self._loop.time(),
            table=table,
        )
        outcome = await self._run(exchange)
        self._counts.count(self._source, exchange, outcome)
        return problem.render_verdict(outcome)

    async def _run(self, exchange: filter_chain.Exchange) -> verdict.Verdict:
        task = asyncio.current_task()
        try:
            return await self._chain.run(exchange)
        except Exception as error:
            events.log(events.REQUEST_FAILED, traceback=traceback.format_exc())
            return verdict.MayHaveRun(
                verdict.Reason.INTERNAL, type(error).__name__
            )
        finally:
            if exchange.parent_call is not None and task is not None:
                exchange.parent_call.end_child(task, self._loop.time())
