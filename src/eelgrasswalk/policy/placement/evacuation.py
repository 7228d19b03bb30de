"""Evacuated data centres: what changes, and which upstreams remain."""

import collections.abc
import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Marks:
    """What rows say of data centres; no data centre is in both sets.

    Args:
        evacuated: Data centres that have a row.
        lifted: Data centres whose row has been removed.
    """

    evacuated: frozenset[str] = frozenset()
    lifted: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of the set of evacuated data centres.

    Args:
        evacuated: The new set.
        begun: Data centres that are new in it.
        lifted: Data centres that are no longer in it.
    """

    evacuated: frozenset[str]
    begun: frozenset[str]
    lifted: frozenset[str]


class Located(typing.Protocol):
    """Something in a data centre."""

    @property
    def data_centre(self) -> str:
        """Name of the data centre."""


LocatedT = typing.TypeVar('LocatedT', bound=Located)


def find_change(
    known: frozenset[str], marks: Marks, *, is_complete: bool
) -> Change | None:
    """Return what some rows change, or None if they change nothing.

    Args:
        known: The evacuated data centres so far.
        marks: What the rows say.
        is_complete: Whether these are all rows of the table. A removed row is
            missing from them.
    """
    evacuated = marks.evacuated
    if not is_complete:
        evacuated = (known | marks.evacuated) - marks.lifted
    if evacuated == known:
        return None
    return Change(evacuated, evacuated - known, known - evacuated)


def keep_remaining(
    upstreams: collections.abc.Sequence[LocatedT],
    evacuated: frozenset[str],
) -> collections.abc.Sequence[LocatedT]:
    """Return the upstreams that are not in an evacuated data centre."""
    if not evacuated:
        return upstreams
    return [
        upstream
        for upstream in upstreams
        if upstream.data_centre not in evacuated
    ]
