"""Tests of the checks of calls at the caller's node."""

import asyncio
import random
import unittest
import unittest.mock

from eelgrasswalk import request_log
from eelgrasswalk import verdict
from eelgrasswalk.document import model
from eelgrasswalk.filters import front
from eelgrasswalk.platform import dialect
from eelgrasswalk.policy import call_rules
from eelgrasswalk.policy import freshness
from eelgrasswalk.transport import message

TIMEOUT_S = 5.0
HOST = (b'host', b'h')
ANSWER = verdict.Answered(verdict.Response(200, (), b''))


def build_route(prefix: str, *, idempotent: bool) -> call_rules.RouteRule:
    return call_rules.RouteRule(
        name=prefix,
        hostname='h',
        prefix=prefix,
        shares=(call_rules.Share('back', 1.0),),
        importance=model.Importance.NORMAL,
        idempotent=idempotent,
        open_to_all=False,
        timeout_s=TIMEOUT_S,
        objective_s=1.0,
        max_upstreams=2,
    )


def build_table() -> call_rules.RuleTable:
    return call_rules.RuleTable(
        call_rules.Rules(
            version=1,
            routes=(
                build_route('/', idempotent=True),
                build_route('/book/', idempotent=False),
            ),
            accounts=(call_rules.AccountRule('a', ('key',), 1.0, 1.0),),
            services=(call_rules.ServiceRule('back', 0),),
            limits=call_rules.ListenerLimits(1000, 1000, 1.0, 1.0),
        )
    )


class FrontendTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.table: call_rules.RuleTable | None = build_table()
        self.calls: list[front.IncomingCall] = []
        self.quotas = unittest.mock.create_autospec(front.Quota, instance=True)
        self.quotas.admit.return_value = None
        self.log = unittest.mock.create_autospec(
            request_log.RequestLog, instance=True
        )

    async def asyncSetUp(self) -> None:
        fresh = freshness.Freshness(60.0)
        fresh.confirm(0.0)
        self.front = front.Frontend(
            dialect.PlatformDialect(),
            service='entry',
            get_table=lambda: self.table,
            fresh=fresh,
            quotas=self.quotas,
            forward=self.forward,
            log=self.log,
            boot_clock=lambda: 0.0,
            source=random.Random(1),
        )
        self.now = asyncio.get_running_loop().time()

    async def forward(self, call: front.IncomingCall) -> verdict.Verdict:
        self.calls.append(call)
        return ANSWER

    def build_request(
        self, *, waited_s: float = 0.0, timeout_ms: int | None = None
    ) -> message.Request:
        headers = (HOST, (b'authorization', b'Bearer key'))
        if timeout_ms is not None:
            headers += ((b'request-deadline', b'%d' % timeout_ms),)
        return message.Request(
            'GET', '/x', headers, b'', received_at=self.now - waited_s
        )

    async def test_time_limit_counts_from_the_receipt(self) -> None:
        await self.front.handle(self.build_request(waited_s=3.0))
        (call,) = self.calls
        self.assertEqual(self.now - 3.0 + TIMEOUT_S, call.deadline)
        self.assertEqual(self.now - 3.0, call.arrived_at)

    async def test_time_limit_of_the_caller_counts_from_the_receipt(
        self,
    ) -> None:
        await self.front.handle(
            self.build_request(waited_s=1.0, timeout_ms=4000)
        )
        (call,) = self.calls
        self.assertEqual(self.now - 1.0 + 4.0, call.deadline)

    async def test_time_of_the_receipt_is_not_sent_to_other_hosts(
        self,
    ) -> None:
        await self.front.handle(self.build_request())
        self.assertIsNone(self.calls[0].request.received_at)

    async def test_call_that_has_waited_too_long_is_not_run(self) -> None:
        """Nor does it cost the account anything."""
        for request in (
            self.build_request(waited_s=TIMEOUT_S),
            self.build_request(waited_s=1.0, timeout_ms=1000),
        ):
            response = await self.front.handle(request)
            self.assertEqual(503, response.status)
        self.assertEqual([], self.calls)
        self.quotas.admit.assert_not_called()

    def test_calls_of_safe_routes_may_overlap(self) -> None:
        for method in ('GET', 'POST'):
            for target, expected in (
                ('/x?y=/book/', True),
                ('/book/1', False),
            ):
                request = message.Request(method, target, (HOST,), b'')
                self.assertEqual(expected, self.front.may_overlap(request))

    def test_calls_without_a_route_may_not_overlap(self) -> None:
        request = message.Request('GET', '/', ((b'host', b'other'),), b'')
        self.assertFalse(self.front.may_overlap(request))
        self.table = None
        self.assertFalse(self.front.may_overlap(self.build_request()))
