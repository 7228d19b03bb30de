"""Holder of quota tokens: its local tokens and its requests for more."""

import dataclasses
import math
import zlib

from . import lease
from . import quota
from . import quota_messages

# Time without an answer after which another slot's owner is asked too.
HEDGE_DELAY_S = 0.01
# Time after which a request for tokens is considered lost.
REQUEST_TIMEOUT_S = 0.04
# Time for which a slot is not asked again after its nodes did not answer.
SUSPECT_PERIOD_S = 0.25
# Tokens to prefetch, in seconds of the holder's demand.
PREFETCH_S = 0.2
# Upper bound of this horizon, as a part of the time to refill the burst.
PREFETCH_BURST_SHARE = 0.2
# Minimum time from any request to one that only prefetches.
PREFETCH_INTERVAL_S = 0.02
# Time constant of the exponential decay with which demand is averaged.
DEMAND_TIME_CONSTANT_S = 0.5
# Time without demand after which unused tokens are returned.
IDLE_TIMEOUT_S = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request for tokens that has not been answered yet.

    Args:
        sequence: Sequence number of the request.
        sent_at: Time at which it was sent, in seconds.
        node_id: Id of the node to which it was sent.
    """

    sequence: int
    sent_at: float
    node_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Instruction to send a message.

    Args:
        node_id: Id of the receiver.
        message: The message.
    """

    node_id: str
    message: quota_messages.Message


class SlotTokens:
    """Tokens of one slot that one holder has.

    Args:
        slot: The slot.
        holder: The holder.

    Attributes:
        slot: The slot.
        epoch: Newest known epoch of the slot; 0 if none is known.
        pending: The request whose answer is awaited, if any.
        retry_at: Earliest time of the next request, in seconds.
        expected_level: Tokens left in the owner's bucket at its last answer.
        answered_at: Time of the last answer, in seconds.
        was_answered: Whether any owner has ever answered.
        has_unreported_use: Whether tokens were used since the last message.
    """

    def __init__(self, slot: quota.Slot, holder: lease.Process) -> None:
        self.slot = slot
        self.epoch = 0
        self.pending: PendingRequest | None = None
        self.retry_at = -math.inf
        self.expected_level = 1.0
        self.answered_at = 0.0
        self.was_answered = False
        self.has_unreported_use = False
        self._holder = holder
        self._owner = ''
        self._standby = ''
        self._try_standby = False
        self._sequence = 0
        self._used = 0.0
        self._balance = 0.0
        self._expires_at = -math.inf

    def count(self, now: float) -> float:
        """Return the number of usable tokens.

        Args:
            now: Current time, in seconds.
        """
        if now >= self._expires_at:
            self._balance = 0.0
        return self._balance

    def use(self, tokens: float, *, now: float) -> float:
        """Use as many of the wanted tokens as there are.

        Args:
            tokens: Tokens wanted.
            now: Current time, in seconds.

        Returns:
            The tokens used.
        """
        used = min(tokens, self.count(now))
        self._balance -= used
        self._used += used
        self.has_unreported_use = self.has_unreported_use or used > 0.0
        return used

    def choose_node(self) -> str:
        """Return the id of the node to ask; empty if unknown."""
        if self._try_standby and self._standby:
            return self._standby
        return self._owner

    def can_request(self, now: float) -> bool:
        """Return whether a request for tokens may be sent now."""
        return self.pending is None and now >= self.retry_at

    def has_recent_request(self, now: float) -> bool:
        """Return whether a request is too recent to be hedged."""
        pending = self.pending
        return pending is not None and now < pending.sent_at + HEDGE_DELAY_S

    def request_tokens(
        self, *, need: float, prefetch: float, now: float
    ) -> Send:
        """Report use to the owner and request tokens from it.

        Args:
            need: Tokens needed by waiting requests.
            prefetch: Tokens needed soon.
            now: Current time, in seconds.
        """
        self._sequence += 1
        self.has_unreported_use = False
        held = self.count(now)
        message = quota_messages.TokenRequest(
            self.slot,
            self.epoch,
            self._holder,
            self._sequence,
            self._used,
            held,
            need,
            prefetch,
        )
        node_id = self.choose_node()
        self.pending = PendingRequest(self._sequence, now, node_id)
        return Send(node_id, message)

    def return_tokens(self, *, now: float) -> Send:
        """Return all unused tokens to the owner."""
        self._balance = 0.0
        return self.report_use(now=now)

    def report_use(self, *, now: float) -> Send:
        """Report use to the owner, without requesting tokens."""
        action = self.request_tokens(need=0.0, prefetch=0.0, now=now)
        self.pending = None
        return action

    def accept(self, grant: quota_messages.Grant, *, now: float) -> bool:
        """Accept the tokens of an answer to the pending request.

        Args:
            grant: The answer.
            now: Current time, in seconds.

        Returns:
            Whether it answers the pending request; others are ignored.
        """
        pending = self.pending
        if pending is None or grant.epoch != self.epoch:
            return False
        if grant.sequence != pending.sequence:
            return False
        self.pending = None
        self._balance = self.count(now) + grant.tokens
        self._expires_at = pending.sent_at + grant.ttl_s
        self.expected_level = grant.level
        self.answered_at = now
        self.was_answered = True
        self.retry_at = now + grant.wait_s
        return True

    def update_location(
        self, location: quota_messages.Location, *, now: float
    ) -> bool:
        """Apply a slot's location.

        Args:
            location: The location, possibly outdated.
            now: Current time, in seconds.

        Returns:
            Whether it starts a newer epoch.
        """
        if location.epoch < self.epoch:
            return False
        if location.epoch == self.epoch:
            self._standby = location.standby
            return False
        # Use is counted from zero in each epoch.
        self.epoch = location.epoch
        self._used = 0.0
        self._balance = 0.0
        self._try_standby = False
        self._owner = location.owner
        self._standby = location.standby
        self.pending = None
        self.retry_at = now
        self.expected_level = 1.0
        return True

    def guess_location(self, owner: str, standby: str) -> None:
        """Set the nodes to ask while the slot's location is unknown.

        Args:
            owner: Id of the node to ask first.
            standby: Id of the node to ask next; empty for none.
        """
        self._owner = owner
        self._standby = standby
        self._try_standby = False

    def fail_request(self, now: float) -> None:
        """Drop the pending request as lost; ask the standby next, or wait."""
        self.pending = None
        self._try_standby = not self._try_standby
        self.retry_at = now + SUSPECT_PERIOD_S
        if self._try_standby and self._standby:
            self.retry_at = now
            self.expected_level = 0.0

    def postpone(self, seconds: float, *, now: float) -> None:
        """Send no request for some time.

        Args:
            seconds: The minimum time until the next request.
            now: Current time, in seconds.
        """
        self.retry_at = max(self.retry_at, now + seconds)


class AccountTokens:
    """Tokens of one client account that one holder has.

    Args:
        holder: The holder.
        account: Name of the account.
        limit: Rate limit of the account.
    """

    def __init__(
        self,
        holder: lease.Process,
        account: str,
        limit: quota.RateLimit,
    ) -> None:
        self._holder = holder
        self._name = account
        self._limit = limit
        self._by_slot: tuple[SlotTokens, ...] = ()
        self._demand = 0.0
        self._demand_at = 0.0
        self._next_prefetch_at = -math.inf
        # Holders start with different slots, which spreads their load.
        self._first_index = zlib.crc32(holder.node_id.encode())
        self.change_slot_count(1)

    @property
    def by_slot(self) -> tuple[SlotTokens, ...]:
        """The tokens of each slot, by slot index."""
        return self._by_slot

    @property
    def was_answered(self) -> bool:
        """Whether an owner has ever answered this holder."""
        return any(item.was_answered for item in self._by_slot)

    def change_slot_count(self, slots: int) -> None:
        """Set the account's number of slots; a smaller one has no effect."""
        self._by_slot += tuple(
            SlotTokens(quota.Slot(self._name, index), self._holder)
            for index in range(len(self._by_slot), slots)
        )

    def change_limit(self, limit: quota.RateLimit) -> None:
        """Apply another rate limit of the account."""
        self._limit = limit

    def admit(self, now: float) -> quota.Decision:
        """Record a new request as demand and decide on it."""
        self.record_demand(now)
        return self.take(now)

    def take(self, now: float) -> quota.Decision:
        """Decide on a request that has been counted as demand.

        Args:
            now: Current time, in seconds.

        Returns:
            The decision; if it admits the request, a token has been used.
        """
        if self.count(now) >= 1.0 - quota.ROUNDING_TOLERANCE:
            self._use_one(now)
            return quota.Admitted()
        if any(item.can_request(now) for item in self._by_slot):
            return quota.NeedTokens()
        if any(item.pending is not None for item in self._by_slot):
            return quota.NeedTokens()
        if not self.was_answered:
            # After a start of the mesh, the slots do not have owners yet.
            return quota.NeedTokens()
        return quota.Refused(self._compute_wait(now))

    def count(self, now: float) -> float:
        """Return the number of usable tokens of all slots."""
        return sum(item.count(now) for item in self._by_slot)

    def plan_request(self, waiting: int, *, now: float) -> Send | None:
        """Return the request for tokens to send now, if any.

        Args:
            waiting: Number of requests that wait for a token.
            now: Time on the holder's clock, in seconds.
        """
        if any(item.has_recent_request(now) for item in self._by_slot):
            return None
        held = self.count(now)
        wanted = self._compute_wanted_prefetch(now)
        if waiting <= held and not self._is_low(held, wanted, now):
            return None
        slot_tokens = self._choose_slot(now)
        if slot_tokens is None:
            return None
        self._next_prefetch_at = now + PREFETCH_INTERVAL_S
        need = max(0.0, waiting - held)
        prefetch = max(0.0, wanted - max(0.0, held - waiting))
        return slot_tokens.request_tokens(
            need=need, prefetch=prefetch, now=now
        )

    def expire_requests(self, now: float) -> bool:
        """Drop requests without an answer in time; return whether any was."""
        expired = False
        for item in self._by_slot:
            pending = item.pending
            if pending and now >= pending.sent_at + REQUEST_TIMEOUT_S:
                item.fail_request(now)
                expired = True
        return expired

    def report_use(self, now: float) -> list[Send]:
        """Report use to the owners, unless a prefetch will soon do so."""
        if self._compute_wanted_prefetch(now) >= 1.0:
            return []
        return [
            item.report_use(now=now)
            for item in self._by_slot
            if item.pending is None and item.has_unreported_use
        ]

    def return_tokens(self, now: float, *, force: bool = False) -> list[Send]:
        """Return unused tokens to the owners while there is no demand.

        Args:
            now: Current time, in seconds.
            force: Whether to return them despite recent demand.
        """
        if not force and now < self._demand_at + IDLE_TIMEOUT_S:
            return []
        return [
            item.return_tokens(now=now)
            for item in self._by_slot
            if item.pending is None and item.count(now) > 0.0
        ]

    def _is_low(self, held: float, wanted: float, now: float) -> bool:
        if wanted < 1.0 or now < self._next_prefetch_at:
            return False
        return held < wanted / 2

    def _use_one(self, now: float) -> None:
        missing = 1.0
        for item in sorted(self._by_slot, key=lambda item: item.count(now)):
            missing -= item.use(missing, now=now)

    def _choose_slot(self, now: float) -> SlotTokens | None:
        count = len(self._by_slot)
        order = [
            self._by_slot[(self._first_index + offset) % count]
            for offset in range(count)
        ]
        candidates = [
            item
            for item in order
            if item.can_request(now) and item.choose_node()
        ]
        if not candidates:
            return None
        return max(
            candidates, key=lambda item: self._estimate_level(item, now)
        )

    def _estimate_level(self, slot_tokens: SlotTokens, now: float) -> float:
        limit = quota.divide_limit(
            self._limit.rate, self._limit.burst, slots=len(self._by_slot)
        )
        refilled = (now - slot_tokens.answered_at) * limit.rate
        return min(limit.burst, slot_tokens.expected_level + refilled)

    def _compute_wanted_prefetch(self, now: float) -> float:
        rate, burst = self._limit.rate, self._limit.burst
        horizon = PREFETCH_S
        if rate > 0:
            horizon = min(PREFETCH_S, PREFETCH_BURST_SHARE * burst / rate)
        demand = self._compute_demand(now) / DEMAND_TIME_CONSTANT_S
        return min(demand, rate) * horizon

    def _compute_wait(self, now: float) -> float:
        first = min(item.retry_at for item in self._by_slot)
        return max(0.0, first - now)

    def record_demand(self, now: float) -> None:
        """Record a request as demand without deciding on it."""
        self._demand = self._compute_demand(now) + 1.0
        self._demand_at = now

    def _compute_demand(self, now: float) -> float:
        age = max(0.0, now - self._demand_at)
        return self._demand * math.exp(-age / DEMAND_TIME_CONSTANT_S)
