"""Failure rate of a target, measured by the node beside it.

That node sees all calls to the target and knows which of them failed only
because a call made by the target had failed. It reports the rate with every
response, so that other nodes need not measure it with calls of their own.
"""

from .. import verdict

# Weight of the newest call; averages over about the last ten calls.
EWMA_WEIGHT = 0.1
# Reasons that are no evidence of a fault of the target.
_UNATTRIBUTABLE = frozenset(
    (
        verdict.Reason.CALLER_GONE,
        verdict.Reason.DEADLINE,
        verdict.Reason.LEAVING,
        verdict.Reason.EVACUATED,
    )
)


class TargetFailures:
    """Moving average of the share of calls that fail by the target's fault.

    Attributes:
        rate: Share of calls from 0 to 1.
    """

    def __init__(self) -> None:
        self.rate = 0.0

    def observe(
        self, outcome: verdict.Verdict, *, has_failed_call: bool
    ) -> None:
        """Record the outcome of a call to the target.

        Args:
            outcome: Outcome of the call.
            has_failed_call: Whether a call that the target made while
                handling it has failed.
        """
        if isinstance(outcome, verdict.Answered):
            failed = outcome.is_failure and not has_failed_call
        elif outcome.reason in _UNATTRIBUTABLE:
            return
        else:
            failed = True
        self.rate += EWMA_WEIGHT * (failed - self.rate)
