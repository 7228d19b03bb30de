"""Bounds what calls of other nodes make the node beside their target hold."""

from .. import verdict
from ..policy import client_load
from ..transport import budget
from ..transport import dialler
from ..transport import frames
from . import gate

RETRY_AFTER_S = 1.0


class PeerCalls:
    """Runs calls that have come over links.

    Args:
        target_gate: Runs them.
        memory: Counts what they and their answers take, but for long bodies,
            which the budget of bodies counts.

    Attributes:
        memory: As above.
        refused: Number of calls refused for lack of memory.
    """

    def __init__(
        self, target_gate: gate.Gate, memory: budget.ByteBudget
    ) -> None:
        self.memory = memory
        self.refused = 0
        self._gate = target_gate

    async def run(self, call: frames.Call) -> dialler.Reply:
        """Run one attempt; cancelled when nobody waits for it any more."""
        cost = _compute_cost(call)
        if not client_load.admits_peer_call(
            cost, used=self.memory.used, limit=self.memory.limit
        ):
            self.refused += 1
            return self._gate.refuse(
                call,
                verdict.NotRun(
                    verdict.Reason.MEMORY,
                    retry_after_s=RETRY_AFTER_S,
                    retry_elsewhere=True,
                ),
            )
        self.memory.reserve_anyway(cost)
        try:
            return await self._gate.run(call)
        finally:
            self.memory.release(cost)


def _compute_cost(call: frames.Call) -> int:
    request = call.request
    cost = client_load.REQUEST_BYTES
    cost += client_load.compute_headers_cost(request.headers)
    if len(request.body) <= budget.UNCOUNTED_BYTES:
        cost += len(request.body)
    return cost
