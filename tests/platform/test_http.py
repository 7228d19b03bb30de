"""Tests of the platform's HTTP adaptor."""

import unittest

import anyio
import httpx

from eelgrasswalk.platform import http
from eelgrasswalk.platform import limits
from eelgrasswalk.platform import protocols
from eelgrasswalk.standins import platform

FAST = http.Options(
    backoff_s=0.0, reads_per_s=1e6, writes_per_s=1e6, hedge_after_s=60.0
)


class FaultyTransport(httpx.AsyncBaseTransport):
    """Loses the next answers, or the next requests."""

    def __init__(self, inner: httpx.AsyncBaseTransport) -> None:
        self.inner = inner
        self.lost_answers = 0
        self.lost_requests = 0
        self.unconnected = 0
        self.unanswered = 0
        self.requests = 0

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        self.requests += 1
        if self.unconnected:
            self.unconnected -= 1
            raise httpx.ConnectError('refused')
        if self.unanswered:
            self.unanswered -= 1
            await anyio.sleep_forever()
        if self.lost_requests:
            self.lost_requests -= 1
            raise httpx.ReadError('lost')
        answer = await self.inner.handle_async_request(request)
        if self.lost_answers and request.method != 'GET':
            self.lost_answers -= 1
            raise httpx.ReadError('lost')
        return answer


class HttpPlatformTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.standin = platform.PlatformStandin()
        application = self.standin.make_application()
        self.faults = FaultyTransport(httpx.ASGITransport(application))
        self.client = httpx.AsyncClient(
            transport=self.faults, base_url='http://platform'
        )
        self.store = http.HttpPlatform(self.client, options=FAST)

    async def behave(self, **changes: object) -> None:
        answer = await self.client.post('/_standin/behave', json=changes)
        answer.raise_for_status()

    async def test_writes_on_condition(self) -> None:
        key = 'a b/ñ'
        first = await self.store.put(key, b'1', expected=None)
        again = await self.store.put(key, b'2', expected=None)
        self.assertEqual(b'1', again.find(key).value)
        second = await self.store.put(key, b'2', expected=first.version)
        found = await self.store.get(key)
        expected = protocols.Row(key, b'2', second.version)
        self.assertEqual(protocols.Found(expected), found)
        listed = await self.store.list('a ')
        self.assertEqual(protocols.Listed((expected,)), listed)
        self.assertIsInstance(
            await self.store.delete(key, expected=second.version),
            protocols.Done,
        )
        self.assertEqual(protocols.Missing(), await self.store.get(key))

    async def test_keeps_objects(self) -> None:
        self.assertEqual(protocols.Missing(), await self.store.get_object('o'))
        await self.store.put_object('o', b'content')
        self.assertEqual(
            protocols.Body(b'content'), await self.store.get_object('o')
        )
        await self.store.delete_object('o')
        self.assertEqual(protocols.Missing(), await self.store.get_object('o'))

    async def test_a_lost_answer_is_resolved_as_done(self) -> None:
        self.faults.lost_answers = 1
        outcome = await self.store.put('a', b'token', expected=None)
        found = await self.store.get('a')
        self.assertEqual(protocols.Done((found.row.version,)), outcome)
        self.faults.lost_answers = 2
        outcome = await self.store.batch(
            (
                protocols.Put('b', b'token', None),
                protocols.Check('a', found.row.version),
            )
        )
        self.assertIsInstance(outcome, protocols.Done)
        self.faults.lost_answers = 1
        outcome = await self.store.delete('a', expected=found.row.version)
        self.assertIsInstance(outcome, protocols.Done)

    async def test_a_lost_request_is_repeated(self) -> None:
        self.faults.lost_requests = 1
        outcome = await self.store.put('a', b'token', expected=None)
        self.assertIsInstance(outcome, protocols.Done)

    async def test_a_conflict_after_a_lost_request_may_be_unknown(
        self,
    ) -> None:
        await self.store.put('a', b'other', expected=None)
        self.faults.lost_requests = 1
        outcome = await self.store.put('a', b'token', expected=None)
        self.assertIsInstance(outcome, protocols.Unknown)
        self.assertEqual(b'other', outcome.conflict.find('a').value)

    async def test_an_untouched_row_proves_that_nothing_was_written(
        self,
    ) -> None:
        await self.store.put('a', b'other', expected=None)
        self.faults.lost_requests = 1
        outcome = await self.store.batch(
            (
                protocols.Put('a', b'token', None),
                protocols.Put('b', b'token', None),
            )
        )
        self.assertIsInstance(outcome, protocols.Conflict)

    async def test_a_write_without_any_answer_is_unknown(self) -> None:
        self.faults.lost_answers = 99
        outcome = await self.store.put('a', b'token', expected=None)
        self.assertIsInstance(outcome, protocols.Unknown)

    async def test_a_write_that_was_not_sent_is_unavailable(self) -> None:
        self.faults.unconnected = 99
        outcome = await self.store.put('a', b'token', expected=None)
        self.assertIsInstance(outcome, protocols.Unavailable)

    async def test_a_refused_write_is_unavailable(self) -> None:
        await self.behave(down=True)
        outcome = await self.store.put('a', b'token', expected=None)
        self.assertIsInstance(outcome, protocols.Unavailable)
        self.assertIsInstance(await self.store.get('a'), protocols.Unavailable)

    async def test_the_caps_answer_429(self) -> None:
        await self.behave(writes_per_s=4, reads_per_s=4)
        operations = [protocols.Put(f'{i}', b'', None) for i in range(9)]
        await self.store.batch(operations)
        outcome = await self.store.put('a', b'token', expected=None)
        self.assertEqual(protocols.Unavailable('status 429'), outcome)

    async def test_a_late_read_is_hedged(self) -> None:
        options = http.Options(hedge_after_s=0.001, read_timeout_s=60.0)
        store = http.HttpPlatform(self.client, options=options)
        self.faults.unanswered = 1
        self.assertEqual(protocols.Missing(), await store.get('a'))
        self.assertEqual(1, store.counters.hedges)

    async def test_an_open_circuit_sends_nothing(self) -> None:
        circuit = limits.CircuitLimits(1, 1e6, 1e6)
        options = http.Options(circuit=circuit)
        store = http.HttpPlatform(self.client, options=options)
        self.faults.unconnected = 1
        await store.put('a', b'token', expected=None)
        sent = self.faults.requests
        outcome = await store.put('a', b'token', expected=None)
        self.assertEqual(protocols.Unavailable('circuit is open'), outcome)
        self.assertEqual(sent, self.faults.requests)

    async def test_the_budget_bounds_the_rate(self) -> None:
        options = http.Options(writes_per_s=1e-3, longest_wait_s=0.0)
        store = http.HttpPlatform(self.client, options=options)
        await store.put('a', b'token', expected=None)
        outcome = await store.put('b', b'token', expected=None)
        self.assertEqual(protocols.Unavailable('budget is used up'), outcome)
        self.assertEqual(1, store.counters.rejections)
