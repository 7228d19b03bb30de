"""Tests that calls lost with their target are told from lost connections."""

import asyncio
import collections.abc
import unittest

from eelgrasswalk.filters import deliveries
from eelgrasswalk.transport import frames
from eelgrasswalk.transport import message


def build_call(number: int) -> frames.Call:
    return frames.Call(
        attempt=bytes([number]) * 16,
        route='browse',
        context=frames.Context('', 2, bytes(16), 0.5, 0.0, 0),
        remaining_s=5.0,
        allowance=0,
        idempotency_key='',
        request=message.Request('GET', f'/{number}', (), b''),
        body_length=0,
        digest=0,
    )


class FakeHost:
    """Refuses connections or not, once it is asked."""

    def __init__(self) -> None:
        self.refuses = True
        self.questions = 0
        self.answers = asyncio.Event()
        self.answers.set()

    async def is_refused(self) -> bool:
        self.questions += 1
        await self.answers.wait()
        return self.refuses


class DeliveriesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.host = FakeHost()
        self.crashes: list[tuple[str, list[str]]] = []
        self.deliveries = deliveries.Deliveries(self.host, self.record)

    def record(
        self,
        run_id: str,
        started: collections.abc.Sequence[deliveries.Started],
    ) -> None:
        targets = [each.subject.target for each in started]
        self.crashes.append((run_id, targets))

    async def test_calls_lost_together_are_one_crash(self) -> None:
        calls = [build_call(number) for number in range(3)]
        for call in calls:
            self.deliveries.begin(call)
        self.deliveries.end(calls[0])
        found = await asyncio.gather(
            *(self.deliveries.has_target_ended('i-1@1') for _ in range(2))
        )
        self.assertEqual([True, True], found)
        self.assertEqual([('i-1@1', ['/1', '/2'])], self.crashes)
        self.assertEqual(1, self.host.questions)

    async def test_call_that_is_lost_later_belongs_to_the_same_crash(
        self,
    ) -> None:
        for number in range(2):
            self.deliveries.begin(build_call(number))
        await self.deliveries.has_target_ended('i-1@1')
        self.deliveries.end(build_call(0))
        self.assertTrue(await self.deliveries.has_target_ended('i-1@1'))
        self.deliveries.handle_end('i-1@1')
        self.assertEqual(1, len(self.crashes))

    async def test_abandoned_calls_are_among_those_that_ran(self) -> None:
        """A target goes on with what it has begun when its caller leaves."""
        for number in range(2):
            self.deliveries.begin(build_call(number))
        self.deliveries.abandon(build_call(0), 'i-1@1')
        await self.deliveries.has_target_ended('i-1@1')
        self.assertEqual([('i-1@1', ['/0', '/1'])], self.crashes)

    async def test_call_of_an_ended_run_did_not_run_at_the_next_crash(
        self,
    ) -> None:
        """Its caller leaves between the end of its target and its answer.

        A popular request was found guilty of the next crash.
        """
        for number in range(2):
            self.deliveries.begin(build_call(number))
        await self.deliveries.has_target_ended('i-1@1')
        self.deliveries.abandon(build_call(0), 'i-1@1')
        self.deliveries.end(build_call(1))
        self.deliveries.begin(build_call(2))
        await self.deliveries.has_target_ended('i-1@2')
        self.assertEqual(('i-1@2', ['/2']), self.crashes[-1])

    async def test_abandoned_calls_are_bounded(self) -> None:
        for _ in range(2 * deliveries.MAX_ABANDONED):
            self.deliveries.abandon(build_call(1), 'i-1@1')
        self.deliveries.handle_end('i-1@1')
        ((_, targets),) = self.crashes
        self.assertEqual(deliveries.MAX_ABANDONED, len(targets))

    async def test_end_under_no_call_is_no_crash(self) -> None:
        self.deliveries.handle_end('i-1@1')
        self.assertEqual([], self.crashes)

    async def test_lost_connection_is_no_crash(self) -> None:
        self.host.refuses = False
        self.deliveries.begin(build_call(1))
        self.assertFalse(await self.deliveries.has_target_ended('i-1@1'))
        self.assertEqual([], self.crashes)

    async def test_silent_host_holds_up_no_call(self) -> None:
        """A host that is cut off does not even refuse connections."""
        self.host.answers.clear()
        self.deliveries.begin(build_call(1))
        self.assertFalse(await self.deliveries.has_target_ended('i-1@1'))
        self.host.answers.set()
