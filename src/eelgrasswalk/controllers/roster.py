"""Maintains the roster of nodes and this node's entry in the store."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import math
import time
import typing

from .. import events
from .. import ports
from ..policy import roster
from ..transport import dialler
from . import background
from . import directory
from . import roster_entries

TABLE = 'nodes'
TOPIC = 'node'
# Entries that nodes relay for others while the store cannot be written.
TOPIC_PASSED_ON = 'node-passed-on'
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 1.0
# A starting node writes its entry once it knows its target, or after this.
FIRST_WRITE_S = 0.5
# Time for which a node that others could not reach owns no accounts.
SECLUSION_S = 10.0
# Time in which nodes write their entries again that a restored store has lost.
RESTORE_GRACE_S = 2.5
_UNUSABLE = 'unusable'


class Messenger(typing.Protocol):
    """Sends controllers' messages to other nodes."""

    def announce(self, topic: str, payload: bytes) -> None:
        """Send one message on each link that others have opened."""

    def send(self, node_id: str, topic: str, payload: bytes) -> None:
        """Send one message to a node, on a new link if there is none."""


class UpstreamDirectory(typing.Protocol):
    """Directory of upstreams that the call path uses."""

    def replace(self, peers: collections.abc.Iterable[directory.Peer]) -> None:
        """Set all known nodes."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ColdUntil:
    version: tuple[int, int]
    until: float


class RosterKeeper:
    """Keeps the roster of nodes, and this node's entry in the store.

    Args:
        own: This node's entry before its target is known.
        store: Holds the entries of all nodes.
        upstreams: Directory of upstreams that the call path uses.
        messenger: Sends entries to the nodes that call this one; the
            others learn of them from the store, or directly while it cannot
            be written.

    Attributes:
        on_change: Called when entries were added, changed or removed.
        get_cold_s: Returns for how many seconds this node's target remains
            cold, as its entry shall say.
        list_neighbours: Returns the nodes to which entries are relayed while
            the store cannot be written.
    """

    def __init__(
        self,
        own: roster.Entry,
        store: ports.RowStore,
        upstreams: UpstreamDirectory,
        messenger: Messenger,
    ) -> None:
        self.roster = roster.Roster()
        self._own = own
        self._store = store
        self._upstreams = upstreams
        self._messenger = messenger
        self._announced_revision = 0
        self.list_neighbours: typing.Callable[
            [], collections.abc.Sequence[str]
        ] = tuple
        self.on_change: typing.Callable[[], None] = _do_nothing
        self.get_cold_s: typing.Callable[[], float] = _get_nothing
        # When the targets are no longer cold, by the entries that said so.
        self._cold_until: dict[str, _ColdUntil] = {}
        self._row_version = 0
        self._versions: dict[str, int] = {}
        self._written: roster.Entry | None = None
        self._era: int | None = None
        self._changed = asyncio.Event()
        self._reported = asyncio.Event()
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._work = background.Background(self._run)

    @property
    def own(self) -> roster.Entry:
        """This node's entry."""
        return self._own

    def find_previous(self) -> roster.Entry | None:
        """Return the entry of an earlier process of this node, or None."""
        return self.roster.find(self._own.node_id)

    async def start(self) -> None:
        """Start to write this node's entry."""
        await self._work.start()

    async def stop(self) -> None:
        """Stop writing."""
        await self._work.stop()

    def change(self, **fields: typing.Any) -> None:
        """Change this node's entry in the store and at its callers."""
        changed = dataclasses.replace(
            self._own,
            **fields,
            revision=self._own.revision + 1,
            cold_s=self.get_cold_s(),
        )
        self._own = changed
        self.roster.update(changed)
        self._refresh()
        self._changed.set()
        if changed.target_id:
            self._reported.set()
        self._messenger.announce(TOPIC, roster_entries.encode_entry(changed))

    async def wait_written(self, limit_s: float) -> bool:
        """Wait until the store has this node's current entry."""
        revision = self._own.revision
        if self._written is not None and self._written.revision >= revision:
            return True
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append((revision, waiter))
        try:
            async with asyncio.timeout(limit_s):
                await waiter
        except TimeoutError:
            return False
        return True

    def receive(self, node_id: str, payload: bytes) -> None:
        """Handle a peer's own entry."""
        entry = roster_entries.decode_entry(payload)
        if entry is None or entry.node_id != node_id:
            events.log(events.ENTRY_REJECTED, entry=node_id)
            return
        if self.roster.update(entry):
            self._refresh()

    def receive_passed_on(self, node_id: str, payload: bytes) -> None:
        """Handle an entry that a neighbour relays, and relay it if new."""
        entry = roster_entries.decode_entry(payload)
        if entry is None:
            events.log(events.ENTRY_REJECTED, entry=node_id)
            return
        if entry.node_id == self._own.node_id:
            return
        if self.roster.update(entry):
            self._refresh()
            self._relay(payload, except_for=node_id)

    def _relay(self, payload: bytes, *, except_for: str = '') -> None:
        for neighbour in self.list_neighbours():
            if neighbour != except_for:
                self._messenger.send(neighbour, TOPIC_PASSED_ON, payload)

    def take_all(self, rows: ports.Rows, true_at: float) -> None:
        """Handle all entries in the store."""
        is_restored = self._era is not None and rows.era != self._era
        self._era = rows.era
        self._versions.clear()
        changed = self._take_rows(rows.rows)
        if is_restored:
            # Entries since the copy are missing until they are written again.
            asyncio.get_running_loop().call_later(
                RESTORE_GRACE_S, self._drop_missing
            )
        else:
            changed |= self._keep_listed()
        if changed:
            self._refresh()
        self._check_own(rows.rows, is_restored=is_restored)

    def _drop_missing(self) -> None:
        if self._keep_listed():
            self._refresh()

    def _keep_listed(self) -> bool:
        """Remove the entries that are not in the store."""
        return self.roster.keep_only(
            self._versions.keys() | {self._own.node_id}
        )

    def _check_own(
        self,
        rows: collections.abc.Iterable[ports.Row],
        *,
        is_restored: bool,
    ) -> None:
        """Write this node's entry again if it is not in the store."""
        found = None
        self._row_version = 0
        for row in rows:
            if row.key == self._own.node_id and row.value is not None:
                self._row_version = row.version
                found = roster_entries.decode_entry(row.value)
        if self._written is None or found == self._written:
            return
        self._written = None
        if found is None and not is_restored:
            self._seclude()
        else:
            self.change()

    def take_changes(self, rows: ports.Rows, true_at: float) -> None:
        """Handle changed entries."""
        if self._take_rows(rows.rows):
            self._refresh()

    def _take_rows(self, rows: collections.abc.Iterable[ports.Row]) -> bool:
        changed = False
        for row in rows:
            if row.value is None:
                self._versions.pop(row.key, None)
                changed |= self._take_removal(row)
                continue
            self._versions[row.key] = row.version
            entry = roster_entries.decode_entry(row.value)
            if entry is None or entry.node_id != row.key:
                events.log(events.ENTRY_REJECTED, entry=row.key)
                continue
            changed |= self.roster.update(entry)
        return changed

    def _take_removal(self, row: ports.Row) -> bool:
        if row.key != self._own.node_id:
            return self.roster.remove(row.key)
        self._row_version = 0
        self._written = None
        self._seclude()
        return False

    def _seclude(self) -> None:
        """Return after another node has removed this one as lost."""
        self.change(secluded=True)
        asyncio.get_running_loop().call_later(SECLUSION_S, self._end_seclusion)

    def _end_seclusion(self) -> None:
        if self._own.secluded:
            self.change(secluded=False)

    def _refresh(self) -> None:
        entries = self.roster.list_entries()
        self._track_cold(entries)
        self._upstreams.replace(
            _build_peer(entry, self._cold_until.get(entry.node_id))
            for entry in entries
        )
        self.on_change()

    def _track_cold(
        self, entries: collections.abc.Iterable[roster.Entry]
    ) -> None:
        """Note when coldness ends, counted from when an entry was read."""
        known = self._cold_until
        self._cold_until = {}
        now = time.monotonic()
        for entry in entries:
            if not entry.cold_s:
                continue
            version = (entry.incarnation, entry.revision)
            found = known.get(entry.node_id)
            if found is None or found.version != version:
                found = _ColdUntil(version, now + entry.cold_s)
            self._cold_until[entry.node_id] = found

    def list_available(self) -> list[str]:
        """Return the nodes that are reachable and not stopping."""
        return [entry.node_id for entry in self._list_available_entries()]

    def list_group(self, service: str) -> list[str]:
        """Return the available nodes beside targets of a service."""
        return [
            entry.node_id
            for entry in self._list_available_entries()
            if entry.service == service
        ]

    def list_owners(self) -> list[str]:
        """Return the nodes that may own accounts.

        Hosts are removed together with their targets, so accounts move to
        other nodes once the target is draining.
        """
        return [
            entry.node_id
            for entry in self._list_available_entries()
            if entry.state is not roster.TargetState.DRAINING
        ]

    def _list_available_entries(self) -> list[roster.Entry]:
        return [
            entry
            for entry in self.roster.list_entries()
            if not entry.stopping and not entry.secluded
        ]

    async def remove(self, node_id: str) -> None:
        """Remove the entry of a lost node; one that is alive adds it again."""
        version = self._versions.get(node_id)
        if version is None:
            return
        events.log(events.NODE_GONE, peer=node_id)
        outcome = await self._store.remove(TABLE, node_id, expected=version)
        if isinstance(outcome, ports.Written):
            self._versions.pop(node_id, None)
            if self.roster.remove(node_id):
                self._refresh()

    # Writing

    async def _run(self) -> None:
        pause_s = FIRST_PAUSE_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_WRITE_S):
                await self._reported.wait()
        while True:
            await self._changed.wait()
            self._changed.clear()
            entry = self._own
            if await self._write(entry):
                pause_s = FIRST_PAUSE_S
                continue
            self._announce_to_neighbours(entry)
            self._changed.set()
            await asyncio.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)

    def _announce_to_neighbours(self, entry: roster.Entry) -> None:
        """Send the entry to nodes that cannot learn it from the store."""
        if entry.revision == self._announced_revision:
            return
        self._announced_revision = entry.revision
        self._relay(roster_entries.encode_entry(entry))

    async def _write(self, entry: roster.Entry) -> bool:
        outcome = await self._store.put(
            TABLE,
            entry.node_id,
            roster_entries.encode_entry(entry),
            expected=self._row_version,
        )
        if isinstance(outcome, ports.Conflict):
            # An earlier write of this node succeeded but its answer was lost.
            found = outcome.row
            self._row_version = 0 if found is None else found.version
            return False
        if not isinstance(outcome, ports.Written):
            return False
        self._row_version = outcome.version
        self._written = entry
        self._release_waiters(entry.revision)
        return True

    def _release_waiters(self, revision: int) -> None:
        waiting, self._waiters = self._waiters, []
        for wanted, waiter in waiting:
            if wanted > revision:
                self._waiters.append((wanted, waiter))
            elif not waiter.done():
                waiter.set_result(None)


def _do_nothing() -> None:
    pass


def _get_nothing() -> float:
    return 0.0


def _build_peer(
    entry: roster.Entry, cold: _ColdUntil | None
) -> directory.Peer:
    state = _UNUSABLE
    if entry.is_usable:
        state = directory.STATE_READY
    return directory.Peer(
        node_id=entry.node_id,
        host=entry.host,
        service=entry.service,
        data_centre=entry.data_centre,
        state=state,
        links=dialler.Address(entry.node_id, entry.host, entry.port),
        slots=entry.slots,
        run_id=entry.run_id,
        cold_until=-math.inf if cold is None else cold.until,
    )
