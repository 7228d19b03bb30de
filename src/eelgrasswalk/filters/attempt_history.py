"""Attempts made so far for one call."""

import collections.abc
import dataclasses

from .. import verdict

_NOT_REACHED = frozenset(
    (
        verdict.Reason.NO_UPSTREAM,
        verdict.Reason.TARGET_UNREACHABLE,
        verdict.Reason.FENCED,
        verdict.Reason.LEAVING,
        verdict.Reason.EVACUATED,
        verdict.Reason.ISOLATED,
        verdict.Reason.QUARANTINED,
        verdict.Reason.OVERLOAD,
        verdict.Reason.MEMORY,
    )
)


_UNREACHABLE = frozenset(
    (
        verdict.Reason.NO_UPSTREAM,
        verdict.Reason.TARGET_UNREACHABLE,
        verdict.Reason.FENCED,
        verdict.Reason.LEAVING,
        verdict.Reason.EVACUATED,
        verdict.Reason.LINK_LOST,
    )
)


@dataclasses.dataclass(slots=True)
class AttemptHistory:
    """Attempts made so far for one call.

    Args:
        attempts: Number of attempts that were allowed to queue.
        deliveries: Number of attempts whose target has, or may have, received
            the call.
        run_at: Id of the node to which the last one was directed; empty if it
            was not.
        probed: Ids of nodes that a probe found without a free slot. The call
            queues at one of them only if no other node is left.
        tried: Ids of nodes that an attempt allowed to queue was sent to.
        unreachable: Ids of nodes that could not be reached, or whose targets
            took no call.
        reached: Ids of nodes whose target has, or may have, received the
            call. Once their number reaches the route's limit, retries go to
            these nodes only.
        evacuated: Data centres whose nodes refused the call because of an
            evacuation.
        homes: Data centres in which the call may run; None for all.
    """

    attempts: int = 0
    deliveries: int = 0
    run_at: str = ''
    probed: set[str] = dataclasses.field(default_factory=set)
    tried: set[str] = dataclasses.field(default_factory=set)
    unreachable: set[str] = dataclasses.field(default_factory=set)
    reached: set[str] = dataclasses.field(default_factory=set)
    evacuated: set[str] = dataclasses.field(default_factory=set)
    homes: collections.abc.Set[str] | None = None

    def record_evacuated(self, node_id: str, data_centre: str) -> None:
        """Record a refusal because of an evacuation.

        It does not count as an attempt: this node may not know of the
        evacuation yet. No other node of the data centre is tried, so there
        is at most one such refusal for each data centre.
        """
        self.tried.add(node_id)
        self.unreachable.add(node_id)
        self.evacuated.add(data_centre)

    def record(self, node_id: str, outcome: verdict.Failure) -> None:
        """Record a failed attempt that was allowed to queue."""
        self.attempts += 1
        self.tried.add(node_id)
        if outcome.reason in _UNREACHABLE:
            self.unreachable.add(node_id)
        if may_have_reached_target(outcome):
            self.deliveries += 1
            self.reached.add(node_id)


def is_retriable_overload(outcome: verdict.Verdict) -> bool:
    """Return whether a node refused for overload and another may accept."""
    return (
        isinstance(outcome, verdict.NotRun)
        and outcome.reason is verdict.Reason.OVERLOAD
        and outcome.retry_elsewhere
    )


def is_evacuated(outcome: verdict.Verdict) -> bool:
    """Return whether a node refused because of an evacuation."""
    return (
        isinstance(outcome, verdict.NotRun)
        and outcome.reason is verdict.Reason.EVACUATED
    )


def may_have_reached_target(outcome: verdict.Failure) -> bool:
    """Return whether the target has, or may have, received the call."""
    if isinstance(outcome, verdict.MayHaveRun):
        return True
    return outcome.reason not in _NOT_REACHED
