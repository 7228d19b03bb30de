"""Tests of answers and requests whose bytes never end."""

import asyncio
import contextlib
import gc
import itertools
import tracemalloc
import typing
import unittest
import unittest.mock

from eelgrasswalk import verdict
from eelgrasswalk.transport import client_connection
from eelgrasswalk.transport import http_client
from eelgrasswalk.transport import http_server
from eelgrasswalk.transport import message
from eelgrasswalk.transport import pacing
from eelgrasswalk.transport import server_connection

REQUEST = message.Request('GET', '/', ((b'id', b'mine'),), b'')
MOST_ANSWER_BYTES = 200_000
MEMORY_ANSWER_BYTES = 1_000_000
# What fits the buffers of two sockets may be sent and never be read.
SOCKET_BYTES = 16_000_000
WAIT_S = 15.0
CHUNKED = b'HTTP/1.1 200 OK\r\nid: mine\r\ntransfer-encoding: chunked\r\n\r\n'
FILLING = b'x' * 8_192
# What comes first, and what comes again and again after it.
ANSWERS = {
    'reason': (b'HTTP/1.1 200 ', FILLING),
    'header name': (b'HTTP/1.1 200 OK\r\n', FILLING),
    'header value': (b'HTTP/1.1 200 OK\r\na: ', FILLING),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'a: b\r\n' * 200),
    'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 50),
    'answers to others': (
        b'',
        b'HTTP/1.1 200 OK\r\nid: x\r\ncontent-length: 0\r\n\r\n' * 50,
    ),
    'body': (b'HTTP/1.1 200 OK\r\nid: mine\r\n\r\n', FILLING),
    'chunks': (CHUNKED, b'2000\r\n' + FILLING + b'\r\n'),
    'small chunks': (CHUNKED, b'1\r\nx\r\n' * 500),
    'chunk extension': (CHUNKED + b'1;', FILLING),
    'trailer': (CHUNKED + b'0\r\na: ', FILLING),
    'trailers': (CHUNKED + b'0\r\n', b'a: b\r\n' * 200),
}
HEAD = b'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
REQUESTS = {
    'target': (b'GET /', FILLING),
    'header name': (b'GET / HTTP/1.1\r\nhost: h\r\n', FILLING),
    'header value': (b'GET / HTTP/1.1\r\nhost: h\r\na: ', FILLING),
    'body': (HEAD, b'2000\r\n' + FILLING + b'\r\n'),
    'small chunks': (HEAD, b'1\r\nx\r\n' * 500),
    'chunk extension': (HEAD + b'1;', FILLING),
    'trailer': (HEAD + b'0\r\na: ', FILLING),
}


async def pour(
    writer: asyncio.StreamWriter, parts: typing.Iterable[bytes]
) -> int:
    """Write until the other side closes; return how much was written."""
    written = 0
    with contextlib.suppress(ConnectionError):
        for part in parts:
            writer.write(part)
            await writer.drain()
            written += len(part)
    return written


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_answer_without_end_is_given_up(self) -> None:
        for name, (first, again) in ANSWERS.items():
            with self.subTest(name):
                await self.check(first, again)

    async def check(self, first: bytes, again: bytes) -> None:
        poured: asyncio.Future[int] = (
            asyncio.get_running_loop().create_future()
        )

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            parts = itertools.chain([first], itertools.repeat(again))
            poured.set_result(await pour(writer, parts))
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        pool = http_client.TargetPool('127.0.0.1', port, connections=1)
        async with asyncio.timeout(WAIT_S):
            outcome = await pool.send(
                REQUEST,
                max_answer_bytes=MOST_ANSWER_BYTES,
                find_echo=lambda headers: message.find_header(headers, b'id'),
            )
            self.assertIsInstance(outcome, client_connection.Broken)
            self.assertLess(await poured, SOCKET_BYTES)
        self.assertEqual(0, pool.open_connections)
        await pool.close()
        server.close()


class MemoryTest(unittest.IsolatedAsyncioTestCase):
    """What is held is what is reserved, without the garbage collector."""

    async def asyncSetUp(self) -> None:
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    async def send(
        self, first: bytes, again: bytes, *, repeats: int | None = None
    ) -> http_client.Outcome:
        """Send a request to a target that answers so, perhaps endlessly."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            parts = itertools.repeat(again)
            if repeats is not None:
                parts = itertools.repeat(again, repeats)
            await pour(writer, itertools.chain([first], parts))
            if repeats is not None:
                with contextlib.suppress(ConnectionError):
                    await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        pool = http_client.TargetPool('127.0.0.1', port, connections=1)
        try:
            async with asyncio.timeout(WAIT_S):
                return await pool.send(
                    REQUEST,
                    max_answer_bytes=MEMORY_ANSWER_BYTES,
                    deadline=asyncio.get_running_loop().time() + 1.0,
                )
        finally:
            await pool.close()
            server.close()

    async def test_answers_that_were_given_up_are_free_at_once(self) -> None:
        """A connection and its parser refer to each other."""
        first, again = ANSWERS['body']
        await self.send(first, again)
        before, _ = tracemalloc.get_traced_memory()
        for _ in range(4):
            outcome = await self.send(first, again)
            self.assertIsInstance(outcome, client_connection.Broken)
        after, _ = tracemalloc.get_traced_memory()
        self.assertLess(after - before, MEMORY_ANSWER_BYTES)

    async def test_small_parts_take_no_objects_of_their_own(self) -> None:
        """Each part as an object takes 40 bytes and more."""
        tracemalloc.reset_peak()
        before, _ = tracemalloc.get_traced_memory()
        await self.send(CHUNKED, b'2\r\nxy\r\n' * 1000, repeats=300)
        _, peak = tracemalloc.get_traced_memory()
        # The buffer, what is read at a time, and what the target writes.
        self.assertLess(peak - before, 4 * MEMORY_ANSWER_BYTES)


class SmallPartsTest(unittest.IsolatedAsyncioTestCase):
    """Single bytes must not keep the node from everything else."""

    async def asyncSetUp(self) -> None:
        self.parts = 0
        self.size = 1
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.pool = http_client.TargetPool('127.0.0.1', port, connections=8)
        self.addAsyncCleanup(self.pool.close)
        on_body = client_connection.ClientConnection.on_body

        def count(
            connection: client_connection.ClientConnection, body: bytes
        ) -> None:
            self.parts += 1
            on_body(connection, body)

        self.enterContext(
            unittest.mock.patch.object(
                client_connection.ClientConnection, 'on_body', count
            )
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        chunk = b'%x\r\n%b\r\n' % (self.size, b'x' * self.size)
        parts = itertools.repeat(chunk * (65_536 // len(chunk)))
        await pour(writer, itertools.chain([CHUNKED], parts))
        writer.close()

    async def send(self) -> http_client.Outcome:
        return await self.pool.send(
            REQUEST, max_answer_bytes=MEMORY_ANSWER_BYTES
        )

    async def test_answer_in_too_many_small_parts_is_given_up(self) -> None:
        outcome = await self.send()
        self.assertIsInstance(outcome, client_connection.Broken)
        self.assertLess(self.parts, 2 * message.MAX_SMALL_PARTS)

    async def test_everything_else_has_its_turn_between(self) -> None:
        for size in (1, 2, 16, 63, 64, 65, 100, 255, 1000, 40_000):
            with self.subTest(size=size):
                self.size = size
                sending = asyncio.gather(*(self.send() for _ in range(4)))
                most = 0
                while not sending.done():
                    before = self.parts
                    await asyncio.sleep(0)
                    most = max(most, self.parts - before)
                # The first step of each connection is a large one.
                steps = 4 * pacing.STEP_BYTES / len(b'1\r\nx\r\n')
                self.assertLess(most, steps + 1)


class EndlessRequestTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_without_end_is_refused(self) -> None:
        server = http_server.HttpServer(
            self.answer,
            limits=http_server.Limits(
                body_bytes=MOST_ANSWER_BYTES, header_bytes=16_384
            ),
        )
        address = await server.start('127.0.0.1', 0)
        self.addAsyncCleanup(server.stop)
        for name, (first, again) in REQUESTS.items():
            with self.subTest(name):
                _, writer = await asyncio.open_connection(*address)
                parts = itertools.chain([first], itertools.repeat(again))
                async with asyncio.timeout(WAIT_S):
                    poured = await pour(writer, parts)
                self.assertLess(poured, SOCKET_BYTES)
                writer.close()

    async def test_requests_in_small_parts_leave_others_their_turn(
        self,
    ) -> None:
        """Clients, check-ins and operators share this connection class."""
        parts = 0
        on_body = server_connection.ServerConnection.on_body

        def count(
            connection: server_connection.ServerConnection, body: bytes
        ) -> None:
            nonlocal parts
            parts += 1
            on_body(connection, body)

        server = http_server.HttpServer(
            self.answer, limits=http_server.Limits()
        )
        address = await server.start('127.0.0.1', 0)
        self.addAsyncCleanup(server.stop)
        writers = [
            (await asyncio.open_connection(*address))[1] for _ in range(4)
        ]
        chunks = itertools.repeat(b'1\r\nx\r\n' * 10_000)
        with unittest.mock.patch.object(
            server_connection.ServerConnection, 'on_body', count
        ):
            pouring = asyncio.gather(
                *(
                    pour(writer, itertools.chain([HEAD], chunks))
                    for writer in writers
                )
            )
            most = 0
            async with asyncio.timeout(WAIT_S):
                while not pouring.done():
                    before = parts
                    await asyncio.sleep(0)
                    most = max(most, parts - before)
        steps = len(writers) * pacing.STEP_BYTES / len(b'1\r\nx\r\n')
        self.assertLess(most, steps + 1)
        self.assertLess(parts, 2 * len(writers) * message.MAX_SMALL_PARTS)

    async def answer(self, request: message.Request) -> verdict.Response:
        raise AssertionError('the request never ends')
