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

    A body may go beyond the limit while the others are well below it: one as
    long as is allowed may take more than a small machine has for many.

    Args:
        limit: Most bytes held at a time.
        extra: Bytes beyond the limit that such a body may take.

    Attributes:
        limit: As above; may be changed at any time.
        extra: As above; may be changed at any time.
        used: Bytes held.
    """

    def __init__(self, limit: int, *, extra: int = 0) -> None:
        self.limit = limit
        self.extra = extra
        self.used = 0
        self._waiters: collections.deque[tuple[int, asyncio.Future[None]]] = (
            collections.deque()
        )

    @property
    def capacity(self) -> int:
        """Most bytes held at a time with a body beyond the limit."""
        return self.limit + self.extra

    @property
    def excess(self) -> int:
        """Bytes held beyond the limit."""
        return max(0, self.used - self.limit)

    def admits_calls(self, body: bytes = b'') -> bool:
        """Tell whether a new call may start.

        Args:
            body: Body of the call, which is held already.
        """
        if self._waiters:
            return False
        share = self.limit * ADMIT_SHARE
        own = len(body) if len(body) > UNCOUNTED_BYTES else 0
        return self.used - own <= share or self.capacity - self.used >= share

    def _fits(self, length: int, *, own: int = 0) -> bool:
        """Tell whether bytes are free for a body that has others already."""
        if self.used + length <= self.limit:
            return True
        return (
            self.used + length <= self.capacity
            and self.used - own <= self.limit * ADMIT_SHARE
        )

    def try_reserve(
        self, length: int, *, own: int = 0, is_short: bool = False
    ) -> bool:
        """Reserve bytes if they are free.

        Args:
            length: Number of bytes.
            own: Bytes that are reserved for the same body already.
            is_short: Whether the whole body is short; longer ones give way to
                those that wait.

        Returns:
            Whether they were free.
        """
        if self._waiters and not is_short:
            return False
        if is_short:
            fits = self.used + length <= self.capacity
        else:
            fits = self._fits(length, own=own)
        if fits:
            self.used += length
        return fits

    def reserve_anyway(self, length: int) -> None:
        """Reserve bytes, beyond the limit if they are not free.

        Args:
            length: Number of bytes.
        """
        self.used += length

    async def reserve(self, length: int) -> None:
        """Reserve bytes, first come first served.

        Raises:
            ValueError: The length is over the whole capacity.
        """
        if length > self.capacity:
            raise ValueError(
                f'{length} bytes are over the limit of {self.capacity}; '
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
            if waiter.done():
                self._waiters.popleft()
                continue
            if not self._fits(length):
                return
            self._waiters.popleft()
            self.used += length
            waiter.set_result(None)
