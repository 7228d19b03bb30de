"""Who tells whom what the store holds, so that few nodes ask it.

Load patterns that it answers: hundreds of nodes that start together, and a
fleet in which each change would be read once by every node. A few roots ask
the store; each other node has one parent, which tells it what changed.

Places follow from hashes of the nodes' ids alone. A node that comes or goes
moves only those next to it, and all that know the same nodes agree. A node
whose parent is lost or knows less asks the store by itself, and tells its own
children.
"""

import bisect
import collections.abc
import dataclasses
import functools
import math

import xxhash

# Nodes of the whole fleet that ask the store; two may be lost at once.
ROOT_COUNT = 3
# Nodes of a level for each node of the next one, about.
FANOUT = 4
# Most children of a node. Their number varies around the fan-out for each
# level below; those beyond it ask the store.
MAX_CHILDREN = 24
_TOP = 64
_HASH_SPACE = 1 << 64


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A node's place among the others.

    Args:
        is_root: Whether it asks the store for the others.
        parent: The node that tells it; None for a root.
        children: The nodes that it tells.
    """

    is_root: bool
    parent: str | None
    children: tuple[str, ...]

    def list_neighbours(self) -> tuple[str, ...]:
        """Return the nodes on the edges of the tree at this one."""
        if self.parent is None:
            return self.children
        return (self.parent, *self.children)


@dataclasses.dataclass(frozen=True, slots=True)
class _Position:
    node_id: str
    rank: int
    angle: int
    level: int


# A node that the others do not know yet has no place.
UNPLACED = Place(is_root=False, parent=None, children=())


def find_place(node_id: str, node_ids: collections.abc.Iterable[str]) -> Place:
    """Return a node's place.

    Args:
        node_id: The node.
        node_ids: The nodes that live; without the node itself among them it
            has no place.
    """
    nodes = _rank_nodes(node_ids)
    own = next((node for node in nodes if node.node_id == node_id), None)
    if own is None:
        return UNPLACED
    is_root = own.level == _TOP
    parent = None if is_root else _find_parent(own, nodes)
    return Place(is_root, parent, _find_children(own, nodes))


def _rank_nodes(node_ids: collections.abc.Iterable[str]) -> list[_Position]:
    """Return the nodes by rank, the first of them as roots."""
    nodes = sorted(
        (_locate(node_id) for node_id in set(node_ids)),
        key=lambda node: (node.rank, node.node_id),
    )
    roots = [
        dataclasses.replace(node, level=_TOP) for node in nodes[:ROOT_COUNT]
    ]
    return [*roots, *nodes[ROOT_COUNT:]]


@functools.lru_cache(maxsize=8192)
def _locate(node_id: str) -> _Position:
    rank = xxhash.xxh3_64_intdigest(node_id.encode())
    angle = xxhash.xxh3_64_intdigest(node_id.encode(), seed=1)
    level = int(math.log(_HASH_SPACE / (rank + 1), FANOUT))
    return _Position(node_id, rank, angle, min(level, _TOP - 1))


def _list_angles(nodes: list[_Position], above: int) -> list[tuple[int, str]]:
    return sorted(
        (node.angle, node.node_id) for node in nodes if node.level > above
    )


def _find_parent(own: _Position, nodes: list[_Position]) -> str:
    """Return the next node of a higher level around the circle."""
    angles = _list_angles(nodes, own.level)
    index = bisect.bisect_left(angles, (own.angle, ''))
    return angles[index % len(angles)][1]


def _find_children(own: _Position, nodes: list[_Position]) -> tuple[str, ...]:
    children: list[_Position] = []
    levels = {node.level for node in nodes if node.level < own.level}
    for level in levels:
        angles = _list_angles(nodes, level)
        index = angles.index((own.angle, own.node_id))
        before = angles[index - 1][0]
        children += (
            node
            for node in nodes
            if node.level == level
            and _is_between(node.angle, before, own.angle)
        )
    # Nodes of higher levels have children of their own.
    children.sort(key=lambda node: (-node.level, node.rank))
    return tuple(node.node_id for node in children[:MAX_CHILDREN])


def _is_between(angle: int, after: int, until: int) -> bool:
    """Return whether an angle lies on the arc that ends at another."""
    if after < until:
        return after < angle <= until
    return angle > after or angle <= until
