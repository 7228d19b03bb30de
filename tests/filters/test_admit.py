"""Calls that wait for the target, and callers that leave meanwhile."""

import asyncio
import random
import unittest

from eelgrasswalk.filters import admit
from eelgrasswalk.policy.capacity import slot_queue
from eelgrasswalk.transport import frames

CALL_S = 2.0


class LeavingCallersTest(unittest.IsolatedAsyncioTestCase):
    """Guards against slots that stay taken when callers have left.

    Many connections that close at once left a target without a free slot for
    as long as the process ran.
    """

    async def asyncSetUp(self) -> None:
        self.policy = slot_queue.SlotQueue(slot_queue.SlotSettings(), slots=1)
        self.admitter = admit.Admitter(self.policy, source=random.Random(1))
        self.addCleanup(self.admitter.stop)
        self.context = frames.Context(
            account='lake',
            importance=1,
            root_id=b'r' * 16,
            root_hash=0.5,
            root_age_s=0.0,
            depth=0,
        )

    async def admit(self) -> int:
        deadline = asyncio.get_running_loop().time() + CALL_S
        result = await self.admitter.admit(self.context, deadline=deadline)
        assert isinstance(result, admit.Admitted)
        return result.call_id

    async def test_slot_that_a_leaving_caller_gets_is_free_again(
        self,
    ) -> None:
        for leaving in (1, 2, 3):
            with self.subTest(leaving):
                first = await self.admit()
                tasks = [asyncio.create_task(self.admit()) for _ in range(3)]
                while self.policy.queued < len(tasks):
                    await asyncio.sleep(0)
                # The slot is given to one whose task has not run since.
                for task in tasks[:leaving]:
                    task.cancel()
                self.admitter.finish(first, ok=True)
                for task in tasks[leaving:]:
                    async with asyncio.timeout(CALL_S):
                        self.admitter.finish(await task, ok=True)
                await asyncio.gather(*tasks, return_exceptions=True)
                self.assertEqual(0, self.policy.in_flight)
                self.assertEqual(0, self.policy.queued)
