import asyncio
import random
import unittest

from eelgrasswalk.controllers import membership
from eelgrasswalk.platform import memory
from eelgrasswalk.policy import member
from eelgrasswalk.policy import member_timing
from tests.controllers import test_seeds

SECRET = b'integration secret'
LIMIT_S = 20.0
TIMING = member_timing.Timing(
    probe_interval_s=0.5,
    ack_timeout_s=0.2,
    gossip_interval_s=0.02,
    sync_interval_s=0.5,
    rejoin_interval_s=0.3,
)


def _make(number, *, service='stock', **options):
    record = member.Member(
        f'node-{number}',
        '127.0.0.1',
        0,
        7001,
        service,
        16,
        'a',
        member.MemberState.STARTING,
        member.Incarnation(1_700_000_000_000),
    )
    options.setdefault('secret', SECRET)
    return membership.Membership(
        record, timing=TIMING, rng=random.Random(number), **options
    )


class TestMembership(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.nodes = []

    async def asyncTearDown(self):
        for node in reversed(self.nodes):
            await node.stop()

    async def _start(self, node):
        await node.start()
        self.nodes.append(node)
        return node

    async def _start_mesh(self, count):
        first = await self._start(_make(0))
        for number in range(1, count):
            await self._start(
                _make(number, seeds=[first.local_member.address])
            )
        for node in self.nodes:
            await self._wait(
                node, lambda node=node: len(node.list_members()) == count
            )
        return self.nodes

    async def _wait(self, node, condition):
        """Wait until a condition holds after some change seen by a node."""
        changed = asyncio.Event()
        end = node.subscribe(lambda _: changed.set())
        try:
            async with asyncio.timeout(LIMIT_S):
                while not condition():
                    await changed.wait()
                    changed.clear()
        finally:
            end()

    async def test_nodes_find_each_other_by_seeds(self):
        nodes = await self._start_mesh(6)
        for node in nodes:
            self.assertEqual(6, len(node.members('stock')))
            self.assertEqual((), node.members('orders'))

    async def test_nodes_find_each_other_by_the_table(self):
        table = memory.MemoryTable()
        for number in range(3):
            await self._start(_make(number, table=table))
        for node in self.nodes:
            await self._wait(
                node, lambda node=node: len(node.list_members()) == 3
            )

    async def test_first_start_works_through_a_store_outage(self):
        table = test_seeds.UnavailableTable()
        first = await self._start(_make(0, table=table))
        for number in (1, 2):
            await self._start(
                _make(number, table=table, seeds=[first.local_member.address])
            )
        for node in self.nodes:
            await self._wait(
                node, lambda node=node: len(node.list_members()) == 3
            )

    async def test_state_is_announced(self):
        nodes = await self._start_mesh(4)
        nodes[0].set_state(member.MemberState.READY)
        nodes[0].set_slots(35)
        for node in nodes[1:]:
            await self._wait(
                node,
                lambda node=node: (
                    node.find('node-0').state is member.MemberState.READY
                    and node.find('node-0').slots == 35
                ),
            )

    async def test_leaving_is_known_when_stop_returns(self):
        nodes = await self._start_mesh(4)
        await nodes.pop(1).stop()
        for node in nodes:
            await self._wait(
                node,
                lambda node=node: (
                    node.find('node-1').state is member.MemberState.LEFT
                ),
            )
            self.assertEqual(3, len(node.members('stock')))

    async def test_config_version_is_seen_by_all(self):
        nodes = await self._start_mesh(5)
        seen = [asyncio.Event() for _ in nodes]

        def follow(node, event):
            def take(from_node, version):
                node.advertise_config_version(version)
                event.set()

            node.subscribe_versions(take)

        for node, event in zip(nodes, seen, strict=True):
            follow(node, event)
        seen[0].set()
        nodes[0].advertise_config_version(12)
        async with asyncio.timeout(LIMIT_S):
            for event in seen:
                await event.wait()

    async def test_answers_of_peers_are_reported(self):
        nodes = await self._start_mesh(2)
        heard = asyncio.get_running_loop().create_future()
        nodes[1].advertise_config_version(5)

        def take(from_node, version):
            if version == 5 and not heard.done():
                heard.set_result(from_node)

        nodes[0].subscribe_heard(take)
        async with asyncio.timeout(LIMIT_S):
            self.assertEqual('node-1', await heard)

    async def test_changes_are_reported_together(self):
        first = await self._start(_make(0))
        changed = asyncio.Event()
        first.subscribe_changes(changed.set)
        await self._start(_make(1, seeds=[first.local_member.address]))
        async with asyncio.timeout(LIMIT_S):
            await changed.wait()
        self.assertEqual(2, len(first.list_members()))
        self.assertEqual(2, first.describe()['membership']['present'])

    async def test_other_mesh_secret_is_kept_out(self):
        first = await self._start(_make(0))
        refused = asyncio.Event()
        receive = first.receive

        def watch(datagram, address):
            receive(datagram, address)
            if first.traffic.refused:
                refused.set()

        first.receive = watch
        other = _make(
            1, seeds=[first.local_member.address], secret=b'other secret'
        )
        await self._start(other)
        async with asyncio.timeout(LIMIT_S):
            await refused.wait()
        self.assertEqual(1, len(first.list_members()))
        self.assertEqual(1, len(other.list_members()))

    async def test_stop_before_start_is_harmless(self):
        await _make(0).stop()


if __name__ == '__main__':
    unittest.main()
