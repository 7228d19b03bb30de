"""How often a target fails by itself, as the node beside it sees.

That node sees all calls to the target, and knows which of them failed only
because a call that the target made had failed. Other nodes hear of it with
every answer, and need not find out each by calls of their own.
"""

from .. import verdict

# Weight of the newest call in the mean; about the last ten calls count.
WEIGHT = 0.1
# These say nothing of the target.
_BLAMELESS = frozenset(
    (
        verdict.Reason.CALLER_GONE,
        verdict.Reason.DEADLINE,
        verdict.Reason.LEAVING,
    )
)


class TargetFailures:
    """Moving share of calls that failed by the target's fault."""

    def __init__(self) -> None:
        self.rate = 0.0

    def observe(
        self, outcome: verdict.Verdict, *, has_failed_call: bool
    ) -> None:
        """Take what became of a call at the target.

        Args:
            outcome: What became of it.
            has_failed_call: Whether a call that it made had failed.
        """
        if isinstance(outcome, verdict.Answered):
            failed = outcome.is_failure and not has_failed_call
        elif outcome.reason in _BLAMELESS:
            return
        else:
            failed = True
        self.rate += WEIGHT * (failed - self.rate)
