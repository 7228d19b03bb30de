"""Token bucket of a client account that serves important calls first.

It handles an account that sends several times its rate: the tokens go to its
most important calls, and the others get what these leave. Calls that are
refused are told to return when the rate will have covered those refused with
them, rather than to compete for the next token.
"""

import collections.abc
import dataclasses

from ..document import model
from . import decaying_rate

LEVELS = len(model.Importance)
# Time constant of the measured demand and refusals, in seconds.
DECAY_S = 0.5
# Demand of more important calls that less important ones leave tokens for, in
# seconds. It covers the calls that arrive until the next refill.
RESERVE_S = 0.1
# Share of the tokens beyond the first that may be reserved. It lets through a
# less important call while the account stays within its rate.
MAX_RESERVE_SHARE = 0.5
MIN_WAIT_S = 0.02
# A caller that returns later misses the objective of most routes.
MAX_WAIT_S = 0.4


def count_by_importance(
    importances: collections.abc.Iterable[int],
) -> tuple[int, ...]:
    """Count calls by their importance, the highest first."""
    counts = [0] * LEVELS
    for importance in importances:
        counts[min(max(0, importance), LEVELS - 1)] += 1
    return tuple(counts)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Answer to a request for tokens.

    Args:
        tokens: Tokens granted, for the most important calls first.
        wait_s: Seconds until a refused call may be granted a token.
    """

    tokens: int
    wait_s: float


class TokenBucket:
    """A token bucket whose rate and depth may differ on every use.

    Args:
        tokens: Initial tokens.
        now: Current time, in seconds.
    """

    def __init__(self, tokens: float, now: float) -> None:
        self._tokens = tokens
        self._filled_at = now
        self._demand = [
            decaying_rate.DecayingRate(DECAY_S) for _ in range(LEVELS)
        ]
        self._refused = decaying_rate.DecayingRate(DECAY_S)

    @property
    def used_at(self) -> float:
        """When it was used last, in seconds."""
        return self._filled_at

    def peek(self, now: float, *, rate: float, depth: float) -> float:
        """Return the tokens that there are; none is taken.

        Args:
            now: Current time, in seconds.
            rate: Refill rate, in tokens per second.
            depth: Maximum number of tokens in the bucket.
        """
        elapsed = max(0.0, now - self._filled_at)
        return min(depth, self._tokens + elapsed * rate)

    def take(
        self,
        wanted: collections.abc.Sequence[int],
        now: float,
        *,
        rate: float,
        depth: float,
    ) -> Grant:
        """Refill the bucket, then take tokens for the calls that may start.

        Args:
            wanted: Tokens requested for each importance, the highest first.
            now: Current time, in seconds.
            rate: Refill rate, in tokens per second.
            depth: Maximum number of tokens in the bucket.

        Returns:
            The tokens taken, and when to try again.
        """
        self._tokens = self.peek(now, rate=rate, depth=depth)
        self._filled_at = now
        max_reserve = MAX_RESERVE_SHARE * max(0.0, depth - 1.0)
        reserve = 0.0
        granted = 0
        for demand, count in zip(self._demand, wanted, strict=False):
            available = max(0, int(self._tokens - min(reserve, max_reserve)))
            taken = min(count, available)
            self._tokens -= taken
            granted += taken
            demand.add(count, now)
            reserve += RESERVE_S * demand.measure(now)
        self._refused.add(sum(wanted) - granted, now)
        return Grant(granted, self._compute_wait(now, rate))

    def _compute_wait(self, now: float, rate: float) -> float:
        if rate <= 0.0:
            return MAX_WAIT_S
        missing = max(0.0, 1.0 - self._tokens)
        refused = DECAY_S * self._refused.measure(now)
        wait_s = max(missing, min(refused, MAX_WAIT_S * rate)) / rate
        return max(MIN_WAIT_S, wait_s)
