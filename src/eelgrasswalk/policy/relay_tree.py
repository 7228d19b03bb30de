"""Tree over which nodes relay changes of the store, to limit its reads.

It bounds the load on the store when hundreds of nodes start together, and
when a change would otherwise be read once by every node. A few roots poll the
store; every other node has one parent, which forwards changes to it.

The tree depends only on hashes of the node ids. Nodes that know the same nodes
compute the same tree, and adding or removing a node moves only its neighbours.
A node whose parent is lost or has older data polls the store itself, and
forwards changes to its own children.
"""

import bisect
import collections.abc
import dataclasses
import functools
import math

import xxhash

# Nodes of the whole fleet that poll the store; two may be lost at once.
ROOT_COUNT = 3
# Average number of nodes in a level for each node of the next higher level.
FANOUT = 4
# Maximum number of children of a node, which otherwise varies around the
# fan-out for each lower level. Nodes beyond the maximum poll the store.
MAX_CHILDREN = 24
_ROOT_LEVEL = 64
_HASH_SPACE = 1 << 64


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A node's place in the relay tree.

    Args:
        is_root: Whether the node polls the store on behalf of others.
        parent: Id of the node that forwards changes to it; None for a root
            or a node without a place.
        children: Ids of the nodes to which it forwards changes.
    """

    is_root: bool
    parent: str | None
    children: tuple[str, ...]

    def list_neighbours(self) -> tuple[str, ...]:
        """Return the ids of the parent, if any, and the children."""
        if self.parent is None:
            return self.children
        return (self.parent, *self.children)


@dataclasses.dataclass(frozen=True, slots=True)
class _RingNode:
    node_id: str
    rank: int
    angle: int
    level: int


# Place of a node that is not in the list of nodes yet.
UNPLACED = Place(is_root=False, parent=None, children=())


def find_place(node_id: str, node_ids: collections.abc.Iterable[str]) -> Place:
    """Return a node's place in the relay tree.

    Args:
        node_id: Id of the node.
        node_ids: Ids of all live nodes, in any order.

    Returns:
        The place; `UNPLACED` if the node is not among the live nodes.
    """
    nodes = _sort_by_rank(node_ids)
    own = next((node for node in nodes if node.node_id == node_id), None)
    if own is None:
        return UNPLACED
    is_root = own.level == _ROOT_LEVEL
    parent = None if is_root else _find_parent(own, nodes)
    return Place(is_root, parent, _find_children(own, nodes))


def _sort_by_rank(node_ids: collections.abc.Iterable[str]) -> list[_RingNode]:
    """Return the nodes sorted by rank, the first ones as roots."""
    nodes = sorted(
        (_hash_node(node_id) for node_id in set(node_ids)),
        key=lambda node: (node.rank, node.node_id),
    )
    roots = [
        dataclasses.replace(node, level=_ROOT_LEVEL)
        for node in nodes[:ROOT_COUNT]
    ]
    return [*roots, *nodes[ROOT_COUNT:]]


@functools.lru_cache(maxsize=8192)
def _hash_node(node_id: str) -> _RingNode:
    rank = xxhash.xxh3_64_intdigest(node_id.encode())
    angle = xxhash.xxh3_64_intdigest(node_id.encode(), seed=1)
    level = int(math.log(_HASH_SPACE / (rank + 1), FANOUT))
    return _RingNode(node_id, rank, angle, min(level, _ROOT_LEVEL - 1))


def _list_angles(nodes: list[_RingNode], above: int) -> list[tuple[int, str]]:
    return sorted(
        (node.angle, node.node_id) for node in nodes if node.level > above
    )


def _find_parent(own: _RingNode, nodes: list[_RingNode]) -> str:
    """Return the id of the next node of a higher level on the hash ring."""
    angles = _list_angles(nodes, own.level)
    index = bisect.bisect_left(angles, (own.angle, ''))
    return angles[index % len(angles)][1]


def _find_children(own: _RingNode, nodes: list[_RingNode]) -> tuple[str, ...]:
    children: list[_RingNode] = []
    levels = {node.level for node in nodes if node.level < own.level}
    for level in levels:
        angles = _list_angles(nodes, level)
        index = angles.index((own.angle, own.node_id))
        previous = angles[index - 1][0]
        children += (
            node
            for node in nodes
            if node.level == level
            and _is_between(node.angle, previous, own.angle)
        )
    # Nodes of higher levels come first, as they have children themselves.
    children.sort(key=lambda node: (-node.level, node.rank))
    return tuple(node.node_id for node in children[:MAX_CHILDREN])


def _is_between(angle: int, after: int, until: int) -> bool:
    """Return whether an angle is on the arc (after, until] of the ring."""
    if after < until:
        return after < angle <= until
    return angle > after or angle <= until
