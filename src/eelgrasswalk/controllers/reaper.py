"""Removes the entries of nodes that have been unreachable for long."""

import asyncio
import random
import typing

from ..policy import roster
from . import background

# Counted from the first probe or dial without an answer. A link is closed 0.6
# s after such a probe, and the next dial fails after another 1.5 s.
LOST_AFTER_S = 2.0
INTERVAL_S = 1.0
# Approximate number of nodes that act in one interval; the others learn of it
# from the store.
ACTING_NODES = 4


class Keeper(typing.Protocol):
    """Holds the entries of nodes."""

    async def remove(self, node_id: str) -> None:
        """Remove the entry of a node."""


class Links(typing.Protocol):
    """Tells which nodes can be reached."""

    def list_failing(self, min_duration_s: float) -> list[str]:
        """Return the nodes that have been unreachable for a minimum time."""

    def forget_failures(self, node_id: str) -> None:
        """Forget the failures to reach a node."""

    def count_links(self) -> int:
        """Return the number of nodes that can be reached."""


class Reaper:
    """Removes the entries of nodes that cannot be reached.

    Args:
        keeper: Holds the entries of nodes.
        links: Links to other nodes.
        count_nodes: Returns the number of nodes.
        source: Random number generator; decides which nodes act.
    """

    def __init__(
        self,
        keeper: Keeper,
        links: Links,
        *,
        count_nodes: typing.Callable[[], int],
        source: random.Random,
    ) -> None:
        self._keeper = keeper
        self._links = links
        self._count_nodes = count_nodes
        self._random = source
        self._work = background.Background(self._run)

    async def start(self) -> None:
        """Start to check the links periodically."""
        await self._work.start()

    async def stop(self) -> None:
        """Stop checking the links."""
        await self._work.stop()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL_S * (0.5 + self._random.random()))
            if self._random.random() * self._count_nodes() < ACTING_NODES:
                await self.reap()

    async def reap(self) -> None:
        """Remove the nodes that are considered lost."""
        lost = roster.choose_lost(
            self._links.list_failing(LOST_AFTER_S),
            reached=self._links.count_links(),
        )
        for node_id in lost:
            self._links.forget_failures(node_id)
            await self._keeper.remove(node_id)
