"""Tests of removing nodes that are gone."""

import random
import unittest

from eelgrasswalk.controllers import reaper


class Links:
    """Nodes that a test declares failing."""

    def __init__(self, failing: list[str], reached: int) -> None:
        self.failing = failing
        self.reached = reached

    def list_failing(self, min_duration_s: float) -> list[str]:
        return list(self.failing)

    def forget_failures(self, node_id: str) -> None:
        self.failing.remove(node_id)

    def count_links(self) -> int:
        return self.reached


class Keeper:
    """Keeps who was removed."""

    def __init__(self) -> None:
        self.removed: list[str] = []

    async def remove(self, node_id: str) -> None:
        self.removed.append(node_id)


class ReaperTest(unittest.IsolatedAsyncioTestCase):
    async def reap(self, links: Links, times: int = 1) -> list[str]:
        keeper = Keeper()
        subject = reaper.Reaper(
            keeper, links, count_nodes=lambda: 8, source=random.Random(1)
        )
        for _ in range(times):
            await subject.reap()
        return keeper.removed

    async def test_node_is_removed_once(self) -> None:
        """It may be back; the next failure counts anew."""
        removed = await self.reap(Links(['n2'], 8), times=3)
        self.assertEqual(['n2'], removed)

    async def test_node_that_is_cut_off_removes_nobody(self) -> None:
        removed = await self.reap(Links(['n2', 'n3', 'n4'], 2))
        self.assertEqual([], removed)
