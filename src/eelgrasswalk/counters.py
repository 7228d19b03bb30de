"""Counts of calls by listener, verdict and importance."""

import collections
import dataclasses
import typing

from . import verdict
from .document import model

if typing.TYPE_CHECKING:
    from .filters import filter_chain


_SHED_REASONS = frozenset(
    (verdict.Reason.OVERLOAD.value, verdict.Reason.MEMORY.value)
)


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
        source: 'filter_chain.Source',
        exchange: 'filter_chain.Exchange | None',
        outcome: verdict.Verdict,
    ) -> None:
        """Count one call."""
        context = exchange.context if exchange is not None else None
        kind = CallKind(
            source=source.value,
            verdict=_name_verdict(outcome),
            reason=_name_reason(outcome),
            importance=context.importance if context is not None else -1,
            account=exchange.account if exchange is not None else '',
        )
        self.calls[kind] += 1

    def summarize(self) -> dict[str, typing.Any]:
        """Return callers' calls as operators read them.

        `answered` counts answers, `shed` refusals for load by importance,
        `accounts` what each client account sent and had answered.
        """
        answered = 0
        shed: collections.Counter[str] = collections.Counter()
        accounts: dict[str, collections.Counter[str]] = {}
        for kind, count in self.calls.items():
            if kind.source != 'caller':
                continue
            if kind.verdict == 'answered':
                answered += count
            if kind.reason in _SHED_REASONS:
                shed[name_importance(kind.importance)] += count
            if kind.account:
                own = accounts.setdefault(kind.account, collections.Counter())
                own['sent'] += count
                own[kind.reason or 'answered'] += count
        return {
            'answered': answered,
            'shed': dict(shed),
            'accounts': {name: dict(own) for name, own in accounts.items()},
        }


def name_importance(value: int) -> str:
    """Return the name of an importance; `unknown` before it is known."""
    if value < 0:
        return 'unknown'
    return model.Importance(min(value, max(model.Importance))).name.lower()


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
