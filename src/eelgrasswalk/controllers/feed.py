"""Follows a table of the store: reads it whole, then its changes.

Changes come from the store or from peers. An update of a peer names the
versions between which it is complete, so it is applied like an answer of the
store. After a gap, the node polls the store.
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
    """Receives the contents and the changes of a table."""

    def take_all(self, rows: ports.Rows, true_at: float) -> None:
        """Handle all rows of the table at a time."""

    def take_changes(self, rows: ports.Rows, true_at: float) -> None:
        """Handle the changes up to a time; there may be none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Advance:
    """Newly received changes of a table.

    Args:
        after: Version after which the rows are complete.
        rows: The changed rows, with the version and time that they reach.
        is_snapshot: Whether the rows are the whole table, and replace what
            was known of it.
    """

    after: int
    rows: ports.Rows
    is_snapshot: bool = False


def _ignore(advance: Advance) -> None:
    """Ignore an advance."""


def _do_nothing() -> None:
    """Ignore a restore."""


class Feed:
    """Passes the changes of a table to a follower.

    Args:
        store: The store.
        table: The table to follow.
        follower: Receives its contents and changes.
        wait_s: Seconds after which the store answers without a change.
        gather_s: Seconds to wait after a change, so that the next answer
            brings several.
        clock: Seconds of a clock that runs through suspension.
        source: Random numbers for pauses.
        watches: Whether to wait for changes at the store from the start.
        keeps_rows: Whether to keep the rows, so that a peer that cannot ask
            the store can get the changes from this node.
        max_silence_s: Seconds without an answer of the store after which
            `poll_if_silent` polls it.

    Attributes:
        filled: Set after the first read.
        changed_at: Version of the last change, or a later one; 0 before any.
            After a full read it is the version of that read, as rows may
            have been removed until then.
        seen_at: The same, but a full read of a table whose rows are kept
            counts only with its newest row: the store's version also grows
            with other tables, so that a peer may be up to date and behind it.
        on_advance: Called with newly received changes.
        on_restored: Called when the store has come back from a copy.
        store_clock: Estimate of the store's clock from its answers.
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
        max_silence_s: float = math.inf,
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
        self._era: int | None = None
        self._failures = 0
        self._watches = watches
        self._keeps_rows = keeps_rows
        self._max_silence_s = max_silence_s
        self._answered_at = -math.inf
        self._kept: dict[str, ports.Row] = {}
        # Version of the last full read; removals before it are not known.
        self._read_at = 0
        self._confirmed_s = 0.0
        self.changed_at = 0
        self.seen_at = 0
        self._catching_up: asyncio.Task[bool] | None = None
        self._resumed = asyncio.Event()
        self.on_advance: typing.Callable[[Advance], None] = _ignore
        self.on_restored: typing.Callable[[], None] = _do_nothing
        self._watching: asyncio.Task[Answer] | None = None
        self._work = background.Background(self._run)
        self.filled = asyncio.Event()

    async def start(self) -> None:
        """Start to follow; `filled` is set after the first read."""
        await self._work.start()

    async def stop(self) -> None:
        """Stop following."""
        if self._catching_up is not None:
            self._catching_up.cancel()
        await self._work.stop()

    @property
    def version(self) -> int:
        """Version up to which the table is known; 0 before any."""
        return self._version or 0

    def set_watching(self, watches: bool) -> None:
        """Choose whether to long-poll the store or to rely on peers."""
        if watches == self._watches:
            return
        self._watches = watches
        if watches:
            self._resumed.set()
        elif self._watching is not None:
            self._watching.cancel()

    def get_changes_since(self, version: int) -> Advance | None:
        """Return the changes after a version.

        Args:
            version: Version that the peer has.

        Returns:
            The changes, or a snapshot if the table has been read anew since
            that version; None if this node has no newer or no complete data.
        """
        if version > self.version or self._confirmed_s <= 0.0:
            return None
        if version < self.version and not self._keeps_rows:
            return None
        is_snapshot = version < self._read_at
        rows = tuple(
            row
            for row in self._kept.values()
            if (
                row.value is not None if is_snapshot else row.version > version
            )
        )
        return Advance(
            0 if is_snapshot else version,
            ports.Rows(rows, self.version, self._confirmed_s),
            is_snapshot=is_snapshot,
        )

    def apply_peer_update(self, advance: Advance) -> None:
        """Apply changes that a peer has sent; poll the store after a gap.

        A table that was never read starts with a snapshot only.
        """
        rows = advance.rows
        if advance.is_snapshot:
            self._apply_snapshot(rows)
            return
        if self._version is None:
            return
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

    def _apply_snapshot(self, rows: ports.Rows) -> None:
        """Replace the table by what a peer knows, if that is newer."""
        if self._version is None and self.filled.is_set():
            # The store has dropped its history and is being read; a peer may
            # not have noticed that it has come back from a copy.
            return
        if rows.version <= self.version:
            return
        true_at = self.store_clock.to_local_time(rows.store_s, self._clock())
        self._replace(rows, -math.inf if true_at is None else true_at)

    def poll_if_silent(self) -> None:
        """Poll the store if an answer to the long poll may be lost."""
        age_s = self._clock() - self._answered_at
        is_silent = self._watches and age_s > self._max_silence_s
        if is_silent and not self._failures:
            self.catch_up()

    def catch_up(self) -> None:
        """Poll the store for changes unless a poll is under way."""
        if self._catching_up is None or self._catching_up.done():
            self._catching_up = asyncio.get_running_loop().create_task(
                self.confirm()
            )

    def _note_era(self, rows: ports.Rows, known_version: int) -> None:
        """Log that the store has been restored since the last answer."""
        if self._era is not None and rows.era != self._era:
            events.log(
                events.STORE_RESTORED,
                table=self._table,
                era=rows.era,
                version=rows.version,
                known_version=known_version,
                store_s=rows.store_s,
            )
            self.on_restored()
        self._era = rows.era

    def _advance(self, after: int, rows: ports.Rows, true_at: float) -> None:
        """Apply the changes between two versions."""
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
        """Whether the last request to the store failed."""
        return self._failures > 0

    async def confirm(self) -> bool:
        """Poll the store for changes at once, beside the long poll.

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
        self._answered_at = self._clock()
        if outcome.version < self.version:
            # It is from before a restore, or of a replica that lags behind.
            return False
        self._advance(after, outcome, self._date(outcome, asked_at))
        if outcome.rows and self._watching is not None:
            # The long poll should have returned them; its answer may be
            # lost.
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
        self._answered_at = self._clock()
        self._note_era(outcome, self.version)
        if outcome.version < self.version:
            # Changes of a later version have been applied meanwhile.
            return None
        self._replace(outcome, self._date(outcome, asked_at))
        return None

    def _replace(self, rows: ports.Rows, true_at: float) -> None:
        """Take the whole table in place of what was known of it."""
        self._version = rows.version
        self._read_at = rows.version
        self._kept.clear()
        # Rows may have been removed until now.
        self.changed_at = rows.version
        self.seen_at = 0 if self._keeps_rows else rows.version
        self._keep(rows)
        self._follower.take_all(rows, true_at)
        self.filled.set()
        # Peers could not tell from the rows which ones are gone.
        nothing = dataclasses.replace(rows, rows=())
        self.on_advance(Advance(self.changed_at, nothing))

    def _keep(self, rows: ports.Rows) -> None:
        self._confirmed_s = max(self._confirmed_s, rows.store_s)
        versions = [row.version for row in rows.rows]
        self.changed_at = max([self.changed_at, *versions])
        self.seen_at = max([self.seen_at, *versions])
        if self._keeps_rows:
            self._kept |= {row.key: row for row in rows.rows}

    async def _watch(self, version: int) -> ports.Unavailable | None:
        asked_at = self._clock()
        # A short poll, to notice at once that the store is back.
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
            events.log(events.HISTORY_GONE, table=self._table, version=version)
            self._version = None
            return None
        self._answered_at = self._clock()
        if outcome.version < self.version:
            # It is from before a restore, or of a replica that lags behind.
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
        """Count a failure, and resume polling until the store answers."""
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
