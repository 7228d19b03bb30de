"""Tests of the bound on bodies: who waits, and what is given back."""

import asyncio
import unittest

from eelgrasswalk.transport import budget


class ReservationTest(unittest.IsolatedAsyncioTestCase):
    async def test_waiter_cancelled_as_memory_is_released(self) -> None:
        """It had left the queue already, and its task ended with an error."""
        memory = budget.ByteBudget(10)
        await memory.reserve(10)
        waiting = asyncio.create_task(memory.reserve(5))
        await asyncio.sleep(0)
        waiting.cancel()
        memory.release(10)
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        self.assertEqual(0, memory.used)
        self.assertTrue(memory.admits_calls())

    async def test_waiter_cancelled_after_its_turn(self) -> None:
        memory = budget.ByteBudget(10)
        await memory.reserve(10)
        waiting = asyncio.create_task(memory.reserve(5))
        await asyncio.sleep(0)
        memory.release(10)
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        self.assertEqual(0, memory.used)

    async def test_waiter_behind_one_that_left(self) -> None:
        memory = budget.ByteBudget(10)
        await memory.reserve(8)
        long = asyncio.create_task(memory.reserve(9))
        short = asyncio.create_task(memory.reserve(2))
        await asyncio.sleep(0)
        long.cancel()
        async with asyncio.timeout(5.0):
            await short
        self.assertEqual(10, memory.used)


class LongBodyTest(unittest.IsolatedAsyncioTestCase):
    """One body takes more than the limit, which is for many."""

    def setUp(self) -> None:
        self.memory = budget.ByteBudget(1_000, extra=500)

    async def test_body_beside_few_others(self) -> None:
        self.assertTrue(self.memory.try_reserve(400))
        self.assertTrue(self.memory.try_reserve(800))
        self.assertTrue(self.memory.try_reserve(300, own=800))
        self.assertFalse(self.memory.try_reserve(1, own=1_100))
        self.assertEqual(500, self.memory.excess)

    async def test_body_beside_many_others(self) -> None:
        self.assertTrue(self.memory.try_reserve(600))
        self.assertTrue(self.memory.try_reserve(400))
        self.assertFalse(self.memory.try_reserve(1, own=400))

    async def test_second_long_body_waits(self) -> None:
        await self.memory.reserve(1_400)
        second = asyncio.create_task(self.memory.reserve(1_400))
        await asyncio.sleep(0)
        self.assertEqual(1_400, self.memory.used)
        self.memory.release(1_400)
        async with asyncio.timeout(5.0):
            await second

    async def test_short_bodies_pass_a_long_one(self) -> None:
        self.assertTrue(self.memory.try_reserve(1_400))
        self.assertTrue(self.memory.try_reserve(50, is_short=True))
        self.assertFalse(self.memory.try_reserve(51, is_short=True))

    async def test_call_is_not_refused_for_its_own_body(self) -> None:
        body = bytes(budget.UNCOUNTED_BYTES + 1)
        memory = budget.ByteBudget(len(body))
        self.assertTrue(memory.try_reserve(len(body)))
        self.assertFalse(memory.admits_calls())
        self.assertTrue(memory.admits_calls(body))
