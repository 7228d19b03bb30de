"""Tests of the client for targets and the store."""

import asyncio
import unittest

from eelgrasswalk.transport import http_client
from eelgrasswalk.transport import message

REQUEST = message.Request('GET', '/', ((b'id', b'mine'),), b'')
BIG = 1_000_000


def render(request_id: bytes, body: bytes, *extra: bytes) -> bytes:
    head = b'HTTP/1.1 200 OK\r\nid: %b\r\ncontent-length: %d\r\n%b\r\n'
    return head % (request_id, len(body), b''.join(extra)) + body


def find_id(headers: message.Headers) -> bytes | None:
    return message.find_header(headers, b'id')


class ClientTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.answers: list[bytes] = []
        self.connections = 0
        self.closes = False
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.server = server
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.pool = http_client.TargetPool('127.0.0.1', port, connections=2)
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
        except asyncio.IncompleteReadError:
            pass
        writer.close()

    async def send(self) -> http_client.Outcome:
        return await self.pool.send(
            REQUEST, max_answer_bytes=BIG, find_echo=find_id
        )


class EchoTest(ClientTestCase):
    async def test_answer_to_another_request_is_dropped(self) -> None:
        self.answers = [render(b'other', b'late') + render(b'mine', b'right')]
        outcome = await self.send()
        assert isinstance(outcome, http_client.Received), outcome
        self.assertEqual(b'right', outcome.response.body)

    async def test_answer_without_an_id_is_taken(self) -> None:
        self.answers = [
            b'HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n'
        ]
        outcome = await self.send()
        assert isinstance(outcome, http_client.Received), outcome
        self.assertEqual(400, outcome.response.status)

    async def test_second_answer_is_never_taken_for_the_next(self) -> None:
        self.answers = [
            render(b'mine', b'first') + render(b'mine', b'extra'),
            render(b'mine', b'second'),
        ]
        await self.send()
        outcome = await self.send()
        assert isinstance(outcome, http_client.Received), outcome
        self.assertEqual(b'second', outcome.response.body)

    async def test_foreign_answer_that_ends_the_connection(self) -> None:
        self.closes = True
        self.answers = [render(b'other', b'late', b'connection: close\r\n')]
        outcome = await self.send()
        self.assertIsInstance(outcome, http_client.Broken)

    async def test_answer_without_a_length_ends_with_its_connection(
        self,
    ) -> None:
        self.closes = True
        self.answers = [b'HTTP/1.1 200 OK\r\nid: mine\r\n\r\nwhole']
        outcome = await self.send()
        assert isinstance(outcome, http_client.Received), outcome
        self.assertEqual(b'whole', outcome.response.body)

    async def test_answer_that_breaks_off_is_not_whole(self) -> None:
        self.closes = True
        self.answers = [render(b'mine', b'whole')[:-1]]
        self.assertIsInstance(await self.send(), http_client.Broken)

    async def test_bytes_that_are_no_answer(self) -> None:
        self.answers = [b'garbage\r\n\r\n']
        self.assertIsInstance(await self.send(), http_client.Broken)


class WithheldTest(ClientTestCase):
    async def test_request_is_withheld_after_the_wait_for_a_connection(
        self,
    ) -> None:
        """What allowed it may no longer hold; its connection is kept."""
        withheld = await self.pool.send(
            REQUEST, max_answer_bytes=BIG, may_send=lambda: False
        )
        assert isinstance(withheld, http_client.NotSent), withheld
        self.assertTrue(withheld.is_withheld)
        self.answers = [render(b'mine', b'right')]
        sent = await self.pool.send(
            REQUEST, max_answer_bytes=BIG, may_send=lambda: True
        )
        self.assertIsInstance(sent, http_client.Received)
        self.assertEqual(1, self.connections)


class RefusalTest(ClientTestCase):
    async def test_target_that_closed_a_connection_is_not_refused(
        self,
    ) -> None:
        self.closes = True
        self.answers = [render(b'mine', b'1')]
        await self.send()
        self.assertFalse(await self.pool.is_refused())
        self.assertEqual(2, self.connections)

    async def test_open_connection_is_proof_enough(self) -> None:
        self.answers = [render(b'mine', b'1')]
        await self.send()
        self.assertFalse(await self.pool.is_refused())
        self.assertEqual(1, self.connections)

    async def test_target_that_has_ended_is_refused(self) -> None:
        self.server.close()
        await self.server.wait_closed()
        self.assertTrue(await self.pool.is_refused())


class KeepAliveTest(ClientTestCase):
    async def test_connection_is_used_again(self) -> None:
        self.answers = [render(b'mine', b'1'), render(b'mine', b'2')]
        await self.send()
        await self.send()
        self.assertEqual(1, self.connections)

    async def test_connection_is_left_before_the_stated_timeout(self) -> None:
        soon = b'keep-alive: timeout=1\r\n'
        self.answers = [render(b'mine', b'1', soon), render(b'mine', b'2')]
        await self.send()
        await self.send()
        self.assertEqual(2, self.connections)


class LateCopyTest(ClientTestCase):
    """A target that answers twice, on a connection that is used again."""

    async def test_answer_without_an_id_is_not_the_next_ones(self) -> None:
        bare = b'HTTP/1.1 503 Busy\r\nnot-executed: 1\r\n'
        bare += b'content-length: 0\r\n\r\n'
        self.answers = [render(b'mine', b'1'), bare + render(b'mine', b'2')]
        await self.send()
        outcome = await self.send()
        assert isinstance(outcome, http_client.Received), outcome
        self.assertEqual(b'2', outcome.response.body)

    async def test_copy_that_arrives_in_part_costs_the_next_nothing(
        self,
    ) -> None:
        copy = render(b'mine', b'copy')
        self.answers = [render(b'mine', b'1') + copy[:25], copy[25:]]
        await self.send()
        self.answers = [render(b'mine', b'2')]
        outcome = await self.send()
        assert isinstance(outcome, http_client.Received), outcome
        self.assertEqual(b'2', outcome.response.body)
        self.assertEqual(2, self.connections)

    async def test_trailer_is_no_header(self) -> None:
        self.answers = [
            b'HTTP/1.1 200 OK\r\nid: mine\r\ntransfer-encoding: chunked\r\n'
            b'\r\n1\r\nx\r\n0\r\nstamp: late\r\n\r\n'
        ]
        outcome = await self.send()
        assert isinstance(outcome, http_client.Received), outcome
        names = [name for name, _ in outcome.response.headers]
        self.assertNotIn(b'stamp', names)
