"""Tests of the dispatch of requests to upstreams."""

import asyncio
import random
import unittest

from eelgrasswalk import verdict
from eelgrasswalk.controllers import directory
from eelgrasswalk.document import model
from eelgrasswalk.filters import dispatch
from eelgrasswalk.filters import filter_chain
from eelgrasswalk.filters import transmit
from eelgrasswalk.policy import breaker
from eelgrasswalk.policy import levels
from eelgrasswalk.policy import retries
from eelgrasswalk.policy import routing
from eelgrasswalk.policy.placement import balance
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
    """Records the calls that are sent.

    Args:
        outcomes: Verdicts on the first attempts; later ones are answered.
    """

    def __init__(self, *outcomes: verdict.Verdict) -> None:
        self.calls: list[frames.Call] = []
        self.outcomes = list(outcomes)

    async def run(self, call: frames.Call) -> dialler.Reply:
        self.calls.append(call)
        if self.outcomes:
            return dialler.Reply(self.outcomes.pop(0), None)
        response = verdict.Response(200, (), b'')
        return dialler.Reply(verdict.Answered(response), None)


def ignore_control(node_id: str, topic: str, payload: bytes) -> None:
    pass


class PartlyReachable:
    """Reaches all nodes except one."""

    def __init__(self, unreachable: str) -> None:
        self.unreachable = unreachable
        self.tried: list[str] = []

    async def transmit(
        self,
        node_id: str,
        call: frames.Call,
        *,
        deadline: float,
        retriable: bool,
    ) -> dialler.Reply:
        self.tried.append(node_id)
        if node_id == self.unreachable:
            refusal = verdict.NotRun(
                verdict.Reason.NO_UPSTREAM, retry_elsewhere=True
            )
            return dialler.Reply(refusal, None)
        response = verdict.Response(200, (), b'')
        return dialler.Reply(verdict.Answered(response), None)


class DispatcherTest(unittest.IsolatedAsyncioTestCase):
    def build_balancer(self, *node_ids: str) -> balance.Balancer:
        balancer = balance.Balancer(
            balance.BalanceSettings(), data_centre='dc'
        )
        upstreams = [
            balance.Upstream(node_id, 'dc', 'inventory')
            for node_id in node_ids
        ]
        balancer.replace('inventory', upstreams, 0.0)
        return balancer

    def build_dispatcher(self, runner: Runner) -> dispatch.Dispatcher:
        balancer = self.build_balancer('n')
        transmitter = transmit.Transmitter(
            node_id='n',
            addresses=directory.Directory(balancer),
            links=dialler.Dialler(
                link.Identity('n', 1),
                secret=b'secret',
                bodies=budget.ByteBudget(1),
                on_control=ignore_control,
            ),
            runner=runner,
        )
        return self.create_dispatcher(transmitter, balancer)

    def create_dispatcher(
        self,
        transmitter: dispatch.Transmitter,
        balancer: balance.Balancer,
    ) -> dispatch.Dispatcher:
        return dispatch.Dispatcher(
            transmitter=transmitter,
            balancer=balancer,
            level_table=levels.LevelTable(),
            retry_breaker=breaker.RetryBreaker(),
            source=random.Random(1),
            removed_headers=frozenset((b'x-api-key',)),
        )

    def build_exchange(
        self, headers: message.Headers = (), *, allowance: int = 0
    ) -> filter_chain.Exchange:
        now = asyncio.get_running_loop().time()
        return filter_chain.Exchange(
            request=message.Request('GET', '/stock', headers, b''),
            source=filter_chain.Source.CALLER,
            arrived_at=now,
            table=routing.RoutingTable(DOCUMENT, version=1),
            route=ROUTE,
            deadline=now + 10,
            context=frames.Context('a', 0, bytes(16), 0.5, 0.0, 0),
            retry_allowance=retries.RetryAllowance(allowance),
        )

    async def test_key_and_internal_headers_are_not_forwarded(self) -> None:
        runner = Runner()
        dispatcher = self.build_dispatcher(runner)
        headers = (
            (b'x-api-key', b'secret key'),
            (b'eelgrasswalk-context', b'token'),
            (b'accept', b'*/*'),
        )
        outcome = await dispatcher.send(self.build_exchange(headers))
        self.assertIsInstance(outcome, verdict.Answered)
        sent = runner.calls[0].request.headers
        self.assertEqual(((b'accept', b'*/*'),), sent)

    async def test_briefly_unreachable_upstreams_fail_no_request(
        self,
    ) -> None:
        """During a rolling restart no upstream is reachable for a moment.

        The request must be retried until one is.
        """
        refusal = verdict.NotRun(
            verdict.Reason.TARGET_UNREACHABLE, retry_elsewhere=True
        )
        dispatcher = self.build_dispatcher(Runner(refusal, refusal))
        outcome = await dispatcher.send(self.build_exchange())
        self.assertIsInstance(outcome, verdict.Answered)

    async def test_unreachable_upstream_is_tried_once(self) -> None:
        """While one upstream restarts, the other one serves all requests."""
        transmitter = PartlyReachable('n')
        dispatcher = self.create_dispatcher(
            transmitter, self.build_balancer('n', 'm')
        )
        for _ in range(20):
            transmitter.tried.clear()
            outcome = await dispatcher.send(self.build_exchange())
            self.assertIsInstance(outcome, verdict.Answered)
            self.assertLessEqual(transmitter.tried.count('n'), 1)

    async def test_retries_of_unreachable_upstreams_are_limited(
        self,
    ) -> None:
        refusal = verdict.NotRun(
            verdict.Reason.TARGET_UNREACHABLE, retry_elsewhere=True
        )
        runner = Runner(*([refusal] * 100))
        dispatcher = self.build_dispatcher(runner)
        outcome = await dispatcher.send(self.build_exchange())
        self.assertIsInstance(outcome, verdict.NotRun)
        self.assertLessEqual(
            len(runner.calls), dispatch.MAX_UNREACHABLE_ATTEMPTS + 1
        )

    async def test_possible_run_is_reported_when_a_retry_is_refused(
        self,
    ) -> None:
        possible_run = verdict.MayHaveRun(verdict.Reason.TARGET_LOST)
        refusal = verdict.NotRun(verdict.Reason.OVERLOAD)
        dispatcher = self.build_dispatcher(Runner(possible_run, refusal))
        outcome = await dispatcher.send(self.build_exchange(allowance=2))
        self.assertEqual(possible_run, outcome)
