"""Tests of answers that a target breaks off, at every byte."""

import asyncio
import unittest

from eelgrasswalk.transport import http_client
from eelgrasswalk.transport import message

REQUEST = message.Request('GET', '/', ((b'id', b'mine'),), b'')
FRAMED = (
    b'HTTP/1.1 200 OK\r\nid: mine\r\nstamp: s\r\ncontent-length: 12\r\n\r\n'
    b'whole answer'
)
CHUNKED = (
    b'HTTP/1.1 100 Continue\r\n\r\n'
    b'HTTP/1.1 200 OK\r\nid: mine\r\nstamp: s\r\n'
    b'transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n'
)
UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\nid: mine\r\nstamp: s\r\n\r\n'


class CutAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.sent = b''
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.sent)
        writer.close()

    async def receive(self, sent: bytes) -> http_client.Outcome:
        """Return what comes of an answer that ends with the connection."""
        self.sent = sent
        pool = http_client.TargetPool('127.0.0.1', self.port, connections=1)
        try:
            return await pool.send(
                REQUEST,
                max_answer_bytes=1000,
                find_echo=lambda headers: message.find_header(headers, b'id'),
            )
        finally:
            await pool.close()

    async def assert_only_whole_is_received(self, whole: bytes) -> None:
        for end in range(len(whole)):
            outcome = await self.receive(whole[:end])
            self.assertIsInstance(outcome, http_client.Broken, whole[:end])
        outcome = await self.receive(whole)
        self.assertIsInstance(outcome, http_client.Received)

    async def test_answer_with_a_length(self) -> None:
        await self.assert_only_whole_is_received(FRAMED)

    async def test_answer_in_chunks(self) -> None:
        await self.assert_only_whole_is_received(CHUNKED)

    async def test_head_of_an_answer_without_a_length(self) -> None:
        await self.assert_only_whole_is_received(UNFRAMED_HEAD)
