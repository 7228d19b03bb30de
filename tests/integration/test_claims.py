"""Claims of several nodes on a platform that loses answers."""

import asyncio
import collections
import random
import typing
import unittest

import httpx

from eelgrasswalk import verdict
from eelgrasswalk.bench import mesh
from eelgrasswalk.controllers import claim_store
from eelgrasswalk.controllers import claim_writer
from eelgrasswalk.controllers import idempotency
from eelgrasswalk.document import model
from eelgrasswalk.platform import http
from tests.controllers import test_idempotency

ROUTE = model.Route('book', 'orders', '/', once=model.OnceMode.REFUSE)
NODES = 3
BOOKINGS = 40
TRIES = 12


class Ledger:
    """The bookings that ran, and how each try ended."""

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.answered: set[str] = set()
        self.refused_only: set[str] = set()


class ClaimsOnPlatformTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        running = self.enterContext(mesh.Mesh())
        process = running.start_standin('platform', '--seed', '7')
        self.url = f'http://{process.ready["addresses"][0]}'
        self.random = random.Random(7)
        self.ledger = Ledger()

    def make_node(self, client: httpx.AsyncClient) -> idempotency.Claims:
        options = http.Options(reads_per_s=1e6, writes_per_s=1e6)
        platform = http.HttpPlatform(client, options=options)
        store = claim_store.ClaimStore(platform, platform, now=lambda: 1.0)
        writer = claim_writer.ClaimWriter(store)
        node = idempotency.Claims(store, writer)
        self.addAsyncCleanup(node.stop)
        return node

    def make_target(self, booking: str) -> idempotency.Proceed:
        async def proceed() -> verdict.Verdict:
            await asyncio.sleep(0)
            draw = self.random.random()
            if draw < 0.2:
                return verdict.NotRun(verdict.Reason.OVERLOAD)
            self.ledger.runs[booking] += 1
            if draw < 0.3:
                return verdict.MayHaveRun(verdict.Reason.TARGET_LOST)
            response = verdict.Response(201, (), booking.encode())
            return verdict.Answered(response)

        return proceed

    async def insist(
        self, nodes: typing.Sequence[idempotency.Claims], booking: str
    ) -> None:
        """Repeat a booking at any node, as a caller does who retries hard."""
        call = test_idempotency.make_call(booking)
        proceed = self.make_target(booking)
        self.ledger.refused_only.add(booking)
        for _ in range(TRIES):
            node = self.random.choice(nodes)
            outcome = await node.run_once(call, ROUTE, proceed)
            if isinstance(outcome, verdict.NotRun):
                continue
            self.ledger.refused_only.discard(booking)
            if isinstance(outcome, verdict.Answered):
                self.assertEqual(booking.encode(), outcome.response.body)
                self.ledger.answered.add(booking)

    async def test_each_booking_runs_at_most_once(self) -> None:
        async with httpx.AsyncClient(base_url=self.url) as client:
            nodes = [self.make_node(client) for _ in range(NODES)]
            await client.post('/_standin/behave', json={'lose_ratio': 0.3})
            async with asyncio.TaskGroup() as group:
                for number in range(BOOKINGS):
                    group.create_task(self.insist(nodes, f'b-{number}'))
            for node in nodes:
                await node.stop()
        ledger = self.ledger
        self.assertEqual({}, {k: n for k, n in ledger.runs.items() if n > 1})
        self.assertLessEqual(ledger.answered, set(ledger.runs))
        self.assertEqual(set(), ledger.refused_only & set(ledger.runs))
        self.assertGreater(len(ledger.answered), BOOKINGS // 2)
