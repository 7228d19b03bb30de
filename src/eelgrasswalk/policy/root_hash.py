"""Position of a root request between 0 and 1, the same at every node.

Nodes that must turn some roots away turn away the same ones, so that a root
is served by all services that it needs or costs none of them anything.
"""

import xxhash

_RANGE = 1 << 64


def compute_root_hash(root_id: str) -> float:
    """Return the position of a root request.

    Args:
        root_id: Identifies the root request.

    Returns:
        A number, 0 <= number < 1.
    """
    return xxhash.xxh3_64_intdigest(root_id.encode()) / _RANGE
