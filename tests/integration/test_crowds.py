"""Crowds of clients without limits: memory, descriptors, other calls."""

import asyncio
import itertools

from tests.integration import crowd_case
from tests.integration import crowds

FEW_FDS = 520
HEADER_BYTES = crowd_case.HEADER_BYTES
HEADER_LINES = 240
# Pieces that are sent of what has no end.
ENDLESS_PIECES = 400
PIECE_BYTES = 16_384


def build_longest_head(call: bytes) -> bytes:
    """Return a call whose head is filled up with the shortest lines."""
    line = b'a:\r\n'
    return (
        call[:-2] + line * ((HEADER_BYTES - len(call)) // len(line)) + b'\r\n'
    )


class CrowdTest(crowd_case.CrowdTestCase):
    async def test_unfinished_heads_of_many_lines(self) -> None:
        head = crowd_case.build_head(HEADER_LINES)
        await self.check_crowd(1_000, lambda number: (head,))

    async def test_whole_requests_of_many_lines(self) -> None:
        """The target holds them, so that they wait with their headers."""
        headers = tuple((b'h%d' % each, b'') for each in range(HEADER_LINES))
        self.node.app.behaviour.work_s = 0.3
        await self.check_crowd(
            1_000,
            lambda number: (
                crowds.build_call(
                    '/back/safe/', number=number, headers=headers
                ),
            ),
        )

    async def test_heads_with_too_many_lines(self) -> None:
        head = crowd_case.build_head(2_000) + b'\r\n'
        await self.check_crowd(1_000, lambda number: (head,))

    async def test_long_answers_read_slowly(self) -> None:
        await self.check_crowd(
            100,
            lambda number: (
                crowds.build_call('/back/safe/long/4000000/', number=number),
            ),
            read_bytes=4_096,
        )

    async def test_answers_of_middle_length_read_slowly(self) -> None:
        """Each is too short for the budget of bodies to count it."""
        await self.check_crowd(
            400,
            lambda number: (
                b''.join(
                    crowds.build_call(
                        '/back/safe/long/65000/',
                        number=number * 64 + each,
                    )
                    for each in range(60)
                ),
            ),
            read_bytes=512,
        )

    async def test_heads_over_the_limit(self) -> None:
        head = crowd_case.build_head(1) + b'long: ' + b'x' * 2 * HEADER_BYTES
        await self.check_crowd(1_000, lambda number: (head,))

    async def test_heads_without_end(self) -> None:
        await self.check_crowd(
            400,
            lambda number: itertools.chain(
                (crowd_case.build_head(1) + b'long: ',),
                itertools.repeat(b'x' * PIECE_BYTES, ENDLESS_PIECES),
            ),
        )

    async def test_header_lines_without_end(self) -> None:
        piece = b'a:\r\n' * (PIECE_BYTES // 4)
        await self.check_crowd(
            400,
            lambda number: itertools.chain(
                (crowd_case.build_head(1),),
                itertools.repeat(piece, ENDLESS_PIECES),
            ),
        )

    async def test_empty_lines_without_end(self) -> None:
        piece = b'\r\n' * (PIECE_BYTES // 2)
        await self.check_crowd(
            200, lambda number: itertools.repeat(piece, ENDLESS_PIECES)
        )

    async def test_empty_lines_sent_slowly(self) -> None:
        await self.check_crowd(1_000, lambda number: (b'\r\n' * 4_000,))

    async def test_long_bodies_half_sent(self) -> None:
        head = crowds.build_call(
            '/back/safe/', headers=((b'content-length', b'1000000'),)
        )
        await self.check_crowd(100, lambda number: (head, b'x' * 500_000))

    async def test_short_bodies_half_sent(self) -> None:
        head = crowds.build_call(
            '/back/safe/', headers=((b'content-length', b'65000'),)
        )
        await self.check_crowd(480, lambda number: (head, b'x' * 64_000))

    async def test_long_answers_to_pipelined_requests(self) -> None:
        await self.check_crowd(
            100,
            lambda number: (
                b''.join(
                    crowds.build_call(
                        '/back/safe/long/400000/', number=number * 64 + each
                    )
                    for each in range(12)
                ),
            ),
            read_bytes=4_096,
        )

    async def test_long_answers_that_nobody_reads(self) -> None:
        await self.check_crowd(
            200,
            lambda number: (
                crowds.build_call('/back/safe/long/400000/', number=number),
            ),
        )

    async def test_bodies_in_chunks_of_one_byte(self) -> None:
        head = crowds.build_call(
            '/back/safe/', headers=((b'transfer-encoding', b'chunked'),)
        )
        piece = b'1\r\nx\r\n' * 4_000
        await self.check_crowd(
            200, lambda number: itertools.chain((head,), [piece] * 8)
        )

    async def test_bodies_that_are_announced_and_not_sent(self) -> None:
        head = crowds.build_call(
            '/back/safe/',
            headers=(
                (b'content-length', b'1000000'),
                (b'expect', b'100-continue'),
            ),
        )
        await self.check_crowd(1_000, lambda number: (head,))

    async def test_requests_of_half_closed_connections(self) -> None:
        await self.check_crowd(
            400,
            lambda number: (
                crowds.build_call('/back/safe/long/400000/', number=number),
            ),
            read_bytes=4_096,
            half_close=True,
        )

    async def test_upgrades(self) -> None:
        headers = ((b'connection', b'upgrade'), (b'upgrade', b'websocket'))
        await self.check_crowd(
            400,
            lambda number: itertools.chain(
                (
                    crowds.build_call(
                        '/back/safe/', number=number, headers=headers
                    ),
                ),
                itertools.repeat(b'x' * PIECE_BYTES, ENDLESS_PIECES),
            ),
        )

    async def test_unfinished_heads_of_the_shortest_lines(self) -> None:
        head = build_longest_head(crowds.build_call('/back/safe/'))
        await self.check_crowd(400, lambda number: (head[:-2],))

    async def test_whole_heads_of_the_shortest_lines(self) -> None:
        """They are as long as is allowed."""
        self.node.app.behaviour.work_s = 0.3
        await self.check_crowd(
            200,
            lambda number: (
                build_longest_head(crowds.build_call('/back/safe/')),
            ),
        )

    async def test_single_calls_are_served_without_a_crowd(self) -> None:
        """Each is as long as the limits allow."""
        headers = tuple(
            (b'h%d' % each, b'x' * 50) for each in range(HEADER_LINES)
        )
        whole = crowds.build_call('/back/safe/', headers=headers)
        self.assertLess(len(whole), HEADER_BYTES)
        for call in (
            whole,
            crowds.build_call('/back/safe/long/4000000/'),
            crowds.build_call(
                '/back/safe/', headers=((b'content-length', b'4000000'),)
            )
            + b'x' * 4_000_000,
        ):
            self.assertIn(b' 200 ', await self.send_one(call))

    async def test_single_heads_of_many_lines_are_served(self) -> None:
        call = crowds.build_call('/back/safe/')
        for lines in (300, 1_000):
            head = call[:-2] + b'a: b\r\n' * lines + b'\r\n'
            self.assertIn(b' 200 ', await self.send_one(head))
        self.assertIn(b' 200 ', await self.send_one(build_longest_head(call)))

    async def test_answers_of_many_lines_are_passed_on(self) -> None:
        for lines in (300, 1_000):
            call = crowds.build_call(f'/back/safe/lines/{lines}/')
            self.assertIn(b' 200 ', await self.send_one(call))

    async def send_one(self, call: bytes) -> bytes:
        """Send a call and return the status line of its answer."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.node.ports[0]
        )
        writer.write(call)
        status = await reader.readline()
        writer.close()
        await writer.wait_closed()
        return status


class SmallMachineTest(crowd_case.CrowdTestCase):
    """The usual limits of the smallest machines."""

    memory_mb = 200
    max_fds = 4_100
    timeout_ms = 10_000

    async def test_long_answers_to_pipelined_requests(self) -> None:
        await self.check_crowd(
            800,
            lambda number: (
                b''.join(
                    crowds.build_call(
                        '/back/safe/long/400000/', number=number * 64 + each
                    )
                    for each in range(12)
                ),
            ),
            read_bytes=4_096,
            is_distant=True,
            stay_s=6.0,
        )


class SteadyReaderTest(crowd_case.CrowdTestCase):
    """Clients that read slowly all the time, inside every limit."""

    header_timeout_ms = 500
    timeout_ms = 10_000

    async def test_few_steady_readers_get_all_answers(self) -> None:
        await self.check_readers(7)

    async def test_more_steady_readers_get_all_answers(self) -> None:
        """These are enough to be a crowd; the memory allows for them."""
        await self.check_readers(12)

    async def test_two_callers_that_hardly_read_a_long_answer(self) -> None:
        """They fill the budget of bodies, and calls are refused meanwhile."""
        await self.check_crowd(
            2,
            lambda number: (
                crowds.build_call('/back/safe/long/4000000/', number=number),
            ),
            read_bytes=64,
            is_distant=True,
            stay_s=1.0,
        )

    async def check_readers(self, count: int) -> None:
        """Check that each client gets all answers to pipelined requests."""
        calls = [
            crowds.build_call(f'/back/safe/long/{size}/', number=number)
            for number, size in enumerate((300_000, 100, 100))
        ]
        clients = [
            crowds.SteadyReader(self.node.ports[0], number)
            for number in range(count)
        ]
        received = await asyncio.gather(
            *(client.ask(b''.join(calls)) for client in clients)
        )
        for each in received:
            self.assertEqual(3, each.count(b'HTTP/1.1 200 '))
            self.assertEqual(300_200, each.count(b'x' * 100) * 100)


class DescriptorTest(crowd_case.CrowdTestCase):
    max_fds = FEW_FDS

    async def test_idle_connections(self) -> None:
        await self.check_crowd(1_500, lambda number: ())
