"""Tests of how memory is allocated."""

import pathlib
import re
import subprocess
import sys
import unittest

# Buffers grow side by side, and every other one is freed.
_SCRIPT = """
import io, sys
from eelgrasswalk import allocator
if sys.argv[1] == 'mapped':
    allocator.map_large_blocks()
for _ in range(3):
    buffers = [io.BytesIO() for _ in range(40)]
    for _ in range(60):
        for buffer in buffers:
            buffer.write(bytes(16_384))
    kept = buffers[::2]
    del buffers, buffer
print(open('/proc/self/status').read())
"""


def measure_rest_mb(kind: str) -> float:
    """Return the resident memory of a process that still holds 20 MB."""
    result = subprocess.run(
        [sys.executable, '-c', _SCRIPT, kind],
        capture_output=True,
        text=True,
        check=True,
        cwd=pathlib.Path(__file__).parent.parent,
    )
    (line,) = re.findall(r'^VmRSS:\s+(\d+) kB$', result.stdout, re.MULTILINE)
    return int(line) / 1024


class AllocatorTest(unittest.TestCase):
    def test_freed_blocks_are_returned(self) -> None:
        """The holes of freed bodies stayed resident."""
        usual, mapped = measure_rest_mb('usual'), measure_rest_mb('mapped')
        self.assertLess(mapped, usual)
        self.assertLess(mapped, 50.0)
