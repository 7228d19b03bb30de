"""Tests of what leaves the entry node with a call."""

import asyncio
import random
import unittest

from eelgrasswalk import verdict
from eelgrasswalk.controllers import directory
from eelgrasswalk.document import model
from eelgrasswalk.filters import dispatch
from eelgrasswalk.filters import exchange
from eelgrasswalk.policy import balance
from eelgrasswalk.policy import breaker
from eelgrasswalk.policy import levels
from eelgrasswalk.policy import retries
from eelgrasswalk.policy import routing
from eelgrasswalk.transport import budget
from eelgrasswalk.transport import dialler
from eelgrasswalk.transport import frames
from eelgrasswalk.transport import link
from eelgrasswalk.transport import message

ROUTE = model.Route('stock', 'inventory', '/stock')
DOCUMENT = model.Document(
    1, 'test', (), (model.Service('inventory', 1, 1),), (ROUTE,)
)


class Runner:
    """Keeps the calls that would leave the node."""

    def __init__(self) -> None:
        self.calls: list[frames.Call] = []

    async def run(self, call: frames.Call) -> dialler.Reply:
        self.calls.append(call)
        response = verdict.Response(200, (), b'')
        return dialler.Reply(verdict.Answered(response), None)


def ignore_control(node_id: str, topic: str, payload: bytes) -> None:
    pass


class DispatcherTest(unittest.IsolatedAsyncioTestCase):
    async def test_key_and_own_headers_cross_no_link(self) -> None:
        runner = Runner()
        balancer = balance.Balancer(
            balance.BalanceSettings(), data_centre='dc'
        )
        balancer.replace(
            'inventory', [balance.Upstream('n', 'dc', 'inventory')], 0.0
        )
        dispatcher = dispatch.Dispatcher(
            node_id='n',
            book=directory.Directory(balancer),
            links=dialler.Dialler(
                link.Identity('n', 1),
                secret=b'secret',
                bodies=budget.ByteBudget(1),
                on_control=ignore_control,
            ),
            runner=runner,
            balancer=balancer,
            level_table=levels.LevelTable(),
            storm=breaker.StormBreaker(),
            source=random.Random(1),
            removed_headers=frozenset((b'x-api-key',)),
        )
        headers = (
            (b'x-api-key', b'secret key'),
            (b'eelgrasswalk-context', b'token'),
            (b'accept', b'*/*'),
        )
        now = asyncio.get_running_loop().time()
        outcome = await dispatcher.send(
            exchange.Exchange(
                request=message.Request('GET', '/stock', headers, b''),
                source=exchange.Source.CALLER,
                arrived_at=now,
                table=routing.RoutingTable(DOCUMENT, version=1),
                route=ROUTE,
                deadline=now + 10,
                context=frames.Context('a', 0, bytes(16), 0.5, 0.0, 0),
                ledger=retries.Ledger(0),
            )
        )
        self.assertIsInstance(outcome, verdict.Answered)
        sent = runner.calls[0].request.headers
        self.assertEqual(((b'accept', b'*/*'),), sent)
