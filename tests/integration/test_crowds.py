"""Crowds of clients without limits: memory, descriptors, other calls."""

import asyncio
import collections.abc
import itertools
import json
import logging
import typing
import unittest.mock

from tests.integration import crowds
from tests.integration import floods
from tests.integration import sidecars

# Low enough for a small crowd to fill it. The process itself, some 36 MB, is
# not part of the growth.
MEMORY_MB = 40
# Most growth of the resident peak under a crowd.
GROWTH_MB = 28.0
MAX_FDS = 2_000
FEW_FDS = 520
HEADER_BYTES = 16_384
HEADER_LINES = 240
# Pieces that are sent of what has no end.
ENDLESS_PIECES = 400
PIECE_BYTES = 16_384
_LOGGER = logging.getLogger(__name__)

Pieces: typing.TypeAlias = typing.Callable[
    [int], collections.abc.Iterable[bytes]
]


def _build_head(lines: int) -> bytes:
    """Return the beginning of a call, with as many short header lines."""
    call = crowds.build_call('/back/safe/')
    return call[:-2] + b''.join(b'h%d:\r\n' % each for each in range(lines))


class CrowdTestCase(sidecars.SidecarTestCase):
    services = ('back',)
    max_fds = MAX_FDS

    async def asyncSetUp(self) -> None:
        with unittest.mock.patch.object(
            sidecars.app, 'AppStandin', crowds.LongAnswers
        ):
            await super().asyncSetUp()
        (self.node,) = self.nodes
        fields = json.loads(self.node.settings.read_text())
        fields['limits'] = {'memory_mb': MEMORY_MB, 'max_fds': self.max_fds}
        self.node.settings.write_text(json.dumps(fields))
        config = json.loads(sidecars.build_config(1, self.services))
        # Long enough for a crowd to be there as a whole.
        config['limits'] = {
            'max_header_bytes': HEADER_BYTES,
            'max_body_bytes': 4_000_000,
            'header_timeout_ms': 30_000,
            'idle_timeout_ms': 30_000,
        }
        await self.start_all(json.dumps(config).encode())
        # What the page loads is no part of a crowd.
        await self.ask(self.node.ports[4], '/metrics')

    async def check_crowd(
        self, count: int, pieces: Pieces, *, read_bytes: int = 0
    ) -> None:
        """Check the node while a crowd is there, and after it has gone."""
        assert self.node.process is not None
        pid = self.node.process.pid
        before = floods.read_peak_mb(pid)
        crowd = crowds.Crowd(self.node.ports[0], pieces, read_bytes=read_bytes)
        served = False
        try:
            await crowd.start(count)
            descriptors = crowds.count_descriptors(pid)
            try:
                async with asyncio.timeout(sidecars.WAIT_S / 3):
                    while not await self.is_served(self.node, 'back'):
                        await asyncio.sleep(sidecars.POLL_S)
                served = True
            except TimeoutError:
                pass
        finally:
            await crowd.close()
        growth = floods.read_peak_mb(pid) - before
        _LOGGER.info(
            '%s: before %.1f MB, growth %.1f MB, %d descriptors, served %s',
            self.id().rpartition('.')[2],
            before,
            growth,
            descriptors,
            served,
        )
        self.assertIsNone(self.node.process.poll())
        self.assertLess(growth, GROWTH_MB)
        self.assertLessEqual(descriptors, self.max_fds)
        self.assertTrue(served)
        await self.wait_for(lambda: self.is_served(self.node, 'back'))


class CrowdTest(CrowdTestCase):
    async def test_unfinished_heads_of_many_lines(self) -> None:
        head = _build_head(HEADER_LINES)
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
        head = _build_head(2_000) + b'\r\n'
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
        head = _build_head(1) + b'long: ' + b'x' * 2 * HEADER_BYTES
        await self.check_crowd(1_000, lambda number: (head,))

    async def test_heads_without_end(self) -> None:
        await self.check_crowd(
            400,
            lambda number: itertools.chain(
                (_build_head(1) + b'long: ',),
                itertools.repeat(b'x' * PIECE_BYTES, ENDLESS_PIECES),
            ),
        )

    async def test_header_lines_without_end(self) -> None:
        piece = b'a:\r\n' * (PIECE_BYTES // 4)
        await self.check_crowd(
            400,
            lambda number: itertools.chain(
                (_build_head(1),), itertools.repeat(piece, ENDLESS_PIECES)
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
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.node.ports[0]
            )
            writer.write(call)
            status = await reader.readline()
            self.assertIn(b' 200 ', status)
            writer.close()
            await writer.wait_closed()


class DescriptorTest(CrowdTestCase):
    max_fds = FEW_FDS

    async def test_idle_connections(self) -> None:
        await self.check_crowd(1_500, lambda number: ())
