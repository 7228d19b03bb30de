"""Crowds whose requests and answers cross a link between two nodes."""

import asyncio
import collections.abc
import contextlib
import itertools
import re

from tests.integration import crowd_case
from tests.integration import crowds
from tests.integration import sidecars

HEADER_LINES = 240
LONG_BYTES = 4_000_000
MIDDLE_BYTES = 65_000
BODY_BYTES = 1_000_000
# Clients that leave come in waves, so that they meet answers at every stage.
WAVES = 6
WAVE_CLIENTS = 30
# A node of a machine of this size holds the longest body that the usual limits
# allow.
SMALL_MACHINE_MB = 200
LARGE_MACHINE_MB = 552
MAX_BODY_BYTES = 67_108_864
LONG_BODIES = (40_000_000, 62_000_000, MAX_BODY_BYTES)
MIXED_CLIENTS = 60
# Time for which the crowds at many nodes stay.
STAY_S = 3.0


def build_post(number: int, length: int) -> bytes:
    """Return the head of a call with a body."""
    return crowds.build_call(
        '/back/safe/',
        number=number,
        headers=((b'content-length', b'%d' % length),),
    )


class LinkCrowdTestCase(crowd_case.CrowdTestCase):
    """Clients of the first node call the target beside the second."""

    services = ('front', 'back')

    async def count_body_bytes(self, node: sidecars.Node) -> float:
        """Return how many bytes of bodies a node holds."""
        answer = await self.ask(node.ports[4], '/metrics')
        assert answer is not None
        (value,) = re.findall(
            r'^eelgrasswalk_body_bytes (\S+)$',
            answer.body.decode(),
            re.MULTILINE,
        )
        return float(value)

    async def holds_no_body(self, node: sidecars.Node) -> bool:
        """Return whether a node has released all bodies."""
        return not await self.count_body_bytes(node)

    async def check_nodes_recover(self) -> None:
        """Check that nodes hold nothing and serve a long answer again."""
        for node in self.nodes:
            await self.wait_for(lambda node=node: self.holds_no_body(node))
        await self.wait_for(
            lambda: self.is_served(self.node, 'back/safe/long/100000')
        )
        self.read_peaks()


class LinkCrowdTest(LinkCrowdTestCase):
    async def test_long_answers_read_slowly(self) -> None:
        await self.check_crowd(
            100,
            lambda number: (
                crowds.build_call(
                    f'/back/safe/long/{LONG_BYTES}/', number=number
                ),
            ),
            read_bytes=4_096,
        )

    async def test_answers_of_middle_length_read_slowly(self) -> None:
        await self.check_crowd(
            400,
            lambda number: (
                b''.join(
                    crowds.build_call(
                        f'/back/safe/long/{MIDDLE_BYTES}/',
                        number=number * 64 + each,
                    )
                    for each in range(60)
                ),
            ),
            read_bytes=512,
        )

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

    async def test_answers_of_many_lines_read_slowly(self) -> None:
        await self.check_crowd(
            200,
            lambda number: (
                b''.join(
                    crowds.build_call(
                        '/back/safe/lines/4000/', number=number * 64 + each
                    )
                    for each in range(8)
                ),
            ),
            read_bytes=4_096,
        )

    async def test_whole_heads_of_the_shortest_lines(self) -> None:
        self.nodes[1].app.behaviour.work_s = 0.3
        call = crowds.build_call('/back/safe/')
        lines = b'a:\r\n' * ((crowd_case.HEADER_BYTES - len(call)) // 4)
        await self.check_crowd(
            200, lambda number: (call[:-2] + lines + b'\r\n',)
        )

    async def test_answers_that_nobody_reads(self) -> None:
        await self.check_crowd(
            100,
            lambda number: (
                crowds.build_call('/back/safe/long/400000/', number=number),
            ),
        )

    async def test_whole_requests_of_many_lines(self) -> None:
        """The target holds them, so that they wait at its node."""
        headers = tuple((b'h%d' % each, b'') for each in range(HEADER_LINES))
        self.nodes[1].app.behaviour.work_s = 0.3
        await self.check_crowd(
            1_000,
            lambda number: (
                crowds.build_call(
                    '/back/safe/', number=number, headers=headers
                ),
            ),
        )

    async def test_whole_bodies(self) -> None:
        self.nodes[1].app.behaviour.work_s = 0.3
        await self.check_crowd(
            100,
            lambda number: (build_post(number, BODY_BYTES), b'x' * BODY_BYTES),
        )

    async def test_short_whole_bodies(self) -> None:
        self.nodes[1].app.behaviour.work_s = 0.3
        await self.check_crowd(
            800,
            lambda number: (build_post(number, 60_000), b'x' * 60_000),
        )

    async def test_bodies_in_chunks_of_one_byte(self) -> None:
        head = crowds.build_call(
            '/back/safe/', headers=((b'transfer-encoding', b'chunked'),)
        )
        piece = b'1\r\nx\r\n' * 4_000
        await self.check_crowd(
            200, lambda number: itertools.chain((head,), [piece] * 8)
        )

    async def test_clients_that_leave_within_long_answers(self) -> None:
        for wave in range(WAVES):
            crowd = crowds.Crowd(
                self.node.ports[0],
                lambda number: (
                    crowds.build_call(
                        f'/back/safe/long/{LONG_BYTES}/', number=number
                    ),
                ),
                read_bytes=65_536,
            )
            await crowd.start(WAVE_CLIENTS)
            await asyncio.sleep(0.02 * (wave + 1))
            await crowd.close()
        await self.check_nodes_recover()

    async def test_clients_that_leave_within_long_bodies(self) -> None:
        for wave in range(WAVES):
            crowd = crowds.Crowd(
                self.node.ports[0],
                lambda number: (
                    build_post(number, BODY_BYTES),
                    b'x' * BODY_BYTES,
                ),
            )
            starting = asyncio.ensure_future(crowd.start(WAVE_CLIENTS))
            await asyncio.sleep(0.02 * (wave + 1))
            await crowd.close()
            await starting
        await self.check_nodes_recover()

    async def test_mixture(self) -> None:
        headers = tuple((b'h%d' % each, b'') for each in range(HEADER_LINES))
        kinds: list[collections.abc.Callable[[int], list[bytes]]] = [
            lambda number: [
                crowds.build_call(
                    f'/back/safe/long/{LONG_BYTES}/', number=number
                )
            ],
            lambda number: [
                crowds.build_call(
                    f'/back/safe/long/{MIDDLE_BYTES}/', number=number
                )
                * 20
            ],
            lambda number: [
                crowds.build_call(
                    '/back/safe/', number=number, headers=headers
                )
            ],
            lambda number: [build_post(number, BODY_BYTES), b'x' * BODY_BYTES],
            lambda number: [build_post(number, BODY_BYTES), b'x' * 60_000],
            lambda number: [crowd_case.build_head(HEADER_LINES)],
        ]
        await self.check_crowd(
            MIXED_CLIENTS * len(kinds),
            lambda number: kinds[number % len(kinds)](number),
            read_bytes=2_048,
        )


class LongBodyTest(LinkCrowdTestCase):
    """Single requests within the limits on the smallest machines."""

    memory_mb = SMALL_MACHINE_MB
    timeout_ms = 30_000
    max_body_bytes = MAX_BODY_BYTES

    async def send_body(self, length: int) -> bytes:
        """Send a call with a body; return the status line of its answer."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.node.ports[0]
        )
        writer.write(build_post(0, length))
        writer.write(b'x' * length)
        status = await reader.readline()
        writer.close()
        await writer.wait_closed()
        return status

    def check_memory(self) -> None:
        """Check that every node is alive and within its machine."""
        for index, peak in enumerate(self.read_peaks()):
            self.assertLess(peak, self.get_memory_mb(index))

    async def test_longest_bodies_are_served(self) -> None:
        for length in LONG_BODIES:
            self.assertIn(b' 200 ', await self.send_body(length))
            for node in self.nodes:
                await self.wait_for(lambda node=node: self.holds_no_body(node))
        self.check_memory()

    async def test_longest_bodies_sent_together(self) -> None:
        crowd = crowds.Crowd(
            self.node.ports[0],
            lambda number: (
                build_post(number, MAX_BODY_BYTES),
                b'x' * MAX_BODY_BYTES,
            ),
        )
        try:
            await crowd.start(8)
        finally:
            await crowd.close()
        self.check_memory()
        await self.check_nodes_recover()


class UnequalMachinesTest(LongBodyTest):
    """The node of the target has less memory than that of the callers."""

    def get_memory_mb(self, index: int) -> int:
        return (LARGE_MACHINE_MB, SMALL_MACHINE_MB)[index]

    async def test_bodies_are_released_whatever_the_outcome(self) -> None:
        """Ten of them exceed the memory of the callers' node."""
        for _ in range(10):
            await self.send_body(LONG_BODIES[-2])
        self.check_memory()
        await self.check_nodes_recover()


class ManyNodesTest(crowd_case.CrowdTestCase):
    """Each callers' node is within its limits; one node has their target."""

    services = ('front',) * 5 + ('back',)

    async def check_crowds(
        self,
        count: int,
        pieces: crowd_case.Pieces,
        *,
        read_bytes: int = 0,
    ) -> None:
        """Check all nodes while there is a crowd at each of the first."""
        before = self.read_peaks()
        served = False
        async with contextlib.AsyncExitStack() as stack:
            starting = []
            for node in self.nodes[:-1]:
                crowd = crowds.Crowd(
                    node.ports[0], pieces, read_bytes=read_bytes
                )
                stack.push_async_callback(crowd.close)
                starting.append(crowd.start(count))
            await asyncio.gather(*starting)
            await asyncio.sleep(STAY_S)
            descriptors = self.count_descriptors()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(sidecars.WAIT_S / 3):
                    while not await self.is_served(self.node, 'back'):
                        await asyncio.sleep(sidecars.POLL_S)
                served = True
        self.check_nodes(before, descriptors, served=served)
        await self.wait_for(lambda: self.is_served(self.node, 'back'))

    async def test_short_whole_bodies(self) -> None:
        self.nodes[-1].app.behaviour.work_s = 2.0
        await self.check_crowds(
            150, lambda number: (build_post(number, 60_000), b'x' * 60_000)
        )

    async def test_whole_requests_of_many_lines(self) -> None:
        self.nodes[-1].app.behaviour.work_s = 2.0
        headers = tuple((b'h%d' % each, b'') for each in range(1_800))
        await self.check_crowds(
            150,
            lambda number: (
                crowds.build_call(
                    '/back/safe/', number=number, headers=headers
                ),
            ),
        )

    async def test_short_answers_to_pipelined_requests(self) -> None:
        await self.check_crowds(
            150,
            lambda number: (
                b''.join(
                    crowds.build_call(
                        f'/back/safe/long/{MIDDLE_BYTES}/',
                        number=number * 64 + each,
                    )
                    for each in range(60)
                ),
            ),
            read_bytes=4_096,
        )

    async def test_long_answers_to_pipelined_requests(self) -> None:
        await self.check_crowds(
            60,
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
