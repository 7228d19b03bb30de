"""Exhaustive exploration of small concurrent systems.

Coroutines are stepped by hand, without an event loop. Every choice, of the
coroutine that goes on and of the fault that a store's answer meets, is taken
in every way.
"""

import collections.abc
import dataclasses
import types
import typing

from eelgrasswalk.platform import memory
from eelgrasswalk.platform import protocols
from eelgrasswalk.platform import resolution

Choose: typing.TypeAlias = collections.abc.Callable[[int], int]


def explore(run: collections.abc.Callable[[Choose], None]) -> int:
    """Call run once for every sequence of choices; return how many."""
    path = _Path()
    count = 1
    run(path.choose)
    while path.advance():
        run(path.choose)
        count += 1
    return count


class _Path:
    """The choices of one run; the last that can change changes first."""

    def __init__(self) -> None:
        self._prefix: list[int] = []
        self._trail: list[tuple[int, int]] = []

    def choose(self, options: int) -> int:
        at = len(self._trail)
        choice = self._prefix[at] if at < len(self._prefix) else 0
        self._trail.append((choice, options))
        return choice

    def advance(self) -> bool:
        trail = self._trail
        while trail and trail[-1][0] + 1 == trail[-1][1]:
            trail.pop()
        if not trail:
            return False
        self._prefix = [choice for choice, _ in trail]
        self._prefix[-1] += 1
        self._trail = []
        return True


@types.coroutine
def step() -> collections.abc.Generator[None, None, None]:
    """Let the explorer choose who goes on."""
    yield


@dataclasses.dataclass(slots=True)
class Store:
    """A table whose answers and requests get lost, or arrive late.

    It repeats a write and resolves it as the HTTP adaptor does.

    Args:
        choose: Takes each choice.
        faults: Faults that may still happen.
        outages: Whether requests may be refused too.
        attempts: Attempts of a write.
    """

    choose: Choose
    faults: int
    outages: bool = False
    attempts: int = 3
    table: memory.MemoryTable = dataclasses.field(
        default_factory=memory.MemoryTable
    )
    late: list[tuple[protocols.Operation, ...]] = dataclasses.field(
        default_factory=list
    )

    async def get(self, key: str) -> protocols.ReadOutcome:
        await step()
        return self.table.read(key)

    async def list(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> protocols.ListOutcome:
        await step()
        return self.table.scan(prefix, after=after, limit=limit)

    async def put(
        self, key: str, value: bytes, *, expected: str | None
    ) -> protocols.WriteOutcome:
        return await self.batch((protocols.Put(key, value, expected),))

    async def delete(
        self, key: str, *, expected: str
    ) -> protocols.WriteOutcome:
        return await self.batch((protocols.Delete(key, expected),))

    async def batch(
        self, operations: collections.abc.Sequence[protocols.Operation]
    ) -> protocols.WriteOutcome:
        was_lost = False
        for _ in range(self.attempts):
            await step()
            outcome = self._attempt(tuple(operations))
            if isinstance(outcome, protocols.Unknown):
                was_lost = True
                continue
            if isinstance(outcome, protocols.Unavailable):
                break
            if was_lost and isinstance(outcome, protocols.Conflict):
                return resolution.resolve(operations, outcome)
            return outcome
        if was_lost:
            return protocols.Unknown('lost')
        return outcome

    def deliver(self, index: int) -> None:
        """Let a late request arrive."""
        self.table.commit(self.late.pop(index))

    def _attempt(
        self, operations: tuple[protocols.Operation, ...]
    ) -> protocols.WriteOutcome:
        fault = 0
        if self.faults:
            fault = self.choose(5 if self.outages else 4)
        if fault == 0:
            return self.table.commit(operations)
        self.faults -= 1
        if fault == 1:
            self.table.commit(operations)
        elif fault == 2:
            self.late.append(operations)
        elif fault == 4:
            return protocols.Unavailable('down')
        return protocols.Unknown('lost')


Task: typing.TypeAlias = collections.abc.Coroutine[None, None, typing.Any]


def run_all(
    choose: Choose, store: Store, tasks: collections.abc.Sequence[Task]
) -> list[typing.Any]:
    """Interleave tasks in the chosen way and return their results.

    Late requests arrive at chosen moments, at the latest after all tasks.
    """
    results: list[typing.Any] = [None] * len(tasks)
    running = list(range(len(tasks)))
    while running or store.late:
        options = len(running) + len(store.late)
        choice = choose(options) if options > 1 else 0
        if choice >= len(running):
            store.deliver(choice - len(running))
            continue
        number = running[choice]
        try:
            tasks[number].send(None)
        except StopIteration as end:
            results[number] = end.value
            running.remove(number)
    return results
