"""Tests of collecting a body within a budget."""

import asyncio
import tracemalloc
import unittest

from eelgrasswalk import verdict
from eelgrasswalk.transport import body_buffer
from eelgrasswalk.transport import budget

LIMIT = 1_000_000


def build_answer(body: bytes) -> verdict.Response:
    return verdict.Response(200, (), body)


class WaitingTest(unittest.IsolatedAsyncioTestCase):
    async def test_short_bodies_pass_those_that_wait(self) -> None:
        memory = budget.ByteBudget(LIMIT)
        memory.try_reserve(LIMIT // 2)
        waiting = asyncio.create_task(memory.reserve(LIMIT))
        await asyncio.sleep(0)
        self.assertTrue(body_buffer.BodyBuffer(memory).append(b'x' * 1000))
        long_part = b'x' * 2 * budget.UNCOUNTED_BYTES
        self.assertFalse(body_buffer.BodyBuffer(memory).append(long_part))
        waiting.cancel()


class BodyBufferTest(unittest.TestCase):
    def setUp(self) -> None:
        self.memory = budget.ByteBudget(LIMIT)
        self.body = body_buffer.BodyBuffer(self.memory)

    def append_all(self, part: bytes, times: int) -> bool:
        return all(self.body.append(part) for _ in range(times))

    def test_parts_are_joined_in_order(self) -> None:
        for part in (b'one ', b'', b'two ', b'three'):
            self.assertTrue(self.body.append(part))
        answer = self.body.take(build_answer)
        self.assertEqual(b'one two three', answer.body)
        self.assertEqual(0, len(self.body))

    def test_single_part_is_not_copied(self) -> None:
        part = b'x' * 1000
        self.body.append(part)
        self.assertIs(part, self.body.take(build_answer).body)

    def test_long_body_is_held_once(self) -> None:
        """Two copies of a body within the limits exceed a small machine."""
        memory = budget.ByteBudget(64 * LIMIT)
        body = body_buffer.BodyBuffer(memory)
        part = b'x' * 16_384
        tracemalloc.start()
        try:
            for _ in range(1_000):
                body.append(part)
            answer = body.take(build_answer)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertEqual(16_384_000, len(answer.body))
        self.assertLess(peak, 1.5 * len(answer.body))

    def test_every_byte_is_reserved_while_it_arrives(self) -> None:
        """Many short bodies under way take as much as a long one."""
        self.assertTrue(self.append_all(b'x', 10_000))
        self.assertGreaterEqual(self.memory.used, 10_000)

    def test_long_head_counts_as_long_as_its_message_lives(self) -> None:
        """An answer of a few bytes may have thousands of header lines."""
        self.assertTrue(self.body.add_head(600_000))
        self.assertFalse(self.body.add_head(600_000))
        self.assertTrue(self.body.append(b'x'))
        answer = self.body.take(build_answer)
        self.assertGreaterEqual(self.memory.used, 600_000)
        del answer
        self.assertEqual(0, self.memory.used)

    def test_body_past_the_budget_is_refused(self) -> None:
        part = b'x' * 10_000
        self.assertFalse(self.append_all(part, 101))
        self.assertLessEqual(len(self.body), LIMIT)
        self.assertLessEqual(self.memory.used, LIMIT)

    def test_dropped_body_is_free_at_once(self) -> None:
        self.append_all(b'x' * 10_000, 50)
        self.body.drop()
        self.assertEqual(0, self.memory.used)
        self.assertEqual(0, len(self.body))

    def test_long_body_stays_reserved_while_its_holder_lives(self) -> None:
        self.append_all(b'x' * 10_000, 50)
        answer = self.body.take(build_answer)
        self.body.drop()
        self.assertEqual(500_000, len(answer.body))
        self.assertGreaterEqual(self.memory.used, 500_000)
        del answer
        self.assertEqual(0, self.memory.used)

    def test_short_body_is_free_once_it_is_taken(self) -> None:
        self.body.append(b'x' * 100)
        answer = self.body.take(build_answer)
        self.assertEqual(100, len(answer.body))
        self.assertEqual(0, self.memory.used)

    def test_guaranteed_bytes_are_taken_from_a_full_budget(self) -> None:
        """The short answer to a call that has run is not lost."""
        self.memory.try_reserve(LIMIT)
        answer = body_buffer.BodyBuffer(self.memory, guaranteed=1000)
        self.assertTrue(answer.append(b'x' * 1000))
        self.assertFalse(answer.append(b'x' * 4000))
        self.assertFalse(self.body.append(b'x'))
        answer.drop()
        self.assertEqual(LIMIT, self.memory.used)

    def test_buffer_is_used_again(self) -> None:
        self.append_all(b'first', 2)
        self.body.take(build_answer)
        self.append_all(b'second', 2)
        self.assertEqual(b'secondsecond', self.body.take(build_answer).body)

    def test_body_without_a_budget(self) -> None:
        body = body_buffer.BodyBuffer(None)
        self.assertTrue(body.append(b'a'))
        self.assertTrue(body.append(b'b'))
        self.assertEqual(b'ab', body.take(build_answer).body)
