"""Non-idempotent requests under faults: at most once, and true verdicts."""

import asyncio
import collections
import contextlib
import dataclasses
import random
import unittest

import httpx

from eelgrasswalk.bench import faulty
from tests.integration import meshes
from tests.integration import setups

CALLERS = 6
TRIES = 4
BOOKING_ROUTE = {
    'name': 'booking',
    'service': 'back',
    'path_prefix': '/bookings',
    'methods': ['POST'],
    'importance': 'critical',
    'idempotent': False,
    'once': 'refuse',
    'deadline_s': 4.0,
}


@dataclasses.dataclass(slots=True)
class Booking:
    """One booking and what its caller was told, in order."""

    name: str
    told: list[str] = dataclasses.field(default_factory=list)

    @property
    def answered(self) -> bool:
        return 'answered' in self.told

    @property
    def surely_not_run(self) -> bool:
        return bool(self.told) and set(self.told) == {'not-run'}


class BookingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        stack = self.enterContext(contextlib.ExitStack())
        services = ('front', 'front', 'back', 'back')
        self.mesh = await asyncio.to_thread(faulty.start_mesh, stack, services)
        document = meshes.build_document(services, routes=[BOOKING_ROUTE])
        await asyncio.to_thread(self.mesh.apply, document)
        self.entries = [
            f'http://{node.ready["callers"]}' for node in self.mesh.nodes[:2]
        ]
        self.bookings: list[Booking] = []
        self.done = asyncio.Event()
        self.random = random.Random(7)

    async def test_bookings_run_once_through_every_fault(self) -> None:
        """Cuts, silence, a killed node, lost answers and an outage."""
        tasks = [
            asyncio.create_task(self.book_until_done(number))
            for number in range(CALLERS)
        ]
        faults = (
            lambda: self.mesh.break_route(3, 'cut'),
            lambda: self.mesh.break_route(4, 'silence'),
            lambda: self.mesh.behave_platform(lose_ratio=0.3),
            lambda: self.mesh.break_route(3, 'silence'),
            lambda: self.mesh.break_route(4, 'cut'),
            self.kill_and_restart,
            lambda: self.mesh.behave_platform(lose_ratio=0.0, down=True),
            lambda: self.mesh.break_route(4, 'cut'),
            lambda: self.mesh.behave_platform(down=False),
        )
        for fault in faults:
            await self.wait_for_bookings(15)
            await asyncio.to_thread(fault)
        await self.wait_for_bookings(15)
        self.done.set()
        await asyncio.gather(*tasks)
        self.check_ledger()

    def kill_and_restart(self) -> None:
        self.mesh.nodes[2].kill()
        self.mesh.restart(2)

    def check_ledger(self) -> None:
        runs = collections.Counter(
            run['booking'] for run in self.mesh.read_ledgers()
        )
        told = {booking.name: booking.told for booking in self.bookings}
        twice = {name for name, count in runs.items() if count > 1}
        self.assertEqual(set(), twice)
        answered = {item.name for item in self.bookings if item.answered}
        self.assertEqual(set(), answered - runs.keys())
        untrue = [
            (item.name, told[item.name])
            for item in self.bookings
            if item.surely_not_run and item.name in runs
        ]
        self.assertEqual([], untrue)
        self.assertGreater(len(answered), len(self.bookings) // 2)

    async def wait_for_bookings(self, count: int) -> None:
        wanted = len(self.bookings) + count
        while len(self.bookings) < wanted:
            await asyncio.sleep(0.01)

    async def book_until_done(self, number: int) -> None:
        async with httpx.AsyncClient(timeout=20) as client:
            while not self.done.is_set():
                booking = Booking(f'{number}-{len(self.bookings)}')
                self.bookings.append(booking)
                for _ in range(TRIES):
                    told = await self.book(client, booking.name)
                    booking.told.append(told)
                    if told == 'answered':
                        break

    async def book(self, client: httpx.AsyncClient, name: str) -> str:
        answer = await client.post(
            f'{self.random.choice(self.entries)}/bookings?ms=20',
            headers={
                'x-api-key': setups.KEY,
                'idempotency-key': name,
                'booking': name,
            },
        )
        return answer.headers.get('eelgrasswalk-verdict', 'answered')
