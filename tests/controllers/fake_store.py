"""A store whose answers a test sets one by one."""

import asyncio
import typing

from eelgrasswalk import ports

Answer: typing.TypeAlias = ports.Rows | ports.HistoryGone | ports.Unavailable
Outcome: typing.TypeAlias = (
    ports.Written | ports.Conflict | ports.Unavailable | ports.Unknown
)


class FakeStore:
    """Implements ports.RowStore; waits for ever without an answer."""

    def __init__(self) -> None:
        self.reads: list[ports.Rows | ports.Unavailable] = []
        self.watches: list[Answer] = []
        self.outcomes: list[Outcome] = []
        self.written: list[tuple[str, bytes, int]] = []

    async def read(self, table: str) -> ports.Rows | ports.Unavailable:
        """Return the next answer to a read."""
        return await _take(self.reads)

    async def watch(self, table: str, after: int, wait_s: float) -> Answer:
        """Return the next answer to a watch."""
        return await _take(self.watches)

    async def put(
        self, table: str, key: str, value: bytes, *, expected: int
    ) -> Outcome:
        """Keep what is written and return the next outcome."""
        self.written.append((key, value, expected))
        return await _take(self.outcomes)

    async def remove(self, table: str, key: str, *, expected: int) -> Outcome:
        """Return the next outcome."""
        return await _take(self.outcomes)


T = typing.TypeVar('T')


async def _take(answers: list[T]) -> T:
    if not answers:
        await asyncio.Event().wait()
    await asyncio.sleep(0)
    return answers.pop(0)


async def settle(rounds: int = 20) -> None:
    """Let every task that can run have its turns."""
    for _ in range(rounds):
        await asyncio.sleep(0)
