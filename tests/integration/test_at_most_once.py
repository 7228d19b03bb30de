"""Bookings by callers that retry hard while nodes and answers get lost."""

import asyncio
import collections
import hashlib
import random
import unittest

import httpx

from eelgrasswalk.bench import mesh
from eelgrasswalk.document import model
from tests.integration import fleet
from tests.integration import setups

CALLERS = 8
TRIES = 12
KILLS = 4


def make_document() -> model.Document:
    digest = hashlib.sha256(setups.KEY.encode()).hexdigest()
    account = model.ClientAccount(
        'erie', 5000.0, 5000, (model.Key('test', digest),)
    )
    services = tuple(
        model.Service(name, slots=20, connections=40)
        for name in ('front', 'orders')
    )
    route = model.Route(
        'book', 'orders', '/orders', once=model.OnceMode.REFUSE
    )
    return model.Document(1, 'test', (account,), services, (route,))


class AtMostOnceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        running = self.enterContext(mesh.Mesh())
        self.random = random.Random(5)
        self.nodes = fleet.Fleet(running, seed=3)
        self.client = await self.enterAsyncContext(
            httpx.AsyncClient(timeout=20)
        )
        await self.nodes.publish(make_document())
        self.nodes.start()
        self.answers: dict[str, list[httpx.Response]] = (
            collections.defaultdict(list)
        )

    async def call(self, caller: int, calm: asyncio.Event) -> None:
        """Make one booking after the other until the disturbance ends."""
        number = 0
        while not calm.is_set():
            await self.insist(f'{caller}-{number}')
            number += 1

    async def insist(self, booking: str) -> None:
        """Repeat a booking at any entry until it is answered."""
        for _ in range(TRIES):
            answer = await self.book(booking)
            self.answers[booking].append(answer)
            if answer is not None and answer.status_code == httpx.codes.OK:
                return

    async def book(self, booking: str) -> httpx.Response | None:
        """Try once; a caller without patience does not wait for the answer."""
        entry = self.random.choice(self.nodes.list_entries())
        try:
            return await self.client.post(
                f'{entry}/orders?ms=80',
                headers={
                    'x-api-key': setups.KEY,
                    'idempotency-key': booking,
                    'booking': booking,
                },
                timeout=self.random.choice((0.1, 20.0)),
            )
        except httpx.TimeoutException:
            return None

    async def disturb(self) -> None:
        """Kill the nodes of the orders in turn, and lose answers."""
        await self.nodes.behave(lose_ratio=0.1)
        for number in range(KILLS):
            await asyncio.sleep(0.3)
            await asyncio.to_thread(self.nodes.replace, 2 + number % 2)

    async def count_runs(self) -> collections.Counter[str]:
        runs: collections.Counter[str] = collections.Counter()
        for target in self.nodes.targets:
            answer = await self.client.get(f'http://{target}/_standin/ledger')
            runs.update(entry['booking'] for entry in answer.json())
        return runs

    async def test_each_booking_runs_at_most_once(self) -> None:
        calm = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for caller in range(CALLERS):
                group.create_task(self.call(caller, calm))
            await self.disturb()
            calm.set()
        runs = await self.count_runs()
        for name, answers in self.answers.items():
            outcomes = [_name_outcome(answer) for answer in answers]
            self.assertLessEqual(runs[name], 1, (name, outcomes))
            if outcomes[-1] == 'answered':
                self.assertEqual(name, answers[-1].json()['booking'])
                self.assertEqual(1, runs[name], (name, outcomes))
            elif set(outcomes) == {'not-run'}:
                self.assertEqual(0, runs[name], (name, outcomes))
        counts = collections.Counter(
            _name_outcome(answer)
            for answers in self.answers.values()
            for answer in answers
        )
        self.assertGreater(counts['answered'], CALLERS, counts)


def _name_outcome(answer: httpx.Response | None) -> str:
    if answer is None:
        return 'left'
    if answer.status_code == httpx.codes.OK:
        return 'answered'
    return answer.headers['eelgrasswalk-verdict']
