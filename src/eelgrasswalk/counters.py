"""Counts of calls by listener, verdict and importance."""

import collections
import dataclasses
import typing

from . import verdict

if typing.TYPE_CHECKING:
    from .filters import exchange


@dataclasses.dataclass(frozen=True, slots=True)
class CallKind:
    """What calls are counted by.

    Args:
        source: Listener: `caller` or `target`.
        verdict: `answered`, `not-run` or `may-have-run`.
        reason: Why there is no answer; empty for answers.
        importance: Number of the importance; -1 before it is known.
        account: Client account; empty when there is none.
    """

    source: str
    verdict: str
    reason: str
    importance: int
    account: str


class Counters:
    """Plain counts that metrics and the status page read."""

    def __init__(self) -> None:
        self.calls: collections.Counter[CallKind] = collections.Counter()

    def count(
        self,
        source: 'exchange.Source',
        item: 'exchange.Exchange | None',
        outcome: verdict.Verdict,
    ) -> None:
        """Count one call."""
        context = item.context if item is not None else None
        kind = CallKind(
            source=source.value,
            verdict=_name_verdict(outcome),
            reason=_name_reason(outcome),
            importance=context.importance if context is not None else -1,
            account=item.account if item is not None else '',
        )
        self.calls[kind] += 1


def _name_verdict(outcome: verdict.Verdict) -> str:
    if isinstance(outcome, verdict.Answered):
        return 'answered'
    if isinstance(outcome, verdict.NotRun):
        return 'not-run'
    return 'may-have-run'


def _name_reason(outcome: verdict.Verdict) -> str:
    if isinstance(outcome, verdict.Answered):
        return ''
    return outcome.reason.value
