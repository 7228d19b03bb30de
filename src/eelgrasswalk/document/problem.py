"""Problems found in a document."""

import collections.abc
import dataclasses
import difflib
import typing

Path: typing.TypeAlias = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One fault of a document.

    Args:
        path: Where it is, such as `routes[stock].service`.
        line: Line in the source, from 1; 0 when there is none.
        message: What is wrong, what is allowed and what would mend it.
    """

    path: str
    line: int
    message: str


def suggest_name(name: str, known: collections.abc.Iterable[str]) -> str:
    """Return a sentence that names the nearest known name.

    Args:
        name: The name that is not known.
        known: The names that are.

    Returns:
        The sentence with a leading space, or an empty string when nothing
        is near.
    """
    nearest = difflib.get_close_matches(name, sorted(known), n=1)
    if not nearest:
        return ''
    return f" Did you mean '{nearest[0]}'?"


def list_names(names: collections.abc.Iterable[str]) -> str:
    """Return the names in order, shortened when there are many."""
    ordered = sorted(names)
    shown = ordered[:12]
    if len(ordered) > len(shown):
        shown.append(f'{len(ordered) - len(shown)} more')
    return ', '.join(shown)
