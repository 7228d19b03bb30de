"""Tests of the stand-in target."""

import asyncio
import json
import unittest
import urllib.parse

from eelgrasswalk.standins import calling
from eelgrasswalk.standins import serving
from eelgrasswalk.standins import target


class TargetTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, **behaviour: object) -> calling.Caller:
        one = target.Target(target.Behaviour(**behaviour))
        server, address = await serving.start_server(
            one.handle, '127.0.0.1', 0
        )
        self.addCleanup(server.close)
        one.name = address
        caller = calling.Caller(address)
        self.addCleanup(caller.close)
        return caller

    async def read_ledger(self, caller: calling.Caller) -> list[dict]:
        reply = await caller.call('GET', '/_standin/ledger')
        return json.loads(reply.body)

    async def behave(self, caller: calling.Caller, **changes: object) -> None:
        body = json.dumps(changes).encode()
        await caller.call('POST', '/_standin/behave', body=body)

    async def test_answers_with_the_asked_length(self) -> None:
        caller = await self.start()
        reply = await caller.call('GET', '/x?bytes=5000&status=203')
        self.assertEqual(203, reply.status)
        self.assertEqual(5000, len(reply.body))
        self.assertIn('pad', json.loads(reply.body))

    async def test_keeps_a_ledger(self) -> None:
        caller = await self.start(secrets=('s3cret',))
        headers = [(b'booking', b'b-1'), (b'x-request-id', b'r-1')]
        await caller.call('POST', '/book?ms=1', headers=headers, body=b'{}')
        await caller.call('GET', '/y', headers=[(b'other', b'a s3cret')])
        first, second = await self.read_ledger(caller)
        self.assertEqual('b-1', first['booking'])
        self.assertEqual('r-1', first['request'])
        self.assertTrue(first['finished'])
        self.assertGreater(first['end'], first['start'])
        self.assertFalse(first['has_key'])
        self.assertTrue(second['has_key'])
        await caller.call('POST', '/_standin/ledger')
        self.assertEqual([], await self.read_ledger(caller))

    async def test_calls_children_with_the_context(self) -> None:
        seen: list[serving.Request] = []

        def answer(request: serving.Request) -> serving.Reply:
            seen.append(request)
            return serving.Reply()

        server, node = await serving.start_server(answer, '127.0.0.1', 0)
        self.addCleanup(server.close)
        caller = await self.start(node=node)
        child = urllib.parse.quote('/inventory/stock?child=/deep', safe='')
        await caller.call(
            'GET',
            f'/catalogue?child={child}&child=/prices',
            headers=[(b'eelgrasswalk-context', b'token')],
        )
        self.assertEqual(
            [b'/inventory/stock?child=/deep', b'/prices'],
            [request.target for request in seen],
        )
        for request in seen:
            context = request.find_header(target.CONTEXT_HEADER)
            self.assertEqual(b'token', context)

    async def test_fails_with_its_child(self) -> None:
        caller = await self.start(node='127.0.0.1:1')
        reply = await caller.call('GET', '/catalogue?child=/inventory')
        self.assertEqual(502, reply.status)
        entry = (await self.read_ledger(caller))[0]
        self.assertFalse(entry['finished'])

    async def test_runs_no_more_than_its_slots(self) -> None:
        caller = await self.start(slots=2)
        calls = [caller.call('GET', '/x?ms=5') for _ in range(6)]
        await asyncio.gather(*calls)
        entries = await self.read_ledger(caller)
        starts = [(entry['start'], 1) for entry in entries]
        ends = [(entry['end'], -1) for entry in entries]
        running = 0
        for _, change in sorted(starts + ends):
            running += change
            self.assertLessEqual(running, 2)

    async def test_cancels_the_work_of_a_caller_that_left(self) -> None:
        caller = await self.start(slots=1)
        call = asyncio.create_task(caller.call('GET', '/x?ms=600000'))
        while not await self.read_ledger(caller):
            pass
        call.cancel()
        while (await self.read_ledger(caller))[0]['end'] is None:
            pass
        reply = await caller.call('GET', '/x?ms=1')
        self.assertEqual(200, reply.status)
        self.assertFalse((await self.read_ledger(caller))[0]['finished'])

    async def test_faults_can_be_switched(self) -> None:
        caller = await self.start()
        await self.behave(caller, refuse=True)
        self.assertEqual(503, (await caller.call('GET', '/x')).status)
        self.assertEqual([], await self.read_ledger(caller))
        await self.behave(caller, refuse=False, fail_ratio=1.0)
        self.assertEqual(500, (await caller.call('GET', '/x')).status)
        await self.behave(caller, fail_ratio=0.0, drop_ratio=1.0)
        with self.assertRaises(calling.CallError):
            await caller.call('GET', '/x?bytes=1000')

    async def test_load_may_be_false(self) -> None:
        caller = await self.start(slots=7)
        await self.behave(caller, load_claimed=3)
        reply = await caller.call('GET', '/load')
        self.assertEqual({'in_flight': 3, 'slots': 7}, json.loads(reply.body))

    async def test_sheds_beyond_its_queue(self) -> None:
        caller = await self.start(slots=1, queue=1)
        calls = [caller.call('GET', '/x?ms=20') for _ in range(4)]
        replies = await asyncio.gather(*calls)
        statuses = sorted(reply.status for reply in replies)
        self.assertEqual([200, 200, 503, 503], statuses)

    async def cool(self, caller: calling.Caller, seconds: float) -> None:
        body = json.dumps({'seconds': seconds}).encode()
        await caller.call('POST', '/_standin/cold', body=body)

    async def test_reports_how_long_it_remains_cold(self) -> None:
        """A node that is told nothing sends a cold target too much."""
        caller = await self.start(cold_start_s=60.0)
        headers = dict((await caller.call('GET', '/health')).headers)
        self.assertLessEqual(int(headers[b'cold-remaining']), 60_000)
        self.assertGreater(int(headers[b'cold-remaining']), 0)

    async def test_turns_cold_again_on_command(self) -> None:
        caller = await self.start()
        reply = await caller.call('GET', '/health')
        self.assertNotIn(b'cold-remaining', dict(reply.headers))
        await self.cool(caller, 60.0)
        reply = await caller.call('GET', '/health')
        self.assertIn(b'cold-remaining', dict(reply.headers))

    async def test_crashes_when_cold_above_its_limit(self) -> None:
        caller = await self.start(
            cold_start_s=600.0, cold_factor=1.0, cold_crash_calls=3
        )
        for _ in range(3):
            self.assertEqual(200, (await caller.call('GET', '/x')).status)
        with self.assertRaises(calling.CallError):
            await caller.call('GET', '/x')
        with self.assertRaises(calling.CallError):
            await caller.call('GET', '/health')

    async def test_takes_any_number_of_requests_when_warm(self) -> None:
        caller = await self.start(cold_crash_calls=3)
        for _ in range(20):
            self.assertEqual(200, (await caller.call('GET', '/x')).status)

    async def test_reports_its_load_with_four_figures(self) -> None:
        caller = await self.start(slots=7, slowdown=140, load_claimed=9)
        for path in ('/x', '/health'):
            headers = dict((await caller.call('GET', path)).headers)
            self.assertEqual(b'7,2,7,140', headers[b'server-load'])
        await self.behave(caller, load_text='-1,x')
        headers = dict((await caller.call('GET', '/x')).headers)
        self.assertEqual(b'-1,x', headers[b'server-load'])

    async def test_answers_with_numbers_that_are_no_status(self) -> None:
        caller = await self.start(invalid_ratio=1.0)
        statuses = [(await caller.call('GET', '/x')).status for _ in range(4)]
        self.assertEqual([999, 99, 600, 0], statuses)

    def test_writes_three_digits_of_a_status(self) -> None:
        for status, line in ((0, b'HTTP/1.1 000 '), (99, b'HTTP/1.1 099 ')):
            data = serving.encode_reply(serving.Reply(status))
            self.assertTrue(data.startswith(line), data)
