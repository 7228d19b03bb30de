"""Table of the latest record of every member."""

import collections.abc
import dataclasses

import xxhash

from . import member

BUCKETS = 64
DIGEST_BYTES = 4


class MemberTable:
    """Keeps the record with the highest precedence for every member.

    Merging whole records is commutative, associative and idempotent, so
    replicas that have merged the same records in any order are equal. A
    change of health is ignored until the record with the same boot and
    revision is known; synchronisation delivers that record. Records of
    unknown members that are dead or have left are ignored, so that reaped
    members do not reappear.

    Members are hashed into buckets. The digest of a bucket covers only its
    present members.
    """

    def __init__(self) -> None:
        self._members: dict[str, member.Member] = {}
        self._buckets: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._digests = [0] * BUCKETS
        self._by_address: dict[member.Address, str] = {}
        self._present: list[member.Member] | None = None
        self._gone_since: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> collections.abc.Iterator[member.Member]:
        return iter(self._members.values())

    def find(self, node_id: str) -> member.Member | None:
        """Return the record of a member, or None if it is unknown."""
        return self._members.get(node_id)

    def find_by_address(self, address: member.Address) -> member.Member | None:
        """Return the member last recorded at an address, or None."""
        node_id = self._by_address.get(address)
        return None if node_id is None else self._members.get(node_id)

    def list_present(self) -> list[member.Member]:
        """Return the members that are neither dead nor left."""
        if self._present is None:
            self._present = [
                item for item in self._members.values() if item.present
            ]
        return self._present

    def list_dead(self) -> list[member.Member]:
        """Return the dead members that did not announce that they left."""
        return [
            self._members[node_id]
            for node_id in self._gone_since
            if self._members[node_id].state is not member.MemberState.LEFT
        ]

    def merge(self, update: member.Update, now: float) -> member.Member | None:
        """Merge one update.

        Args:
            update: A whole record or a change of health.
            now: Monotonic time in seconds.

        Returns:
            The member's new record, or None if nothing changed.
        """
        known = self._members.get(update.node_id)
        latest = self._resolve(known, update)
        if latest is None:
            return None
        self._store(known, latest, now)
        return latest

    def digest(self) -> bytes:
        """Return the concatenated digests of all buckets."""
        return b''.join(
            value.to_bytes(DIGEST_BYTES, 'big') for value in self._digests
        )

    def list_bucket(self, bucket: int) -> list[member.Member]:
        """Return all records of a bucket, sorted by node id."""
        return [self._members[name] for name in sorted(self._buckets[bucket])]

    def reap(self, now: float, *, dead_s: float, left_s: float) -> None:
        """Remove members that have been dead or left for long enough.

        Args:
            now: Monotonic time in seconds.
            dead_s: Seconds after which a dead member is removed.
            left_s: Seconds after which a member that left is removed.
        """
        for node_id, since in list(self._gone_since.items()):
            item = self._members[node_id]
            left = item.state is member.MemberState.LEFT
            if now - since >= (left_s if left else dead_s):
                self._remove(item)

    def _resolve(
        self, known: member.Member | None, update: member.Update
    ) -> member.Member | None:
        if isinstance(update, member.Member):
            if known is None:
                return update if update.present else None
            if update.precedence > known.precedence:
                return update
            return None
        if known is None:
            return None
        if (update.incarnation, update.health) <= known.precedence:
            return None
        if not has_same_attributes(update.incarnation, known.incarnation):
            return None
        return dataclasses.replace(
            known, incarnation=update.incarnation, health=update.health
        )

    def _store(
        self,
        known: member.Member | None,
        latest: member.Member,
        now: float,
    ) -> None:
        bucket = xxhash.xxh32_intdigest(latest.node_id.encode()) % BUCKETS
        if known is not None:
            self._digests[bucket] ^= _hash_member(known)
        self._digests[bucket] ^= _hash_member(latest)
        self._buckets[bucket].add(latest.node_id)
        self._members[latest.node_id] = latest
        self._by_address[latest.address] = latest.node_id
        self._present = None
        if latest.present:
            self._gone_since.pop(latest.node_id, None)
        else:
            self._gone_since.setdefault(latest.node_id, now)

    def _remove(self, item: member.Member) -> None:
        bucket = xxhash.xxh32_intdigest(item.node_id.encode()) % BUCKETS
        self._buckets[bucket].discard(item.node_id)
        del self._members[item.node_id]
        del self._gone_since[item.node_id]
        if self._by_address.get(item.address) == item.node_id:
            del self._by_address[item.address]


def has_same_attributes(
    one: member.Incarnation, other: member.Incarnation
) -> bool:
    """Return whether two incarnations denote the same attributes."""
    return (one.boot, one.revision) == (other.boot, other.revision)


def find_differences(one: bytes, other: bytes) -> list[int]:
    """Return the buckets whose digests differ.

    Args:
        one: Digests of all buckets of one table.
        other: Digests of all buckets of the other table.

    Returns:
        Bucket numbers in ascending order.
    """
    return [
        bucket
        for bucket in range(BUCKETS)
        if _slice_digest(one, bucket) != _slice_digest(other, bucket)
    ]


def _slice_digest(digests: bytes, bucket: int) -> bytes:
    start = bucket * DIGEST_BYTES
    return digests[start : start + DIGEST_BYTES]


def _hash_member(item: member.Member) -> int:
    if not item.present:
        return 0
    incarnation = item.incarnation
    text = (
        f'{item.node_id}\0{incarnation.boot}\0{incarnation.revision}'
        f'\0{incarnation.refutation}'
    )
    return xxhash.xxh32_intdigest(text.encode())
