"""Anti-entropy: periodic synchronisation of two member tables."""

import random

from . import member
from . import member_codec
from . import member_messages
from . import member_outbox
from . import member_table
from . import member_timing
from . import member_view


class Synchroniser:
    """Compares digests with a random member and exchanges records.

    While the tables differ, the next round starts after a short interval.
    The interval doubles after each round that delivers no new record.

    Args:
        view: The local view of all members.
        outbox: Collects the messages to send.
        timing: Intervals and limits of the protocol.
        rng: Source of random numbers.
        now: Monotonic time in seconds.
    """

    def __init__(
        self,
        view: member_view.View,
        outbox: member_outbox.Outbox,
        timing: member_timing.Timing,
        rng: random.Random,
        now: float,
    ) -> None:
        self._view = view
        self._outbox = outbox
        self._timing = timing
        self._rng = rng
        self._budget = member_timing.TokenBucket(
            timing.sync_rate, timing.sync_burst, now
        )
        self._retry_s = timing.sync_retry_s
        self._progress = False
        self._next_at = now + self._draw_interval()

    def next_deadline(self) -> float:
        """Return the monotonic time at which `advance` is due."""
        return self._next_at

    def advance(self, now: float) -> None:
        """Start a synchronisation with a random member if one is due."""
        if now < self._next_at:
            return
        self._next_at = now + self._draw_interval()
        others = self._view.list_others()
        if others:
            self.send_digests(self._rng.choice(others).address)

    def send_digests(
        self, address: member.Address, *, is_reply: bool = False
    ) -> None:
        """Send the local digests and the local node's record.

        Args:
            address: Address of the receiver.
            is_reply: Whether this replies to another member's digests.
        """
        body = member_messages.Sync(self._view.table.digest(), is_reply)
        known = self._view.table.find_by_address(address)
        first: tuple[member.Update, ...] = (self._view.local_member,)
        if known is not None:
            first += self._view.build_health_notice(known.node_id)
        self._outbox.send(address, body, first=first)

    def handle_sync(
        self,
        address: member.Address,
        body: member_messages.Sync,
        now: float,
    ) -> None:
        """Compare digests and send the records of buckets that differ.

        Args:
            address: Address of the sender.
            body: The received digests.
            now: Monotonic time in seconds.
        """
        differing = member_table.find_differences(
            body.digests, self._view.table.digest()
        )
        if not differing:
            return
        progress = self._progress
        if body.is_reply:
            self._schedule_retry(now)
        else:
            self.send_digests(address, is_reply=True)
        # A node that still receives new records has few that the other lacks.
        if not (body.is_reply and progress):
            self._send_buckets(address, differing, now)

    def record_progress(self) -> None:
        """Note that a synchronisation delivered a new record."""
        self._progress = True

    def _schedule_retry(self, now: float) -> None:
        if self._progress:
            self._retry_s = self._timing.sync_retry_s
        else:
            self._retry_s = min(
                2 * self._retry_s, self._timing.sync_interval_s
            )
        self._progress = False
        self._next_at = min(self._next_at, now + self._retry_s)

    def _send_buckets(
        self, address: member.Address, buckets: list[int], now: float
    ) -> None:
        start = self._rng.randrange(len(buckets))
        ordered = buckets[start:] + buckets[:start]
        datagrams = self._pack(ordered)
        for records, size in datagrams[: self._timing.sync_datagrams]:
            if not self._budget.allows(now):
                return
            self._budget.take(size)
            self._outbox.send_exactly(
                address, member_messages.Records(), records
            )

    def _pack(
        self, buckets: list[int]
    ) -> list[tuple[tuple[member.Update, ...], int]]:
        """Pack whole buckets until `sync_datagrams` datagrams are full.

        Returns:
            The records of each datagram and their encoded size in bytes.
        """
        datagrams: list[tuple[tuple[member.Update, ...], int]] = []
        records: list[member.Update] = []
        size = 0
        for bucket in buckets:
            for record in self._view.table.list_bucket(bucket):
                length = member_codec.measure_update(record)
                if size + length > self._timing.datagram_update_bytes:
                    datagrams.append((tuple(records), size))
                    records = []
                    size = 0
                records.append(record)
                size += length
            if len(datagrams) >= self._timing.sync_datagrams:
                return datagrams
        if records:
            datagrams.append((tuple(records), size))
        return datagrams

    def _draw_interval(self) -> float:
        return self._timing.sync_interval_s * (0.5 + self._rng.random())
