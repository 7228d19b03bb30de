"""The whole path on the platform, with real node processes."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
import typing
import unittest

from eelgrasswalk.standins import deployment
from eelgrasswalk.transport import message
from tests.integration import sidecars


class ServeTest(sidecars.SidecarTestCase):
    async def test_call_crosses_to_the_target_of_another_node(self) -> None:
        await self.start_all()
        front, back = self.nodes
        back.app.arrivals.clear()
        answer = await self.call(
            front,
            '/back/unsafe/x?a=1',
            method='POST',
            request_id='r-cross',
            body=b'order',
        )
        assert answer is not None
        self.assertEqual(200, answer.status)
        self.assertEqual(b'answer to r-cross', answer.body)
        self.assertEqual(
            b'stamp-r-cross', dict(answer.headers)[b'response-stamp']
        )
        (arrival,) = back.app.arrivals
        self.assertEqual(
            ('POST', '/back/unsafe/x?a=1', b'order'),
            (arrival.method, arrival.path, arrival.body),
        )
        headers = arrival.headers
        self.assertEqual(b'front', headers[b'caller-service'])
        self.assertEqual(b'lake', headers[b'tenant-id'])
        self.assertNotIn(b'authorization', headers)
        self.assertLessEqual(int(headers[b'request-deadline']), 3000)

    async def test_safe_calls_of_one_connection_run_at_the_same_time(
        self,
    ) -> None:
        """All run before one is answered, and an unsafe one waits."""
        await self.start_all()
        front, back = self.nodes[:2]
        back.app.arrivals.clear()
        back.app.behaviour.silent = True
        _, writer = await asyncio.open_connection('127.0.0.1', front.ports[0])
        self.addCleanup(writer.close)
        writer.write(_build_pipeline('p'))

        async def have_arrived() -> bool:
            return len(back.app.arrivals) >= 6

        await self.wait_for(have_arrived)
        self.assertEqual(
            [f'p{number}' for number in range(6)],
            sorted(arrival.request_id for arrival in back.app.arrivals),
        )

    async def test_calls_of_one_connection_are_answered_in_order(self) -> None:
        await self.start_all()
        front = self.nodes[0]
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', front.ports[0]
        )
        self.addCleanup(writer.close)
        writer.write(_build_pipeline('q'))
        for number in range(7):
            head = await reader.readuntil(b'\r\n\r\n')
            self.assertTrue(head.startswith(b'HTTP/1.1 200 '), head)
            answer = f'answer to q{number}'.encode()
            self.assertEqual(answer, await reader.readexactly(len(answer)))

    async def test_refusals_before_the_target(self) -> None:
        await self.start_all()
        front, back = self.nodes
        arrived = len(back.app.arrivals)
        for path, key, status in (
            ('/none/', sidecars.KEY, 404),
            ('/back/safe/', 'unknown', 401),
            ('/back/safe/', None, 401),
        ):
            answer = await self.call(front, path, key=key)
            assert answer is not None
            self.assertEqual(status, answer.status, path)
        self.assertEqual(arrived, len(back.app.arrivals))

    async def test_node_without_configuration_answers_503(self) -> None:
        (front, _) = self.nodes
        front.start()
        await self.wait_for(lambda: self._is_listening(front))
        answer = await self.call(front, '/back/safe/')
        assert answer is not None
        self.assertEqual(503, answer.status)
        self.assertEqual(503, await self.ask_readiness(front))

    async def _is_listening(self, node: sidecars.Node) -> bool:
        return await self.ask_readiness(node) != 0


class TargetFaultsTest(sidecars.SidecarTestCase):
    services = ('front', 'back', 'back')

    async def test_refused_call_is_served_by_another_target(self) -> None:
        await self.start_all()
        front, one, other = self.nodes
        one.app.behaviour.shed = True
        for number in range(10):
            answer = await self.call(
                front, '/back/unsafe/', method='POST', request_id=f'u{number}'
            )
            assert answer is not None
            self.assertEqual(200, answer.status)
        self.assertTrue(other.app.arrivals)

    async def test_failure_of_the_target_is_passed_on_as_it_is(self) -> None:
        await self.start_all()
        front, one, other = self.nodes
        for node in (one, other):
            node.app.behaviour.status = 500
        answer = await self.call(front, '/back/unsafe/', method='POST')
        assert answer is not None
        self.assertEqual(500, answer.status)
        self.assertIn(b'response-stamp', dict(answer.headers))

    async def test_unsafe_call_runs_once_when_its_answer_is_lost(
        self,
    ) -> None:
        await self.start_all()
        front, one, other = self.nodes
        for node in (one, other):
            node.app.arrivals.clear()
            node.app.behaviour.silent = True
        call = asyncio.create_task(
            self.call(front, '/back/unsafe/', method='POST', deadline_ms=900)
        )
        await self.wait_for(self._build_check(one, other))
        for node in (one, other):
            node.kill()
        answer = await call
        assert answer is not None
        self.assertIn(answer.status, (502, 504))
        arrivals = [*one.app.arrivals, *other.app.arrivals]
        self.assertEqual(1, len(arrivals))

    def _build_check(
        self, *nodes: sidecars.Node
    ) -> typing.Callable[[], typing.Awaitable[bool]]:
        async def has_arrived() -> bool:
            return any(node.app.arrivals for node in nodes)

        return has_arrived

    async def test_caller_that_leaves_frees_the_target(self) -> None:
        await self.start_all()
        front, one, other = self.nodes
        for node in (one, other):
            node.app.arrivals.clear()
            node.app.behaviour.silent = True
        call = asyncio.create_task(self.call(front, '/back/safe/'))
        await self.wait_for(self._build_check(one, other))
        call.cancel()

        async def is_freed() -> bool:
            return not any(
                connection.in_progress > 0
                for node in (one, other)
                for connection in node.app._server.connections
            )

        started_at = time.monotonic()
        await self.wait_for(is_freed)
        self.assertLess(time.monotonic() - started_at, 0.5)

        async def is_told() -> bool:
            return all(
                any(
                    line.get('reason') == 'caller-gone'
                    for node in nodes
                    for line in node.read_log()
                )
                for nodes in ((front,), (one, other))
            )

        await self.wait_for(is_told)


class DrainTest(sidecars.SidecarTestCase):
    services = ('front', 'back', 'back')
    bounds = {'drain_ms': 1000}

    async def test_no_call_reaches_a_target_that_has_left(self) -> None:
        await self.start_all()
        front, one, other = self.nodes
        self.assertTrue(await self.check_in(one, 'draining'))
        acknowledged_at = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < acknowledged_at + 1.5:
            answer = await self.call(front, '/back/safe/')
            assert answer is not None
            self.assertEqual(200, answer.status, front.log.read_text())
        late = [
            arrival
            for arrival in one.app.arrivals
            if arrival.at > acknowledged_at + 1.0
        ]
        self.assertEqual([], late)
        self.assertTrue(other.app.arrivals)

    async def test_drain_outlasts_a_kill_of_the_node(self) -> None:
        await self.start_all()
        front, one, _ = self.nodes
        self.assertTrue(await self.check_in(one, 'draining'))
        one.kill()
        one.start()
        await self.wait_for(lambda: self.is_served(one, 'back'))
        await asyncio.sleep(1.0)
        one.app.arrivals.clear()
        for _ in range(20):
            await self.call(front, '/back/safe/')
        self.assertEqual([], one.app.arrivals)


class StopTest(sidecars.SidecarTestCase):
    timeout_ms = 8000
    services = ('front', 'back', 'back')
    bounds = {'grace_s': 6}

    async def test_planned_stop_cuts_no_call(self) -> None:
        await self.start_all()
        front, one, other = self.nodes
        for node in (one, other):
            node.app.behaviour.work_s = 0.1
        one.send_signal(signal.SIGTERM)
        started_at = time.monotonic()
        assert one.process is not None
        while one.process.poll() is None:
            self.assertLess(time.monotonic() - started_at, 6.0)
            answers = await asyncio.gather(
                self.call(front, '/back/safe/'),
                self.call(front, '/back/unsafe/', method='POST'),
            )
            self.assertEqual(
                [200, 200], [sidecars.get_status(a) for a in answers]
            )
        self.assertEqual(0, one.process.returncode)

    async def test_long_call_is_finished_within_the_grace_time(self) -> None:
        """Calls may be finished until shortly before the kill."""
        await self.start_all()
        front, one, other = self.nodes
        for node in (one, other):
            node.app.behaviour.work_s = 4.9
        call = asyncio.create_task(
            self.call(front, '/back/safe/', deadline_ms=6000)
        )
        await asyncio.sleep(0.2)
        for node in self.nodes:
            node.send_signal(signal.SIGTERM)
        started_at = time.monotonic()
        self.assertEqual(200, sidecars.get_status(await call))
        for node in self.nodes:
            assert node.process is not None
            while node.process.poll() is None:
                self.assertLess(time.monotonic() - started_at, 6.0)
                await asyncio.sleep(0.05)

    async def test_signal_to_reload_ends_nothing(self) -> None:
        await self.start_all()
        front = self.nodes[0]
        front.send_signal(signal.SIGHUP)

        async def is_told() -> bool:
            return any(line['event'] == 1005 for line in front.read_log())

        await self.wait_for(is_told)
        self.assertTrue(await self.is_served(front, 'back'))

    async def test_changed_settings_count_as_far_as_they_can(self) -> None:
        await self.start_all()
        front = self.nodes[0]
        fields = json.loads(front.settings.read_text())
        fields['bounds'] = {'drain_ms': 1500, 'budget_window_s': 20}
        fields['limits'] = {'memory_mb': 200}
        front.settings.write_text(json.dumps(fields))
        front.send_signal(signal.SIGHUP)
        told: list[dict[str, typing.Any]] = []

        async def is_told() -> bool:
            told[:] = [
                line for line in front.read_log() if line['event'] == 1005
            ]
            return bool(told)

        await self.wait_for(is_told)
        self.assertEqual(['drain_s', 'memory_bytes'], told[0]['applied'])
        self.assertEqual(['retry_window_s'], told[0]['counts_after_restart'])
        self.assertTrue(await self.is_served(front, 'back'))

    async def test_settings_that_cannot_be_read_change_nothing(self) -> None:
        await self.start_all()
        front = self.nodes[0]
        front.settings.write_text('{"node_id": ')
        front.send_signal(signal.SIGHUP)

        async def is_told() -> bool:
            return any(line['event'] == 1006 for line in front.read_log())

        await self.wait_for(is_told)
        self.assertTrue(await self.is_served(front, 'back'))

    async def test_node_that_stops_is_not_ready(self) -> None:
        await self.start_all()
        front = self.nodes[0]
        self.assertEqual(200, await self.ask_readiness(front))
        front.send_signal(signal.SIGTERM)

        async def is_unready() -> bool:
            return await self.ask_readiness(front) == 503

        await self.wait_for(is_unready)

    async def test_killed_node_serves_its_target_at_once_again(self) -> None:
        """The target's next check-in may be seconds away."""
        await self.start_all()
        front, one, other = self.nodes
        for node in (one, other):
            node.kill()
        for node in (one, other):
            node.start()
        await self.wait_for(lambda: self.is_served(front, 'back'))


class StoreTest(sidecars.SidecarTestCase):
    bounds = {'revoke_ms': 3500}

    async def test_withdrawn_key_stops_though_the_store_is_silent(
        self,
    ) -> None:
        await self.start_all()
        front = self.nodes[0]
        self.store.faults.silent = True
        config = sidecars.build_config(2, self.services, keys=['other'])
        self.store.put('op', 'config', config)
        withdrawn_at = time.monotonic()
        while time.monotonic() < withdrawn_at + 3.5:
            await asyncio.sleep(0.1)
        answer = await self.call(front, '/back/safe/')
        self.assertEqual(503, sidecars.get_status(answer))

    async def test_calls_go_on_while_the_store_refuses_for_a_moment(
        self,
    ) -> None:
        await self.start_all()
        front = self.nodes[0]
        self.store.faults.status = 503
        for _ in range(20):
            answer = await self.call(front, '/back/safe/')
            self.assertEqual(200, sidecars.get_status(answer))
        self.store.faults.status = 0

    async def test_newest_configuration_counts_after_an_outage(self) -> None:
        await self.start_all()
        front = self.nodes[0]
        self.store.faults.status = 503
        for version, key in ((2, 'second'), (3, 'third')):
            config = sidecars.build_config(version, self.services, keys=[key])
            self.store.put('op', 'config', config)
        self.store.faults.status = 0

        async def is_in_force() -> bool:
            answer = await self.call(front, '/back/safe/', key='third')
            return sidecars.get_status(answer) == 200

        await self.wait_for(is_in_force)
        for key in (sidecars.KEY, 'second'):
            answer = await self.call(front, '/back/safe/', key=key)
            self.assertEqual(401, sidecars.get_status(answer))

    async def test_restarted_node_serves_though_the_copy_shows_no_mesh(
        self,
    ) -> None:
        """The restored store has neither the nodes nor their secret."""
        empty = self.store.copy()
        await self.start_all()
        self.store.restore(empty)
        config = sidecars.build_config(2, self.services)
        self.store.put('op', 'config', config)
        node = self.nodes[1]
        node.kill()
        settings = json.loads(node.settings.read_text())
        node.settings.write_text(json.dumps({**settings, 'bootstrap': False}))
        node.start()
        await self.wait_for(lambda: self.check_in(node))
        await self.wait_for(lambda: self.knows_all(node))
        for front in self.nodes:
            for service in self.services:
                await self.wait_for(
                    lambda front=front, service=service: self.is_served(
                        front, service
                    )
                )

    async def test_history_that_is_gone_is_read_anew(self) -> None:
        await self.start_all()
        front = self.nodes[0]
        self.store.forget_history()
        config = sidecars.build_config(2, self.services, keys=['second'])
        self.store.put('op', 'config', config)

        async def is_in_force() -> bool:
            answer = await self.call(front, '/back/safe/', key='second')
            return sidecars.get_status(answer) == 200

        await self.wait_for(is_in_force)


class QuotaTest(sidecars.SidecarTestCase):
    services = ('front', 'front', 'back')

    async def test_rate_and_burst_hold_over_all_nodes(self) -> None:
        services = sorted(set(self.services))
        await self.start_all(
            sidecars.build_config(1, services, rate=20, burst=20)
        )
        started_at = time.monotonic()
        ended_at = started_at + 3.0
        served = 0
        while time.monotonic() < ended_at:
            answers = await asyncio.gather(
                *(
                    self.call(node, '/back/safe/')
                    for node in self.nodes
                    for _ in range(5)
                )
            )
            served += sum(
                sidecars.get_status(answer) == 200 for answer in answers
            )
            self.assertLessEqual(
                {sidecars.get_status(answer) for answer in answers}, {200, 429}
            )
            await asyncio.sleep(0.02)
        elapsed = time.monotonic() - started_at
        self.assertLessEqual(served, 20 * elapsed + 20)
        self.assertGreaterEqual(served, 0.8 * 20 * 3.0)


class LogTest(sidecars.SidecarTestCase):
    async def test_both_hops_of_a_call_are_found_by_its_id(self) -> None:
        await self.start_all()
        front, back = self.nodes
        back.app.behaviour.status = 500
        await self.call(
            front, '/back/unsafe/', method='POST', request_id='r-broken'
        )

        async def are_logged() -> bool:
            return all(
                any(
                    line.get('request') == 'r-broken'
                    for line in node.read_log()
                )
                for node in (front, back)
            )

        await self.wait_for(are_logged)
        text = front.log.read_text() + back.log.read_text()
        self.assertNotIn(sidecars.KEY, text)

    async def test_reader_that_stops_does_not_delay_calls(self) -> None:
        front = self.nodes[0]
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        os.set_blocking(writer, False)
        try:
            while True:
                os.write(writer, b'x' * 4096)
        except BlockingIOError:
            os.set_blocking(writer, True)
        front.log = _Pipe(writer)  # type: ignore[assignment]
        await self.start_all()
        os.close(writer)
        for _ in range(50):
            answer = await self.call(front, '/back/safe/', key='unknown')
            self.assertEqual(401, sidecars.get_status(answer))
        self.assertTrue(await self.is_served(front, 'back'))


class _Pipe:
    """Stands for a log whose reader has stopped."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def open(self, _: str) -> object:
        return os.fdopen(os.dup(self._descriptor), 'wb')


class BadSettingsTest(unittest.TestCase):
    def test_missing_settings_are_told_and_end_the_process(self) -> None:
        ended = subprocess.run(
            [sys.executable, '-m', 'eelgrasswalk.cli.sidecar'],
            env={
                name: value
                for name, value in os.environ.items()
                if name != 'EELGRASSWALK_NODE_FILE'
            },
            stdout=subprocess.PIPE,
            timeout=30,
            check=False,
        )
        self.assertEqual(2, ended.returncode)
        self.assertIn(b'EELGRASSWALK_NODE_FILE', ended.stdout)


def _build_pipeline(name: str) -> bytes:
    """Return six safe calls and an unsafe one, as they are sent at once."""
    calls = [('GET', '/back/safe/')] * 6 + [('POST', '/back/unsafe/')]
    return b''.join(
        _render(
            deployment.build_call(method, path, request_id=f'{name}{number}')
        )
        for number, (method, path) in enumerate(calls)
    )


def _render(request: message.Request) -> bytes:
    lines = [f'{request.method} {request.target} HTTP/1.1'.encode()]
    lines += [b': '.join(pair) for pair in request.headers]
    lines += [b'content-length: 0', b'', b'']
    return b'\r\n'.join(lines)
