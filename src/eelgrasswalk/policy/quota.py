"""Client account quotas: how rate and burst are divided over the fleet.

Promise: over all hosts, the admissions of an account in any window of t
seconds number at most rate * t + burst, whatever fails.

Each account has a number of slots that is fixed for good when the account is
first seen; each slot has an equal part of its rate and burst, so that the sum
holds also while nodes use different versions of the configuration. Few slots
use a small burst best; more slots lose less when an owner dies. A slot is
leased to one owner, which keeps a token bucket and grants tokens to the nodes
where requests enter, the holders.

Invariant of a slot: level + unused <= burst, where `level` is what the
bucket holds and `unused` is what was granted and can still be used. The
level grows by at most rate * t in t seconds, and only while the invariant
leaves room; grants and returns move tokens between the two terms; only use
lessens the sum without a limit. Hence for any window

    used = sum at its start + refill - sum at its end <= burst + rate * t.

The owner does not know `unused`, but an upper bound: granted tokens that no
report has shown to be used, given back or lapsed. Reports carry cumulative
numbers, so that lost, late, repeated and reordered messages do no harm. A
grant lasts from the moment its holder asked, on the holder's clock, and is
checked when it is used; the owner counts its life from the later moment when
it answered, and lets it lapse as used. No grant outlives the owner's lease,
so a new owner starts with an empty bucket and nothing unused. An owner that
releases its slot leaves its level and its bound of the unused tokens.
"""

import dataclasses
import hashlib
import typing

from . import lease

MAX_SLOTS = 4
# Burst that a slot should have at least, in tokens.
MIN_SLOT_BURST = 10.0
GRANT_TTL_S = 0.75
ROUNDING_TOLERANCE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The account had a token."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The account has no token.

    Args:
        retry_after_s: Seconds after which one may be there.
    """

    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NeedTokens:
    """No token is here, but an owner may have one."""


Decision: typing.TypeAlias = Admitted | Refused | NeedTokens


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """Names a slot.

    Args:
        account: The client account.
        index: Number of the slot, from 0.
    """

    account: str
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """What a slot may admit.

    Args:
        rate: Tokens a second.
        burst: Tokens at once.
    """

    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """What an owner leaves when it releases its slot.

    Args:
        level: Tokens in the bucket.
        unused: Bound of the tokens that may still be used, each for at most
            the life of a grant.
    """

    level: float
    unused: float


Record: typing.TypeAlias = lease.Record[Handover]


def choose_slot_count(burst: float) -> int:
    """Return the number of slots for a new account.

    Args:
        burst: Tokens at once.
    """
    return max(1, min(MAX_SLOTS, int(burst / MIN_SLOT_BURST)))


def divide_limit(rate: float, burst: float, *, slots: int) -> RateLimit:
    """Return the part of each of an account's slots."""
    return RateLimit(rate / slots, burst / slots)


def inherit_handover(
    record: Record | None, process: lease.Process, limit: RateLimit
) -> Handover | None:
    """Return what a new owner must reckon with.

    Args:
        record: The record that its own followed; None if there was none.
        process: The new owner.
        share: What the slot may admit.

    Returns:
        The handover; None if nothing can still be used.
    """
    if record is None:
        return None
    if record.owner is None:
        return record.payload or Handover(0.0, limit.burst)
    if record.owner.node_id == process.node_id:
        # The previous process may have granted everything just now.
        return Handover(0.0, limit.burst)
    return None


def rank_nodes(
    slot: Slot, node_ids: typing.Iterable[str], *, slots: int
) -> list[str]:
    """Order nodes by how suitable each is as the owner of a slot.

    All nodes agree on the order if they know the same nodes. The slots of
    one account prefer different owners, and standbys that own none of them.

    Args:
        slot: The slot.
        node_ids: The nodes.
        slots: Number of slots of each account.
    """
    order = sorted(node_ids, key=lambda node_id: _score(slot.account, node_id))
    owners, others = order[:slots], order[slots:]
    if slot.index >= len(owners):
        return order
    turn = slot.index % len(others) if others else 0
    others = others[turn:] + others[:turn]
    others += owners[slot.index + 1 :] + owners[: slot.index]
    return [owners[slot.index], *others]


def _score(account: str, node_id: str) -> bytes:
    text = f'{account}\0{node_id}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
