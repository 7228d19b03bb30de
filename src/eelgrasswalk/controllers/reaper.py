"""Removes the entries of nodes that are gone without a word."""

import asyncio
import random
import typing

from ..policy import roster
from . import background

# Counted from the first probe or dial without an answer. A link is left 0.6 s
# after such a probe, and one dial after that fails after another 1.5 s.
LOST_AFTER_S = 2.0
INTERVAL_S = 1.0
# Nodes of the whole fleet that act in one interval, about; the others hear of
# it from the store.
TURNS = 4


class Keeper(typing.Protocol):
    """Keeps the entries of nodes."""

    async def remove(self, node_id: str) -> None:
        """Take a node for gone."""


class Links(typing.Protocol):
    """Knows which nodes can be reached."""

    def list_failing(self, min_duration_s: float) -> list[str]:
        """Return the nodes that could not be reached for so long."""

    def forget_failures(self, node_id: str) -> None:
        """Count the failures of a node anew."""

    def count_links(self) -> int:
        """Return how many nodes are reached."""


class Reaper:
    """Looks after nodes that cannot be reached.

    Args:
        keeper: Keeps the entries of nodes.
        links: Links to other nodes.
        count_nodes: Returns how many nodes there are.
        source: Random numbers; nodes that see the same take turns.
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
        """Begin to look."""
        await self._work.start()

    async def stop(self) -> None:
        """End."""
        await self._work.stop()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL_S * (0.5 + self._random.random()))
            if self._random.random() * self._count_nodes() < TURNS:
                await self.reap()

    async def reap(self) -> None:
        """Remove the nodes that are gone."""
        lost = roster.choose_lost(
            self._links.list_failing(LOST_AFTER_S),
            reached=self._links.count_links(),
        )
        for node_id in lost:
            self._links.forget_failures(node_id)
            await self._keeper.remove(node_id)
