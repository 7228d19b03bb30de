"""Owns quota slots: their leases, their standbys and their grants."""

import dataclasses
import math
import random
import typing

import anyio

from ..platform import protocols
from ..policy import lease
from ..policy import lease_participant
from ..policy import quota
from ..policy import quota_messages
from ..policy import quota_owner
from . import quota_entry
from . import quota_layouts
from . import quota_standbys

TOKEN_BYTES = 16
REREAD_S = 2.0
RETRY_S = 0.25
# Longest time to look for a standby before a free slot is taken without one.
PROBE_LIMIT_S = 1.0
# A node that is not first choice waits so long, times its rank, to take.
RANK_DELAY_S = 1.0
MAX_TAKER_RANK = 3
MAX_CONCURRENT_CALLS = 8


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
        members: quota_entry.Members,
        send: quota_entry.Send,
        on_located: typing.Callable[[quota_messages.Location], None],
        clock: typing.Callable[[], float],
        source: random.Random,
        timing: lease.Timing,
        standbys: int = quota_standbys.CANDIDATES,
        choose_slot_count: typing.Callable[
            [float], int
        ] = quota.choose_slot_count,
    ) -> None:
        self._process = process
        self._table = table
        self._members = members
        self._send = send
        self._on_located = on_located
        self._clock = clock
        self._source = source
        self._timing = timing
        self._limits: dict[str, quota.RateLimit] = {}
        self._entries: dict[quota.Slot, quota_entry.Entry] = {}
        self._ranked_members: frozenset[str] = frozenset()
        self._leaving = False
        self._standbys = quota_standbys.Standbys(
            process,
            data_centre=data_centre,
            members=members,
            send=send,
            clock=clock,
            timing=timing,
            candidates=standbys,
        )
        self._layouts = quota_layouts.Layouts(
            table,
            clock=clock,
            source=source,
            choose_slot_count=choose_slot_count,
            on_known=self._add_slots,
        )

    def replace_limits(
        self, limits: typing.Mapping[str, quota.RateLimit]
    ) -> None:
        """Apply another set of accounts."""
        now = self._clock()
        self._limits = dict(limits)
        for entry in self._entries.values():
            if entry.owner is not None:
                entry.owner.change_limit(self._get_limit(entry.slot), now=now)

    def note_slot_count(self, account: str, slots: int) -> None:
        """Note how many slots an account has, for good."""
        self._layouts.note(account, slots)

    def owns(self, slot: quota.Slot) -> bool:
        """Tell whether this node may grant tokens of a slot now."""
        entry = self._entries.get(slot)
        return entry is not None and entry.compute_expiry() > self._clock()

    def count_owned(self) -> int:
        """Return how many slots this node may grant from now."""
        now = self._clock()
        return sum(
            entry.compute_expiry() > now for entry in self._entries.values()
        )

    def answer(
        self, request: quota_messages.TokenRequest
    ) -> quota_messages.Grant | quota_messages.Location | None:
        """Answer a holder; None for a message to ignore."""
        entry = self._entries.get(request.slot)
        if entry is None:
            return quota_messages.Location(request.slot, 0, '', '')
        now = self._clock()
        lease_expiry = entry.compute_expiry()
        owner = entry.owner
        if (
            owner is None
            or lease_expiry <= now
            or request.epoch != owner.epoch
        ):
            return self._locate(entry)
        return owner.answer(request, now=now, lease_expiry=lease_expiry)

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
            record = entry.participant.record
            if record is None or record.standby != self._process:
                entry.read_at = min(entry.read_at, now)
            if entry.participant.promise(claim.epoch, now=now):
                given.append(claim)
        return quota_messages.Promise(
            self._process, request.sequence, tuple(given)
        )

    def request_promises(self) -> None:
        """Ask the standbys to stand back, when that is due."""
        if not self._leaving:
            self._standbys.request_promises(self._entries.values())

    def hear_promise(self, promise: quota_messages.Promise) -> None:
        """Note what a standby has promised."""
        self._standbys.hear_promise(promise, self._entries.get)

    def hear_release(self, location: quota_messages.Location) -> None:
        """Read a row at once whose owner says that it has left."""
        self.request_read(location.slot)

    async def step(self) -> None:
        """Carry out the reads and writes of the table that are due."""
        await self._layouts.step(self._limits)
        now = self._clock()
        self._rank_slots()
        renewals: list[quota_entry.Entry] = []
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
                if (
                    entry.owner is None
                    or entry.participant.pending_write is not None
                ):
                    entry.owner = None
                    continue
                group.start_soon(self._release, entry, limiter)

    def _get_limit(self, slot: quota.Slot) -> quota.RateLimit:
        limit = self._limits.get(slot.account, quota.RateLimit(0.0, 0.0))
        slots = max(1, self._layouts.get(slot.account))
        return quota.divide_limit(limit.rate, limit.burst, slots=slots)

    def _add_slots(self, account: str, slots: int) -> None:
        for index in range(slots):
            self._find(quota.Slot(account, index))
        self._ranked_members = frozenset()
        slot = quota.Slot(account, 0)
        self._on_located(quota_messages.Location(slot, 0, '', '', slots))

    def _locate(self, entry: quota_entry.Entry) -> quota_messages.Location:
        location = entry.locate()
        slots = self._layouts.get(entry.slot.account)
        return dataclasses.replace(location, slots=slots)

    def _find(self, slot: quota.Slot) -> quota_entry.Entry:
        entry = self._entries.get(slot)
        if entry is None:
            entry = quota_entry.Entry(slot, self._process, self._timing)
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
            slots = max(1, self._layouts.get(slot.account))
            entry.ranks = quota.rank_nodes(slot, node_ids, slots=slots)
            if self._get_rank(entry) < MAX_TAKER_RANK:
                due = now + REREAD_S * self._source.random()
                if not entry.participant.is_observed:
                    due = now
                entry.read_at = min(entry.read_at, due)

    def _get_rank(self, entry: quota_entry.Entry) -> int:
        first = entry.ranks[:MAX_TAKER_RANK]
        if self._process.node_id not in first:
            return MAX_TAKER_RANK
        return first.index(self._process.node_id)

    def _find_write(
        self, entry: quota_entry.Entry, now: float
    ) -> lease_participant.Write[quota.Handover] | None:
        if now < entry.write_at:
            return None
        return entry.participant.pending_write or self._choose_write(
            entry, now
        )

    def _is_renewal_due(self, entry: quota_entry.Entry, now: float) -> bool:
        if now < entry.write_at or entry.participant.pending_write is not None:
            return False
        return entry.participant.needs_renewal(now)

    def _is_read_due(self, entry: quota_entry.Entry, now: float) -> bool:
        if (
            entry.participant.is_owner
            or entry.participant.pending_write is not None
        ):
            return False
        return now >= entry.read_at

    def _choose_write(
        self, entry: quota_entry.Entry, now: float
    ) -> lease_participant.Write[quota.Handover] | None:
        account = entry.slot.account
        if account not in self._limits or not self._layouts.get(account):
            return None
        if entry.participant.is_owner:
            return self._choose_change(entry, now)
        if not entry.participant.may_take(now) or not self._is_taker(
            entry, now
        ):
            return None
        standby = self._standbys.choose(entry, now)
        if standby is None and self._is_worth_probing(entry, now):
            return None
        return entry.participant.begin_take(standby, now=now)

    def _is_worth_probing(self, entry: quota_entry.Entry, now: float) -> bool:
        # An owner that died without a standby would block its slot for the
        # outage limit.
        if entry.probed_at == math.inf:
            entry.probed_at = now
            self._standbys.request_early()
        record = entry.participant.record
        if record is not None and record.owner is not None:
            return False
        if not self._standbys.has_candidates(entry):
            return False
        return now < entry.probed_at + PROBE_LIMIT_S

    def _is_taker(self, entry: quota_entry.Entry, now: float) -> bool:
        record = entry.participant.record
        if record is not None and record.owner is not None:
            if record.standby == self._process:
                return True
            return self._get_rank(entry) == 0 or (
                record.owner.node_id == self._process.node_id
            )
        if now - entry.claimed_at < self._timing.promise_s:
            # The previous owner told its standby that it leaves.
            return record is not None or self._get_rank(entry) == 0
        rank = self._get_rank(entry)
        seen_for = now - entry.participant.seen_at
        return rank < MAX_TAKER_RANK and seen_for >= rank * RANK_DELAY_S

    def _choose_change(
        self, entry: quota_entry.Entry, now: float
    ) -> lease_participant.Write[quota.Handover] | None:
        record = entry.participant.record
        assert record is not None
        if not self._standbys.is_silent(entry, now):
            return None
        standby = self._standbys.choose(entry, now)
        if standby is None or standby == record.standby:
            return None
        return entry.participant.begin_change(standby, now=now)

    async def _read(
        self, entry: quota_entry.Entry, limiter: anyio.Semaphore
    ) -> None:
        async with limiter:
            outcome = await self._table.get(entry.key)
        now = self._clock()
        delay_s = REREAD_S * (0.75 + 0.5 * self._source.random())
        entry.read_at = math.inf
        claimed = now - entry.claimed_at < 2 * self._timing.promise_s
        if claimed or self._get_rank(entry) < MAX_TAKER_RANK:
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
        entry: quota_entry.Entry,
        write: lease_participant.Write[quota.Handover],
        limiter: anyio.Semaphore,
    ) -> None:
        async with limiter:
            outcome = await self._table.put(
                entry.key, self._encode(write.record), expected=entry.version
            )
        self._end_write(entry, outcome, 0)

    async def _renew(self, entries: list[quota_entry.Entry]) -> None:
        operations = []
        now = self._clock()
        for entry in entries:
            record = entry.participant.record
            assert record is not None
            write = entry.participant.begin_change(record.standby, now=now)
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

    async def _release(
        self, entry: quota_entry.Entry, limiter: anyio.Semaphore
    ) -> None:
        assert entry.owner is not None
        now = self._clock()
        standby = entry.locate().standby
        handover = entry.owner.release(now=now)
        entry.owner = None
        write = entry.participant.begin_release(handover, now=now)
        await self._write(entry, write, limiter)
        location = quota_messages.Location(
            entry.slot, write.record.epoch, '', ''
        )
        if standby:
            self._send(standby, location)

    def _end_write(
        self,
        entry: quota_entry.Entry,
        outcome: protocols.WriteOutcome,
        number: int,
    ) -> None:
        match outcome:
            case protocols.Done(versions):
                entry.version = versions[number]
                entry.participant.complete_write(now=self._clock())
                entry.is_doubtful = False
                self._sync(entry)
            case protocols.Conflict():
                entry.is_doubtful = False
                self._observe(entry, outcome.find(entry.key))
            case protocols.Unavailable() if not entry.is_doubtful:
                entry.participant.cancel_write()
                entry.write_at = self._clock() + RETRY_S
            case _:
                entry.is_doubtful = True
                entry.write_at = self._clock() + RETRY_S

    def _observe(
        self, entry: quota_entry.Entry, row: protocols.Row | None
    ) -> None:
        record = None
        if row is not None:
            try:
                record = quota_messages.decode_record(row.value)
            except quota_messages.MessageError:
                return
        entry.version = None if row is None else row.version
        entry.participant.observe(record, now=self._clock())
        self._sync(entry)

    def _sync(self, entry: quota_entry.Entry) -> None:
        record = entry.participant.record
        if record is not None and record.owner is not None:
            entry.probed_at = math.inf
        if not entry.participant.is_owner or record is None:
            entry.owner = None
        elif entry.owner is None or entry.owner.epoch != record.epoch:
            entry.owner = self._make_owner(entry, record.epoch)
            self._standbys.request_early()
        self._on_located(self._locate(entry))

    def _make_owner(
        self, entry: quota_entry.Entry, epoch: int
    ) -> quota_owner.Owner:
        limit = self._get_limit(entry.slot)
        handover = quota.inherit_handover(
            entry.participant.predecessor, self._process, limit
        )
        return quota_owner.Owner(
            entry.slot,
            epoch,
            limit,
            now=self._clock(),
            handover=handover,
        )

    def _encode(self, record: quota.Record) -> bytes:
        token = self._source.randbytes(TOKEN_BYTES)
        return quota_messages.encode_record(record, token)


def _is_bystander(
    entry: quota_entry.Entry, outcome: protocols.WriteOutcome
) -> bool:
    if not isinstance(outcome, protocols.Conflict):
        return False
    return entry.key not in outcome.keys
