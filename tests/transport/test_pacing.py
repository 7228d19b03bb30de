"""Tests of bounding the work that received bytes take at once."""

import asyncio
import typing
import unittest
import unittest.mock

from eelgrasswalk.transport import budget
from eelgrasswalk.transport import pacing

# More parts than in two turns, one for each byte.
SMALL_PARTS = b'x' * (3 * pacing.SMALL_STEP_BYTES + pacing.STEP_BYTES)


class Connection:
    """Counts what it is fed; each byte or each step is a part."""

    def __init__(
        self,
        turns: pacing.Turns,
        *,
        has_small_parts: bool = True,
        memory: budget.ByteBudget | None = None,
    ) -> None:
        self.turns_taken = 0
        self.paced = pacing.PacedFeed(
            turns, self.feed, memory, after_turn=self.note_turn
        )
        self.transport = unittest.mock.create_autospec(
            asyncio.Transport, instance=True
        )
        self.fed = b''
        self.steps: list[int] = []
        self._has_small_parts = has_small_parts

    def feed(self, data: memoryview) -> None:
        self.fed += data
        self.steps.append(len(data))
        self.paced.parts += len(data) if self._has_small_parts else 1

    def note_turn(self) -> None:
        self.turns_taken += 1

    def receive(self, data: bytes) -> bool:
        return self.paced.receive(data, self.transport)

    @property
    def is_paused(self) -> bool:
        paused: int = self.transport.pause_reading.call_count
        resumed: int = self.transport.resume_reading.call_count
        return paused > resumed


class PacedFeedTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.turns = pacing.Turns()

    def connect(self, **options: typing.Any) -> Connection:
        return Connection(self.turns, **options)

    async def wait_fed(self, *connections: Connection) -> None:
        async with asyncio.timeout(10):
            while any(each.is_paused for each in connections):
                await asyncio.sleep(0)

    async def test_large_parts_are_fed_as_they_arrive(self) -> None:
        connection = self.connect(has_small_parts=False)
        data = b'x' * 262_144
        self.assertTrue(connection.receive(data))
        self.assertEqual(data, connection.fed)
        self.assertFalse(connection.is_paused)

    async def test_small_parts_are_fed_in_turns(self) -> None:
        connection = self.connect()
        connection.receive(SMALL_PARTS)
        self.assertTrue(connection.is_paused)
        self.assertEqual([pacing.STEP_BYTES], connection.steps)
        await self.wait_fed(connection)
        self.assertEqual(SMALL_PARTS, connection.fed)
        self.assertEqual([pacing.SMALL_STEP_BYTES] * 3, connection.steps[1:])

    async def test_each_turn_is_reported(self) -> None:
        """What was read in it is counted though nothing more arrives."""
        connection = self.connect()
        connection.receive(SMALL_PARTS)
        await self.wait_fed(connection)
        self.assertGreater(connection.turns_taken, 1)

    async def test_order_holds_though_more_arrives(self) -> None:
        connection = self.connect()
        connection.receive(SMALL_PARTS)
        connection.receive(b'the end')
        await self.wait_fed(connection)
        self.assertEqual(SMALL_PARTS + b'the end', connection.fed)

    async def test_connections_take_turns(self) -> None:
        one, other = self.connect(), self.connect()
        for connection in (one, other):
            connection.receive(SMALL_PARTS)
        async with asyncio.timeout(10):
            while one.is_paused:
                await asyncio.sleep(0)
                ahead = len(one.steps) - len(other.steps)
                self.assertIn(ahead, (0, 1))
        await self.wait_fed(other)

    async def test_nothing_is_fed_without_room(self) -> None:
        """Neither what is held nor the end of its turn resumes reading."""
        connection = self.connect()
        connection.receive(SMALL_PARTS)
        connection.paced.block(connection.transport)
        steps = len(connection.steps)
        connection.paced.receive(b'the end', connection.transport)
        # Others have their turns.
        other = self.connect()
        other.receive(SMALL_PARTS)
        await self.wait_fed(other)
        self.assertEqual(steps, len(connection.steps))
        self.assertTrue(connection.is_paused)
        connection.transport.pause_reading.assert_called_once()
        connection.paced.unblock()
        self.assertTrue(connection.is_paused)
        await self.wait_fed(connection)
        self.assertEqual(SMALL_PARTS + b'the end', connection.fed)

    async def test_one_step_is_fed_after_there_is_no_room(self) -> None:
        """What was read at once may be many times as long."""
        connection = self.connect(has_small_parts=False)

        def feed(data: memoryview) -> None:
            connection.feed(data)
            connection.paced.block(connection.transport)

        with unittest.mock.patch.object(connection.paced, '_feed', feed):
            connection.receive(b'x' * 262_144)
        self.assertEqual([pacing.STEP_BYTES], connection.steps)

    async def test_room_before_the_next_turn_adds_no_other_turn(self) -> None:
        connection, other = self.connect(), self.connect()
        connection.receive(SMALL_PARTS)
        for _ in range(10):
            connection.paced.block(connection.transport)
            connection.paced.unblock()
        other.receive(SMALL_PARTS)
        async with asyncio.timeout(10):
            while connection.is_paused:
                await asyncio.sleep(0)
                ahead = len(connection.steps) - len(other.steps)
                self.assertIn(ahead, (0, 1))
        await self.wait_fed(other)

    async def test_reading_resumes_without_anything_held(self) -> None:
        connection = self.connect()
        connection.paced.block(connection.transport)
        self.assertTrue(connection.is_paused)
        connection.paced.unblock()
        self.assertFalse(connection.is_paused)
        connection.transport.resume_reading.assert_called_once()

    async def test_rest_of_a_closed_connection_is_skipped(self) -> None:
        memory = budget.ByteBudget(1_000_000)
        connection = self.connect(memory=memory)
        connection.receive(SMALL_PARTS)
        connection.paced.block(connection.transport)
        connection.paced.skip()
        self.assertFalse(connection.is_paused)
        self.assertEqual(0, memory.used)
        self.assertEqual(1, len(connection.steps))

    async def test_rest_is_fed_when_the_connection_has_ended(self) -> None:
        connection = self.connect()
        connection.receive(SMALL_PARTS)
        connection.paced.flush()
        self.assertEqual(SMALL_PARTS, connection.fed)

    async def test_dropped_bytes_are_not_fed(self) -> None:
        memory = budget.ByteBudget(1_000_000)
        connection = self.connect(memory=memory)
        connection.receive(SMALL_PARTS)
        self.assertGreater(memory.used, 0)
        connection.paced.drop()
        self.assertEqual(0, memory.used)
        await asyncio.sleep(10 * pacing.PAUSE_S)
        self.assertEqual(1, len(connection.steps))

    async def test_bytes_that_wait_count_as_memory(self) -> None:
        memory = budget.ByteBudget(100)
        connection = self.connect(memory=memory)
        self.assertFalse(connection.receive(SMALL_PARTS))
        self.assertEqual(0, memory.used)

    async def test_failure_of_one_connection_does_not_stop_the_others(
        self,
    ) -> None:
        one, other = self.connect(), self.connect()
        for connection in (one, other):
            connection.receive(SMALL_PARTS)
        errors: list[typing.Any] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: errors.append(context)
        )
        with unittest.mock.patch.object(
            one.paced, '_feed', side_effect=ValueError
        ):
            await self.wait_fed(other)
        self.assertEqual(1, len(errors))
