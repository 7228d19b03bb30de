"""Callers that retry hard while faults come, and their records."""

import asyncio
import collections.abc
import contextlib
import itertools
import json
import random
import time
import urllib.parse

from ..standins import calling
from ..standins import serving
from . import chaos_document
from . import chaos_records as records

CALLERS = {
    records.Load.READ: 4,
    records.Load.TREE: 3,
    records.Load.BOOKING: 6,
    records.Load.KEYED: 4,
}
GREEDY_FACTOR = 6.0
TRIES = 6
PATIENCE_S = (0.15, 1.0, 8.0)
THINK_S = (0.02, 0.06)
WITHDRAWN_RATIO = 0.4
WORK_MS = 10
VERDICT_HEADER = b'eelgrasswalk-verdict'
RETRIED = frozenset({records.Load.BOOKING})


class Entries:
    """The nodes that callers may send to."""

    def __init__(self) -> None:
        self._callers: dict[int, calling.Caller] = {}

    def add(self, node: int, address: str) -> None:
        """Let callers send to a node."""
        self._callers[node] = calling.Caller(address)

    def remove(self, node: int) -> None:
        """Let callers send nothing more to a node; what runs goes on."""
        self._callers.pop(node, None)

    def draw(self, source: random.Random) -> tuple[int, calling.Caller]:
        """Return one of the nodes."""
        node = source.choice(sorted(self._callers))
        return node, self._callers[node]


class ChaosLoad:
    """All callers of a run.

    Args:
        entries: The nodes that they send to.
        seed: Seed of their random numbers.
    """

    def __init__(self, entries: Entries, *, seed: int) -> None:
        self.attempts: list[records.Attempt] = []
        self.keys = chaos_document.list_keys()
        self.withdrawn: list[str] = []
        self._entries = entries
        self._seed = seed
        self._numbers = itertools.count()
        self._is_ending = False
        self._tasks: list[asyncio.Task[None]] = []
        self._ended = asyncio.Condition()
        self._count = 0

    def start(self) -> None:
        """Start all callers."""
        for load, count in CALLERS.items():
            for number in range(count):
                source = random.Random(f'{self._seed} {load} {number}')
                task = asyncio.create_task(self._call_on(load, source))
                self._tasks.append(task)
        source = random.Random(f'{self._seed} greedy')
        self._tasks.append(asyncio.create_task(self._flood(source)))

    async def stop(self) -> None:
        """Wait until all callers have the outcomes of what they sent."""
        self._is_ending = True
        await asyncio.gather(*self._tasks)

    async def wait_for_requests(self, count: int) -> None:
        """Wait until so many more requests have ended."""
        wanted = self._count + count
        async with self._ended:
            await self._ended.wait_for(lambda: self._count >= wanted)

    def withdraw(self, key: str) -> None:
        """Note that a key is about to be withdrawn."""
        self.keys.remove(key)
        self.withdrawn.append(key)

    async def _call_on(
        self, load: records.Load, source: random.Random
    ) -> None:
        while not self._is_ending:
            await self._insist(load, source)
            await asyncio.sleep(source.uniform(*THINK_S))

    async def _flood(self, source: random.Random) -> None:
        rate = GREEDY_FACTOR * chaos_document.GREEDY_RATE
        async with asyncio.TaskGroup() as group:
            while not self._is_ending:
                await asyncio.sleep(source.expovariate(rate))
                group.create_task(self._insist(records.Load.GREEDY, source))

    async def _insist(self, load: records.Load, source: random.Random) -> None:
        """Send a request until it is answered, or the tries are spent."""
        tries = TRIES if load in RETRIED else 1
        name = f'{load.value}-{next(self._numbers)}'
        for _ in range(tries):
            told = await self._try_once(load, name, source)
            if told is records.Told.ANSWERED:
                return

    async def _try_once(
        self, load: records.Load, name: str, source: random.Random
    ) -> records.Told:
        node, caller = self._entries.draw(source)
        key = self._draw_key(load, source)
        attempt = records.Attempt(load, name, node, key, time.monotonic())
        self.attempts.append(attempt)
        method, path, headers = _build_request(load, name)
        patience_s = source.choice(PATIENCE_S)
        try:
            async with asyncio.timeout(patience_s):
                reply = await caller.call(
                    method,
                    path,
                    headers=[(b'x-api-key', key.encode()), *headers],
                )
            _note_reply(attempt, reply)
        except TimeoutError:
            attempt.told = records.Told.LEFT
        except calling.CallError as error:
            attempt.told = records.Told.CUT
            attempt.detail = str(error)
        except OSError as error:
            attempt.detail = repr(error)
        attempt.ended_at = time.monotonic()
        await self._note_end()
        return attempt.told

    async def _note_end(self) -> None:
        async with self._ended:
            self._count += 1
            self._ended.notify_all()

    def _draw_key(self, load: records.Load, source: random.Random) -> str:
        if load is records.Load.GREEDY:
            return chaos_document.GREEDY_KEY
        if load is not records.Load.KEYED:
            return chaos_document.STEADY_KEY
        if self.withdrawn and source.random() < WITHDRAWN_RATIO:
            return self.withdrawn[-1]
        return source.choice(self.keys)


def _build_request(
    load: records.Load, name: str
) -> tuple[str, str, collections.abc.Sequence[tuple[bytes, bytes]]]:
    query = f'ms={WORK_MS}&root={name}'
    headers = [(b'x-request-id', name.encode())]
    if load is records.Load.TREE:
        child = urllib.parse.quote(f'/stock/item?{query}', safe='')
        return 'GET', f'/front/item?{query}&child={child}', headers
    if load is records.Load.BOOKING:
        headers += [
            (b'idempotency-key', name.encode()),
            (b'booking', name.encode()),
        ]
        return 'POST', f'/bookings?{query}', headers
    return 'GET', f'/stock/item?{query}', headers


def _note_reply(attempt: records.Attempt, reply: serving.Reply) -> None:
    attempt.status = reply.status
    verdict = dict(reply.headers).get(VERDICT_HEADER, b'answered').decode()
    attempt.told = records.Told(verdict)
    if reply.status != 200:
        attempt.detail = reply.body[:200].decode(errors='replace')
        return
    with contextlib.suppress(ValueError, KeyError):
        attempt.echoed = json.loads(reply.body)['request']
