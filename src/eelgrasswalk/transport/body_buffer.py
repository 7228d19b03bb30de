"""The body of one message while it arrives, within a budget of memory."""

import io
import typing

from . import budget

# Memory is reserved in steps, as a body may arrive in many small parts.
STEP_BYTES = 4_096

Holder = typing.TypeVar('Holder')


class BodyBuffer:
    """Collects the parts of a body.

    The sender chooses the sizes of the parts, so they are copied into one
    buffer: kept as they are, each would take an object of its own. The memory
    is free again as soon as the body is taken or dropped, without the garbage
    collector: connections and their parsers refer to each other.

    Args:
        memory: Budget for bodies; None for no bound.
        guaranteed: Bytes that are taken also when the budget is used up.
    """

    def __init__(
        self, memory: budget.ByteBudget | None, *, guaranteed: int = 0
    ) -> None:
        self._memory = memory
        self._guaranteed = guaranteed
        self._reserved = 0
        self._head_bytes = 0
        self._first = b''
        # Gives up its bytes without a copy, which would double the memory of
        # a long body.
        self._buffer: io.BytesIO | None = None

    def __len__(self) -> int:
        if self._buffer is not None:
            return self._buffer.tell()
        return len(self._first)

    def append(self, part: bytes) -> bool:
        """Add the next part.

        Returns:
            Whether the budget allows for it; if not, the body is unchanged.
        """
        length = len(self) + len(part)
        if not self._reserve(length + self._head_bytes):
            return False
        if length == len(part):
            # Most bodies arrive in one part, which needs no copy.
            self._first = part
            return True
        if self._buffer is None:
            self._buffer = io.BytesIO()
            self._buffer.write(self._first)
            self._first = b''
        self._buffer.write(part)
        return True

    def add_head(self, length: int) -> bool:
        """Count bytes of the message's head as well.

        Returns:
            Whether the budget allows for them.
        """
        if not self._reserve(len(self) + self._head_bytes + length):
            return False
        self._head_bytes += length
        return True

    def take(self, build: typing.Callable[[bytes], Holder]) -> Holder:
        """Return an object with the body, and drop the body here.

        Args:
            build: Returns the object, which holds the body for as long as it
                lives. The memory of a long message stays reserved until then.
        """
        body = self._first
        if self._buffer is not None:
            body = self._buffer.getvalue()
            self._buffer = None
        length = len(body) + self._head_bytes
        holder = build(body)
        if self._memory is not None and length > budget.UNCOUNTED_BYTES:
            self._memory.hold(holder, self._reserved)
            self._reserved = 0
        self.drop()
        return holder

    def drop(self) -> None:
        """Drop the body and free its memory."""
        self._first = b''
        self._buffer = None
        if self._memory is not None and self._reserved:
            self._memory.release(self._reserved)
        self._reserved = 0
        self._head_bytes = 0

    def _reserve(self, length: int) -> bool:
        missing = length - self._reserved
        if self._memory is None or missing <= 0:
            return True
        missing = max(missing, STEP_BYTES)
        is_short = length <= budget.UNCOUNTED_BYTES
        if length <= self._guaranteed:
            self._memory.reserve_anyway(missing)
        elif not self._memory.try_reserve(
            missing, own=self._reserved, is_short=is_short
        ):
            return False
        self._reserved += missing
        return True
