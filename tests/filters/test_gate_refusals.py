"""Tests of the gate with a target that repeats an earlier refusal."""

import asyncio
import unittest
import unittest.mock

from eelgrasswalk import verdict
from eelgrasswalk.policy import root_share
from eelgrasswalk.policy import running_calls
from eelgrasswalk.transport import http_client
from tests.filters import test_gate

REFUSAL = (
    b'HTTP/1.1 503 Busy\r\nattempt-id: a\r\nnot-executed: 1\r\n'
    b'content-length: 0\r\n\r\n'
)
ANSWER = (
    b'HTTP/1.1 200 OK\r\nattempt-id: a\r\nresponse-stamp: s\r\n'
    b'content-length: 2\r\n\r\nok'
)


class RepeatedRefusalTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.requests = 0
        self.runs = 0
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.pool = http_client.TargetPool('127.0.0.1', port, connections=1)
        self.addAsyncCleanup(self.pool.close)
        self.gate = test_gate.build_gate(
            self.pool,
            running=running_calls.RunningCalls(),
            shares=root_share.RootShares(root_share.ShareSettings()),
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Refuse the first request; write that again before the second."""
        has_refused = False
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                self.requests += 1
                if self.requests == 1:
                    has_refused = True
                    writer.write(REFUSAL)
                    continue
                self.runs += 1
                if has_refused:
                    writer.write(REFUSAL)
                writer.write(ANSWER)
        except asyncio.IncompleteReadError:
            pass
        writer.close()

    async def test_run_is_not_reported_as_not_run(self) -> None:
        first = await self.gate.run(test_gate.build_call())
        self.assertIsInstance(first.outcome, verdict.NotRun)
        second = await self.gate.run(test_gate.build_call())
        self.assertEqual(1, self.runs)
        self.assertIsInstance(second.outcome, verdict.Answered)
