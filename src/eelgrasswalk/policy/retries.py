"""Retries: a shared allowance for each call tree, backoff, the decision."""

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
        verdict.Reason.TARGET_CRASHED,
        verdict.Reason.TARGET_UNREACHABLE,
        verdict.Reason.ANSWER_INCOMPLETE,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Retry the call.

    Args:
        delay_s: Seconds to wait before the retry.
    """

    delay_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Return the verdict to the caller without a retry.

    Args:
        verdict: The verdict, marked as not retryable by callers upstream.
    """

    verdict: verdict.Verdict


Decision: typing.TypeAlias = Retry | GiveUp


class RetryAllowance:
    """Extra attempts that one request and its child calls may still make.

    A part allocated to a child call is unavailable until the child's response
    returns what it did not spend.

    Args:
        allowance: Number of extra attempts at the start.
    """

    def __init__(self, allowance: int) -> None:
        if allowance < 0:
            raise ValueError('the retry allowance is negative')
        self._remaining = allowance
        self._allocations: dict[int, int] = {}

    @property
    def remaining(self) -> int:
        """Extra attempts that are neither spent nor allocated."""
        return self._remaining

    def allocate(self, child_id: int, requested: int) -> int:
        """Allocate part of the allowance to a child call.

        Args:
            child_id: Id of the attempt that gets the allocation.
            requested: Number of extra attempts requested.

        Returns:
            Number of extra attempts allocated, from 0 to requested.

        Raises:
            ValueError: The child already has an allocation.
        """
        if child_id in self._allocations:
            raise ValueError('the child call already has an allocation')
        granted = max(0, min(requested, self._remaining))
        self._remaining -= granted
        self._allocations[child_id] = granted
        return granted

    def reclaim(self, child_id: int, *, unspent: int | None) -> None:
        """Take back what a child call did not spend.

        Has no effect for an unknown child or the second time, so that a
        late response after a loss cannot create extra attempts.

        Args:
            child_id: Id of the attempt that got the allocation.
            unspent: Number of extra attempts left, or None if the response
                was lost and the allocation counts as spent.
        """
        granted = self._allocations.pop(child_id, 0)
        if unspent is not None:
            self._remaining += max(0, min(unspent, granted))

    def spend(self) -> bool:
        """Spend one extra attempt and return whether there was one."""
        if self._remaining == 0:
            return False
        self._remaining -= 1
        return True


def compute_child_allowance(remaining: int) -> int:
    """Compute the allocation that a child call should request.

    Half, rounded up, so that some is left for concurrent siblings.
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
    """Compute a jittered delay after which a refused caller may retry.

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
        idempotent: Whether the request may run twice without harm.
        retry_allowance: Allowance of the request that makes the call.
        breaker_open: Whether the breaker stops retries to the service.
        now: Monotonic time in seconds.
        deadline: Deadline of the request on the same clock, in seconds.
        attempt: Number of the retry, from 1.
        random_value: A random number, 0 <= value < 1.

    Returns:
        Retry, or GiveUp with the verdict to return.
    """
    final = _make_non_retryable(verdict_value)
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


def _make_non_retryable(verdict_value: verdict.Verdict) -> verdict.Verdict:
    if isinstance(verdict_value, verdict.NotRun):
        return msgspec.structs.replace(verdict_value, retry_elsewhere=False)
    return verdict_value


class CallerRetryDetector:
    """Detects retries made by a caller itself, by idempotency key.

    Args:
        capacity: Maximum number of keys remembered; the oldest is evicted
            first.
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
            now: Monotonic time in seconds.

        Returns:
            Number of the attempt, from 1. Attempts after the first should
            get no retry allowance and count as retries at the breaker.
        """
        count, seen_at = self._seen.pop((account, key), (0, now))
        if now - seen_at > self._ttl_s:
            count = 0
        self._seen[account, key] = (count + 1, now)
        if len(self._seen) > self._capacity:
            self._seen.popitem(last=False)
        return count + 1
