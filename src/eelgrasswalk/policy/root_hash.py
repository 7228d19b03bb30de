"""Hash of a root request between 0 and 1, identical on every node.

Nodes that shed load refuse the same roots, so that a root is either served by
all the services it needs or uses capacity of none.
"""

import xxhash

_RANGE = 1 << 64


def compute_root_hash(root_id: str) -> float:
    """Return the hash of a root request.

    Args:
        root_id: ID of the root request.

    Returns:
        The hash, 0 <= hash < 1.
    """
    return xxhash.xxh3_64_intdigest(root_id.encode()) / _RANGE
