"""Tests of the bound on what calls of other nodes make a node hold."""

import asyncio
import secrets
import unittest
import unittest.mock

from eelgrasswalk import verdict
from eelgrasswalk.filters import gate
from eelgrasswalk.filters import peer_calls
from eelgrasswalk.transport import budget
from eelgrasswalk.transport import dialler
from eelgrasswalk.transport import frames
from eelgrasswalk.transport import message

LIMIT = 200_000
ANSWER = dialler.Reply(
    verdict.Answered(verdict.Response(200, (), b'')), feedback=None
)


def build_call(body: bytes) -> frames.Call:
    return frames.Call(
        attempt=secrets.token_bytes(16),
        route='browse',
        context=frames.Context('', 2, bytes(16), 0.5, 0.0, 0),
        remaining_s=5.0,
        allowance=0,
        idempotency_key='',
        request=message.Request('POST', '/', ((b'a', b'b'),), body),
        body_length=len(body),
        digest=0,
    )


class PeerCallsTest(unittest.IsolatedAsyncioTestCase):
    """Calls of many nodes wait with short bodies for one target."""

    def setUp(self) -> None:
        self.gate = unittest.mock.create_autospec(gate.Gate, instance=True)
        self.gate.refuse.side_effect = lambda call, refusal: dialler.Reply(
            refusal, None
        )
        self.done = asyncio.Event()
        self.gate.run.side_effect = self.run_call
        self.memory = budget.ByteBudget(LIMIT)
        self.calls = peer_calls.PeerCalls(self.gate, self.memory)

    async def run_call(self, call: frames.Call) -> dialler.Reply:
        await self.done.wait()
        return ANSWER

    async def start(self, length: int) -> 'asyncio.Task[dialler.Reply]':
        task = asyncio.create_task(self.calls.run(build_call(bytes(length))))
        await asyncio.sleep(0)
        return task

    async def test_call_is_refused_when_others_hold_too_much(self) -> None:
        running = [await self.start(60_000) for _ in range(2)]
        refused = await (await self.start(60_000))
        assert isinstance(refused.outcome, verdict.NotRun)
        self.assertIs(verdict.Reason.MEMORY, refused.outcome.reason)
        self.assertTrue(refused.outcome.retry_elsewhere)
        self.assertEqual(1, self.calls.refused)
        # Room is left for ordinary calls.
        running.append(await self.start(1_000))
        self.done.set()
        for task in running:
            self.assertEqual(ANSWER, await task)
        self.assertEqual(0, self.memory.used)

    async def test_cancelled_calls_hold_nothing(self) -> None:
        running = [await self.start(60_000) for _ in range(2)]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        self.assertEqual(0, self.memory.used)

    async def test_single_call_is_never_refused(self) -> None:
        self.memory.limit = 10
        task = await self.start(60_000)
        self.done.set()
        self.assertEqual(ANSWER, await task)

    async def test_long_body_counts_elsewhere(self) -> None:
        await self.start(budget.UNCOUNTED_BYTES + 1)
        self.assertLess(self.memory.used, budget.UNCOUNTED_BYTES)
        self.done.set()
