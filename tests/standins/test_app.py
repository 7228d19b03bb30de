"""Tests of the stand-in application beside a node."""

import asyncio
import unittest

from eelgrasswalk import verdict
from eelgrasswalk.standins import app
from eelgrasswalk.transport import http_server
from eelgrasswalk.transport import message


class AppTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.app = app.AppStandin('i-0', 'back')
        await self.app.start()
        self.addAsyncCleanup(self.app.stop)
        self.heard: list[bytes] = []

    async def ask_health(self) -> verdict.Response:
        request = message.Request('GET', app.HEALTH_PATH, (), b'')
        return await self.app.handle(request)

    async def send(self, target_id: str = 'i-0') -> verdict.Response:
        headers = (
            (b'target-instance', target_id.encode()),
            (b'attempt-id', b'0-1'),
        )
        request = message.Request('GET', '/back/safe/', headers, b'')
        return await self.app.handle(request)

    async def start_node(self) -> int:
        async def acknowledge(request: message.Request) -> verdict.Response:
            self.heard.append(request.body)
            return verdict.Response(200, (), b'{}')

        server = http_server.HttpServer(
            acknowledge, limits=http_server.Limits()
        )
        self.addAsyncCleanup(server.stop)
        return (await server.start('127.0.0.1', 0))[1]

    async def test_bound_holds_from_a_check_in_that_was_heard(self) -> None:
        port = await self.start_node()
        self.app.turn_cold(60.0)
        self.assertEqual([], self.app.coldness.list_spans(1e9))
        self.assertTrue(await self.app.check_in(port))
        self.assertIn(b'"cold_left_ms": ', self.heard[0])
        self.assertNotIn(b'"cold_left_ms": 0', self.heard[0])
        self.assertEqual(1, len(self.app.coldness.list_spans(1e9)))

    async def test_late_check_in_says_what_was(self) -> None:
        """Nodes must not take it for proof that the target is warm."""
        port = await self.start_node()
        late = asyncio.create_task(self.app.check_in(port, late_s=0.001))
        await asyncio.sleep(0)
        self.app.turn_cold(60.0)
        self.assertTrue(await late)
        self.assertIn(b'"cold_left_ms": 0,', self.heard[0])
        self.assertEqual([], self.app.coldness.list_spans(1e9))

    async def test_new_run_is_cold_at_once(self) -> None:
        self.app.behaviour.cold_start_s = 60.0
        self.app.restart('i-0')
        self.assertIn(
            b'cold-remaining', dict((await self.ask_health()).headers)
        )
        self.assertEqual(1, len(self.app.coldness.list_spans(1e9)))

    async def test_answers_of_421_do_not_count(self) -> None:
        self.app.behaviour.cold_crash_calls = 2
        self.app.turn_cold(60.0, reported=True)
        for _ in range(5):
            self.assertEqual(421, (await self.send('other')).status)
        self.assertEqual(200, (await self.send()).status)
        self.assertFalse(self.app.is_down)

    async def test_numbers_that_are_no_status(self) -> None:
        self.app.behaviour.invalid_ratio = 0.5
        answers = [await self.send() for _ in range(8)]
        self.assertEqual(
            ['200', '999', '200', '099', '200', '600', '200', '000'],
            [f'{answer.status}' for answer in answers],
        )
        self.assertIn('0-1', self.app.invalid_answers)

    async def test_reports_its_load_with_four_figures(self) -> None:
        self.app.behaviour.reports_load = True
        headers = dict((await self.ask_health()).headers)
        self.assertEqual(b'0,0,8,100', headers[b'server-load'])
        self.app.behaviour.load_text = b'-1,x'
        headers = dict((await self.send()).headers)
        self.assertEqual(b'-1,x', headers[b'server-load'])
