"""Tree by which a node tells all others of a group.

It handles news of a crash in a large service: it has to reach every node
within milliseconds, before the request that caused the crash comes again, and
no node may send a message to each of hundreds. Nodes that know the same group
compute the same tree; where they differ for a moment, a node may be told twice
or not at all.
"""

import collections.abc

# Nodes that a node tells; three levels reach over four thousand nodes.
FANOUT = 16
MAX_HOPS = 4


def list_children(
    origin: str,
    node_id: str,
    group: collections.abc.Iterable[str],
) -> list[str]:
    """Return the nodes that a node has to tell.

    Args:
        origin: Id of the node where the news began.
        node_id: Id of the node that tells.
        group: Ids of all nodes of the group.
    """
    order = sorted({*group, origin, node_id})
    start = order.index(origin)
    order = order[start:] + order[:start]
    first = FANOUT * order.index(node_id) + 1
    return order[first : first + FANOUT]
