"""Follows a table of the store: reads it whole, then its changes."""

import asyncio
import random
import typing

from .. import events
from .. import ports
from ..policy import store_clock
from . import background

FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0


Answer: typing.TypeAlias = ports.Rows | ports.HistoryGone | ports.Unavailable


class Follower(typing.Protocol):
    """What is told of the table."""

    def take_all(self, rows: ports.Rows, true_at: float) -> None:
        """Take everything that the table held at a time."""

    def take_changes(self, rows: ports.Rows, true_at: float) -> None:
        """Take what has changed until a time; empty when nothing has."""


class Feed:
    """Keeps a follower up to date.

    Args:
        store: The store.
        table: The table to follow.
        follower: Is told of it.
        wait_s: Seconds after which the store answers without a change.
        gather_s: Seconds to wait after a change, so that the next answer
            brings several.
        clock: Seconds of a clock that runs through suspension.
        source: Random numbers for pauses.

    Attributes:
        filled: Set after the first reading.
        store_clock: The store's clock, as far as its answers tell.
    """

    def __init__(
        self,
        store: ports.RowStore,
        table: str,
        follower: Follower,
        *,
        wait_s: float,
        gather_s: float,
        clock: typing.Callable[[], float],
        source: random.Random,
    ) -> None:
        self._store = store
        self._table = table
        self._follower = follower
        self._wait_s = wait_s
        self._gather_s = gather_s
        self._clock = clock
        self._random = source
        self.store_clock = store_clock.StoreClock()
        self._version: int | None = None
        self._failures = 0
        self._watching: asyncio.Task[Answer] | None = None
        self._work = background.Background(self._run)
        self.filled = asyncio.Event()

    async def start(self) -> None:
        """Begin to follow; `filled` is set after the first reading."""
        await self._work.start()

    async def stop(self) -> None:
        """End."""
        await self._work.stop()

    @property
    def is_failing(self) -> bool:
        """Whether the store did not answer last; it is asked again soon."""
        return self._failures > 0

    async def confirm(self) -> bool:
        """Ask for changes at once, beside the question that waits.

        Returns:
            Whether the store answered.
        """
        if self._version is None:
            return False
        asked_at = self._clock()
        outcome = await self._store.watch(self._table, self._version, 0.0)
        if isinstance(outcome, ports.HistoryGone):
            outcome = await self._store.read(self._table)
        if isinstance(outcome, ports.Unavailable):
            return False
        self._version = max(self._version, outcome.version)
        self._follower.take_changes(outcome, self._date(outcome, asked_at))
        if outcome.rows and self._watching is not None:
            # The question that waits should have brought them; its answer
            # may be lost.
            self._watching.cancel()
        return True

    async def _run(self) -> None:
        while True:
            if self._version is None:
                outcome = await self._read()
            else:
                outcome = await self._watch(self._version)
            if isinstance(outcome, ports.Unavailable):
                await self._pause(outcome)
                continue
            if self._failures:
                events.log(events.STORE_BACK, table=self._table)
            self._failures = 0

    async def _read(self) -> ports.Unavailable | None:
        asked_at = self._clock()
        outcome = await self._store.read(self._table)
        if isinstance(outcome, ports.Unavailable):
            return outcome
        self._version = outcome.version
        self._follower.take_all(outcome, self._date(outcome, asked_at))
        self.filled.set()
        return None

    async def _watch(self, version: int) -> ports.Unavailable | None:
        asked_at = self._clock()
        # A store that is back confirms at once.
        wait_s = 0.0 if self._failures else self._wait_s
        self._watching = asyncio.get_running_loop().create_task(
            self._store.watch(self._table, version, wait_s)
        )
        try:
            await asyncio.wait((self._watching,))
        except asyncio.CancelledError:
            self._watching.cancel()
            raise
        if self._watching.cancelled():
            return None
        outcome = self._watching.result()
        if isinstance(outcome, ports.Unavailable):
            return outcome
        if isinstance(outcome, ports.HistoryGone):
            events.log(events.HISTORY_GONE, table=self._table)
            self._version = None
            return None
        self._version = max(self._version or 0, version, outcome.version)
        self._follower.take_changes(outcome, self._date(outcome, asked_at))
        if outcome.rows and self._gather_s:
            await asyncio.sleep(self._gather_s)
        return None

    def _date(self, rows: ports.Rows, asked_at: float) -> float:
        return self.store_clock.date_answer(
            asked_at, self._clock(), rows.store_s
        )

    async def _pause(self, outcome: ports.Unavailable) -> None:
        if not self._failures:
            events.log(
                events.STORE_LOST, table=self._table, detail=outcome.detail
            )
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        await asyncio.sleep(pause_s * (0.5 + self._random.random()))
