"""What became of attempts at the target of this node, for its gate."""

import collections

from .. import verdict
from ..transport import http_client

# Refused requests that are remembered; the oldest are forgotten.
MAX_REFUSED = 4096
# The connection has ended, as it does when the target crashes.
_LOST_REASONS = frozenset(
    (verdict.Reason.TARGET_LOST, verdict.Reason.ANSWER_INCOMPLETE)
)
# The target has sent more than is taken from it.
_EXCESS_REASONS = frozenset(
    (verdict.Reason.ANSWER_TOO_LARGE, verdict.Reason.MEMORY)
)


class RefusedRequests:
    """Ids of requests that the target has refused.

    A copy of an earlier refusal would pass for the answer to a retry.
    """

    def __init__(self) -> None:
        self._echoes: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, echo: bytes | None) -> bool:
        return echo in self._echoes

    def record(self, echo: bytes | None, outcome: verdict.Verdict) -> None:
        """Remember a request if the target has refused it.

        Args:
            echo: Id that the request and its answer carry; None without one.
            outcome: What came of it.
        """
        if echo is None or not _is_refused_by_target(outcome):
            return
        self._echoes[echo] = None
        if len(self._echoes) > MAX_REFUSED:
            self._echoes.popitem(last=False)


def refuse(
    reason: verdict.Reason, retry_after_s: float | None = None
) -> verdict.NotRun:
    """Return a refusal after which another upstream may be tried."""
    return verdict.NotRun(
        reason, retry_after_s=retry_after_s, retry_elsewhere=True
    )


def is_lost(outcome: http_client.Outcome) -> bool:
    """Return whether the connection ended under a call."""
    return (
        isinstance(outcome, http_client.Broken)
        and outcome.reason in _LOST_REASONS
    )


def is_excess(outcome: http_client.Broken) -> bool:
    """Return whether the target sent more than is taken from it."""
    return outcome.reason in _EXCESS_REASONS


def is_crash(outcome: verdict.Verdict) -> bool:
    """Return whether the target ended under a call."""
    return (
        isinstance(outcome, verdict.MayHaveRun)
        and outcome.reason is verdict.Reason.TARGET_CRASHED
    )


def is_withheld(outcome: verdict.Verdict) -> bool:
    """Return whether the gate itself refused a call that was admitted."""
    return (
        isinstance(outcome, verdict.NotRun)
        and outcome.reason is verdict.Reason.OVERLOAD
    )


def is_ok(outcome: verdict.Verdict) -> bool:
    """Return whether the target neither refused the call nor was lost."""
    if isinstance(outcome, verdict.Answered):
        return True
    return outcome.reason in (
        verdict.Reason.CALLER_GONE,
        verdict.Reason.DEADLINE,
    )


def _is_refused_by_target(outcome: verdict.Verdict) -> bool:
    return (
        isinstance(outcome, verdict.NotRun)
        and outcome.reason is verdict.Reason.TARGET_REFUSED
    )
