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
