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
    parts, the connection reads no more, and the rest is fed in turns. Nothing
    is fed or read while its owner has no room for more; a step that has begun
    is fed whole.

    It alone pauses and resumes reading, so that the two reasons to pause do
    not undo each other. A paused transport notices neither the end of the
    connection nor its loss.

    Args:
        turns: Shared with other connections.
        feed: Passes bytes to the parser; without effect when the connection
            has been closed.
        memory: Budget for bytes that wait; None for no bound.
        after_turn: Called after each turn in which bytes were fed.

    Attributes:
        parts: Counts the calls of the parser; increased by its callbacks.
        is_blocked: Whether the owner has no room for more.
        reserved: Bytes that wait, as far as they are counted.
        is_discarding: Whether the owner drops what it is fed, which takes no
            time, so that nothing has to wait.
    """

    def __init__(
        self,
        turns: Turns,
        feed: Feed,
        memory: budget.ByteBudget | None,
        *,
        after_turn: typing.Callable[[], None] | None = None,
    ) -> None:
        self.parts = 0
        self.is_blocked = False
        self.is_discarding = False
        self._turns = turns
        self._feed = feed
        self._memory = memory
        self._after_turn = after_turn
        self._step = STEP_BYTES
        self._held: collections.deque[memoryview] = collections.deque()
        self.reserved = 0
        self._paused: asyncio.Transport | None = None
        self._has_turn = False

    @property
    def is_paused(self) -> bool:
        """Whether reading is paused."""
        return self._paused is not None

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
            if not self._memory.try_reserve(len(rest), is_short=True):
                return False
            self.reserved += len(rest)
        self._held.append(rest)
        self._pause(transport)
        if not self.is_blocked:
            self._add_turn()
        return True

    def block(self, transport: asyncio.Transport) -> None:
        """Feed and read nothing until there is room again.

        Args:
            transport: Is paused.
        """
        self.is_blocked = True
        self._pause(transport)

    def unblock(self) -> None:
        """Feed what waits in the next turns, then read on."""
        self.is_blocked = False
        if self._held:
            self._add_turn()
        else:
            self._resume()

    def _pause(self, transport: asyncio.Transport) -> None:
        if self._paused is None:
            self._paused = transport
            transport.pause_reading()

    def _resume(self) -> None:
        transport = self._paused
        if transport is not None:
            self._paused = None
            transport.resume_reading()

    def _add_turn(self) -> None:
        if not self._has_turn:
            self._has_turn = True
            self._turns.add(self._take_turn)

    def flush(self) -> None:
        """Feed what waits at once, as the connection has ended."""
        while self._held:
            self._feed(self._held.popleft())
        self.drop()

    def skip(self) -> None:
        """Drop what waits, and read on."""
        self._release()
        self.unblock()

    def drop(self) -> None:
        """Drop what waits; reading stays paused if it is."""
        self._release()
        self._paused = None

    def close(self) -> None:
        """Drop what waits and the owner, as the connection has ended.

        Otherwise the two would refer to each other, and take memory until the
        garbage collector runs.
        """
        self.drop()
        self._feed = _ignore
        self._after_turn = None

    def _release(self) -> None:
        self._held.clear()
        if self._memory is not None and self.reserved:
            self._memory.release(self.reserved)
        self.reserved = 0

    def _take_turn(self) -> bool:
        if self._held and not self.is_blocked:
            rest = self._feed_some(self._held.popleft())
            # Nothing waits any more if feeding has closed the connection.
            if rest and self._paused is not None:
                self._held.appendleft(rest)
            if self._after_turn is not None:
                self._after_turn()
        if self._held and not self.is_blocked:
            return True
        self._has_turn = False
        if not self._held:
            self._release()
            if not self.is_blocked:
                self._resume()
        return False

    def _feed_some(self, rest: memoryview) -> memoryview:
        """Feed bytes until there were too many parts; return the others."""
        last = self.parts + MAX_PARTS_PER_TURN
        while (
            rest
            and (self.parts < last or self.is_discarding)
            and not self.is_blocked
        ):
            before = self.parts
            self._feed(rest[: self._step])
            rest = rest[self._step :]
            is_small = self.parts - before >= MANY_PARTS
            self._step = SMALL_STEP_BYTES if is_small else STEP_BYTES
        return rest


def _ignore(data: memoryview) -> None:
    """Take bytes that come after the end of a connection."""
