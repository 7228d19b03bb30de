"""The holder's side of quotas: tokens at hand and whom to ask for more."""

import dataclasses
import math
import zlib

from . import lease
from . import quota
from . import quota_messages

# Time after which another slot is asked as well.
HEDGE_DELAY_S = 0.01
# Time after which a request for tokens counts as lost.
REQUEST_TIMEOUT_S = 0.04
# Time for which a node that did not answer is asked last.
SUSPECT_PERIOD_S = 0.25
# Tokens asked for ahead of need, in seconds of the holder's demand.
PREFETCH_S = 0.2
# The same, as a share of the time in which the rate fills the burst.
PREFETCH_BURST_SHARE = 0.2
# Least time between two requests for tokens ahead of need.
PREFETCH_INTERVAL_S = 0.02
DEMAND_TIME_CONSTANT_S = 0.5
# Unused tokens go back after this time without demand.
IDLE_TIMEOUT_S = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request for tokens without an answer yet.

    Args:
        sequence: Its sequence number.
        sent_at: When it was sent, in seconds.
        node_id: Where it went.
    """

    sequence: int
    sent_at: float
    node_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """An action: send a message.

    Args:
        node_id: The node to send it to.
        message: The message.
    """

    node_id: str
    message: quota_messages.Message


class Holding:
    """Tokens of one slot at one holder.

    Args:
        slot: The slot.
        holder: The holder.
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
        """Return the usable tokens."""
        if now >= self._expires_at:
            self._balance = 0.0
        return self._balance

    def use(self, tokens: float, *, now: float) -> float:
        """Use up to so many tokens and return how many."""
        used = min(tokens, self.count(now))
        self._balance -= used
        self._used += used
        self.has_unreported_use = self.has_unreported_use or used > 0.0
        return used

    def choose_node(self) -> str:
        """Return the node to ask; empty if unknown."""
        if self._try_standby and self._standby:
            return self._standby
        return self._owner

    def can_request(self, now: float) -> bool:
        """Tell whether a request now may bring tokens."""
        return self.pending is None and now >= self.retry_at

    def has_recent_request(self, now: float) -> bool:
        """Tell whether an answer is still to be expected soon."""
        pending = self.pending
        return pending is not None and now < pending.sent_at + HEDGE_DELAY_S

    def request_tokens(
        self, *, need: float, prefetch: float, now: float
    ) -> Send:
        """Report to the owner and ask it for tokens."""
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
        """Return all tokens to the owner."""
        self._balance = 0.0
        return self.report_use(now=now)

    def report_use(self, *, now: float) -> Send:
        """Report what was used, without asking for tokens."""
        action = self.request_tokens(need=0.0, prefetch=0.0, now=now)
        self.pending = None
        return action

    def accept(self, grant: quota_messages.Grant, *, now: float) -> bool:
        """Take the tokens of an answer, if it is the one waited for."""
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
        """Note where the slot is; return whether that is news."""
        if location.epoch < self.epoch:
            return False
        if location.epoch == self.epoch:
            self._standby = location.standby
            return False
        # Sequence and use are counted afresh for each epoch.
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
        """Ask these nodes where the slot is."""
        self._owner = owner
        self._standby = standby
        self._try_standby = False

    def fail_request(self, now: float) -> None:
        """Count the pending request as lost; try the standby, then wait."""
        self.pending = None
        self._try_standby = not self._try_standby
        self.retry_at = now + SUSPECT_PERIOD_S
        if self._try_standby and self._standby:
            self.retry_at = now
            self.expected_level = 0.0

    def postpone(self, seconds: float, *, now: float) -> None:
        """Ask nobody for a while."""
        self.retry_at = max(self.retry_at, now + seconds)


class Account:
    """Tokens of one client account at one holder.

    Args:
        holder: The holder.
        account: Name of the account.
        share: What the account may admit.
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
        self._holdings: tuple[Holding, ...] = ()
        self._demand = 0.0
        self._demand_at = 0.0
        self._prefetch_at = -math.inf
        # Holders begin with different slots, and so spread their load.
        self._start = zlib.crc32(holder.node_id.encode())
        self.change_slot_count(1)

    @property
    def holdings(self) -> tuple[Holding, ...]:
        """The tokens by slot."""
        return self._holdings

    @property
    def was_answered(self) -> bool:
        """Whether an owner has ever answered this holder."""
        return any(item.was_answered for item in self._holdings)

    def change_slot_count(self, slots: int) -> None:
        """Note how many slots the account has; it never shrinks."""
        self._holdings += tuple(
            Holding(quota.Slot(self._name, index), self._holder)
            for index in range(len(self._holdings), slots)
        )

    def change_limit(self, limit: quota.RateLimit) -> None:
        """Apply another rate and burst."""
        self._limit = limit

    def admit(self, now: float) -> quota.Decision:
        """Decide on one new request."""
        self.note_demand(now)
        return self.take(now)

    def take(self, now: float) -> quota.Decision:
        """Use a token for a request that has been counted."""
        if self.count(now) >= 1.0 - quota.ROUNDING_TOLERANCE:
            self._use_one(now)
            return quota.Admitted()
        if any(item.can_request(now) for item in self._holdings):
            return quota.NeedTokens()
        if any(item.pending is not None for item in self._holdings):
            return quota.NeedTokens()
        if not self.was_answered:
            # After a start of the mesh, slots get their owners first.
            return quota.NeedTokens()
        return quota.Refused(self._compute_wait(now))

    def count(self, now: float) -> float:
        """Return the usable tokens."""
        return sum(item.count(now) for item in self._holdings)

    def plan_request(self, waiting: int, *, now: float) -> Send | None:
        """Return the request for tokens to send now, if any.

        Args:
            waiting: Requests that wait for a token.
            now: The holder's clock, in seconds.
        """
        if any(item.has_recent_request(now) for item in self._holdings):
            return None
        held = self.count(now)
        target = self._compute_target(now)
        if waiting <= held and not self._is_low(held, target, now):
            return None
        holding = self._choose(now)
        if holding is None:
            return None
        self._prefetch_at = now + PREFETCH_INTERVAL_S
        need = max(0.0, waiting - held)
        prefetch = max(0.0, target - max(0.0, held - waiting))
        return holding.request_tokens(need=need, prefetch=prefetch, now=now)

    def expire_requests(self, now: float) -> bool:
        """Give up lost requests; return whether there was one."""
        expired = False
        for item in self._holdings:
            pending = item.pending
            if pending and now >= pending.sent_at + REQUEST_TIMEOUT_S:
                item.fail_request(now)
                expired = True
        return expired

    def report_use(self, now: float) -> list[Send]:
        """Report what was used, if no request for tokens will soon."""
        if self._compute_target(now) >= 1.0:
            return []
        return [
            item.report_use(now=now)
            for item in self._holdings
            if item.pending is None and item.has_unreported_use
        ]

    def return_tokens(self, now: float, *, force: bool = False) -> list[Send]:
        """Return unused tokens to their owners when there is no demand."""
        if not force and now < self._demand_at + IDLE_TIMEOUT_S:
            return []
        return [
            item.return_tokens(now=now)
            for item in self._holdings
            if item.pending is None and item.count(now) > 0.0
        ]

    def _is_low(self, held: float, target: float, now: float) -> bool:
        if target < 1.0 or now < self._prefetch_at:
            return False
        return held < target / 2

    def _use_one(self, now: float) -> None:
        missing = 1.0
        for item in sorted(self._holdings, key=lambda item: item.count(now)):
            missing -= item.use(missing, now=now)

    def _choose(self, now: float) -> Holding | None:
        count = len(self._holdings)
        order = [
            self._holdings[(self._start + offset) % count]
            for offset in range(count)
        ]
        candidates = [
            item
            for item in order
            if item.can_request(now) and item.choose_node()
        ]
        if not candidates:
            return None
        return max(candidates, key=lambda item: self._expect_level(item, now))

    def _expect_level(self, holding: Holding, now: float) -> float:
        limit = quota.divide_limit(
            self._limit.rate, self._limit.burst, slots=len(self._holdings)
        )
        grown = (now - holding.answered_at) * limit.rate
        return min(limit.burst, holding.expected_level + grown)

    def _compute_target(self, now: float) -> float:
        rate, burst = self._limit.rate, self._limit.burst
        horizon = PREFETCH_S
        if rate > 0:
            horizon = min(PREFETCH_S, PREFETCH_BURST_SHARE * burst / rate)
        demand = self._decay(now) / DEMAND_TIME_CONSTANT_S
        return min(demand, rate) * horizon

    def _compute_wait(self, now: float) -> float:
        first = min(item.retry_at for item in self._holdings)
        return max(0.0, first - now)

    def note_demand(self, now: float) -> None:
        """Count a request that another method does not count."""
        self._demand = self._decay(now) + 1.0
        self._demand_at = now

    def _decay(self, now: float) -> float:
        age = max(0.0, now - self._demand_at)
        return self._demand * math.exp(-age / DEMAND_TIME_CONSTANT_S)
