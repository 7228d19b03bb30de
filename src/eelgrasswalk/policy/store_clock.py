"""Conversion of the store's clock to this node's clock.

The answer to a long poll may be much younger than the request. The store's
timestamp tells by how much: every answer is formed after its request was
sent, so the largest offset observed between the two clocks gives a lower
bound on the time of every later answer.
"""

# The offset is measured again after this time to limit clock drift.
MAX_OFFSET_AGE_S = 60.0


class StoreClock:
    """Lower bounds on the times of the store's answers."""

    def __init__(self) -> None:
        self._offset: float | None = None
        self._offset_renewed_at = 0.0

    def estimate_answer_time(
        self, sent_at: float, received_at: float, store_s: float
    ) -> float:
        """Return a lower bound on the time when an answer was formed.

        Args:
            sent_at: When the request was sent, in seconds of this node's
                clock.
            received_at: When the answer arrived, on the same clock.
            store_s: Timestamp of the store's clock in the answer, in
                seconds; 0 if unknown.

        Returns:
            A time from sent_at to received_at, not after the answer was
            formed.
        """
        if store_s <= 0.0:
            return sent_at
        min_offset = sent_at - store_s
        if (
            self._offset is None
            or received_at - self._offset_renewed_at > MAX_OFFSET_AGE_S
        ):
            self._offset = min_offset
            self._offset_renewed_at = received_at
        formed_at = store_s + max(self._offset, min_offset)
        if formed_at > received_at:
            # The store's clock was reset, or one of the two has drifted.
            self._offset = min_offset
            return sent_at
        self._offset = max(self._offset, min_offset)
        return formed_at

    def to_local_time(self, store_s: float, now: float) -> float | None:
        """Convert a time of the store's clock to this node's clock.

        Args:
            store_s: Time of the store's clock in seconds, received from
                another node.
            now: Time of this node's clock in seconds.

        Returns:
            A time not after the one given, or None if there is no valid
            offset: the store's clock was reset, or this node has not asked
            the store yet.
        """
        if self._offset is None or store_s <= 0.0:
            return None
        local_time = store_s + self._offset
        return local_time if local_time <= now else None
