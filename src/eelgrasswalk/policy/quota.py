"""Quotas of client accounts: rate and burst divided over the whole fleet.

Guarantee: in any window of t seconds, all hosts together admit at most
rate * t + burst requests of an account, whatever fails.

An account's number of slots is fixed once, when the account is first seen.
Each slot has an equal part of the account's rate and burst, so that the sum
also holds while nodes use different versions of the configuration. Few slots
make the best use of a small burst; with more slots, less is lost when an owner
dies. A slot is leased to one owner, which keeps a token bucket and grants
tokens to the holders, the nodes that admit requests.

Invariant of a slot: level + unused <= burst, where `level` is the number of
tokens in the bucket and `unused` the number of tokens that were granted and
can still be used. The level grows by at most rate * t in t seconds, and only
as far as the invariant allows; grants and returns move tokens between the two
terms; only use reduces the sum by any amount. Hence for any window

    used = sum at its start + refill - sum at its end <= burst + rate * t.

The owner does not know `unused` but keeps an upper bound: granted tokens that
have not been reported as used or returned and have not expired. Reports carry
cumulative counts, so that lost, late, duplicate and reordered messages do no
harm. A grant's TTL starts when its holder sends the request, on the holder's
clock, and is checked at use. The owner counts the TTL from its answer, which
is later, and treats expired tokens as used. No grant outlives the owner's
lease, so a new owner starts with an empty bucket and no unused tokens. An
owner that releases its slot hands over its level and its bound of the unused
tokens.
"""

import dataclasses
import hashlib
import typing

from . import lease

MAX_SLOTS = 4
# Minimum burst of a slot if an account has several, in tokens.
MIN_SLOT_BURST = 10.0
GRANT_TTL_S = 0.75
# Largest rounding error of sums of tokens.
ROUNDING_TOLERANCE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """Decision: the request is admitted and has used a token."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Decision: the request is refused, as no token is available.

    Args:
        retry_after_s: Seconds until a token may be available.
    """

    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NeedTokens:
    """Decision pending: no token at this holder, but an owner may have one."""


Decision: typing.TypeAlias = Admitted | Refused | NeedTokens


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """Identifies a slot.

    Args:
        account: Name of the client account.
        index: Number of the slot, from 0.
    """

    account: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit of an account or of one of its slots.

    Args:
        rate: Tokens per second.
        burst: Maximum number of tokens used at once.
    """

    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """State that an owner leaves for the next one when it releases its slot.

    Args:
        level: Tokens in the bucket.
        unused: Upper bound of the granted tokens that may still be used,
            each for at most `GRANT_TTL_S`.
    """

    level: float
    unused: float


Record: typing.TypeAlias = lease.Record[Handover]


def choose_slot_count(burst: float) -> int:
    """Return the number of slots for a new account.

    Args:
        burst: The account's burst, in tokens.
    """
    return max(1, min(MAX_SLOTS, int(burst / MIN_SLOT_BURST)))


def divide_limit(rate: float, burst: float, *, slots: int) -> RateLimit:
    """Return the rate limit of each slot of an account.

    Args:
        rate: The account's rate, in tokens per second.
        burst: The account's burst, in tokens.
        slots: Number of slots of the account.
    """
    return RateLimit(rate / slots, burst / slots)


def inherit_handover(
    record: Record | None, process: lease.Process, limit: RateLimit
) -> Handover | None:
    """Return the state from which a new owner of a slot starts.

    Args:
        record: The record that the new owner replaced; None if the row was
            absent.
        process: The new owner.
        limit: Rate limit of the slot.

    Returns:
        The handover; None if no granted token can still be used.
    """
    if record is None:
        return None
    if record.owner is None:
        return record.payload or Handover(0.0, limit.burst)
    if record.owner.node_id == process.node_id:
        # The previous process may have granted the whole burst just now.
        return Handover(0.0, limit.burst)
    return None


def rank_nodes(
    slot: Slot, node_ids: typing.Iterable[str], *, slots: int
) -> list[str]:
    """Return nodes in order of preference as the owner of a slot.

    All nodes that know the same nodes compute the same order. The slots of one
    account prefer different owners, and standbys that own none of its slots.

    Args:
        slot: The slot.
        node_ids: Ids of the nodes.
        slots: Number of slots of the account.
    """
    order = sorted(node_ids, key=lambda node_id: _score(slot.account, node_id))
    owners, others = order[:slots], order[slots:]
    if slot.index >= len(owners):
        return order
    offset = slot.index % len(others) if others else 0
    others = others[offset:] + others[:offset]
    others += owners[slot.index + 1 :] + owners[: slot.index]
    return [owners[slot.index], *others]


def _score(account: str, node_id: str) -> bytes:
    text = f'{account}\0{node_id}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
