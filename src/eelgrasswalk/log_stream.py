"""A stream for log lines that never makes its writer wait."""

import os
import select

# A pipe that is ready takes this much without blocking (POSIX, PIPE_BUF).
CHUNK_BYTES = 4096
# Lines held for a reader that is slow for a moment.
MOST_HELD_BYTES = 262_144


class LogStream:
    """Writes lines as far as the reader takes them and drops the rest.

    Args:
        descriptor: Where to write.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._held = bytearray()
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, text: str) -> int:
        """Take one whole line, or drop it when too much is held."""
        data = text.encode('utf-8', 'replace')
        if len(self._held) + len(data) > MOST_HELD_BYTES:
            self.dropped += 1
        else:
            self._held += data
        return len(text)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._held and self._poll.poll(0):
            try:
                written = os.write(self._descriptor, self._held[:CHUNK_BYTES])
            except OSError:
                # The reader is gone; nobody can be told.
                self.dropped += 1
                self._held.clear()
                return
            del self._held[:written]
