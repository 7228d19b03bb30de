"""Tests of starting nodes and stand-ins as processes."""

import itertools
import unittest

from eelgrasswalk.bench import mesh

# Ports that the largest test module takes: three nodes for each of its tests.
PORTS_OF_A_MODULE = 25 * 3 * mesh.PORTS_PER_SIDECAR
SIDE_BY_SIDE = 8


class ListCandidatesTest(unittest.TestCase):
    def test_programs_side_by_side_do_not_meet(self) -> None:
        """A node that restarts leaves its ports free for a moment."""
        for first in (1, 4_000, 32_760):
            taken: set[int] = set()
            for pid in range(first, first + SIDE_BY_SIDE):
                ports = set(
                    itertools.islice(
                        mesh.list_candidates(pid), PORTS_OF_A_MODULE
                    )
                )
                self.assertFalse(taken & ports)
                taken |= ports
