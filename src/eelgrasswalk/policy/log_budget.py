"""Rate limit for log lines.

Each category of lines has its own limit, so that routine lines cannot displace
failures. Omitted lines are counted and reported.
"""

import collections
import dataclasses
import enum


class LineCategory(enum.IntEnum):
    """Category of a log line, each with its own rate limit."""

    ROUTINE = 0
    FAILURE = 1
    BELIEF = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LogBounds:
    """Maximum number of lines per second in each category.

    Args:
        routine: Lines for calls that succeeded.
        failure: Lines for calls that were refused, failed or have an unknown
            outcome.
        belief: Lines for changes of the state that the node assumes.
    """

    routine: int = 5
    failure: int = 40
    belief: int = 40


class LogBudget:
    """Limits log lines in windows of one second.

    Args:
        bounds: Maximum number of lines per second.
    """

    def __init__(self, bounds: LogBounds) -> None:
        self._limits = {
            LineCategory.ROUTINE: bounds.routine,
            LineCategory.FAILURE: bounds.failure,
            LineCategory.BELIEF: bounds.belief,
        }
        self._window = 0
        self._reported_window = 0
        self._written: collections.Counter[LineCategory] = (
            collections.Counter()
        )
        self._omitted: collections.Counter[LineCategory] = (
            collections.Counter()
        )

    def admit(self, category: LineCategory, now: float) -> bool:
        """Return whether a line may be written now, and count it.

        Args:
            category: Category of the line.
            now: Time in seconds.
        """
        window = int(now)
        if window != self._window:
            self._window = window
            self._written.clear()
        if self._written[category] >= self._limits[category]:
            self._omitted[category] += 1
            return False
        self._written[category] += 1
        return True

    def take_omitted(self, now: float) -> dict[str, int]:
        """Return and reset the counts of omitted lines, once a second.

        Returns:
            Number of omitted lines by the name of their category.
        """
        if int(now) == self._reported_window or not self._omitted:
            return {}
        self._reported_window = int(now)
        omitted = {
            category.name.lower(): count
            for category, count in self._omitted.items()
        }
        self._omitted.clear()
        return omitted
