"""The rate of calls that the target of this node says it accepts."""

import time

from .. import events
from ..policy import decaying_rate
from ..policy.capacity import slot_queue
from . import admit

# Time over which the calls sent to the target are averaged, in seconds.
SENT_SPAN_S = 4.0


class TargetLimit:
    """Keeps to the rate that the target names.

    Args:
        admitter: Queues calls and decides which ones start.

    Attributes:
        calls_per_s: Calls per second that the target accepts; None for no
            limit.
        is_confirmed: Whether the target itself has said what it accepts.
    """

    def __init__(self, admitter: admit.Admitter[slot_queue.SlotQueue]) -> None:
        self.calls_per_s: float | None = None
        self.is_confirmed = False
        self._admitter = admitter
        self._sent = decaying_rate.DecayingRate(SENT_SPAN_S)

    def reset(self) -> None:
        """Forget the limit of an earlier run of the target."""
        self._limit_rate(None)
        self.is_confirmed = False

    def adopt(self, calls_per_s: float | None, target_id: str) -> None:
        """Go by what a caller's node knows until the target has answered."""
        if not self.is_confirmed:
            self._change(calls_per_s, target_id)

    def apply(self, calls_per_s: float | None, target_id: str) -> None:
        """Go by what the target has said."""
        self.is_confirmed = True
        self._change(calls_per_s, target_id)

    def count_sent(self) -> None:
        """Count a call that is sent to the target."""
        self._sent.add(1.0, time.monotonic())

    def measure_sent(self) -> float:
        """Return the calls sent per second."""
        return round(self._sent.measure(time.monotonic()), 1)

    def _change(self, calls_per_s: float | None, target_id: str) -> None:
        if calls_per_s == self.calls_per_s:
            return
        self._limit_rate(calls_per_s)
        events.log(
            events.TARGET_LIMIT_CHANGED,
            target=target_id,
            calls_per_s=calls_per_s,
            is_confirmed=self.is_confirmed,
            sent_per_s=self.measure_sent(),
        )

    def _limit_rate(self, calls_per_s: float | None) -> None:
        self.calls_per_s = calls_per_s
        policy = self._admitter.policy
        self._admitter.carry_out(
            policy.limit_rate(calls_per_s, time.monotonic())
        )
