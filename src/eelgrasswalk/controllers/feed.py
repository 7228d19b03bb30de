"""Follows a table of the store: reads it whole, then its changes.

Changes come from the store or from a peer that has them already. What a peer
tells counts like an answer of the store's, as it says between which versions
it holds; a peer that tells of versions after an unknown one makes the node ask
the store.
"""

import asyncio
import dataclasses
import math
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


@dataclasses.dataclass(frozen=True, slots=True)
class Advance:
    """What is known of a table now that was not known before.

    Args:
        after: Version from which on the rows tell everything.
        rows: What has changed since, and up to which version and time.
    """

    after: int
    rows: ports.Rows


def _ignore(advance: Advance) -> None:
    """Take an advance of which nobody is told."""


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
        watches: Whether to wait for changes at the store from the start.
        keeps_rows: Whether to keep the rows, so that a peer that cannot ask
            the store can be told what has changed; for tables whose rows
            are never removed.

    Attributes:
        filled: Set after the first reading.
        changed_at: Version of the last change, or a later one; 0 before any.
        on_advance: Called when more is known of the table.
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
        watches: bool = True,
        keeps_rows: bool = False,
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
        self._watches = watches
        self._keeps_rows = keeps_rows
        self._kept: dict[str, ports.Row] = {}
        self._known_s = 0.0
        self.changed_at = 0
        self._catching_up: asyncio.Task[bool] | None = None
        self._resumed = asyncio.Event()
        self.on_advance: typing.Callable[[Advance], None] = _ignore
        self._watching: asyncio.Task[Answer] | None = None
        self._work = background.Background(self._run)
        self.filled = asyncio.Event()

    async def start(self) -> None:
        """Begin to follow; `filled` is set after the first reading."""
        await self._work.start()

    async def stop(self) -> None:
        """End."""
        if self._catching_up is not None:
            self._catching_up.cancel()
        await self._work.stop()

    @property
    def version(self) -> int:
        """Version up to which the table is known; 0 before any."""
        return self._version or 0

    def set_watching(self, watches: bool) -> None:
        """Wait for changes at the store, or let peers tell of them."""
        if watches == self._watches:
            return
        self._watches = watches
        if watches:
            self._resumed.set()
        elif self._watching is not None:
            self._watching.cancel()

    def tell_since(self, version: int) -> Advance | None:
        """Return what a peer that knows a version has missed.

        Args:
            version: The version up to which the peer knows the table.

        Returns:
            None if this node knows no more, or not everything that changed.
        """
        if version > self.version or self._known_s <= 0.0:
            return None
        if version < self.version and not self._keeps_rows:
            return None
        rows = tuple(
            row for row in self._kept.values() if row.version > version
        )
        return Advance(version, ports.Rows(rows, self.version, self._known_s))

    def take_told(self, advance: Advance) -> None:
        """Take what a peer knows of the table; ask the store for a gap."""
        if self._version is None:
            return
        rows = advance.rows
        if advance.after > self._version:
            self.catch_up()
        elif rows.version >= self._version:
            true_at = self.store_clock.to_local_time(
                rows.store_s, self._clock()
            )
            new = tuple(
                row for row in rows.rows if row.version > self._version
            )
            self._advance(
                self._version,
                dataclasses.replace(rows, rows=new),
                -math.inf if true_at is None else true_at,
            )

    def catch_up(self) -> None:
        """Ask the store what has changed, unless that is under way."""
        if self._catching_up is None or self._catching_up.done():
            self._catching_up = asyncio.get_running_loop().create_task(
                self.confirm()
            )

    def _advance(self, after: int, rows: ports.Rows, true_at: float) -> None:
        """Take what is known between a version and a later one."""
        is_new = bool(rows.rows) or rows.version > self.version
        # The store's version also grows with changes of other tables.
        after = min(after, self.changed_at)
        self._version = max(self.version, rows.version)
        self._keep(rows)
        self._follower.take_changes(rows, true_at)
        if is_new or rows.store_s > 0.0:
            self.on_advance(Advance(after, rows))

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
        after = self._version
        outcome = await self._store.watch(self._table, after, 0.0)
        if isinstance(outcome, ports.HistoryGone):
            unavailable = await self._read()
            if unavailable is None:
                return True
            outcome = unavailable
        if isinstance(outcome, ports.Unavailable):
            if not self._watches:
                self._note_failure(outcome)
            return False
        self._advance(after, outcome, self._date(outcome, asked_at))
        if outcome.rows and self._watching is not None:
            # The question that waits should have brought them; its answer
            # may be lost.
            self._watching.cancel()
        return True

    async def _run(self) -> None:
        while True:
            if self._version is None:
                outcome = await self._read()
            elif self._watches or self._failures:
                outcome = await self._watch(self._version)
            else:
                await self._resumed.wait()
                self._resumed.clear()
                continue
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
        if outcome.version < self.version:
            # Changes up to a later version have come meanwhile.
            return None
        self._version = outcome.version
        self._kept.clear()
        # Rows may have been removed until now, where they may be at all.
        self.changed_at = 0 if self._keeps_rows else outcome.version
        self._keep(outcome)
        self._follower.take_all(outcome, self._date(outcome, asked_at))
        self.filled.set()
        # Peers cannot tell from it which rows are gone.
        nothing = dataclasses.replace(outcome, rows=())
        self.on_advance(Advance(self.changed_at, nothing))
        return None

    def _keep(self, rows: ports.Rows) -> None:
        self._known_s = max(self._known_s, rows.store_s)
        versions = [row.version for row in rows.rows]
        self.changed_at = max([self.changed_at, *versions])
        if self._keeps_rows:
            self._kept |= {row.key: row for row in rows.rows}

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
        self._advance(version, outcome, self._date(outcome, asked_at))
        if outcome.rows and self._gather_s:
            await asyncio.sleep(self._gather_s)
        return None

    def _date(self, rows: ports.Rows, asked_at: float) -> float:
        return self.store_clock.estimate_answer_time(
            asked_at, self._clock(), rows.store_s
        )

    def _note_failure(self, outcome: ports.Unavailable) -> None:
        """Look for the store until it answers."""
        if not self._failures:
            events.log(
                events.STORE_LOST, table=self._table, detail=outcome.detail
            )
            self._resumed.set()
        self._failures = min(self._failures + 1, 16)

    async def _pause(self, outcome: ports.Unavailable) -> None:
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**self._failures)
        self._note_failure(outcome)
        await asyncio.sleep(pause_s * (0.5 + self._random.random()))
