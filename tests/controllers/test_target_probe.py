"""Tests of asking the target whether it serves."""

import typing
import unittest

from eelgrasswalk import verdict
from eelgrasswalk.controllers import target_probe
from eelgrasswalk.platform import dialect
from eelgrasswalk.transport import http_client
from eelgrasswalk.transport import http_server
from eelgrasswalk.transport import message

HEALTHY = verdict.Response(200, ((b'instance-id', b'i-1'),), b'')


class FakeLoads:
    def __init__(self) -> None:
        self.run_id = 'i-1@1'
        self.observed: list[tuple[verdict.Response, str]] = []

    def observe(self, response: verdict.Response, run_id: str) -> None:
        self.observed.append((response, run_id))


class TargetProbeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.answer = HEALTHY
        self.handler = self.handle
        self.paths: list[str] = []
        self.path = '/health'
        self.loads = FakeLoads()
        server = http_server.HttpServer(
            lambda request: self.handler(request), limits=http_server.Limits()
        )
        host, port = await server.start('127.0.0.1', 0)
        self.addAsyncCleanup(server.stop)
        pool = http_client.TargetPool(host, port, connections=1)
        self.addAsyncCleanup(pool.close)
        self.probe = target_probe.TargetProbe(
            pool,
            dialect.PlatformDialect(),
            get_path=lambda: self.path,
            loads=self.loads,
        )

    async def handle(self, request: message.Request) -> verdict.Response:
        self.paths.append(request.target)
        return self.answer

    async def ask(self, *answer: typing.Any) -> bool:
        if answer:
            self.answer = verdict.Response(*answer)
        report = await self.probe.ask('i-1')
        return report is not None and report.is_serving

    async def test_healthy_target_serves(self) -> None:
        self.assertTrue(await self.ask())
        self.assertEqual(['/health'], self.paths)

    async def test_target_that_leaves_does_not(self) -> None:
        self.assertFalse(await self.ask(503, ((b'instance-id', b'i-1'),), b''))

    async def test_healthy_target_that_is_leaving_does_not(self) -> None:
        headers = ((b'instance-id', b'i-1'), (b'server-leaving', b'1'))
        self.assertFalse(await self.ask(200, headers, b''))

    async def test_other_target_at_the_address_does_not(self) -> None:
        self.assertFalse(await self.ask(200, ((b'instance-id', b'i-2'),), b''))
        self.assertFalse(await self.ask(200, (), b''))

    async def test_load_is_taken_from_the_answer_of_the_target(self) -> None:
        headers = ((b'instance-id', b'i-1'), (b'server-load', b'1,0,4'))
        self.assertTrue(await self.ask(200, headers, b''))
        ((response, run_id),) = self.loads.observed
        self.assertIn((b'server-load', b'1,0,4'), response.headers)
        self.assertEqual('i-1@1', run_id)

    async def test_answer_counts_for_the_run_that_was_asked(self) -> None:
        """The target may be replaced while the answer is on its way."""
        handle = self.handle

        async def restart(request: message.Request) -> verdict.Response:
            self.loads.run_id = 'i-1@2'
            return await handle(request)

        self.handler = restart
        await self.ask()
        ((_, run_id),) = self.loads.observed
        self.assertEqual('i-1@1', run_id)

    async def test_load_of_another_target_is_not_taken(self) -> None:
        headers = ((b'instance-id', b'i-2'), (b'server-load', b'1,0,4'))
        await self.ask(200, headers, b'')
        self.assertEqual([], self.loads.observed)

    async def test_health_answer_tells_how_long_the_target_is_cold(
        self,
    ) -> None:
        """A malformed value must count as unknown, not as warm."""
        for value, cold_s in (
            (b'2500', 2.5),
            (b'0', 0.0),
            (b'-1', None),
            (b'soon', None),
            (b'999999999', None),
        ):
            headers = ((b'instance-id', b'i-1'), (b'cold-remaining', value))
            self.answer = verdict.Response(200, headers, b'')
            with self.subTest(value):
                report = await self.probe.ask('i-1')
                assert report is not None
                self.assertEqual(cold_s, report.cold_s)

    async def test_other_target_reports_nothing(self) -> None:
        headers = ((b'instance-id', b'i-2'), (b'cold-remaining', b'2500'))
        self.answer = verdict.Response(200, headers, b'')
        self.assertIsNone(await self.probe.ask('i-1'))

    async def test_target_without_a_path_is_not_asked(self) -> None:
        self.path = ''
        self.assertFalse(await self.ask())
        self.assertEqual([], self.paths)
