"""When an answer of the store was true, on this node's clock.

An answer to a question that waits may be much younger than its question.
The store's own clock tells how much: every answer was formed after its
question was sent, so the largest difference seen between the two clocks
bounds the moment of every later answer from below.
"""

# A bound is renewed after this long, so that drift cannot spoil it.
RENEW_S = 60.0


class StoreClock:
    """Bounds the moment of answers from below."""

    def __init__(self) -> None:
        self._offset: float | None = None
        self._renewed_at = 0.0

    def estimate_answer_time(
        self, asked_at: float, received_at: float, store_s: float
    ) -> float:
        """Return a time at which the answer was certainly true or later.

        Args:
            asked_at: When the question was sent, on this node's clock.
            received_at: When the answer arrived, on this node's clock.
            store_s: The store's clock in the answer; 0 when not told.

        Returns:
            A time from asked_at to received_at, not after the answer was
            formed.
        """
        if store_s <= 0.0:
            return asked_at
        lower = asked_at - store_s
        if self._offset is None or received_at - self._renewed_at > RENEW_S:
            self._offset = lower
            self._renewed_at = received_at
        formed_at = store_s + max(self._offset, lower)
        if formed_at > received_at:
            # The store's clock has begun anew, or one of the two has drifted.
            self._offset = lower
            return asked_at
        self._offset = max(self._offset, lower)
        return formed_at

    def to_local_time(self, store_s: float, now: float) -> float | None:
        """Return a time on this node's clock, not after one of the store's.

        Args:
            store_s: A time of the store's clock, heard from another node.
            now: This node's clock.

        Returns:
            None if the two clocks do not fit: the store's has begun anew,
            or this node has not asked the store yet.
        """
        if self._offset is None or store_s <= 0.0:
            return None
        translated = store_s + self._offset
        return translated if translated <= now else None
