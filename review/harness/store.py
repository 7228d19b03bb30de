"""The platform's store, which may stop to answer for a while."""

import asyncio

from eelgrasswalk import verdict
from eelgrasswalk.standins import rows
from eelgrasswalk.transport import message


class Store(rows.RowsStandin):
    """The project's stand-in, with outages in which nothing is answered.

    A call that arrives or waits during an outage gets no response, also when
    the store is back.
    """

    def __init__(self) -> None:
        super().__init__()
        self._outages = 0

    def go_silent(self) -> None:
        """Answer nothing from now on."""
        self.faults.silent = True
        self._outages += 1

    def come_back(self) -> None:
        """Answer new calls again."""
        self.faults.silent = False

    async def handle(self, request: message.Request) -> verdict.Response:
        """Answer one call."""
        outages = self._outages
        response = await super().handle(request)
        if outages != self._outages:
            await asyncio.Event().wait()
        return response
