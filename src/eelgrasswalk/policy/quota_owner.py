"""Owner of a quota slot: its token bucket and the grants to holders."""

import dataclasses
import math

from . import lease
from . import quota
from . import quota_messages

# Maximum part of the free tokens that one holder can prefetch.
PREFETCH_SHARE = 0.25
# Tokens to refill before a refused holder asks again, in seconds of the slot's
# rate.
REFILL_S = 0.1
# Upper bound of these tokens, as a part of the slot's burst.
REFILL_BURST_SHARE = 0.25
# Minimum wait per holder after a refusal, so that requests of many holders
# are spread over time.
HOLDER_SPACING_S = 0.001
# TTL of a grant that only covers requests already waiting.
IMMEDIATE_GRANT_TTL_S = 0.1
REFUSAL_TIME_CONSTANT_S = 1.0
HOLDER_IDLE_TIMEOUT_S = 5.0
# The owner counts a longer TTL than the holder, as their clock rates differ.
_TTL_FACTOR = 1.0 + lease.CLOCK_RATE_MARGIN


@dataclasses.dataclass(slots=True)
class HolderState:
    """An owner's state for one holder.

    Args:
        sequence: Sequence number of the newest message.
        used: Tokens reported as used.
        unused: Upper bound of the tokens that the holder may still use.
        expires_at: Time at which these tokens expire, in seconds.
        seen_at: Time at which the newest message arrived, in seconds.
    """

    sequence: int = -1
    used: float = 0.0
    unused: float = 0.0
    expires_at: float = math.inf
    seen_at: float = 0.0


class Owner:
    """Grants the tokens of one slot during one epoch.

    Args:
        slot: The slot.
        epoch: The epoch.
        limit: Rate limit of the slot.
        now: Time of the start, in seconds. Of the tokens granted earlier, only
            those counted in the handover may still be used.
        handover: State left by the previous owner; None after a takeover and
            in the first epoch, which starts with a full bucket.
    """

    def __init__(
        self,
        slot: quota.Slot,
        epoch: int,
        limit: quota.RateLimit,
        *,
        now: float,
        handover: quota.Handover | None = None,
    ) -> None:
        self.slot = slot
        self.epoch = epoch
        self._limit = limit
        self._now = now
        self._level = 0.0
        self._unused = 0.0
        self._next_expiry = math.inf
        self._refusals = 0.0
        self._refused_at = now
        self._holder_states: dict[lease.Process, HolderState] = {}
        if handover is not None:
            self._apply_handover(handover)
        elif epoch == lease.FIRST_EPOCH:
            # No token of this slot has been granted before.
            self._level = self._compute_max_level()

    @property
    def level(self) -> float:
        """Tokens in the bucket."""
        return self._level

    @property
    def unused(self) -> float:
        """Upper bound of the tokens that holders may still use."""
        return self._unused

    def change_limit(self, limit: quota.RateLimit, *, now: float) -> None:
        """Apply another rate limit.

        Args:
            limit: The new rate limit of the slot.
            now: Current time, in seconds.
        """
        self._advance(now)
        self._limit = limit
        self._level = min(self._level, self._compute_max_level())

    def answer(
        self,
        request: quota_messages.TokenRequest,
        *,
        now: float,
        lease_expiry: float,
    ) -> quota_messages.Grant | None:
        """Apply a holder's report and grant it tokens.

        Args:
            request: The holder's message.
            now: Time on the owner's clock, in seconds.
            lease_expiry: End of the owner's lease, in seconds.

        Returns:
            The answer; None for a report without a request, for a duplicate or
            late message, for another epoch, and after the end of the lease.
        """
        ttl_s = min(self._choose_ttl(request), lease_expiry - now)
        if request.epoch != self.epoch or ttl_s <= 0:
            return None
        self._advance(now)
        holder_state = self._holder_states.setdefault(
            request.holder, HolderState()
        )
        if request.sequence <= holder_state.sequence:
            return None
        holder_state.sequence = request.sequence
        holder_state.seen_at = now
        self._apply_report(holder_state, request)
        if request.need <= 0.0 and request.prefetch <= 0.0:
            return None
        tokens = self._choose_tokens(request)
        self._level -= tokens
        self._extend_expiry(holder_state, now + ttl_s * _TTL_FACTOR)
        self._add_unused(holder_state, tokens)
        return quota_messages.Grant(
            self.slot,
            self.epoch,
            request.sequence,
            tokens,
            ttl_s,
            self._level,
            self._lengthen_wait(self._compute_wait(request.need - tokens)),
        )

    def release(self, *, now: float) -> quota.Handover:
        """Return the state for the next owner; no grants may follow."""
        self._advance(now)
        return quota.Handover(self._level, self._unused)

    def _apply_handover(self, handover: quota.Handover) -> None:
        unknown = lease.Process('', 0)
        self._unused = handover.unused
        self._next_expiry = self._now + quota.GRANT_TTL_S * _TTL_FACTOR
        self._holder_states[unknown] = HolderState(
            unused=handover.unused,
            expires_at=self._next_expiry,
            seen_at=self._now,
        )
        self._level = min(handover.level, self._compute_max_level())

    def _apply_report(
        self, holder_state: HolderState, request: quota_messages.TokenRequest
    ) -> None:
        newly_used = max(0.0, request.used - holder_state.used)
        holder_state.used = max(holder_state.used, request.used)
        kept = min(request.held, max(0.0, holder_state.unused - newly_used))
        returned = max(0.0, holder_state.unused - newly_used - kept)
        self._add_unused(holder_state, kept - holder_state.unused)
        self._level = min(self._level + returned, self._compute_max_level())

    def _choose_ttl(self, request: quota_messages.TokenRequest) -> float:
        # Tokens that waiting requests use at once need only a short TTL. With
        # a longer one they would occupy the bucket until the next report.
        if request.held <= quota.ROUNDING_TOLERANCE and request.prefetch < 1.0:
            return IMMEDIATE_GRANT_TTL_S
        return quota.GRANT_TTL_S

    def _choose_tokens(self, request: quota_messages.TokenRequest) -> float:
        needed = min(max(0.0, request.need), self._level)
        if self._limit.burst >= 1.0:
            # Fractions of tokens would remain unused at several holders.
            whole = math.floor(self._level + quota.ROUNDING_TOLERANCE)
            needed = min(math.ceil(request.need), whole, self._level)
        spare = (self._level - needed) * PREFETCH_SHARE
        prefetch = min(max(0.0, request.prefetch), spare)
        return needed + (prefetch if prefetch >= 1.0 else 0.0)

    def _compute_wait(self, missing: float) -> float:
        if missing <= quota.ROUNDING_TOLERANCE:
            return 0.0
        refill = self._limit.rate * REFILL_S
        refill = min(refill, self._limit.burst * REFILL_BURST_SHARE)
        refill = max(math.floor(refill), min(1.0, self._limit.burst))
        if self._limit.rate <= 0:
            return quota.GRANT_TTL_S
        refill_s = max(0.0, refill - self._level) / self._limit.rate
        return max(refill_s, len(self._holder_states) * HOLDER_SPACING_S)

    def _lengthen_wait(self, wait_s: float) -> float:
        if wait_s <= 0.0:
            return 0.0
        age = self._now - self._refused_at
        self._refusals *= math.exp(-age / REFUSAL_TIME_CONSTANT_S)
        self._refusals += 1.0
        self._refused_at = self._now
        # If requests are refused more often than the waits allow for, the
        # waits grow in proportion.
        expected = REFUSAL_TIME_CONSTANT_S / wait_s
        return wait_s * max(1.0, self._refusals / expected)

    def _compute_max_level(self) -> float:
        return max(0.0, self._limit.burst - self._unused)

    def _extend_expiry(
        self, holder_state: HolderState, expires_at: float
    ) -> None:
        # If this answer is lost, the holder keeps the expiry of the last one.
        if holder_state.unused > 0.0:
            expires_at = max(expires_at, holder_state.expires_at)
        holder_state.expires_at = expires_at
        self._next_expiry = min(self._next_expiry, expires_at)

    def _add_unused(self, holder_state: HolderState, tokens: float) -> None:
        holder_state.unused += tokens
        self._unused = max(0.0, self._unused + tokens)

    def _advance(self, now: float) -> None:
        while self._next_expiry <= now:
            self._refill(self._next_expiry)
            self._expire_tokens()
        self._refill(now)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._now)
        self._now = max(self._now, now)
        level = self._level + elapsed * self._limit.rate
        self._level = min(level, max(self._level, self._compute_max_level()))

    def _expire_tokens(self) -> None:
        for holder, holder_state in list(self._holder_states.items()):
            if holder_state.expires_at <= self._now:
                holder_state.unused = 0.0
                holder_state.expires_at = math.inf
            idle = self._now - holder_state.seen_at > HOLDER_IDLE_TIMEOUT_S
            if idle and holder_state.unused <= 0.0:
                del self._holder_states[holder]
        self._unused = sum(
            item.unused for item in self._holder_states.values()
        )
        self._next_expiry = min(
            (item.expires_at for item in self._holder_states.values()),
            default=math.inf,
        )
