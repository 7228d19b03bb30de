"""Holds client accounts to rate and burst over the whole fleet.

Each account has one owner among the nodes, chosen by all alike from the
same list. The owner keeps the account's only token bucket, and nodes ask it
for a token for each call.

A node that cannot reach the owner does not know whether the owner grants the
whole rate to others. It then uses its part of what accounts may get beyond
their rates, and its part of the rate only when the owner is known not to run.
"""

import collections.abc
import dataclasses
import typing

import xxhash

# Part of a second's tokens with which a new owner begins: others may have
# granted until a moment ago. Three new owners within five seconds add less
# than the tenth by which accounts may exceed rate and burst.
INITIAL_TOKENS_S = 0.2
# Part of its share that a node without an owner uses; what the owner had
# granted before still counts.
FALLBACK_SHARE = 0.9
# Seconds of tokens that a node without an owner may save up.
FALLBACK_DEPTH_S = 1.0
MIN_WAIT_S = 0.02


def choose_owner(
    account: str, node_ids: collections.abc.Iterable[str]
) -> str | None:
    """Return the node that owns an account, by highest random weight."""
    return max(
        node_ids,
        key=lambda node_id: _weigh(account, node_id),
        default=None,
    )


def _weigh(account: str, node_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{account}\n{node_id}'.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """What an owner says to a node that asked for tokens.

    Args:
        tokens: Tokens granted.
        wait_s: Seconds after which one more may be there.
    """

    tokens: int
    wait_s: float


class TokenBucket:
    """Tokens that come at a rate, up to a depth.

    Args:
        tokens: Tokens at the start.
        now: The time, in seconds.
    """

    def __init__(self, tokens: float, now: float) -> None:
        self._tokens = tokens
        self._filled_at = now

    def take(
        self, wanted: int, now: float, *, rate: float, depth: float
    ) -> Grant:
        """Take tokens.

        Args:
            wanted: Tokens asked for.
            now: The time, in seconds.
            rate: Tokens a second.
            depth: Most tokens saved up.
        """
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._tokens = min(depth, self._tokens + elapsed * rate)
        granted = min(wanted, int(self._tokens))
        self._tokens -= granted
        missing = max(0.0, 1.0 - self._tokens)
        wait_s = missing / rate if rate > 0.0 else 1.0
        return Grant(granted, max(MIN_WAIT_S, wait_s))


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """What an account may use.

    Args:
        rate: Tokens a second.
        burst: Tokens saved up.
    """

    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    limits: RateLimit
    until: float


class DelayedReductions:
    """Puts lower limits in force a little later than others.

    Operators may lower a limit far below what an account sends. The account
    is owed its old limit until the version has to be in force everywhere.

    Args:
        grace_s: Seconds for which an old limit still counts.
    """

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._known: dict[str, RateLimit] = {}
        self._held: dict[str, _Held] = {}

    def find_limit(
        self, account: str, new: RateLimit, now: float
    ) -> RateLimit:
        """Return the limits that count now.

        Args:
            account: The account.
            new: Its limits in the newest version.
            now: The time, in seconds.
        """
        known = self._known.get(account)
        if known is None or known == new:
            self._known[account] = new
        elif new.rate < known.rate or new.burst < known.burst:
            self._held[account] = _Held(known, now + self._grace_s)
            self._known[account] = new
        else:
            self._held.pop(account, None)
            self._known[account] = new
        held = self._held.get(account)
        if held is None:
            return new
        if now < held.until:
            return held.limits
        del self._held[account]
        return new


class OwnedAccounts:
    """The buckets of the accounts that this node owns.

    Args:
        now: The time, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._buckets: dict[str, TokenBucket] = {}
        self._owners_since = now

    def grant(
        self,
        account: str,
        wanted: int,
        now: float,
        *,
        rate: float,
        burst: float,
    ) -> Grant:
        """Grant tokens of an account.

        Args:
            account: The account.
            wanted: Tokens asked for.
            now: The time, in seconds.
            rate: Its tokens a second.
            burst: Its burst.
        """
        bucket = self._buckets.get(account)
        if bucket is None:
            # Tokens have come since the owners last changed: no other node
            # has granted any of them.
            first = INITIAL_TOKENS_S * rate
            bucket = TokenBucket(first, self._owners_since)
            self._buckets[account] = bucket
        return bucket.take(wanted, now, rate=rate, depth=max(1.0, burst))

    def change_owners(
        self, is_owned: typing.Callable[[str], bool], now: float
    ) -> None:
        """Forget the accounts that others own now.

        Args:
            is_owned: Tells whether this node owns an account.
            now: The time, in seconds.
        """
        self._owners_since = now
        for account in list(self._buckets):
            if not is_owned(account):
                del self._buckets[account]


@dataclasses.dataclass(frozen=True, slots=True)
class Slack:
    """What accounts may get beyond their rates.

    Args:
        overage: Share of the rate.
        tokens: Tokens besides, in a window.
        window_s: Seconds of the window.
    """

    overage: float
    tokens: float
    window_s: float


def compute_fallback_rate(
    rate: float, *, nodes: int, is_dead: bool, slack: Slack
) -> float:
    """Return the rate that a node may use without its account's owner.

    Args:
        rate: The account's rate.
        nodes: Nodes that share, this one among them.
        is_dead: Whether the owner is known not to run.
        slack: What accounts may get beyond their rates.
    """
    whole = rate
    if not is_dead:
        whole = slack.overage * rate + slack.tokens / slack.window_s
    return FALLBACK_SHARE * whole / max(1, nodes)


class FallbackBuckets:
    """What this node may use of accounts whose owner it cannot reach."""

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}

    def take(self, account: str, now: float, *, rate: float) -> Grant:
        """Take one token of what this node may use a second."""
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._buckets[account] = TokenBucket(0.0, now)
        depth = max(1.0, FALLBACK_DEPTH_S * rate)
        return bucket.take(1, now, rate=rate, depth=depth)

    def reset(self, account: str) -> None:
        """Begin from nothing the next time; the owner is back."""
        self._buckets.pop(account, None)
