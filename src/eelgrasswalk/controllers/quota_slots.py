"""Owns quota slots: their leases, their standbys and their grants."""

import dataclasses
import math
import random
import typing

import anyio

from ..platform import protocols
from ..policy import lease
from ..policy import lease_keeper
from ..policy import quota
from ..policy import quota_messages
from ..policy import quota_owner

KEY_PREFIX = 'quota/'
LAYOUT_PREFIX = 'quota-slots/'
TOKEN_BYTES = 16
# Time between two requests for a promise, as a share of its length.
PROMISE_INTERVAL_SHARE = 0.25
# Silence after which another standby is named, as a share of a promise.
SILENCE_SHARE = 0.5
REREAD_S = 2.0
RETRY_S = 0.25
# A node that is not first choice waits so long, times its rank, to take.
RANK_DELAY_S = 1.0
MAX_TAKER_RANK = 3
STANDBY_CANDIDATES = 3
MAX_CONCURRENT_CALLS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A live node.

    Args:
        node_id: Its name.
        data_centre: Its data centre.
    """

    node_id: str
    data_centre: str


Send: typing.TypeAlias = typing.Callable[[str, quota_messages.Message], None]
Members: typing.TypeAlias = typing.Callable[[], typing.Sequence[Member]]


class Entry:
    """One slot as this node sees it.

    Args:
        slot: The slot.
        process: This process.
        timing: How long leases last.
    """

    def __init__(
        self, slot: quota.Slot, process: lease.Process, timing: lease.Timing
    ) -> None:
        self.slot = slot
        self.keeper: lease_keeper.Keeper[quota.Handover] = lease_keeper.Keeper(
            process, timing
        )
        self.owner: quota_owner.Owner | None = None
        self.version: str | None = None
        self.read_at = math.inf
        self.write_at = -math.inf
        self.is_doubtful = False
        self.claimed_at = -math.inf
        self.promised_at = -math.inf
        self.promised_by: lease.Process | None = None

    @property
    def key(self) -> str:
        """Key of the slot's row."""
        return f'{KEY_PREFIX}{self.slot.account}/{self.slot.index}'

    def compute_end(self) -> float:
        """Return until when this node may grant tokens, in seconds."""
        record = self.keeper.record
        asked_at = -math.inf
        if record is not None and record.standby == self.promised_by:
            asked_at = self.promised_at
        return self.keeper.compute_end(asked_at)

    def locate(self) -> quota_messages.Location:
        """Return where the slot is, as far as this node knows."""
        record = self.keeper.record
        if record is None:
            return quota_messages.Location(self.slot, 0, '', '')
        owner, standby = record.owner, record.standby
        return quota_messages.Location(
            self.slot,
            record.epoch,
            owner.node_id if owner else '',
            standby.node_id if standby else '',
        )


class Slots:
    """The slots that this node owns or may come to own.

    Args:
        process: This process.
        data_centre: Its data centre.
        table: The platform's table.
        members: Returns the live nodes.
        send: Sends a message to a node.
        on_located: Called with news of where a slot is.
        clock: Monotonic clock in seconds.
        source: Random numbers.
        timing: How long leases last.
        standbys: Nodes considered as the standby of a slot; 0 for none.
        choose_slot_count: Returns the number of slots of a new account with
            this burst.
    """

    def __init__(
        self,
        process: lease.Process,
        *,
        data_centre: str,
        table: protocols.Table,
        members: Members,
        send: Send,
        on_located: typing.Callable[[quota_messages.Location], None],
        clock: typing.Callable[[], float],
        source: random.Random,
        timing: lease.Timing,
        standbys: int = STANDBY_CANDIDATES,
        choose_slot_count: typing.Callable[
            [float], int
        ] = quota.choose_slot_count,
    ) -> None:
        self._standbys = standbys
        self._process = process
        self._data_centre = data_centre
        self._table = table
        self._members = members
        self._send = send
        self._on_located = on_located
        self._clock = clock
        self._source = source
        self._timing = timing
        self._shares: dict[str, quota.Share] = {}
        self._entries: dict[quota.Slot, Entry] = {}
        self._asked: dict[int, float] = {}
        self._heard: dict[str, float] = {}
        self._known: dict[str, lease.Process] = {}
        self._sequence = 0
        self._promises_due_at = -math.inf
        self._ranks: dict[quota.Slot, list[str]] = {}
        self._ranked_members: frozenset[str] = frozenset()
        self._leaving = False
        self._choose_slot_count = choose_slot_count
        self._counts: dict[str, int] = {}
        self._layouts_at = -math.inf

    def replace_shares(self, shares: typing.Mapping[str, quota.Share]) -> None:
        """Apply another set of accounts."""
        now = self._clock()
        self._shares = dict(shares)
        self._layouts_at = now
        for entry in self._entries.values():
            if entry.owner is not None:
                entry.owner.change_share(self._get_share(entry.slot), now=now)

    def note_slot_count(self, account: str, slots: int) -> None:
        """Note how many slots an account has, for good."""
        if slots < 1 or account in self._counts:
            return
        self._counts[account] = slots
        for index in range(slots):
            self._find(quota.Slot(account, index))
        self._ranked_members = frozenset()

    def owns(self, slot: quota.Slot) -> bool:
        """Tell whether this node may grant tokens of a slot now."""
        entry = self._entries.get(slot)
        return entry is not None and entry.compute_end() > self._clock()

    def count_owned(self) -> int:
        """Return how many slots this node may grant from now."""
        now = self._clock()
        return sum(
            entry.compute_end() > now for entry in self._entries.values()
        )

    def answer(
        self, ask: quota_messages.Ask
    ) -> quota_messages.Grant | quota_messages.Location | None:
        """Answer a holder; None for a message to ignore."""
        entry = self._entries.get(ask.slot)
        if entry is None:
            return quota_messages.Location(ask.slot, 0, '', '')
        now = self._clock()
        end = entry.compute_end()
        owner = entry.owner
        if owner is None or end <= now or ask.epoch != owner.epoch:
            return self._locate(entry)
        return owner.answer(ask, now=now, end=end)

    def request_read(self, slot: quota.Slot) -> None:
        """Read a slot's row soon, to learn where the slot is."""
        entry = self._find(slot)
        now = self._clock()
        entry.read_at = min(entry.read_at, now)
        entry.claimed_at = now

    def hear_request(
        self, request: quota_messages.PromiseRequest
    ) -> quota_messages.Promise:
        """Answer an owner that names this node as its standby."""
        now = self._clock()
        given = []
        for claim in request.claims:
            entry = self._find(claim.slot)
            entry.claimed_at = now
            record = entry.keeper.record
            if record is None or record.standby != self._process:
                entry.read_at = min(entry.read_at, now)
            if entry.keeper.promise(claim.epoch, now=now):
                given.append(claim)
        return quota_messages.Promise(
            self._process, request.sequence, tuple(given)
        )

    def hear_promise(self, promise: quota_messages.Promise) -> None:
        """Note what a standby has promised."""
        sent_at = self._asked.get(promise.sequence)
        standby = promise.standby
        if sent_at is None:
            return
        self._heard[standby.node_id] = self._clock()
        self._known[standby.node_id] = standby
        for claim in promise.claims:
            entry = self._entries.get(claim.slot)
            if entry is None or entry.owner is None:
                continue
            if entry.owner.epoch != claim.epoch:
                continue
            if entry.promised_by != standby:
                entry.promised_by = standby
                entry.promised_at = -math.inf
            entry.promised_at = max(entry.promised_at, sent_at)

    def hear_release(self, location: quota_messages.Location) -> None:
        """Read a row at once whose owner says that it has left."""
        self.request_read(location.slot)

    def request_promises(self) -> None:
        """Ask the standbys to stand back, when that is due."""
        now = self._clock()
        if now < self._promises_due_at or self._leaving:
            return
        interval = self._timing.promise_s * PROMISE_INTERVAL_SHARE
        self._promises_due_at = now + interval
        oldest = now - self._timing.promise_s
        self._asked = {
            sequence: sent_at
            for sequence, sent_at in self._asked.items()
            if sent_at > oldest
        }
        for node_id, claims in self._group_claims().items():
            self._sequence += 1
            self._asked[self._sequence] = now
            self._send(
                node_id,
                quota_messages.PromiseRequest(
                    self._process, self._sequence, tuple(claims)
                ),
            )

    async def step(self) -> None:
        """Carry out the reads and writes of the table that are due."""
        await self._read_layouts()
        now = self._clock()
        self._rank_slots()
        renewals: list[Entry] = []
        limiter = anyio.Semaphore(MAX_CONCURRENT_CALLS)
        async with anyio.create_task_group() as group:
            for entry in list(self._entries.values()):
                if self._leaving:
                    break
                write = self._find_write(entry, now)
                if write is not None:
                    group.start_soon(self._write, entry, write, limiter)
                elif self._is_renewal_due(entry, now):
                    renewals.append(entry)
                elif self._is_read_due(entry, now):
                    group.start_soon(self._read, entry, limiter)
        if renewals:
            await self._renew(renewals)

    async def release(self) -> None:
        """Give up all slots; the standbys are told."""
        self._leaving = True
        limiter = anyio.Semaphore(MAX_CONCURRENT_CALLS)
        async with anyio.create_task_group() as group:
            for entry in self._entries.values():
                if entry.owner is None or entry.keeper.write is not None:
                    entry.owner = None
                    continue
                group.start_soon(self._release, entry, limiter)

    def _get_share(self, slot: quota.Slot) -> quota.Share:
        share = self._shares.get(slot.account, quota.Share(0.0, 0.0))
        slots = self._counts[slot.account]
        return quota.divide(share.rate, share.burst, slots=slots)

    async def _read_layouts(self) -> None:
        missing = self._shares.keys() - self._counts.keys()
        if not missing or self._clock() < self._layouts_at:
            return
        self._layouts_at = self._clock() + RETRY_S
        after = ''
        while True:
            outcome = await self._table.list(LAYOUT_PREFIX, after=after)
            if not isinstance(outcome, protocols.Listed):
                return
            for row in outcome.rows:
                self._note_layout(row)
            if not outcome.rows:
                break
            after = outcome.rows[-1].key
        for account in sorted(missing - self._counts.keys()):
            await self._write_layout(account)

    async def _write_layout(self, account: str) -> None:
        slots = self._choose_slot_count(self._shares[account].burst)
        token = self._source.randbytes(TOKEN_BYTES)
        value = quota_messages.encode_layout(slots, token)
        outcome = await self._table.put(
            LAYOUT_PREFIX + account, value, expected=None
        )
        match outcome:
            case protocols.Done():
                self._announce_layout(account, slots)
            case protocols.Conflict(_, rows):
                for row in rows:
                    self._note_layout(row)

    def _note_layout(self, row: protocols.Row) -> None:
        try:
            slots = quota_messages.decode_layout(row.value)
        except quota_messages.MessageError:
            return
        self._announce_layout(row.key.removeprefix(LAYOUT_PREFIX), slots)

    def _announce_layout(self, account: str, slots: int) -> None:
        self.note_slot_count(account, slots)
        slot = quota.Slot(account, 0)
        self._on_located(quota_messages.Location(slot, 0, '', '', slots))

    def _locate(self, entry: Entry) -> quota_messages.Location:
        location = entry.locate()
        slots = self._counts.get(entry.slot.account, 0)
        return dataclasses.replace(location, slots=slots)

    def _find(self, slot: quota.Slot) -> Entry:
        entry = self._entries.get(slot)
        if entry is None:
            entry = Entry(slot, self._process, self._timing)
            self._entries[slot] = entry
            self._ranked_members = frozenset()
        return entry

    def _rank_slots(self) -> None:
        node_ids = {member.node_id for member in self._members()}
        node_ids.add(self._process.node_id)
        if node_ids == self._ranked_members:
            return
        now = self._clock()
        self._ranked_members = frozenset(node_ids)
        for slot, entry in self._entries.items():
            self._ranks[slot] = quota.rank(
                slot, node_ids, slots=self._counts.get(slot.account, 1)
            )
            if self._get_rank(slot) < MAX_TAKER_RANK:
                due = now + REREAD_S * self._source.random()
                if not entry.keeper.is_observed:
                    due = now
                entry.read_at = min(entry.read_at, due)

    def _get_rank(self, slot: quota.Slot) -> int:
        first = self._ranks.get(slot, [])[:MAX_TAKER_RANK]
        if self._process.node_id not in first:
            return MAX_TAKER_RANK
        return first.index(self._process.node_id)

    def _find_write(
        self, entry: Entry, now: float
    ) -> lease_keeper.Write[quota.Handover] | None:
        if now < entry.write_at:
            return None
        return entry.keeper.write or self._choose_write(entry, now)

    def _is_renewal_due(self, entry: Entry, now: float) -> bool:
        if now < entry.write_at or entry.keeper.write is not None:
            return False
        return entry.keeper.needs_renewal(now)

    def _is_read_due(self, entry: Entry, now: float) -> bool:
        if entry.keeper.is_owner or entry.keeper.write is not None:
            return False
        return now >= entry.read_at

    def _choose_write(
        self, entry: Entry, now: float
    ) -> lease_keeper.Write[quota.Handover] | None:
        account = entry.slot.account
        if account not in self._shares or account not in self._counts:
            return None
        if entry.keeper.is_owner:
            return self._choose_change(entry, now)
        if not entry.keeper.may_take(now) or not self._is_taker(entry, now):
            return None
        standby = self._choose_standby(entry, now)
        return entry.keeper.begin_take(standby, now=now)

    def _is_taker(self, entry: Entry, now: float) -> bool:
        record = entry.keeper.record
        if record is not None and record.owner is not None:
            if record.standby == self._process:
                return True
            return self._get_rank(entry.slot) == 0 or (
                record.owner.node_id == self._process.node_id
            )
        if now - entry.claimed_at < self._timing.promise_s:
            # The previous owner told its standby that it leaves.
            return record is not None or self._get_rank(entry.slot) == 0
        rank = self._get_rank(entry.slot)
        seen_for = now - entry.keeper.seen_at
        return rank < MAX_TAKER_RANK and seen_for >= rank * RANK_DELAY_S

    def _choose_change(
        self, entry: Entry, now: float
    ) -> lease_keeper.Write[quota.Handover] | None:
        record = entry.keeper.record
        assert record is not None
        if record.standby is not None:
            heard = max(entry.promised_at, entry.keeper.named_at)
            silence = self._timing.promise_s * SILENCE_SHARE
            if entry.promised_by == record.standby and now < heard + silence:
                return None
            if now < entry.keeper.named_at + silence:
                return None
        standby = self._choose_standby(entry, now)
        if standby is None or standby == record.standby:
            return None
        return entry.keeper.begin_change(standby, now=now)

    def _list_candidates(self, entry: Entry) -> list[str]:
        centres = {item.node_id: item.data_centre for item in self._members()}
        names = [
            node_id
            for node_id in self._ranks.get(entry.slot, [])
            if node_id != self._process.node_id and node_id in centres
        ]
        names.sort(key=lambda name: centres[name] == self._data_centre)
        return names[: self._standbys]

    def _choose_standby(
        self, entry: Entry, now: float
    ) -> lease.Process | None:
        oldest = now - self._timing.promise_s * SILENCE_SHARE
        for node_id in self._list_candidates(entry):
            if self._heard.get(node_id, -math.inf) > oldest:
                return self._known[node_id]
        return None

    def _group_claims(self) -> dict[str, list[quota_messages.Claim]]:
        groups: dict[str, list[quota_messages.Claim]] = {}
        for entry in self._entries.values():
            record = entry.keeper.record
            if entry.owner is None or record is None:
                continue
            for node_id in self._list_candidates(entry)[:2]:
                groups.setdefault(node_id, [])
            if record.standby is not None:
                claim = quota_messages.Claim(entry.slot, record.epoch)
                groups.setdefault(record.standby.node_id, []).append(claim)
        return groups

    async def _read(self, entry: Entry, limiter: anyio.Semaphore) -> None:
        async with limiter:
            outcome = await self._table.get(entry.key)
        now = self._clock()
        delay_s = REREAD_S * (0.75 + 0.5 * self._source.random())
        entry.read_at = math.inf
        claimed = now - entry.claimed_at < 2 * self._timing.promise_s
        if claimed or self._get_rank(entry.slot) < MAX_TAKER_RANK:
            entry.read_at = now + delay_s
        match outcome:
            case protocols.Found(row):
                self._observe(entry, row)
            case protocols.Missing():
                self._observe(entry, None)
            case _:
                entry.read_at = now + RETRY_S

    async def _write(
        self,
        entry: Entry,
        write: lease_keeper.Write[quota.Handover],
        limiter: anyio.Semaphore,
    ) -> None:
        async with limiter:
            outcome = await self._table.put(
                entry.key, self._encode(write.record), expected=entry.version
            )
        self._end_write(entry, outcome, 0)

    async def _renew(self, entries: list[Entry]) -> None:
        operations = []
        now = self._clock()
        for entry in entries:
            record = entry.keeper.record
            assert record is not None
            write = entry.keeper.begin_change(record.standby, now=now)
            operations.append(
                protocols.Put(
                    entry.key, self._encode(write.record), entry.version
                )
            )
        outcome = await self._table.batch(operations)
        for number, entry in enumerate(entries):
            if _is_bystander(entry, outcome):
                # Sent again alone.
                continue
            self._end_write(entry, outcome, number)

    async def _release(self, entry: Entry, limiter: anyio.Semaphore) -> None:
        assert entry.owner is not None
        now = self._clock()
        standby = entry.locate().standby
        handover = entry.owner.release(now=now)
        entry.owner = None
        write = entry.keeper.begin_release(handover, now=now)
        await self._write(entry, write, limiter)
        location = quota_messages.Location(
            entry.slot, write.record.epoch, '', ''
        )
        if standby:
            self._send(standby, location)

    def _end_write(
        self, entry: Entry, outcome: protocols.WriteOutcome, number: int
    ) -> None:
        match outcome:
            case protocols.Done(versions):
                entry.version = versions[number]
                entry.keeper.finish(now=self._clock())
                entry.is_doubtful = False
                self._sync(entry)
            case protocols.Conflict():
                entry.is_doubtful = False
                self._observe(entry, outcome.find(entry.key))
            case protocols.Unavailable() if not entry.is_doubtful:
                entry.keeper.abandon()
                entry.write_at = self._clock() + RETRY_S
            case _:
                entry.is_doubtful = True
                entry.write_at = self._clock() + RETRY_S

    def _observe(self, entry: Entry, row: protocols.Row | None) -> None:
        record = None
        if row is not None:
            try:
                record = quota_messages.decode_record(row.value)
            except quota_messages.MessageError:
                return
        entry.version = None if row is None else row.version
        entry.keeper.observe(record, now=self._clock())
        self._sync(entry)

    def _sync(self, entry: Entry) -> None:
        record = entry.keeper.record
        if not entry.keeper.is_owner or record is None:
            entry.owner = None
        elif entry.owner is None or entry.owner.epoch != record.epoch:
            entry.owner = self._make_owner(entry, record.epoch)
        self._on_located(self._locate(entry))

    def _make_owner(self, entry: Entry, epoch: int) -> quota_owner.Owner:
        share = self._get_share(entry.slot)
        handover = quota.inherit(
            entry.keeper.predecessor, self._process, share
        )
        return quota_owner.Owner(
            entry.slot,
            epoch,
            share,
            now=self._clock(),
            handover=handover,
        )

    def _encode(self, record: quota.Record) -> bytes:
        token = self._source.randbytes(TOKEN_BYTES)
        return quota_messages.encode_record(record, token)


def _is_bystander(entry: Entry, outcome: protocols.WriteOutcome) -> bool:
    if not isinstance(outcome, protocols.Conflict):
        return False
    return entry.key not in outcome.keys
