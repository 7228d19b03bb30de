"""Tests of the gate of an evacuated data centre."""

import asyncio
import unittest
import unittest.mock

from eelgrasswalk import verdict
from eelgrasswalk.filters import isolation
from eelgrasswalk.policy import root_share
from eelgrasswalk.policy import running_calls
from eelgrasswalk.transport import dialler
from eelgrasswalk.transport import http_client
from tests.controllers import fake_store
from tests.filters import test_gate


class EvacuatedGateTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.answered = asyncio.Event()
        self.pool = unittest.mock.Mock(spec=http_client.TargetPool)
        self.pool.send.side_effect = self.answer
        self.gate = test_gate.build_gate(
            self.pool,
            running=running_calls.RunningCalls(),
            shares=root_share.RootShares(root_share.ShareSettings()),
        )

    async def answer(
        self, *args: object, **options: object
    ) -> http_client.Outcome:
        await self.answered.wait()
        return http_client.Received(test_gate.RESPONSE)

    def expect_refusal(self, reply: dialler.Reply) -> None:
        assert isinstance(reply.outcome, verdict.NotRun)
        self.assertIs(verdict.Reason.EVACUATED, reply.outcome.reason)
        self.assertTrue(reply.outcome.retry_elsewhere)

    async def test_call_is_refused_when_it_arrives(self) -> None:
        self.gate.set_evacuated(True)
        self.expect_refusal(await self.gate.run(test_gate.build_call()))
        self.pool.send.assert_not_called()

    async def test_calls_are_accepted_again_afterwards(self) -> None:
        self.answered.set()
        self.gate.set_evacuated(True)
        self.gate.set_evacuated(False)
        reply = await self.gate.run(test_gate.build_call())
        self.assertIsInstance(reply.outcome, verdict.Answered)

    async def test_queued_calls_are_refused_at_once(self) -> None:
        """They can run elsewhere while the running ones go on here."""
        self.gate.set_target('i-1', 1, run_id='i-1@1')
        running = asyncio.create_task(self.gate.run(test_gate.build_call()))
        queued = asyncio.create_task(self.gate.run(test_gate.build_call()))
        await fake_store.settle()
        self.assertFalse(queued.done())
        self.gate.set_evacuated(True)
        self.expect_refusal(await queued)
        self.assertFalse(running.done())
        self.answered.set()
        reply = await running
        self.assertIsInstance(reply.outcome, verdict.Answered)
        self.assertEqual(1, self.pool.send.call_count)

    async def test_call_that_has_left_the_queue_is_not_delivered(
        self,
    ) -> None:
        """The evacuation begins between its start and its delivery."""
        self.gate.set_target('i-1', 1, run_id='i-1@1')
        running = asyncio.create_task(self.gate.run(test_gate.build_call()))
        queued = asyncio.create_task(self.gate.run(test_gate.build_call()))
        await fake_store.settle()
        self.answered.set()
        while not running.done():
            await asyncio.sleep(0)
        self.gate.set_evacuated(True)
        self.expect_refusal(await queued)
        self.assertEqual(1, self.pool.send.call_count)

    async def test_suspect_that_waited_apart_does_not_queue(self) -> None:
        """All slots are in use; it would wait for one in vain."""
        running = [
            asyncio.create_task(self.gate.run(test_gate.build_call()))
            for _ in range(4)
        ]
        await fake_store.settle()

        async def wait(*args: object, **options: object) -> isolation.Pass:
            self.gate.set_evacuated(True)
            return isolation.Pass()

        built = self.gate.isolation
        assert isinstance(built, unittest.mock.Mock)
        built.enter.side_effect = wait
        self.expect_refusal(await self.gate.run(test_gate.build_call()))
        self.answered.set()
        await asyncio.gather(*running)

    async def test_refusal_before_delivery_is_no_failure_of_the_target(
        self,
    ) -> None:
        async def withdraw(
            *args: object, **options: object
        ) -> http_client.Outcome:
            self.gate.set_evacuated(True)
            return http_client.NotSent('withdrawn')

        self.pool.send.side_effect = withdraw
        reply = await self.gate.run(test_gate.build_call())
        self.expect_refusal(reply)
        assert reply.feedback is not None
        self.assertEqual(0.0, reply.feedback.failing)


class WithdrawnRequestTest(unittest.IsolatedAsyncioTestCase):
    async def test_call_that_waited_for_a_connection_is_not_sent(
        self,
    ) -> None:
        """All connections to the target are in use for as long as it likes."""
        requests: list[bytes] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            requests.append(await reader.readuntil(b'\r\n\r\n'))
            await go_on.wait()
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
            await reader.read()
            writer.close()

        go_on = asyncio.Event()
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        pool = http_client.TargetPool('127.0.0.1', port, connections=1)
        self.addAsyncCleanup(pool.close)
        request = http_client.message.Request('GET', '/', (), b'')
        first = asyncio.create_task(
            pool.send(request, max_answer_bytes=100, may_send=lambda: True)
        )
        async with asyncio.timeout(5.0):
            while not requests:
                await asyncio.sleep(0)
            second = asyncio.create_task(
                pool.send(
                    request, max_answer_bytes=100, may_send=lambda: False
                )
            )
            await fake_store.settle()
            go_on.set()
            self.assertIsInstance(await first, http_client.Received)
            self.assertIsInstance(await second, http_client.NotSent)
            # The connection is free again.
            self.assertEqual(1, len(pool._idle))
        self.assertEqual(1, len(requests))
