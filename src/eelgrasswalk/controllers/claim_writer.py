"""Claims keys in batches, and settles claims in the background."""

import asyncio
import collections
import collections.abc
import dataclasses
import random

from .. import verdict
from . import claim_store

_WORKERS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """How claims are written.

    Args:
        batch_rows: Most claims in one transaction.
        waiting: Most claims that wait for a transaction.
        settling: Most claims that wait to be settled.
        first_retry_s: Mean pause before a claim is settled again; it
            doubles.
        longest_retry_s: Longest mean pause.
        attempts: Attempts to settle a claim.
        stop_wait_s: Longest time that a stop waits for claims to settle.
    """

    batch_rows: int = 20
    waiting: int = 200
    settling: int = 5_000
    first_retry_s: float = 0.25
    longest_retry_s: float = 10.0
    attempts: int = 100
    stop_wait_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Waiting:
    request: claim_store.Request
    outcome: asyncio.Future[claim_store.Outcome]


class ClaimWriter:
    """Batches the claims that come while transactions are under way.

    Args:
        claims: Keeps the claims.
        options: How claims are written.
        source: Random numbers for pauses.
    """

    def __init__(
        self,
        claims: claim_store.ClaimStore,
        *,
        options: Options | None = None,
        source: random.Random | None = None,
    ) -> None:
        self._claims = claims
        self._options = Options() if options is None else options
        self._random = random.Random() if source is None else source
        self._queue: collections.deque[_Waiting] = collections.deque()
        self._free_workers = _WORKERS
        self._tasks: set[asyncio.Task[None]] = set()
        self._settling = 0

    @property
    def settling(self) -> int:
        """Claims that wait to be settled."""
        return self._settling

    async def claim(
        self, request: claim_store.Request, timeout_s: float
    ) -> claim_store.Outcome:
        """Claim a key.

        Args:
            request: The request.
            timeout_s: Longest time to wait.

        Returns:
            The outcome; an uncertain one when the time is up.
        """
        if len(self._queue) >= self._options.waiting:
            return claim_store.Unavailable()
        future: asyncio.Future[claim_store.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        waiting = _Waiting(request, future)
        self._queue.append(waiting)
        self._start_worker()
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return self._give_up(waiting)
        except asyncio.CancelledError:
            outcome = self._give_up(waiting)
            if outcome.is_uncertain:
                self.void(request)
            raise

    def complete(
        self,
        held: claim_store.Held,
        response: verdict.Response,
        on_stored: collections.abc.Callable[[], None],
    ) -> None:
        """Keep an answer, in the background.

        Args:
            held: The claim.
            response: The answer.
            on_stored: Called when the table holds it.
        """

        async def attempt() -> bool:
            is_settled = await self._claims.complete(held, response)
            if is_settled:
                on_stored()
            return is_settled

        self._settle(attempt)

    def keep(self, held: claim_store.Held) -> None:
        """Write a claim late, in the background."""
        self._settle(lambda: self._claims.keep(held))

    def release(self, held: claim_store.Held) -> None:
        """Free a key whose request has not run, in the background."""
        self._settle(lambda: self._claims.release(held))

    def void(self, request: claim_store.Request) -> None:
        """Free a key whose claim is uncertain, in the background."""
        self._settle(lambda: self._claims.void(request))

    async def stop(self) -> None:
        """Wait for claims to settle, then give up the rest."""
        tasks = set(self._tasks)
        if tasks:
            await asyncio.wait(tasks, timeout=self._options.stop_wait_s)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _give_up(self, waiting: _Waiting) -> claim_store.Unavailable:
        if waiting in self._queue:
            self._queue.remove(waiting)
            return claim_store.Unavailable()
        return claim_store.Unavailable(is_uncertain=True)

    def _start_worker(self) -> None:
        if self._free_workers:
            self._free_workers -= 1
            self._spawn(self._work())

    async def _work(self) -> None:
        try:
            while self._queue:
                await self._write_batch()
        finally:
            self._free_workers += 1

    async def _write_batch(self) -> None:
        count = min(len(self._queue), self._options.batch_rows)
        batch = [self._queue.popleft() for _ in range(count)]
        outcomes: dict[str, claim_store.Outcome] = {}
        try:
            outcomes = await self._claims.claim(
                [waiting.request for waiting in batch]
            )
        finally:
            uncertain = claim_store.Unavailable(is_uncertain=True)
            for waiting in batch:
                outcome = outcomes.get(waiting.request.key, uncertain)
                if not waiting.outcome.done():
                    waiting.outcome.set_result(outcome)

    def _settle(
        self,
        attempt: collections.abc.Callable[[], collections.abc.Awaitable[bool]],
    ) -> None:
        if self._settling < self._options.settling:
            self._settling += 1
            self._spawn(self._settle_repeatedly(attempt))

    async def _settle_repeatedly(
        self,
        attempt: collections.abc.Callable[[], collections.abc.Awaitable[bool]],
    ) -> None:
        try:
            pause = self._options.first_retry_s
            for _ in range(self._options.attempts):
                if await attempt():
                    return
                await asyncio.sleep(pause * self._random.uniform(0.5, 1.5))
                pause = min(pause * 2, self._options.longest_retry_s)
        finally:
            self._settling -= 1

    def _spawn(
        self, work: collections.abc.Coroutine[None, None, None]
    ) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
