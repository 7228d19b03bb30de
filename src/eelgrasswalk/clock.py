"""The clock for promises that must also hold through a suspension."""

import time


def read_boot_time() -> float:
    """Return seconds of a clock that goes on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
