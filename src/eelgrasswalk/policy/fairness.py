"""Max-min fair ranking of root requests across client accounts."""

import math

TIME_CONSTANT_S = 2.0
REFRESH_S = 0.1
MIN_COUNT = 0.01


class FairRank:
    """Converts the hash of a root to its rank under max-min fairness.

    Admitting the roots whose rank is below f admits a share f of all roots
    and sheds only from accounts that send more than their fair share. The
    rank is propagated with the call tree, so comparing it with the fraction
    of a level is fair and admits the same roots at every hop.

    Args:
        time_constant_s: Seconds over which counts decay by a factor of e.
    """

    def __init__(self, *, time_constant_s: float = TIME_CONSTANT_S) -> None:
        self._time_constant_s = time_constant_s
        self._counts: dict[str, float] = {}
        self._sorted: list[float] = []
        self._total = 0.0
        self._refreshed_at = -math.inf

    def rank(self, account: str, root_hash: float, now: float) -> float:
        """Count a root and return its rank.

        Args:
            account: The root's client account.
            root_hash: The root's hash, 0 <= hash < 1.
            now: The time, in seconds.

        Returns:
            The rank, 0 <= rank < 1, distributed as uniformly as the hashes.
        """
        if now - self._refreshed_at >= REFRESH_S:
            self._refresh(now)
        count = self._counts.get(account, 0.0) + 1.0
        self._counts[account] = count
        if len(self._sorted) < 2:
            return root_hash
        place = root_hash * count
        below = sum(min(other, place) for other in self._sorted)
        return min(below / self._total, math.nextafter(1.0, 0.0))

    def _refresh(self, now: float) -> None:
        elapsed = now - self._refreshed_at
        self._refreshed_at = now
        factor = math.exp(-elapsed / self._time_constant_s)
        self._counts = {
            account: count * factor
            for account, count in self._counts.items()
            if count * factor > MIN_COUNT
        }
        self._sorted = sorted(self._counts.values())
        self._total = math.fsum(self._sorted)
