"""What the attempts of one call have met so far."""

import dataclasses

from .. import verdict

_NOT_REACHED = frozenset(
    (
        verdict.Reason.NO_UPSTREAM,
        verdict.Reason.TARGET_UNREACHABLE,
        verdict.Reason.FENCED,
        verdict.Reason.LEAVING,
        verdict.Reason.OVERLOAD,
        verdict.Reason.MEMORY,
    )
)


@dataclasses.dataclass(slots=True)
class AttemptHistory:
    """What the attempts of one call have met so far.

    Args:
        attempts: How many there were that might wait.
        probed: Nodes where a free slot was looked for in vain; a call waits
            there only if it cannot wait anywhere else.
        tried: Nodes that were tried.
        arrived_at: Nodes whose target has seen the call, or may have. Once
            there are as many as the route allows, a call that its target
            refused goes to one of them again.
    """

    attempts: int = 0
    probed: set[str] = dataclasses.field(default_factory=set)
    tried: set[str] = dataclasses.field(default_factory=set)
    reached: set[str] = dataclasses.field(default_factory=set)

    def record(self, node_id: str, outcome: verdict.Failure) -> None:
        """Take what became of an attempt that might wait."""
        self.attempts += 1
        self.tried.add(node_id)
        if may_have_reached_target(outcome):
            self.reached.add(node_id)


def is_full(outcome: verdict.Verdict) -> bool:
    """Return whether a target's node had no room, where another may."""
    return (
        isinstance(outcome, verdict.NotRun)
        and outcome.reason is verdict.Reason.OVERLOAD
        and outcome.retry_elsewhere
    )


def may_have_reached_target(outcome: verdict.Failure) -> bool:
    """Return whether the target has seen the call, or may have."""
    if isinstance(outcome, verdict.MayHaveRun):
        return True
    return outcome.reason not in _NOT_REACHED
