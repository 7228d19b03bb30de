"""Fleet-wide rate limits for client accounts, one owner for each account.

All nodes choose an account's owner by rendezvous hashing over the same list
of nodes. The owner holds the account's only token bucket, and the other nodes
request a token from it for each call.

A node that cannot reach the owner cannot tell whether the owner is still
granting the whole rate to other nodes. Until the owner is known to be down,
the node uses only its part of the tolerated excess over the rate; after that,
it uses its part of the rate itself.
"""

import collections.abc
import dataclasses
import math
import typing

import xxhash

from . import token_bucket

# Parts of the tolerated excess: one each for three owners that follow each
# other within a window, as a new owner does not know what the one before has
# granted, and one for nodes that reach none of them.
EXCESS_PARTS = 4
# Time in which all nodes learn that an account has another owner. Until then,
# some still ask the owner before, which grants the whole rate as well.
HANDOVER_S = 1.0
# Part of the rate that the new owner grants meanwhile. With 0.5, an overlap of
# 0.9 s stays within the excess that is tolerated at any rate.
HANDOVER_SHARE = 0.5
# Part of its fallback rate that a node uses; the rest covers tokens that the
# owner granted before it became unreachable.
FALLBACK_SHARE = 0.9
# Depth of a fallback bucket, in seconds of the node's fallback rate.
FALLBACK_DEPTH_S = 1.0


def choose_owner(
    account: str, node_ids: collections.abc.Iterable[str]
) -> str | None:
    """Return the node that owns an account, by rendezvous hashing.

    Args:
        account: Name of the account.
        node_ids: Ids of the candidate nodes, in any order.

    Returns:
        The id of the node with the highest weight; None without candidates.
    """
    return max(
        node_ids,
        key=lambda node_id: _weigh(account, node_id),
        default=None,
    )


def _weigh(account: str, node_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{account}\n{node_id}'.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit of an account.

    Args:
        rate: Tokens per second.
        burst: Maximum number of tokens used at once.
    """

    rate: float
    burst: float

    def exceeds(self, other: 'RateLimit') -> bool:
        """Return whether another limit allows less at some time."""
        return self.rate > other.rate or self.burst > other.burst


@dataclasses.dataclass(frozen=True, slots=True)
class _PreviousLimit:
    limit: RateLimit
    valid_until: float


class DelayedReductions:
    """Delays reductions of rate limits; increases apply at once.

    An operator may set a limit far below an account's current traffic. The
    account is entitled to its previous limit until the new configuration
    version must be in force on all nodes. That time begins with the new
    version, not with the account's next call: an account that has been quiet
    since the change, or that another node owned, has no claim left.

    Args:
        grace_s: Seconds for which the previous limit stays in force.
    """

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._newest: dict[str, RateLimit] = {}
        self._previous: dict[str, list[_PreviousLimit]] = {}

    def change_limits(
        self, limits: collections.abc.Mapping[str, RateLimit], now: float
    ) -> None:
        """Begin with the limits of a new configuration version.

        Args:
            limits: Limits of all accounts that have one, by name.
            now: When the version came into force on this node, in seconds.
        """
        known, self._newest = self._newest, dict(limits)
        previous, self._previous = self._previous, {}
        for account, limit in limits.items():
            kept = [
                item
                for item in previous.get(account, ())
                if now < item.valid_until and item.limit.exceeds(limit)
            ]
            replaced = known.get(account)
            if replaced is not None and replaced.exceeds(limit):
                valid_until = now + self._grace_s
                kept.append(_PreviousLimit(replaced, valid_until))
            if kept:
                self._previous[account] = kept

    def find_limit(
        self, account: str, newest: RateLimit, now: float
    ) -> RateLimit:
        """Return the limit in force.

        Args:
            account: Name of the account.
            newest: Its limit in the newest configuration version.
            now: Current time, in seconds.
        """
        for previous in self._previous.get(account, ()):
            # The oldest is the first to end.
            if now < previous.valid_until:
                return previous.limit
        return newest


@dataclasses.dataclass(frozen=True, slots=True)
class Slack:
    """Tolerated excess over an account's rate.

    Args:
        overage: Excess as a fraction of the rate.
        tokens: Further excess tokens in each window.
        window_s: Length of the window, in seconds.
    """

    overage: float
    tokens: float
    window_s: float


def compute_initial_tokens(
    rate: float, *, burst: float, slack: Slack
) -> float:
    """Return the tokens with which a new owner of an account begins.

    Args:
        rate: The account's rate, in tokens per second.
        burst: The account's burst, in tokens.
        slack: Tolerated excess over the rate.
    """
    excess = slack.overage * (rate * slack.window_s + burst) + slack.tokens
    return min(burst, excess / EXCESS_PARTS)


class OwnedAccounts:
    """Token buckets of the accounts that this node owns.

    Args:
        now: Current time, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._buckets: dict[str, token_bucket.TokenBucket] = {}
        self._owners_changed_at = now
        self._handover_until = -math.inf

    def grant(
        self,
        account: str,
        wanted: collections.abc.Sequence[int],
        now: float,
        *,
        rate: float,
        burst: float,
        slack: Slack,
    ) -> token_bucket.Grant:
        """Grant tokens of an account.

        Args:
            account: Name of the account.
            wanted: Tokens requested for each importance, the highest first.
            now: Current time, in seconds.
            rate: The account's rate, in tokens per second.
            burst: The account's burst, in tokens.
            slack: Tolerated excess over rate and burst.
        """
        bucket = self._buckets.get(account)
        if bucket is None:
            # The refill counts from the last change of owners: no other node
            # has granted tokens of this account since then.
            initial_tokens = compute_initial_tokens(
                rate, burst=burst, slack=slack
            )
            bucket = token_bucket.TokenBucket(
                initial_tokens, self._owners_changed_at
            )
            self._buckets[account] = bucket
        if now < self._handover_until:
            rate *= HANDOVER_SHARE
        return bucket.take(wanted, now, rate=rate, depth=max(1.0, burst))

    def peek(
        self, account: str, now: float, *, rate: float, burst: float
    ) -> float | None:
        """Return the tokens of an account; None if none was granted yet.

        Args:
            account: Name of the account.
            now: Current time, in seconds.
            rate: The account's rate, in tokens per second.
            burst: The account's burst, in tokens.
        """
        bucket = self._buckets.get(account)
        if bucket is None:
            return None
        if now < self._handover_until:
            rate *= HANDOVER_SHARE
        return bucket.peek(now, rate=rate, depth=max(1.0, burst))

    def keep_only(
        self,
        accounts: collections.abc.Container[str],
        now: float,
        *,
        unused_s: float,
    ) -> None:
        """Drop the buckets of removed accounts.

        Args:
            accounts: Names of the accounts that there are.
            now: Current time, in seconds.
            unused_s: A bucket is kept for so long after its last use. An
                account that returns sooner would get its burst twice.
        """
        for account, bucket in list(self._buckets.items()):
            if account not in accounts and now - bucket.used_at > unused_s:
                del self._buckets[account]

    def change_owners(
        self,
        is_owned: typing.Callable[[str], bool],
        now: float,
        *,
        has_joined: bool = False,
    ) -> None:
        """Drop the buckets of accounts that other nodes own now.

        Args:
            is_owned: Tells whether this node owns an account, by name.
            now: Time of the change, in seconds.
            has_joined: Whether this node has just joined those that own
                accounts; its accounts have had another owner until now.
        """
        self._owners_changed_at = now
        if has_joined:
            self._handover_until = now + HANDOVER_S
        for account in list(self._buckets):
            if not is_owned(account):
                del self._buckets[account]


def compute_fallback_rate(
    rate: float, *, nodes: int, is_dead: bool, slack: Slack
) -> float:
    """Return the rate that a node may admit while the owner is unreachable.

    Args:
        rate: The account's rate, in tokens per second.
        nodes: Number of nodes that divide the rate, including this one.
        is_dead: Whether the owner is known to be down.
        slack: Tolerated excess over the rate.

    Returns:
        The node's rate, in tokens per second.
    """
    total_rate = rate
    if not is_dead:
        total_rate = slack.overage * rate + slack.tokens / slack.window_s
    return FALLBACK_SHARE * total_rate / max(1, nodes)


class FallbackBuckets:
    """Token buckets for accounts whose owner this node cannot reach.

    With many nodes, the rate of each is a small part of a token per second.
    A bucket therefore starts with a random part of a token, so that all nodes
    together admit the whole rate from the start.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, token_bucket.TokenBucket] = {}

    def take(
        self,
        account: str,
        importance: int,
        now: float,
        *,
        rate: float,
        random_value: float,
    ) -> token_bucket.Grant:
        """Take one token.

        Args:
            account: Name of the account.
            importance: Importance of the call, 0 the highest.
            now: Current time, in seconds.
            rate: The node's fallback rate, in tokens per second.
            random_value: A random number, 0 <= value < 1; the initial tokens
                of a new bucket.
        """
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._buckets[account] = token_bucket.TokenBucket(
                random_value, now
            )
        depth = max(1.0, FALLBACK_DEPTH_S * rate)
        return bucket.take(
            token_bucket.count_by_importance([importance]),
            now,
            rate=rate,
            depth=depth,
        )

    def keep_only(self, accounts: collections.abc.Container[str]) -> None:
        """Drop the buckets of accounts that were removed."""
        for account in list(self._buckets):
            if account not in accounts:
                del self._buckets[account]

    def reset(self, account: str) -> None:
        """Drop an account's bucket, so that the next one starts anew."""
        self._buckets.pop(account, None)
