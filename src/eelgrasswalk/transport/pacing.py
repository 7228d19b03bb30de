"""Bounds the processor time that the bytes of one connection take at once.

A sender chooses the sizes of its parts. Each chunk of a body takes a call from
the parser, so a body in single bytes costs thousands of times as much as one
in large parts, and other clients of the node would wait for it.
"""

import asyncio
import collections
import typing

from . import budget

# Parts that a connection has handled in one turn.
MAX_PARTS_PER_TURN = 256
# Bytes that are fed at a time, and while the parts among them are small.
STEP_BYTES = 16_384
SMALL_STEP_BYTES = 1_024
# Parts in a step from which they are considered small.
MANY_PARTS = 64
# Time between two turns, which the node has for everything else.
PAUSE_S = 0.001

Feed: typing.TypeAlias = typing.Callable[[memoryview], None]


class Turns:
    """Gives one connection after the other a turn."""

    def __init__(self) -> None:
        self._waiting: collections.deque[typing.Callable[[], bool]] = (
            collections.deque()
        )
        self._timer: asyncio.TimerHandle | None = None

    def add(self, take_turn: typing.Callable[[], bool]) -> None:
        """Add a connection to those that wait.

        Args:
            take_turn: Works for one turn; returns whether there is more.
        """
        self._waiting.append(take_turn)
        if self._timer is None:
            self._schedule()

    def _schedule(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            PAUSE_S, self._run_one
        )

    def _run_one(self) -> None:
        self._timer = None
        take_turn = self._waiting.popleft()
        try:
            if take_turn():
                self._waiting.append(take_turn)
        finally:
            if self._waiting:
                self._schedule()


class PacedFeed:
    """Feeds what one connection has received to its parser.

    Bytes in large parts are fed as they arrive. Once there are too many small
    parts, the connection reads no more, and the rest is fed in turns.

    Args:
        turns: Shared with other connections.
        feed: Passes bytes to the parser; without effect when the connection
            has been closed.
        memory: Budget for bytes that wait; None for no bound.

    Attributes:
        parts: Counts the calls of the parser; increased by its callbacks.
    """

    def __init__(
        self, turns: Turns, feed: Feed, memory: budget.ByteBudget | None
    ) -> None:
        self.parts = 0
        self._turns = turns
        self._feed = feed
        self._memory = memory
        self._step = STEP_BYTES
        self._held: collections.deque[memoryview] = collections.deque()
        self._reserved = 0
        self._transport: asyncio.Transport | None = None

    def receive(self, data: bytes, transport: asyncio.Transport) -> bool:
        """Feed received bytes, now or in later turns.

        Args:
            data: The bytes.
            transport: Where they come from; it is paused while some wait.

        Returns:
            Whether the budget allows for what waits.
        """
        rest = memoryview(data)
        if not self._held:
            rest = self._feed_some(rest)
        if not rest:
            return True
        if self._memory is not None:
            if not self._memory.try_reserve(len(rest)):
                return False
            self._reserved += len(rest)
        if not self._held:
            self._transport = transport
            transport.pause_reading()
            self._turns.add(self._take_turn)
        self._held.append(rest)
        return True

    def flush(self) -> None:
        """Feed what waits at once, as the connection has ended."""
        while self._held:
            self._feed(self._held.popleft())
        self.drop()

    def drop(self) -> None:
        """Drop what waits."""
        self._held.clear()
        self._transport = None
        if self._memory is not None and self._reserved:
            self._memory.release(self._reserved)
        self._reserved = 0

    def _take_turn(self) -> bool:
        transport = self._transport
        if not self._held or transport is None:
            return False
        rest = self._feed_some(self._held.popleft())
        if self._transport is None:
            # The connection was closed while it was fed.
            return False
        if rest:
            self._held.appendleft(rest)
        if self._held:
            return True
        self.drop()
        transport.resume_reading()
        return False

    def _feed_some(self, rest: memoryview) -> memoryview:
        """Feed bytes until there were too many parts; return the others."""
        last = self.parts + MAX_PARTS_PER_TURN
        while rest and self.parts < last:
            before = self.parts
            self._feed(rest[: self._step])
            rest = rest[self._step :]
            is_small = self.parts - before >= MANY_PARTS
            self._step = SMALL_STEP_BYTES if is_small else STEP_BYTES
        return rest
