"""How much of what was written to a connection its peer has taken."""

import asyncio
import fcntl
import struct
import termios

# Time between two observations from which a rate is computed.
MIN_INTERVAL_S = 0.5
_COUNT = struct.Struct('i')


class ReadProgress:
    """Follows what the peer of one connection has taken.

    A transport tells how much it holds itself. The kernel may hold several
    hundred kilobytes more and take further bytes only in large steps, so a
    slow peer would seem to take nothing for seconds.

    Args:
        now: Loop time.

    Attributes:
        written: Bytes written so far; increased by the owner.
        at: Loop time at which the peer was last seen to have taken bytes.
        bytes_per_s: Rate at which it takes them; None when not known yet.
    """

    def __init__(self, now: float) -> None:
        self.written = 0
        self.at = now
        self.bytes_per_s: float | None = None
        self._taken = 0
        self._observed_at: float | None = None

    def observe(self, transport: asyncio.Transport, now: float) -> None:
        """Look at what the peer has taken.

        Args:
            transport: Transport of the connection.
            now: Loop time.
        """
        unread = transport.get_write_buffer_size() + _count_queued(transport)
        taken = max(self._taken, self.written - unread)
        if self._observed_at is not None:
            interval_s = now - self._observed_at
            if interval_s < MIN_INTERVAL_S:
                return
            self.bytes_per_s = (taken - self._taken) / interval_s
        if taken > self._taken:
            self._taken = taken
            self.at = now
        self._observed_at = now


def _count_queued(transport: asyncio.Transport) -> int:
    """Return how many bytes the kernel holds that the peer has not taken."""
    connected = transport.get_extra_info('socket')
    if connected is None:
        return 0
    try:
        queued = fcntl.ioctl(
            connected.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size)
        )
    except OSError:
        return 0
    (count,) = _COUNT.unpack(queued)
    return int(count)
