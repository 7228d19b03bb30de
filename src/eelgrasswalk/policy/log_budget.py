"""Which log lines are written when there are more than a reader can use.

What went wrong is kept before what went well. What is left out is counted,
so that a reader knows.
"""

import collections
import dataclasses
import enum


class LineCategory(enum.IntEnum):
    """How much a line tells; counted for each call."""

    ROUTINE = 0
    FAILURE = 1
    BELIEF = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LogBounds:
    """Lines in a second of each weight.

    Args:
        routine: Calls that went well.
        failure: Calls that were refused, failed or are in doubt.
        belief: Changes of what the node believes.
    """

    routine: int = 5
    failure: int = 40
    belief: int = 40


class LogBudget:
    """Counts lines in windows of a second.

    Args:
        bounds: Lines in a second.
    """

    def __init__(self, bounds: LogBounds) -> None:
        self._most = {
            LineCategory.ROUTINE: bounds.routine,
            LineCategory.FAILURE: bounds.failure,
            LineCategory.BELIEF: bounds.belief,
        }
        self._window = 0
        self._told_in = 0
        self._written: collections.Counter[LineCategory] = (
            collections.Counter()
        )
        self._omitted: collections.Counter[LineCategory] = (
            collections.Counter()
        )

    def admit(self, weight: LineCategory, now: float) -> bool:
        """Return whether a line may be written now, and count it."""
        window = int(now)
        if window != self._window:
            self._window = window
            self._written.clear()
        if self._written[weight] >= self._most[weight]:
            self._omitted[weight] += 1
            return False
        self._written[weight] += 1
        return True

    def take_omitted(self, now: float) -> dict[str, int]:
        """Return and reset what was left out, by weight, once a second."""
        if int(now) == self._told_in or not self._omitted:
            return {}
        self._told_in = int(now)
        omitted = {
            weight.name.lower(): count
            for weight, count in self._omitted.items()
        }
        self._omitted.clear()
        return omitted
