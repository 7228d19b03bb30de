"""Intervals and limits of the membership protocol."""

import dataclasses
import math

MILLISECONDS_PER_SECOND = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and limits; times are in seconds, sizes in bytes.

    Rates and bursts configure a `TokenBucket` each.

    Args:
        probe_interval_s: Time between two probes sent by a node.
        ack_timeout_s: Time to wait for an ack before indirect pings are
            sent.
        relays: Number of relays used for indirect pings.
        gossip_interval_s: Time between two rounds of gossip while updates
            are queued.
        gossip_fanout: Number of receivers of one round of gossip.
        gossip_rate: Average gossip in bytes per second.
        gossip_burst: Bytes of gossip that may be sent at once.
        piggyback_bytes: Maximum size of queued updates that are added to a
            message of another kind.
        datagram_update_bytes: Maximum size of updates in a message that
            carries nothing else.
        sync_interval_s: Mean time between two synchronisations.
        sync_retry_s: Shortest time between them while the tables differ.
        sync_datagrams: Maximum number of datagrams with records that are
            sent in response to one `Sync` message.
        sync_rate: Average records sent by synchronisation in bytes per
            second.
        sync_burst: Bytes of records that may be sent at once.
        rejoin_interval_s: Mean time between two attempts to reach a dead
            member or a seed.
        suspicion_factor: Minimum suspicion timeout in probe intervals, per
            decimal order of magnitude of the mesh size.
        suspicion_max_factor: Maximum suspicion timeout as a multiple of the
            minimum.
        confirmations: Number of additional reporters that reduces a
            suspicion timeout to the minimum.
        pause_threshold_s: A call that comes later than this after its
            deadline shows that the process was paused.
        dead_retention_s: Time for which the record of a dead member is kept.
        left_retention_s: Time for which the record of a member that left is
            kept.
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
        """Return a copy with all intervals multiplied by a factor.

        The retention times and the bounds on bytes stay as they are.
        """
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
        """Return the minimum suspicion timeout in seconds.

        Args:
            members: Number of present members.
        """
        magnitude = max(1.0, math.log10(max(1, members)))
        return self.suspicion_factor * magnitude * self.probe_interval_s


class TokenBucket:
    """Limits bytes per second; one message may overdraw it.

    Args:
        rate: Refill rate in bytes per second.
        burst: Capacity in bytes.
        now: Monotonic time in seconds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._filled_at = now

    def allows(self, now: float) -> bool:
        """Refill the bucket and return whether a message may be sent."""
        elapsed = max(0.0, now - self._filled_at)
        self._level = min(self._burst, self._level + elapsed * self._rate)
        self._filled_at = now
        return self._level > 0

    def take(self, size: int) -> None:
        """Subtract the size of a sent message in bytes."""
        self._level -= size
