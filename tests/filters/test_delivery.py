"""Tests of the delivery of calls to the target."""

import asyncio
import unittest

from eelgrasswalk import verdict
from eelgrasswalk.document import model
from eelgrasswalk.filters import delivery
from eelgrasswalk.transport import http_client
from eelgrasswalk.transport import message

ROUTE = model.Route('stock', 'inventory', '/stock')
BUSY = http_client.Received(
    verdict.Response(503, ((b'retry-after', b'7'),), b'busy')
)


class Pool(http_client.TargetPool):
    """Returns a given outcome and records the requests."""

    def __init__(self, outcome: http_client.Outcome) -> None:
        super().__init__('127.0.0.1', 1, connections=1)
        self.outcome = outcome
        self.sent: list[message.Request] = []

    async def send(
        self, request: message.Request, *, max_answer_bytes: int
    ) -> http_client.Outcome:
        self.sent.append(request)
        return self.outcome


class DelivererTest(unittest.IsolatedAsyncioTestCase):
    async def deliver(
        self,
        outcome: http_client.Outcome,
        *,
        means_not_run: bool = True,
        has_child_calls: bool = False,
    ) -> verdict.Verdict:
        self.pool = Pool(outcome)
        deliverer = delivery.Deliverer(
            self.pool, removed_headers=frozenset((b'x-api-key',))
        )
        return await deliverer.deliver(
            message.Request(
                'GET',
                '/stock',
                (
                    (b'x-api-key', b'secret'),
                    (b'connection', b'x-hop'),
                    (b'x-hop', b'1'),
                    (b'eelgrasswalk-context', b'forged'),
                    (b'accept', b'*/*'),
                ),
                b'',
            ),
            token=b'token',
            route=ROUTE,
            service=model.Service(
                'inventory', 1, 1, refusal_means_not_run=means_not_run
            ),
            deadline=asyncio.get_running_loop().time() + 10,
            has_child_calls=lambda: has_child_calls,
        )

    async def test_refusal_is_not_run_where_the_document_says_so(
        self,
    ) -> None:
        outcome = await self.deliver(BUSY)
        assert isinstance(outcome, verdict.NotRun)
        self.assertEqual(7.0, outcome.retry_after_s)

    async def test_refusal_is_an_answer_otherwise(self) -> None:
        outcome = await self.deliver(BUSY, means_not_run=False)
        self.assertIsInstance(outcome, verdict.Answered)

    async def test_refusal_after_child_calls_is_an_answer(self) -> None:
        outcome = await self.deliver(BUSY, has_child_calls=True)
        self.assertIsInstance(outcome, verdict.Answered)

    async def test_broken_connection_may_have_run(self) -> None:
        broken = http_client.Broken(verdict.Reason.TARGET_LOST, 'closed')
        outcome = await self.deliver(broken)
        self.assertIsInstance(outcome, verdict.MayHaveRun)

    async def test_request_that_was_not_sent_has_not_run(self) -> None:
        outcome = await self.deliver(http_client.NotSent('refused'))
        assert isinstance(outcome, verdict.NotRun)
        self.assertTrue(outcome.retry_elsewhere)

    async def test_target_gets_no_secret_or_hop_by_hop_headers(self) -> None:
        await self.deliver(BUSY)
        headers = dict(self.pool.sent[0].headers)
        self.assertEqual(b'token', headers.pop(b'eelgrasswalk-context'))
        self.assertLess(0, float(headers.pop(b'eelgrasswalk-deadline')))
        self.assertEqual({b'accept': b'*/*'}, headers)
