"""Retries: one allowance for a whole call tree, backoff, the decision."""

import collections
import dataclasses
import typing

import msgspec

from .. import verdict

BACKOFF_BASE_S = 0.025
BACKOFF_MAX_S = 1.0
RETRY_AFTER_MIN_S = 0.05

RETRYABLE_IF_IDEMPOTENT = frozenset(
    (
        verdict.Reason.LINK_LOST,
        verdict.Reason.TARGET_LOST,
        verdict.Reason.TARGET_UNREACHABLE,
        verdict.Reason.ANSWER_INCOMPLETE,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Try once more.

    Args:
        delay_s: Seconds to wait first.
    """

    delay_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Pass the verdict on at once.

    Args:
        verdict: The verdict, not retryable by the hops above.
    """

    verdict: verdict.Verdict


Decision: typing.TypeAlias = Retry | GiveUp


class RetryAllowance:
    """Extra attempts left to one request and to the calls that it makes.

    What a child call borrows is gone until its answer returns the rest.

    Args:
        allowance: Extra attempts at the start.
    """

    def __init__(self, allowance: int) -> None:
        if allowance < 0:
            raise ValueError('the allowance is negative')
        self._remaining = allowance
        self._loans: dict[int, int] = {}

    @property
    def remaining(self) -> int:
        """Extra attempts that are neither spent nor lent."""
        return self._remaining

    def allocate(self, child_id: int, wanted: int) -> int:
        """Lend part of the allowance to a child call.

        Args:
            child_id: The attempt that gets the loan.
            wanted: Extra attempts asked for.

        Returns:
            Extra attempts lent, from 0 to wanted.

        Raises:
            ValueError: The child holds a loan already.
        """
        if child_id in self._loans:
            raise ValueError('the child holds a loan already')
        granted = max(0, min(wanted, self._remaining))
        self._remaining -= granted
        self._loans[child_id] = granted
        return granted

    def reclaim(self, child_id: int, *, unspent: int | None) -> None:
        """Take back what a child call did not spend.

        A second or unknown settlement changes nothing, so that a late
        answer after a loss cannot create extra attempts.

        Args:
            child_id: The attempt that got the loan.
            unspent: Extra attempts left, or None if the answer was lost
                and the loan counts as spent.
        """
        granted = self._loans.pop(child_id, 0)
        if unspent is not None:
            self._remaining += max(0, min(unspent, granted))

    def spend(self) -> bool:
        """Use one extra attempt and return whether there was one."""
        if self._remaining == 0:
            return False
        self._remaining -= 1
        return True


def compute_child_allowance(remaining: int) -> int:
    """Compute how much a child call should ask for.

    Half, rounded up, so that concurrent siblings find some left.
    """
    return (remaining + 1) // 2


def compute_backoff(attempt: int, random_value: float) -> float:
    """Compute an exponential delay with full jitter.

    Args:
        attempt: Number of the retry, from 1.
        random_value: A random number, 0 <= value < 1.

    Returns:
        Seconds to wait.
    """
    exponent = min(max(attempt, 1) - 1, 16)
    ceiling: float = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2.0**exponent)
    return ceiling * random_value


def compute_retry_after(base_s: float, random_value: float) -> float:
    """Spread the time at which refused callers come back.

    Args:
        base_s: Seconds after which a retry is expected to succeed.
        random_value: A random number, 0 <= value < 1.

    Returns:
        Seconds from base_s to twice base_s.
    """
    return max(RETRY_AFTER_MIN_S, base_s) * (1.0 + random_value)


def decide_retry(
    verdict_value: verdict.Verdict,
    *,
    idempotent: bool,
    retry_allowance: RetryAllowance,
    breaker_open: bool,
    now: float,
    deadline: float,
    attempt: int = 1,
    random_value: float = 0.5,
) -> Decision:
    """Decide whether to retry, and spend one extra attempt if so.

    Args:
        verdict_value: The verdict on the last attempt.
        idempotent: Whether running the request twice does no harm.
        ledger: The allowance of the request that makes the call.
        breaker_open: Whether retries to the service are stopped.
        now: The time, in seconds.
        deadline: When the request must be answered, on the same clock.
        attempt: Number of the retry, from 1.
        random_value: A random number, 0 <= value < 1.

    Returns:
        Retry, or GiveUp with the verdict to pass on.
    """
    final = _make_final(verdict_value)
    if not _is_retryable(verdict_value, idempotent):
        return GiveUp(final)
    delay_s = compute_backoff(attempt, random_value)
    if breaker_open or now + delay_s >= deadline:
        return GiveUp(final)
    if not retry_allowance.spend():
        return GiveUp(final)
    return Retry(delay_s)


def _is_retryable(verdict_value: verdict.Verdict, idempotent: bool) -> bool:
    if isinstance(verdict_value, verdict.NotRun):
        return verdict_value.retry_elsewhere
    if isinstance(verdict_value, verdict.MayHaveRun):
        return idempotent and verdict_value.reason in RETRYABLE_IF_IDEMPOTENT
    return False


def _make_final(verdict_value: verdict.Verdict) -> verdict.Verdict:
    if isinstance(verdict_value, verdict.NotRun):
        return msgspec.structs.replace(verdict_value, retry_elsewhere=False)
    return verdict_value


class CallerRetryDetector:
    """Recognises a caller's own retries by idempotency key.

    Args:
        capacity: Keys remembered at most; the oldest go first.
        ttl_s: Seconds for which a key is remembered.
    """

    def __init__(self, *, capacity: int = 10_000, ttl_s: float = 60.0) -> None:
        self._capacity = capacity
        self._ttl_s = ttl_s
        self._seen: collections.OrderedDict[
            tuple[str, str], tuple[int, float]
        ] = collections.OrderedDict()

    def observe(self, account: str, key: str, now: float) -> int:
        """Count an attempt.

        Args:
            account: The client account.
            key: The idempotency key.
            now: The time, in seconds.

        Returns:
            The number of the attempt, from 1. Attempts after the first
            should get no allowance and count as retries at the breaker.
        """
        count, seen_at = self._seen.pop((account, key), (0, now))
        if now - seen_at > self._ttl_s:
            count = 0
        self._seen[account, key] = (count + 1, now)
        if len(self._seen) > self._capacity:
            self._seen.popitem(last=False)
        return count + 1
