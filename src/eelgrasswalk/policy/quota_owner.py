"""The owner's side of a quota slot: the bucket and who holds its tokens."""

import dataclasses
import math

from . import lease
from . import quota
from . import quota_messages

# Share of the free tokens that one holder gets ahead of its need.
PREFETCH_SHARE = 0.25
# Tokens worth asking for again, in seconds of the slot's rate.
REFILL_CHUNK_S = 0.1
# The same, at most, as a share of the slot's burst.
REFILL_BURST_SHARE = 0.25
# Time that an owner reckons for a request, to space its holders' requests.
ANSWER_SPACING_S = 0.001
# Life of tokens granted to waiting requests alone.
IMMEDIATE_GRANT_TTL_S = 0.1
DENIAL_TIME_CONSTANT_S = 1.0
SESSION_IDLE_TIMEOUT_S = 5.0
_TTL_FACTOR = 1.0 + lease.CLOCK_RATE_MARGIN


@dataclasses.dataclass(slots=True)
class Session:
    """What an owner knows of one holder.

    Args:
        sequence: Sequence number of the newest request.
        used: Tokens reported as used.
        unused: Bound of the tokens that the holder may still use.
        lapses_at: When those become unusable, in seconds.
        seen_at: When the newest request came, in seconds.
    """

    sequence: int = -1
    used: float = 0.0
    unused: float = 0.0
    lapses_at: float = math.inf
    seen_at: float = 0.0


class Owner:
    """Grants the tokens of one slot during one epoch.

    Args:
        slot: The slot.
        epoch: The epoch.
        share: What the slot may admit.
        now: Start, in seconds; no earlier grant but those in the handover
            may still be usable.
        handover: What the previous owner left; None after a take-over, and
            in the first epoch, which begins with a full bucket.
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
        self._next_lapse = math.inf
        self._denials = 0.0
        self._denied_at = now
        self._sessions: dict[lease.Process, Session] = {}
        if handover is not None:
            self._adopt(handover)
        elif epoch == lease.FIRST_EPOCH:
            # Nobody has ever granted a token of this slot.
            self._level = self._compute_room()

    @property
    def level(self) -> float:
        """Tokens in the bucket."""
        return self._level

    @property
    def unused(self) -> float:
        """Bound of the tokens that holders may still use."""
        return self._unused

    def change_limit(self, limit: quota.RateLimit, *, now: float) -> None:
        """Apply another rate and burst from now on."""
        self._advance(now)
        self._limit = limit
        self._level = min(self._level, self._compute_room())

    def answer(
        self, ask: quota_messages.TokenRequest, *, now: float, end: float
    ) -> quota_messages.Grant | None:
        """Settle a holder's report and grant it tokens.

        Args:
            ask: The holder's message.
            now: The owner's clock, in seconds.
            end: End of the owner's lease, in seconds.

        Returns:
            The answer; None for a report alone, for a repeated or late
            message, or after the end of the lease.
        """
        ttl_s = min(self._choose_life(ask), end - now)
        if ask.epoch != self.epoch or ttl_s <= 0:
            return None
        self._advance(now)
        session = self._sessions.setdefault(ask.holder, Session())
        if ask.sequence <= session.sequence:
            return None
        session.sequence = ask.sequence
        session.seen_at = now
        self._settle(session, ask)
        if ask.need <= 0.0 and ask.prefetch <= 0.0:
            return None
        tokens = self._choose_tokens(ask)
        self._level -= tokens
        self._extend_life(session, now + ttl_s * _TTL_FACTOR)
        self._add_unused(session, tokens)
        return quota_messages.Grant(
            self.slot,
            self.epoch,
            ask.sequence,
            tokens,
            ttl_s,
            self._level,
            self._space_denials(self._compute_wait(ask.need - tokens)),
        )

    def release(self, *, now: float) -> quota.Handover:
        """Return what the next owner must know; grant nothing afterwards."""
        self._advance(now)
        return quota.Handover(self._level, self._unused)

    def _adopt(self, handover: quota.Handover) -> None:
        unknown = lease.Process('', 0)
        self._unused = handover.unused
        self._next_lapse = self._now + quota.GRANT_TTL_S * _TTL_FACTOR
        self._sessions[unknown] = Session(
            unused=handover.unused,
            lapses_at=self._next_lapse,
            seen_at=self._now,
        )
        self._level = min(handover.level, self._compute_room())

    def _settle(
        self, session: Session, ask: quota_messages.TokenRequest
    ) -> None:
        newly_used = max(0.0, ask.used - session.used)
        session.used = max(session.used, ask.used)
        kept = min(ask.held, max(0.0, session.unused - newly_used))
        returned = max(0.0, session.unused - newly_used - kept)
        self._add_unused(session, kept - session.unused)
        self._level = min(self._level + returned, self._compute_room())

    def _choose_life(self, ask: quota_messages.TokenRequest) -> float:
        # Tokens that waiting requests use at once need no long life, which
        # would keep their place in the bucket until the next report.
        if ask.held <= quota.ROUNDING_TOLERANCE and ask.prefetch < 1.0:
            return IMMEDIATE_GRANT_TTL_S
        return quota.GRANT_TTL_S

    def _choose_tokens(self, ask: quota_messages.TokenRequest) -> float:
        needed = min(max(0.0, ask.need), self._level)
        if self._limit.burst >= 1.0:
            # Parts of tokens would lie unused at several holders.
            whole = math.floor(self._level + quota.ROUNDING_TOLERANCE)
            needed = min(math.ceil(ask.need), whole, self._level)
        spare = (self._level - needed) * PREFETCH_SHARE
        prefetch = min(max(0.0, ask.prefetch), spare)
        return needed + (prefetch if prefetch >= 1.0 else 0.0)

    def _compute_wait(self, missing: float) -> float:
        if missing <= quota.ROUNDING_TOLERANCE:
            return 0.0
        chunk = self._limit.rate * REFILL_CHUNK_S
        chunk = min(chunk, self._limit.burst * REFILL_BURST_SHARE)
        chunk = max(math.floor(chunk), min(1.0, self._limit.burst))
        if self._limit.rate <= 0:
            return quota.GRANT_TTL_S
        refill_s = max(0.0, chunk - self._level) / self._limit.rate
        return max(refill_s, len(self._sessions) * ANSWER_SPACING_S)

    def _space_denials(self, wait_s: float) -> float:
        if wait_s <= 0.0:
            return 0.0
        age = self._now - self._denied_at
        self._denials *= math.exp(-age / DENIAL_TIME_CONSTANT_S)
        self._denials += 1.0
        self._denied_at = self._now
        # Holders that come in vain too often are told to come later.
        expected = DENIAL_TIME_CONSTANT_S / wait_s
        return wait_s * max(1.0, self._denials / expected)

    def _compute_room(self) -> float:
        return max(0.0, self._limit.burst - self._unused)

    def _extend_life(self, session: Session, lapses_at: float) -> None:
        # The holder may miss this answer and keep to its previous one.
        if session.unused > 0.0:
            lapses_at = max(lapses_at, session.lapses_at)
        session.lapses_at = lapses_at
        self._next_lapse = min(self._next_lapse, lapses_at)

    def _add_unused(self, session: Session, tokens: float) -> None:
        session.unused += tokens
        self._unused = max(0.0, self._unused + tokens)

    def _advance(self, now: float) -> None:
        while self._next_lapse <= now:
            self._refill(self._next_lapse)
            self._lapse()
        self._refill(now)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._now)
        self._now = max(self._now, now)
        level = self._level + elapsed * self._limit.rate
        self._level = min(level, max(self._level, self._compute_room()))

    def _lapse(self) -> None:
        for holder, session in list(self._sessions.items()):
            if session.lapses_at <= self._now:
                session.unused = 0.0
                session.lapses_at = math.inf
            idle = self._now - session.seen_at > SESSION_IDLE_TIMEOUT_S
            if idle and session.unused <= 0.0:
                del self._sessions[holder]
        self._unused = sum(item.unused for item in self._sessions.values())
        self._next_lapse = min(
            (item.lapses_at for item in self._sessions.values()),
            default=math.inf,
        )
