"""Holds client accounts to this node's part of their rates."""

import dataclasses
import typing

from . import call_rules
from . import quota

RETRY_MIN_S = 0.05


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float


class AccountRates:
    """A token bucket for each account.

    Args:
        clock: Monotonic seconds.
        get_share: Returns the part of an account's rate and burst that
            this node may use.
    """

    def __init__(
        self,
        *,
        clock: typing.Callable[[], float],
        get_share: typing.Callable[[str], float],
    ) -> None:
        self._clock = clock
        self._get_share = get_share
        self._buckets: dict[str, _Bucket] = {}

    def admit(self, account: call_rules.AccountRule) -> quota.Refused | None:
        """Charge one call, or refuse it."""
        if account.rate <= 0.0:
            return None
        now = self._clock()
        share = self._get_share(account.name)
        rate = account.rate * share
        burst = max(1.0, account.burst * share)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = self._buckets[account.name] = _Bucket(burst, now)
        gained = (now - bucket.filled_at) * rate
        bucket.tokens = min(burst, bucket.tokens + gained)
        bucket.filled_at = now
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return None
        wait_s = (1.0 - bucket.tokens) / max(rate, 1e-6)
        return quota.Refused(max(RETRY_MIN_S, wait_s))
