"""Sums a node's counts of calls for its status answer."""

import collections
import collections.abc
import typing

from .. import counters
from .. import verdict
from ..document import model

CALLER = 'caller'
_SHED = frozenset(
    reason.value
    for reason in (
        verdict.Reason.OVERLOAD,
        verdict.Reason.MEMORY,
        verdict.Reason.NO_UPSTREAM,
    )
)
# These say nothing about how well an account was served.
_NOT_COUNTED = frozenset(
    reason.value
    for reason in (
        verdict.Reason.QUOTA,
        verdict.Reason.BAD_REQUEST,
        verdict.Reason.NO_ROUTE,
        verdict.Reason.BODY_TOO_LARGE,
        verdict.Reason.HEADERS_TOO_LARGE,
        verdict.Reason.CALLER_GONE,
    )
)


def summarize_calls(
    calls: collections.abc.Mapping[counters.CallKind, int],
) -> dict[str, typing.Any]:
    """Return the callers' requests as the status answer gives them.

    Args:
        calls: Counts since the node's start.

    Returns:
        `answered`, `refused` by reason, `shed` by importance, and
        `accounts` with `sent` (within the rate) and `answered` of each.
    """
    answered = 0
    refused: collections.Counter[str] = collections.Counter()
    shed = {level.name.lower(): 0 for level in model.Importance}
    accounts: dict[str, dict[str, int]] = {}
    for kind, count in calls.items():
        if kind.source != CALLER:
            continue
        if kind.reason:
            refused[kind.reason] += count
        else:
            answered += count
        if kind.reason in _SHED and kind.importance >= 0:
            shed[model.Importance(kind.importance).name.lower()] += count
        if kind.account and kind.reason not in _NOT_COUNTED:
            served = accounts.setdefault(
                kind.account, {'sent': 0, 'answered': 0}
            )
            served['sent'] += count
            served['answered'] += 0 if kind.reason else count
    return {
        'answered': answered,
        'refused': dict(refused),
        'shed': shed,
        'accounts': accounts,
    }
