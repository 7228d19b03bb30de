"""Intervals and limits of the membership protocol."""

import dataclasses
import math

MILLISECONDS_PER_SECOND = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and limits; times are in seconds, sizes in bytes.

    Args:
        probe_interval_s: Between two probes of one node.
        ack_timeout_s: After which a probe goes on through relays.
        relays: How many relays are asked.
        gossip_interval_s: Between two rounds of gossip while there is news.
        gossip_fanout: Receivers of one round of gossip.
        gossip_rate: Bytes of gossip a second, on average.
        gossip_burst: Bytes of gossip that may be sent at once.
        piggyback_bytes: Updates that ride on a message of another purpose.
        datagram_update_bytes: Updates in a message that carries only them.
        sync_interval_s: Between two comparisons of tables.
        sync_retry_s: The same while the tables differ.
        sync_datagrams: Most datagrams of records in one answer.
        sync_rate: Bytes of records a second, on average.
        sync_burst: Bytes of records that may be sent at once.
        rejoin_interval_s: Between two attempts to reach a dead member.
        suspicion_factor: Shortest suspicion, in probe intervals for each
            decimal order of magnitude of the mesh.
        suspicion_max_factor: Longest suspicion as a multiple of the shortest.
        confirmations: Independent accusers that bring the shortest one.
        pause_threshold_s: Lateness of a timer that is taken for a paused process.
        dead_retention_s: After which a dead member is forgotten.
        left_retention_s: After which a member that left is forgotten.
    """

    probe_interval_s: float = 1.0
    ack_timeout_s: float = 0.4
    relays: int = 3
    gossip_interval_s: float = 0.2
    gossip_fanout: int = 3
    gossip_rate: float = 2_000.0
    gossip_burst: float = 3_000.0
    piggyback_bytes: int = 300
    datagram_update_bytes: int = 1_000
    sync_interval_s: float = 10.0
    sync_retry_s: float = 0.8
    sync_datagrams: int = 4
    sync_rate: float = 2_000.0
    sync_burst: float = 5_000.0
    rejoin_interval_s: float = 5.0
    suspicion_factor: float = 2.0
    suspicion_max_factor: float = 3.0
    confirmations: int = 3
    pause_threshold_s: float = 0.75
    dead_retention_s: float = 3_600.0
    left_retention_s: float = 600.0

    def scale(self, factor: float) -> 'Timing':
        """Return a timing whose intervals are longer by a factor."""
        return dataclasses.replace(
            self,
            probe_interval_s=self.probe_interval_s * factor,
            ack_timeout_s=self.ack_timeout_s * factor,
            gossip_interval_s=self.gossip_interval_s * factor,
            sync_interval_s=self.sync_interval_s * factor,
            sync_retry_s=self.sync_retry_s * factor,
            rejoin_interval_s=self.rejoin_interval_s * factor,
            pause_threshold_s=self.pause_threshold_s * factor,
        )

    def min_suspicion_s(self, members: int) -> float:
        """Return the shortest suspicion in a mesh of a size, in seconds."""
        magnitude = max(1.0, math.log10(max(1, members)))
        return self.suspicion_factor * magnitude * self.probe_interval_s


class TokenBucket:
    """Bounds bytes a second; it may go into debt by one message."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at = now

    def allows(self, now: float) -> bool:
        """Return whether the next message may be sent now."""
        elapsed = max(0.0, now - self._filled_at)
        self._level = min(self._burst, self._level + elapsed * self._rate)
        self._filled_at = now
        return self._level > 0

    def take(self, size: int) -> None:
        """Count a message that was sent."""
        self._level -= size
