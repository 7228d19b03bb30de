"""Checks of nodes while a crowd of clients is connected, and after it."""

import asyncio
import collections.abc
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
# Most growth of the resident peak under a crowd, as a share of the memory.
GROWTH_SHARE = 0.7
MAX_FDS = 2_000
HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4_000_000
_LOGGER = logging.getLogger(__name__)

Pieces: typing.TypeAlias = typing.Callable[
    [int], collections.abc.Iterable[bytes]
]


def build_head(lines: int) -> bytes:
    """Return the beginning of a call, with as many short header lines."""
    call = crowds.build_call('/back/safe/')
    return call[:-2] + b''.join(b'h%d:\r\n' % each for each in range(lines))


class CrowdTestCase(sidecars.SidecarTestCase):
    """Clients call the first node; the last one is beside their target."""

    services = ('back',)
    max_fds = MAX_FDS
    memory_mb = MEMORY_MB
    max_body_bytes = MAX_BODY_BYTES
    # Long enough for a crowd to be there as a whole.
    header_timeout_ms = 30_000

    async def asyncSetUp(self) -> None:
        with unittest.mock.patch.object(
            sidecars.app, 'AppStandin', crowds.LongAnswers
        ):
            await super().asyncSetUp()
        self.node = self.nodes[0]
        for index, node in enumerate(self.nodes):
            fields = json.loads(node.settings.read_text())
            fields['limits'] = {
                'memory_mb': self.get_memory_mb(index),
                'max_fds': self.max_fds,
            }
            node.settings.write_text(json.dumps(fields))
        config = json.loads(
            sidecars.build_config(1, self.services, timeout_ms=self.timeout_ms)
        )
        config['limits'] = {
            'max_header_bytes': HEADER_BYTES,
            'max_body_bytes': self.max_body_bytes,
            'header_timeout_ms': self.header_timeout_ms,
            'idle_timeout_ms': 30_000,
        }
        await self.start_all(json.dumps(config).encode())
        # What the page loads is no part of a crowd.
        for node in self.nodes:
            await self.ask(node.ports[4], '/metrics')

    def get_memory_mb(self, index: int) -> int:
        """Return the memory of the machine of a node, by its index."""
        return self.memory_mb

    def read_peaks(self) -> list[float]:
        """Return the peak of each node's resident memory, in MB."""
        peaks = []
        for node in self.nodes:
            assert node.process is not None
            self.assertIsNone(node.process.poll())
            peaks.append(floods.read_peak_mb(node.process.pid))
        return peaks

    async def check_crowd(
        self,
        count: int,
        pieces: Pieces,
        *,
        read_bytes: int = 0,
        half_close: bool = False,
        is_distant: bool = False,
        stay_s: float = 0.0,
    ) -> None:
        """Check the nodes while a crowd is there, and after it has gone.

        Args:
            count: Number of clients.
            pieces: Returns what the client of a number sends, in pieces.
            read_bytes: Most bytes that each reads at a time; 0 for none.
            half_close: Whether each ends its side once it has sent all.
            is_distant: Whether the kernel holds little for each of them.
            stay_s: Seconds that the crowd stays after it has sent all.
        """
        before = self.read_peaks()
        crowd = crowds.Crowd(
            self.node.ports[0],
            pieces,
            read_bytes=read_bytes,
            half_close=half_close,
            is_distant=is_distant,
        )
        served = False
        try:
            await crowd.start(count)
            await asyncio.sleep(stay_s)
            descriptors = self.count_descriptors()
            try:
                async with asyncio.timeout(sidecars.WAIT_S / 3):
                    while not await self.is_served(self.node, 'back'):
                        await asyncio.sleep(sidecars.POLL_S)
                served = True
            except TimeoutError:
                pass
        finally:
            await crowd.close()
        self.check_nodes(before, descriptors, served=served)
        await self.wait_for(lambda: self.is_served(self.node, 'back'))

    def count_descriptors(self) -> list[int]:
        """Return how many descriptors each node has open."""
        return [
            crowds.count_descriptors(node.process.pid)
            for node in self.nodes
            if node.process is not None
        ]

    def check_nodes(
        self, before: list[float], descriptors: list[int], *, served: bool
    ) -> None:
        """Check memory and descriptors of the nodes, and whether they serve.

        Args:
            before: Peaks of resident memory before the crowd, in MB.
            descriptors: Open descriptors while the crowd was there.
            served: Whether an ordinary call was answered beside the crowd.
        """
        growths = [
            peak - earlier
            for peak, earlier in zip(self.read_peaks(), before, strict=True)
        ]
        _LOGGER.info(
            '%s: before %s MB, growth %s MB, descriptors %s, served %s',
            self.id().partition('test_')[2],
            [round(each, 1) for each in before],
            [round(each, 1) for each in growths],
            descriptors,
            served,
        )
        for index, growth in enumerate(growths):
            limit = GROWTH_SHARE * self.get_memory_mb(index)
            node_id = self.nodes[index].node_id
            self.assertLess(growth, limit, node_id)
            self.assertLessEqual(descriptors[index], self.max_fds, node_id)
        self.assertTrue(served)
