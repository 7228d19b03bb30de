"""Holds client accounts to their rate and burst across all hosts."""

import asyncio
import collections
import random
import time
import typing

import anyio

from ..document import model
from ..platform import protocols
from ..policy import lease
from ..policy import quota
from ..policy import quota_holder
from ..policy import quota_messages
from . import quota_entry
from . import quota_slots
from . import quota_standbys

# Longest time for which a request waits for tokens.
MAX_WAIT_S = 0.05
# The same, as a share of the time left until its deadline.
WAIT_SHARE = 0.25
# The same until an owner has answered for the first time: slots have no
# owner after a start of the whole mesh, and get one within about a second.
FIRST_WAIT_S = 3.0
FIRST_WAIT_SHARE = 0.5
# A single request waits for a token that is due within this time.
NEAR_S = 0.015
# A shorter wait is not worth a timer.
MIN_STEP_S = 0.001
TICK_S = 0.05
TABLE_STEP_S = 0.1
RELEASE_LIMIT_S = 3.0
UNKNOWN_ACCOUNT_RETRY_S = 1.0
ACTIVE_S = 2.0

Outcome: typing.TypeAlias = quota.Admitted | quota.Refused


class Waiter:
    """A request that waits for a token."""

    def __init__(self) -> None:
        self.outcome: Outcome | None = None
        self.event = anyio.Event()

    def settle(self, outcome: Outcome) -> None:
        """End the wait."""
        self.outcome = outcome
        self.event.set()


class QuotaController:
    """Admits requests of client accounts, and owns a part of their quotas.

    Args:
        node_id: Name of this node.
        incarnation: Number that grows with each run of the node.
        data_centre: Its data centre.
        send: Sends a message to another node; it may be lost.
        table: The platform's table.
        members: Returns the live nodes.
        clock: Clock in seconds that runs on while the host is suspended; by
            default the time since boot.
        source: Random numbers.
        timing: How long leases last.
        choose_slot_count: Returns the number of slots of a new account
            with this burst.
        sleep: Waits for so many seconds.
        standbys: Nodes considered as the standby of a slot; 0 for none.
    """

    def __init__(
        self,
        *,
        node_id: str,
        incarnation: int,
        data_centre: str,
        send: quota_entry.Send,
        table: protocols.Table,
        members: quota_entry.Members,
        clock: typing.Callable[[], float] | None = None,
        source: random.Random | None = None,
        timing: lease.Timing | None = None,
        choose_slot_count: typing.Callable[
            [float], int
        ] = quota.choose_slot_count,
        sleep: typing.Callable[[float], typing.Awaitable[None]] = anyio.sleep,
        standbys: int = quota_standbys.CANDIDATES,
    ) -> None:
        self._process = lease.Process(node_id, incarnation)
        self._remote_send = send
        self._members = members
        self._clock = clock or read_boot_time
        self._sleep = sleep
        self._accounts: dict[str, quota_holder.AccountTokens] = {}
        self._waiters: dict[str, collections.deque[Waiter]] = {}
        self._active: dict[str, float] = {}
        self._local: collections.deque[quota_messages.Message] = (
            collections.deque()
        )
        self._draining = False
        self._tasks: list[asyncio.Task[None]] = []
        self.slots = quota_slots.Slots(
            self._process,
            data_centre=data_centre,
            table=table,
            members=members,
            send=self._send,
            on_located=self._locate,
            clock=self._clock,
            source=source or random.Random(),
            timing=timing or lease.Timing(),
            standbys=standbys,
            choose_slot_count=choose_slot_count,
        )

    async def start(self) -> None:
        """Begin to own slots and to answer."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._run_ticks()),
            loop.create_task(self._run_table_steps()),
        ]

    async def stop(self) -> None:
        """Return unused tokens and release the slots."""
        self.cancel()
        now = self._clock()
        for account in self._accounts.values():
            self._carry_out(account.return_tokens(now, force=True))
        for waiters in self._waiters.values():
            while waiters:
                waiters.popleft().settle(quota.Refused(TICK_S))
        with anyio.move_on_after(RELEASE_LIMIT_S):
            await self.slots.release()

    def cancel(self) -> None:
        """End all work at once."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    def replace_accounts(
        self, accounts: typing.Sequence[model.ClientAccount]
    ) -> None:
        """Apply another version of the configuration."""
        limits = {
            item.name: quota.RateLimit(item.rate, item.burst)
            for item in accounts
        }
        for name, limit in limits.items():
            known = self._accounts.get(name)
            if known is not None:
                known.change_limit(limit)
                continue
            self._accounts[name] = quota_holder.AccountTokens(
                self._process, name, limit
            )
            self._waiters[name] = collections.deque()
        for name in self._accounts.keys() - limits.keys():
            del self._accounts[name]
            for waiter in self._waiters.pop(name):
                waiter.settle(quota.Refused(UNKNOWN_ACCOUNT_RETRY_S))
        self.slots.replace_limits(limits)

    def try_admit(self, account: str) -> Outcome | None:
        """Decide on a request at once.

        Args:
            account: Its client account.

        Returns:
            The decision, or None if it takes a message: then call `admit`.
        """
        holder = self._accounts.get(account)
        if holder is None:
            return quota.Refused(UNKNOWN_ACCOUNT_RETRY_S)
        now = self._clock()
        self._active[account] = now
        waiting = len(self._waiters[account])
        if waiting:
            holder.record_demand(now)
            return None
        decision = holder.admit(now)
        if isinstance(decision, quota.NeedTokens):
            self._plan(account, holder, waiting=1)
            decision = holder.take(self._clock())
        else:
            self._plan(account, holder, waiting=0)
        if isinstance(decision, quota.NeedTokens) or _is_near(decision):
            return None
        return decision

    async def admit(self, account: str, deadline: float) -> Outcome:
        """Decide on a request for which `try_admit` returned None.

        Args:
            account: Its client account.
            deadline: Its deadline on the event loop's clock, in seconds.

        Returns:
            The decision, after a wait of at most 50 ms for tokens, or of
            3 s for the first answer of an owner.
        """
        waiters = self._waiters.get(account)
        if waiters is None:
            return quota.Refused(UNKNOWN_ACCOUNT_RETRY_S)
        now = anyio.current_time()
        end = now + self._compute_wait(account, deadline - now)
        waiter = Waiter()
        waiters.append(waiter)
        self._serve(account)
        remaining = end - now
        while waiter.outcome is None and remaining > MIN_STEP_S:
            with anyio.move_on_after(
                min(quota_holder.HEDGE_DELAY_S, remaining)
            ):
                await waiter.event.wait()
            if waiter.outcome is None:
                self._serve(account)
            remaining = end - anyio.current_time()
        if waiter.outcome is not None:
            return waiter.outcome
        if waiter in waiters:
            waiters.remove(waiter)
        return quota.Refused(quota_holder.SUSPECT_PERIOD_S)

    def _compute_wait(self, account: str, remaining_s: float) -> float:
        if self._accounts[account].was_answered:
            return min(MAX_WAIT_S, remaining_s * WAIT_SHARE)
        return min(FIRST_WAIT_S, remaining_s * FIRST_WAIT_SHARE)

    def on_message(
        self, from_node: str, message: quota_messages.Message
    ) -> None:
        """Take a message from another node, or from this one."""
        match message:
            case quota_messages.TokenRequest():
                answer = self.slots.answer(message)
                if answer is not None:
                    self._send(from_node, answer)
            case quota_messages.Grant():
                self._accept(message)
            case quota_messages.Location():
                self._hear_location(from_node, message)
            case quota_messages.PromiseRequest():
                self._send(from_node, self.slots.hear_request(message))
            case quota_messages.Promise():
                self.slots.hear_promise(message)
            case _:
                typing.assert_never(message)

    def _send(self, node_id: str, message: quota_messages.Message) -> None:
        if node_id != self._process.node_id:
            self._remote_send(node_id, message)
            return
        self._local.append(message)
        if self._draining:
            return
        self._draining = True
        while self._local:
            self.on_message(node_id, self._local.popleft())
        self._draining = False

    def _carry_out(self, actions: typing.Iterable[quota_holder.Send]) -> None:
        for action in actions:
            self._send(action.node_id, action.message)

    def _find_slot_tokens(
        self, slot: quota.Slot
    ) -> quota_holder.SlotTokens | None:
        holder = self._accounts.get(slot.account)
        if holder is None or slot.index >= len(holder.by_slot):
            return None
        return holder.by_slot[slot.index]

    def _accept(self, grant: quota_messages.Grant) -> None:
        slot_tokens = self._find_slot_tokens(grant.slot)
        if slot_tokens is not None and slot_tokens.accept(
            grant, now=self._clock()
        ):
            self._serve(grant.slot.account)

    def _locate(self, location: quota_messages.Location) -> None:
        self._note_slot_count(location)
        slot_tokens = self._find_slot_tokens(location.slot)
        if slot_tokens is None or not location.owner:
            return
        if slot_tokens.update_location(location, now=self._clock()):
            self._serve(location.slot.account)

    def _note_slot_count(self, location: quota_messages.Location) -> None:
        holder = self._accounts.get(location.slot.account)
        if holder is not None:
            holder.change_slot_count(location.slots)
        self.slots.note_slot_count(location.slot.account, location.slots)

    def _hear_location(
        self, from_node: str, location: quota_messages.Location
    ) -> None:
        self._note_slot_count(location)
        slot_tokens = self._find_slot_tokens(location.slot)
        if slot_tokens is None:
            return
        now = self._clock()
        if not location.owner:
            self.slots.hear_release(location)
        if location.owner and slot_tokens.update_location(location, now=now):
            self._serve(location.slot.account)
            return
        pending = slot_tokens.pending
        if pending is not None and pending.node_id == from_node:
            slot_tokens.fail_request(now)
            self._serve(location.slot.account)

    def _serve(self, account: str) -> None:
        holder = self._accounts.get(account)
        if holder is None:
            return
        waiters = self._waiters[account]
        now = self._clock()
        holder.expire_requests(now)
        while waiters:
            decision = holder.take(now)
            if isinstance(decision, quota.NeedTokens):
                break
            if len(waiters) == 1 and _is_near(decision):
                break
            waiters.popleft().settle(decision)
            if isinstance(decision, quota.Refused):
                # Others may be able to use these parts of a token.
                self._carry_out(holder.return_tokens(now, force=True))
        self._plan(account, holder, waiting=len(waiters))
        self._carry_out(holder.report_use(now))

    def _plan(
        self, account: str, holder: quota_holder.AccountTokens, *, waiting: int
    ) -> None:
        now = self._clock()
        if waiting:
            self._guess_locations(holder, now)
        action = holder.plan_request(waiting, now=now)
        if action is not None:
            self._send(action.node_id, action.message)

    def _guess_locations(
        self, holder: quota_holder.AccountTokens, now: float
    ) -> None:
        for slot_tokens in holder.by_slot:
            if slot_tokens.choose_node() or not slot_tokens.can_request(now):
                continue
            node_ids = {item.node_id for item in self._members()}
            node_ids.add(self._process.node_id)
            ranks = quota.rank_nodes(
                slot_tokens.slot, node_ids, slots=len(holder.by_slot)
            )
            ranks.append('')
            slot_tokens.guess_location(ranks[0], ranks[1])
            self.slots.request_read(slot_tokens.slot)

    async def _run_ticks(self) -> None:
        while True:
            self.slots.request_promises()
            now = self._clock()
            for account, used_at in list(self._active.items()):
                holder = self._accounts.get(account)
                if holder is None or now > used_at + ACTIVE_S:
                    del self._active[account]
                    continue
                self._serve(account)
                self._carry_out(holder.return_tokens(now))
            await self._sleep(TICK_S)

    async def _run_table_steps(self) -> None:
        while True:
            await self.slots.step()
            await self._sleep(TABLE_STEP_S)


def read_boot_time() -> float:
    """Return the seconds since the host's start, suspended time included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _is_near(decision: Outcome) -> bool:
    if not isinstance(decision, quota.Refused):
        return False
    return decision.retry_after_s <= NEAR_S
