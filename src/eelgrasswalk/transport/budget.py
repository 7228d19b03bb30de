"""A bound on the bytes of bodies that a node holds in memory."""

import asyncio
import collections
import contextlib
import weakref

# Calls are refused from this share on, which leaves the rest to bodies of
# calls that already run.
ADMIT_SHARE = 0.5
# Bodies up to this length count only while they arrive; after that, the number
# of calls bounds them.
UNCOUNTED_BYTES = 65_536


def keep_alive(owner: object, held: object) -> None:
    """Keep an object, and its place in a budget, as long as its owner."""
    weakref.finalize(owner, id, held).atexit = False


class ByteBudget:
    """Counts the bytes of bodies held, and makes the next ones wait.

    Args:
        limit: Most bytes held at a time.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self._waiters: collections.deque[tuple[int, asyncio.Future[None]]] = (
            collections.deque()
        )

    def admits_calls(self) -> bool:
        """Tell whether a new call may start; its own body is held already."""
        return not self._waiters and self.used <= self.limit * ADMIT_SHARE

    def try_reserve(self, length: int, *, is_short: bool = False) -> bool:
        """Reserve bytes if they are free.

        Args:
            length: Number of bytes.
            is_short: Whether the whole body is short; longer ones give way to
                those that wait.

        Returns:
            Whether they were free.
        """
        if self._waiters and not is_short:
            return False
        if self.used + length > self.limit:
            return False
        self.used += length
        return True

    def reserve_anyway(self, length: int) -> None:
        """Reserve bytes, beyond the limit if they are not free.

        Args:
            length: Number of bytes.
        """
        self.used += length

    async def reserve(self, length: int) -> None:
        """Reserve bytes, first come first served.

        Raises:
            ValueError: The length is over the whole limit.
        """
        if length > self.limit:
            raise ValueError(
                f'{length} bytes are over the limit of {self.limit}; '
                'raise memory.body_bytes or lower max_answer_bytes'
            )
        if self.try_reserve(length):
            return
        waiter = asyncio.get_running_loop().create_future()
        entry = (length, waiter)
        self._waiters.append(entry)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release(length)
            else:
                # Memory that was released meanwhile has taken it out already.
                with contextlib.suppress(ValueError):
                    self._waiters.remove(entry)
                self._serve_waiters()
            raise

    def release(self, length: int) -> None:
        """Give reserved bytes back."""
        self.used -= length
        self._serve_waiters()

    def hold(self, owner: object, length: int) -> None:
        """Release reserved bytes when the object with the body is freed."""
        weakref.finalize(owner, self.release, length).atexit = False

    def _serve_waiters(self) -> None:
        while self._waiters:
            length, waiter = self._waiters[0]
            if self.used + length > self.limit:
                return
            self._waiters.popleft()
            if not waiter.done():
                self.used += length
                waiter.set_result(None)
