"""Deadlines, set for the root request and reduced at each hop."""

import dataclasses
import math
import typing

MAX_DEADLINE_S = 600.0
MAX_HEADER_CHARS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class RequestedTimeout:
    """The caller specified a valid timeout.

    Args:
        seconds: Seconds that the caller waits.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoTimeout:
    """The caller specified no timeout."""


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidTimeout:
    """The timeout that the caller specified is invalid.

    Args:
        detail: Explanation for the caller, in one sentence.
    """

    detail: str


Timeout: typing.TypeAlias = RequestedTimeout | NoTimeout | InvalidTimeout


@dataclasses.dataclass(frozen=True, slots=True)
class Remaining:
    """Time remains until the deadline.

    Args:
        seconds: Remaining seconds.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The deadline has passed, so the request must not run."""


def parse_timeout(value: str | None) -> Timeout:
    """Parse the caller's timeout header.

    Args:
        value: Value of the header, or None if it is absent.

    Returns:
        The timeout that the caller requested.
    """
    if value is None:
        return NoTimeout()
    if len(value) > MAX_HEADER_CHARS:
        return InvalidTimeout('The timeout is too long.')
    try:
        seconds = float(value)
    except ValueError:
        return InvalidTimeout('The timeout is not a number of seconds.')
    if not math.isfinite(seconds) or seconds <= 0.0:
        return InvalidTimeout('The timeout is not a positive, finite number.')
    return RequestedTimeout(min(seconds, MAX_DEADLINE_S))


def compute_deadline(
    now: float,
    default_s: float,
    *,
    timeout: Timeout | None = None,
    parent: float | None = None,
) -> float:
    """Compute the deadline of a request.

    Args:
        now: The time, in seconds.
        default_s: Timeout of the route in seconds, used if the caller
            specified none.
        timeout: The timeout that the caller requested.
        parent: The deadline of the request that this call serves; it is
            never exceeded.

    Returns:
        The deadline on the same clock as now.
    """
    seconds = default_s
    if isinstance(timeout, RequestedTimeout):
        seconds = timeout.seconds
    deadline = now + seconds
    return deadline if parent is None else min(deadline, parent)


def reduce_remaining(
    remaining_s: float, spent_s: float
) -> Remaining | Expired:
    """Subtract the time spent at or before a hop from the time left.

    Args:
        remaining_s: Seconds that the previous hop left.
        spent_s: Seconds spent since; a negative value counts as zero.

    Returns:
        The time left, never more than before.
    """
    left = remaining_s - max(0.0, spent_s)
    return Remaining(left) if left > 0.0 else Expired()
