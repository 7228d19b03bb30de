"""Sends attempts to this node's target or, over a link, to another node."""

import typing

from .. import verdict
from ..transport import acceptor
from ..transport import dialler
from ..transport import frames


class AddressLookup(typing.Protocol):
    """Looks up the addresses at which nodes accept links."""

    def find_address(self, node_id: str) -> dialler.Address | None:
        """Return a node's address, or None if it is unknown."""


class Transmitter:
    """Sends attempts to the nodes of their upstreams.

    Args:
        node_id: Id of this node, whose own target needs no link.
        addresses: Looks up addresses of upstreams' nodes.
        links: Sends attempts to other nodes.
        runner: Runs attempts at this node's own target.
    """

    def __init__(
        self,
        *,
        node_id: str,
        addresses: AddressLookup,
        links: dialler.Dialler,
        runner: acceptor.Runner,
    ) -> None:
        self._node_id = node_id
        self._addresses = addresses
        self._links = links
        self._runner = runner

    async def transmit(
        self,
        node_id: str,
        call: frames.Call,
        *,
        deadline: float,
        retriable: bool,
    ) -> dialler.Reply:
        """Run one attempt at an upstream and return the reply.

        Args:
            node_id: Id of the upstream's node.
            call: The attempt.
            deadline: Loop time by which the answer is due.
            retriable: Whether the call is idempotent.
        """
        if node_id == self._node_id:
            return await self._runner.run(call)
        address = self._addresses.find_address(node_id)
        if address is None:
            refusal = verdict.NotRun(
                verdict.Reason.NO_UPSTREAM, retry_elsewhere=True
            )
            return dialler.Reply(refusal, None)
        return await self._links.call(
            address, call, deadline=deadline, retriable=retriable
        )
