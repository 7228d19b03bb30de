"""Deadlines: set once for a root request, reduced at each hop."""

import dataclasses
import math
import typing

MAX_DEADLINE_S = 600.0
MAX_HEADER_CHARS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Given:
    """The caller named a timeout.

    Args:
        seconds: Seconds that the caller waits.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """The caller named no timeout."""


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """The caller's timeout cannot be used.

    Args:
        detail: One sentence for the caller.
    """

    detail: str


Timeout: typing.TypeAlias = Given | Absent | Malformed


@dataclasses.dataclass(frozen=True, slots=True)
class Remaining:
    """Time is left.

    Args:
        seconds: Seconds left.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """No time is left, so the request must not run."""


def parse_timeout(value: str | None) -> Timeout:
    """Parse the caller's timeout header.

    Args:
        value: The header's value, or None without the header.

    Returns:
        What the caller asked for.
    """
    if value is None:
        return Absent()
    if len(value) > MAX_HEADER_CHARS:
        return Malformed('The timeout is too long.')
    try:
        seconds = float(value)
    except ValueError:
        return Malformed('The timeout is not a number of seconds.')
    if not math.isfinite(seconds) or seconds <= 0.0:
        return Malformed('The timeout is not a positive, finite number.')
    return Given(min(seconds, MAX_DEADLINE_S))


def compute_deadline(
    now: float,
    default_s: float,
    *,
    timeout: Timeout | None = None,
    parent: float | None = None,
) -> float:
    """Compute when a request must be answered.

    Args:
        now: The time, in seconds.
        default_s: Seconds that the route gives a request that names none.
        timeout: What the caller asked for.
        parent: The deadline of the request that this call serves; it is
            never exceeded.

    Returns:
        The deadline on the same clock as now.
    """
    seconds = default_s
    if isinstance(timeout, Given):
        seconds = timeout.seconds
    deadline = now + seconds
    return deadline if parent is None else min(deadline, parent)


def reduce_remaining(
    remaining_s: float, spent_s: float
) -> Remaining | Expired:
    """Take the time spent at or before a hop from what remains.

    Args:
        remaining_s: Seconds that the previous hop left.
        spent_s: Seconds spent since; a negative value counts as zero.

    Returns:
        What is left, never more than before.
    """
    left = remaining_s - max(0.0, spent_s)
    return Remaining(left) if left > 0.0 else Expired()
