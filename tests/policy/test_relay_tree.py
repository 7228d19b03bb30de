"""Tests for the tree over which nodes relay changes of the store."""

import unittest

from eelgrasswalk.policy import relay_tree


def build_ids(count: int) -> list[str]:
    return [f'host-{index}' for index in range(count)]


class PlaceTest(unittest.TestCase):
    def test_every_child_has_exactly_one_parent(self) -> None:
        for count in (1, 2, 3, 4, 16, 194):
            ids = build_ids(count)
            places = {name: relay_tree.find_place(name, ids) for name in ids}
            roots = [name for name in ids if places[name].is_root]
            self.assertEqual(min(count, relay_tree.ROOT_COUNT), len(roots))
            children = [
                child for place in places.values() for child in place.children
            ]
            self.assertEqual(len(children), len(set(children)))
            for name, place in places.items():
                for child in place.children:
                    self.assertEqual(name, places[child].parent)

    def test_roots_reach_nearly_all_nodes_in_few_hops(self) -> None:
        ids = build_ids(1200)
        places = {name: relay_tree.find_place(name, ids) for name in ids}
        reached = {name for name in ids if places[name].is_root}
        level = set(reached)
        for _ in range(8):
            level = {
                child for name in level for child in places[name].children
            }
            reached |= level
        self.assertGreaterEqual(len(reached), 0.95 * len(ids))

    def test_number_of_children_is_bounded(self) -> None:
        for count in (30, 300, 1200):
            ids = build_ids(count)
            most = max(
                len(relay_tree.find_place(name, ids).children) for name in ids
            )
            self.assertLessEqual(most, relay_tree.MAX_CHILDREN)

    def test_removing_a_node_moves_few_others(self) -> None:
        ids = build_ids(194)
        before = {
            name: relay_tree.find_place(name, ids).parent for name in ids
        }
        moved = 0
        for removed in ids[:40]:
            left = [name for name in ids if name != removed]
            moved += sum(
                relay_tree.find_place(name, left).parent != before[name]
                for name in left
            )
        self.assertLess(moved / 40, 2 * relay_tree.FANOUT)

    def test_another_node_replaces_a_lost_root(self) -> None:
        ids = build_ids(70)
        roots = {
            name for name in ids if relay_tree.find_place(name, ids).is_root
        }
        lost = min(roots)
        left = [name for name in ids if name != lost]
        after = {
            name for name in left if relay_tree.find_place(name, left).is_root
        }
        self.assertLess(roots - {lost}, after)
        self.assertEqual(relay_tree.ROOT_COUNT, len(after))

    def test_node_order_does_not_matter(self) -> None:
        ids = build_ids(50)
        for name in ids:
            self.assertEqual(
                relay_tree.find_place(name, ids),
                relay_tree.find_place(name, reversed(ids)),
            )

    def test_unlisted_node_has_no_place(self) -> None:
        self.assertEqual(
            relay_tree.UNPLACED, relay_tree.find_place('x', build_ids(9))
        )
