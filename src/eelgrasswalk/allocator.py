"""Keeps the memory of a process near what it uses."""

import ctypes

# Blocks from this size on are mapped one by one.
MAPPED_BLOCK_BYTES = 131_072
# Name of the parameter in malloc.h.
_M_MMAP_THRESHOLD = -3


def map_large_blocks() -> bool:
    """Map each large block of memory by itself, for as long as it is used.

    The C library would raise the size from which it does so whenever such a
    block is freed. Long bodies that grow side by side would then move within
    the heap again and again, and the holes that they leave stay resident.

    Returns:
        Whether the C library takes the parameter.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is None:
        return False
    return bool(mallopt(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES))
