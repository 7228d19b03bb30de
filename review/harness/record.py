"""The record of a script: what was sent, answered and run, and when."""

import pathlib
import time


class Record:
    """Writes lines with the seconds since its start.

    Args:
        path: File to write.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open('w', encoding='utf-8')

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f'{self.now():9.3f}  {text}\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
