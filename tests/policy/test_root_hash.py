"""Tests of the hash of root requests."""

import unittest

import hypothesis
from hypothesis import strategies

from eelgrasswalk.policy import root_hash


class RootHashTest(unittest.TestCase):
    @hypothesis.given(strategies.text())
    def test_position_lies_between_0_and_1(self, root_id: str) -> None:
        position = root_hash.compute_root_hash(root_id)
        self.assertGreaterEqual(position, 0.0)
        self.assertLess(position, 1.0)

    def test_every_node_finds_the_same(self) -> None:
        """Nodes of all versions must agree, so the value itself is fixed."""
        self.assertAlmostEqual(
            0.6309, root_hash.compute_root_hash('9c41d07be2a35f68'), places=4
        )

    def test_positions_are_spread_evenly(self) -> None:
        below = sum(
            root_hash.compute_root_hash(f'{number:x}') < 0.25
            for number in range(4000)
        )
        self.assertAlmostEqual(1000, below, delta=100)
