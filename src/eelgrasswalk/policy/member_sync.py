"""Periodic comparison of member tables between two members."""

import random

from . import member
from . import member_codec
from . import member_messages
from . import member_outbox
from . import member_table
from . import member_timing
from . import member_view


class Synchroniser:
    """Finds differences by digests and exchanges the records concerned.

    While tables differ and rounds bring something new, it goes on quickly;
    rounds that bring nothing new double the interval.

    Args:
        view: What this node believes.
        outbox: Takes the messages.
        timing: Intervals and limits.
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
        """Return when `advance` has something to do."""
        return self._next_at

    def advance(self, now: float) -> None:
        """Start a comparison with a random member if one is due."""
        if now < self._next_at:
            return
        self._next_at = now + self._draw_interval()
        others = self._view.list_others()
        if others:
            self.send_digests(self._rng.choice(others).address)

    def send_digests(
        self, address: member.Address, *, is_reply: bool = False
    ) -> None:
        """Send the digests of the own table and the own record.

        Args:
            address: The receiver.
            is_reply: Whether this answers another comparison.
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
        """Compare digests and send the records of buckets that differ."""
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
        # A node that still learns has little that the other one lacks.
        if not (body.is_reply and progress):
            self._send_buckets(address, differing, now)

    def record_progress(self) -> None:
        """Count a record that was new."""
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
        """Pack whole buckets until there are enough datagrams."""
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
