"""When a stand-in target is cold, and what it withstands meanwhile."""

import collections
import dataclasses
import math

_WINDOW_S = 1.0
_MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class ColdSpan:
    """A time in which the bound on requests holds for a target.

    Args:
        target_id: The run of the target.
        start: First second.
        end: Second at which it is warm or has ended.
    """

    target_id: str
    start: float
    end: float


class Coldness:
    """Knows how long a target remains cold and counts its requests.

    A target that turns cold while it serves is held to the bound once it has
    reported so; one that has just started is held to it at once.
    """

    def __init__(self) -> None:
        self._spans: list[ColdSpan] = []
        self._target_id = ''
        self._bound_from = math.inf
        self._ends_at = -math.inf
        self._times: collections.deque[float] = collections.deque()

    def begin(
        self, target_id: str, now: float, seconds: float, *, reported: bool
    ) -> None:
        """Turn cold.

        Args:
            target_id: The run of the target.
            now: Seconds.
            seconds: How long it remains cold; 0 or less changes nothing.
            reported: Whether the bound holds without a further report.
        """
        if seconds <= 0.0:
            return
        self.end(now)
        self._target_id = target_id
        self._ends_at = now + seconds
        self._bound_from = now if reported else math.inf
        self._times.clear()

    def end(self, now: float) -> None:
        """Turn warm, or end the run."""
        until = min(now, self._ends_at)
        if self._bound_from < until:
            self._spans.append(
                ColdSpan(self._target_id, self._bound_from, until)
            )
        self._bound_from = math.inf
        self._ends_at = -math.inf

    def note_reported(self, now: float) -> None:
        """Note that the node has received a report of the coldness."""
        if now < self._ends_at:
            self._bound_from = min(self._bound_from, now)

    def get_left_s(self, now: float) -> float:
        """Return the seconds for which the target remains cold."""
        return max(0.0, self._ends_at - now)

    def get_left_ms(self, now: float) -> int:
        """Return the milliseconds, rounded up, as targets report them."""
        return math.ceil(self.get_left_s(now) * _MS_PER_S)

    def count(self, now: float) -> int:
        """Count a request, and return those of the last second under it."""
        if not self._bound_from <= now < self._ends_at:
            return 0
        self._times.append(now)
        while self._times[0] <= now - _WINDOW_S:
            self._times.popleft()
        return len(self._times)

    def list_spans(self, now: float) -> list[ColdSpan]:
        """Return every time in which the bound has held."""
        until = min(now, self._ends_at)
        if self._bound_from < until:
            last = ColdSpan(self._target_id, self._bound_from, until)
            return [*self._spans, last]
        return list(self._spans)
