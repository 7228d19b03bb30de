"""Tests of answers with a status outside 100 to 599.

Statuses below 100 were taken for interim answers, so that the call was held
until its deadline; those above 599 were passed on to the caller.
"""

import asyncio
import unittest
import unittest.mock

import hypothesis
import hypothesis.strategies

from eelgrasswalk import verdict
from eelgrasswalk.transport import http_client
from eelgrasswalk.transport import message
from eelgrasswalk.transport import response_head

WAIT_S = 3.0
STATUSES = (b'000', b'001', b'099', b'600', b'601', b'999')
PROPER = b'HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 2\r\n\r\nok'
FOREIGN = b'HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 2\r\n\r\nno'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\na: b\r\n\r\n'
HEAD = b'HTTP/1.1 %b Odd\r\nid: mine\r\nstamp: s\r\n'
# What follows the head of an answer with an invalid status.
RESTS = {
    'length': b'content-length: 4\r\n\r\nbody',
    'empty': b'content-length: 0\r\n\r\n',
    'length without its body': b'content-length: 4\r\n\r\n',
    'chunks': b'transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
    'chunks without their end': b'transfer-encoding: chunked\r\n\r\n4\r\nbo',
    'no length': b'\r\nbody',
    'no length and no body': b'\r\n',
    'close': b'connection: close\r\ncontent-length: 0\r\n\r\n',
    'a proper answer behind it': b'content-length: 0\r\n\r\n' + PROPER,
}


def find_id(headers: message.Headers) -> bytes | None:
    return message.find_header(headers, b'id')


class InvalidStatusTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.answers: list[bytes] = []
        self.connections = 0
        self.closes = False
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.pool = http_client.TargetPool('127.0.0.1', port, connections=1)
        self.addAsyncCleanup(self.pool.close)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(self.answers.pop(0))
                if self.closes:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    async def send(
        self, *, method: str = 'GET', echo: bool = True
    ) -> http_client.Outcome:
        return await self.pool.send(
            message.Request(method, '/', ((b'id', b'mine'),), b''),
            max_answer_bytes=1000,
            find_echo=find_id if echo else None,
            deadline=asyncio.get_running_loop().time() + WAIT_S,
        )

    async def check_given_up(self, outcome: http_client.Outcome) -> None:
        """Check the outcome, and that the connection is not used again."""
        assert isinstance(outcome, http_client.Broken), outcome
        self.assertIs(verdict.Reason.ANSWER_INCOMPLETE, outcome.reason)
        self.assertIn('status', outcome.detail)
        self.closes = False
        before = self.connections
        self.answers = [PROPER]
        after = await self.send()
        assert isinstance(after, http_client.Received), after
        self.assertEqual(b'ok', after.response.body)
        self.assertEqual(before + 1, self.connections)

    async def test_every_framing_on_new_and_kept_connections(self) -> None:
        for kept in (False, True):
            for name, rest in RESTS.items():
                for status in STATUSES:
                    with self.subTest(name, status=status, kept=kept):
                        await self.pool.close()
                        if kept:
                            self.answers = [PROPER]
                            await self.send()
                        self.answers = [HEAD % status + rest]
                        await self.check_given_up(await self.send())

    async def test_connection_that_ends_with_the_answer(self) -> None:
        for name, rest in RESTS.items():
            for status in STATUSES:
                with self.subTest(name, status=status):
                    await self.pool.close()
                    self.closes = True
                    self.answers = [HEAD % status + rest]
                    await self.check_given_up(await self.send())

    async def test_behind_interim_and_foreign_answers(self) -> None:
        for before in (INTERIM, FOREIGN, FOREIGN + INTERIM):
            for status in STATUSES:
                with self.subTest(before, status=status):
                    self.answers = [before + HEAD % status + RESTS['length']]
                    await self.check_given_up(await self.send())

    async def test_answer_to_another_request(self) -> None:
        """What follows an invalid answer is not to be relied on."""
        for status in STATUSES:
            with self.subTest(status=status):
                odd = b'HTTP/1.1 %b Odd\r\nid: other\r\n' % status
                self.answers = [odd + RESTS['empty'] + PROPER]
                await self.check_given_up(await self.send())

    async def test_requests_without_an_echo(self) -> None:
        for status in STATUSES:
            with self.subTest(status=status):
                self.answers = [HEAD % status + RESTS['length']]
                await self.check_given_up(await self.send(echo=False))

    async def test_answer_to_head(self) -> None:
        for name in ('length without its body', 'no length and no body'):
            for status in STATUSES:
                with self.subTest(name, status=status):
                    self.answers = [HEAD % status + RESTS[name]]
                    await self.check_given_up(await self.send(method='HEAD'))

    async def test_answer_to_a_health_check(self) -> None:
        for status in STATUSES:
            with self.subTest(status=status):
                self.answers = [HEAD % status + RESTS['length']]
                answer = await self.pool.ask('/health', timeout_s=WAIT_S)
                self.assertIsNone(answer)
                before = self.connections
                self.answers = [PROPER]
                answer = await self.pool.ask('/health', timeout_s=WAIT_S)
                assert answer is not None
                self.assertEqual(200, answer.status)
                self.assertEqual(before + 1, self.connections)

    async def test_answer_that_arrives_in_single_bytes(self) -> None:
        """Only the last byte of the head completes it."""
        loop = asyncio.get_running_loop()
        whole = INTERIM + HEAD % b'099' + b'content-length: 0\r\n\r\n'
        sent = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            for position in range(len(whole)):
                writer.write(whole[position : position + 1])
                await writer.drain()
                await asyncio.sleep(0)
            sent.set()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        pool = http_client.TargetPool('127.0.0.1', port, connections=1)
        outcome = await pool.send(
            message.Request('GET', '/', ((b'id', b'mine'),), b''),
            max_answer_bytes=1000,
            find_echo=find_id,
            deadline=loop.time() + WAIT_S,
        )
        await sent.wait()
        assert isinstance(outcome, http_client.Broken), outcome
        self.assertIs(verdict.Reason.ANSWER_INCOMPLETE, outcome.reason)
        self.assertIn('099', outcome.detail)

    async def test_valid_statuses_are_passed_on(self) -> None:
        for status in (b'200', b'299', b'418', b'500', b'599'):
            with self.subTest(status):
                self.answers = [HEAD % status + RESTS['length']]
                outcome = await self.send()
                assert isinstance(outcome, http_client.Received), outcome
                self.assertEqual(int(status), outcome.response.status)


class StatusLineTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True)
    @hypothesis.given(hypothesis.strategies.integers())
    def test_no_invalid_status_is_sent(self, status: int) -> None:
        """An answer may come from a node of an older release."""
        line = message.build_status_line(status)
        code = int(line.split(b' ')[1])
        self.assertTrue(100 <= code <= 599, line)
        if 100 <= status <= 599:
            self.assertEqual(status, code)

    def test_caller_gets_502_in_place_of_an_invalid_status(self) -> None:
        for status in (-1, 0, 99, 600, 999):
            written = response_head.render_head(
                verdict.Response(status, (), b''),
                is_head=False,
                keep_alive=True,
            )
            self.assertTrue(written.startswith(b'HTTP/1.1 502 '), written)
