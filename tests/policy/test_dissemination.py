"""Tests of the tree by which news of a crash reaches a whole service."""

import unittest

from eelgrasswalk.policy import dissemination


class DisseminationTest(unittest.TestCase):
    def test_every_node_is_told_once_and_tells_few(self) -> None:
        for size in (1, 2, 17, 70, 1200):
            group = [f'node-{number}' for number in range(size)]
            told = [group[size // 2]]
            for node_id in told:
                children = dissemination.list_children(
                    group[size // 2], node_id, group
                )
                self.assertLessEqual(len(children), dissemination.FANOUT)
                told.extend(children)
            self.assertEqual(sorted(group), sorted(told))

    def test_few_levels_reach_the_largest_fleet(self) -> None:
        reach = sum(
            dissemination.FANOUT**level
            for level in range(dissemination.MAX_HOPS)
        )
        self.assertGreater(reach, 1200)

    def test_node_that_is_not_listed_tells_as_well(self) -> None:
        """A node that has just started is in no list yet."""
        children = dissemination.list_children('new', 'new', ['a', 'b'])
        self.assertEqual(['a', 'b'], sorted(children))
