"""Departures of targets, through restarts of nodes and outages."""

import asyncio
import signal

from tests.integration import sidecars


class DepartureTest(sidecars.SidecarTestCase):
    """A departure that was acknowledged during an outage outlasts restarts.

    The row of the target is from before the outage, and the target says
    nothing of its departure a second time.
    """

    services = ('front', 'back', 'back')
    bounds = {'drain_ms': 1000, 'grace_s': 2}

    async def depart(self, node: sidecars.Node) -> None:
        """Let a target leave, and wait until the drain time is over."""
        self.assertTrue(await node.app.depart(node.ports[2]))
        await asyncio.sleep(1.0)

    async def stop(self, node: sidecars.Node) -> None:
        """Stop a node as planned, and wait until its process has ended."""
        node.send_signal(signal.SIGTERM)
        assert node.process is not None
        while node.process.poll() is None:
            await asyncio.sleep(0.05)

    async def check_left(self, node: sidecars.Node) -> None:
        """Check that no node sends calls to the target beside a node."""
        await self.wait_for(lambda: self.is_served(node, 'back'))
        node.app.arrivals.clear()
        for _ in range(10):
            await asyncio.gather(
                *(self.call(each, '/back/safe/') for each in self.nodes)
            )
            await asyncio.sleep(0.1)
        self.assertEqual([], node.app.arrivals, node.log.read_text())

    async def test_kill_of_the_node_while_the_store_is_silent(self) -> None:
        await self.start_all()
        one = self.nodes[1]
        self.store.faults.silent = True
        await self.depart(one)
        for _ in range(2):
            one.kill()
            one.start()
            await asyncio.sleep(0.5)
        self.store.faults.silent = False
        await self.check_left(one)

    async def test_kill_of_all_nodes_while_the_store_refuses(self) -> None:
        await self.start_all()
        one, other = self.nodes[1:]
        self.store.faults.status = 503
        await self.depart(one)
        for node in self.nodes:
            node.kill()
        self.store.faults.status = 0
        for node in self.nodes:
            node.start()
        await self.wait_for(lambda: self.check_in(other))
        await self.check_left(one)

    async def test_planned_stop_and_a_store_restored_from_before(self) -> None:
        await self.start_all()
        one = self.nodes[1]
        copy = self.store.copy()
        self.store.faults.silent = True
        await self.depart(one)
        await self.stop(one)
        self.store.restore(copy)
        self.store.faults.silent = False
        one.start()
        await self.check_left(one)

    async def test_kill_while_the_store_serves_reads_alone(self) -> None:
        """The node is back at once, and reads a row from before."""
        await self.start_all()
        one = self.nodes[1]
        self.store.faults.refuses_writes = True
        await self.depart(one)
        one.kill()
        one.start()
        await self.check_left(one)
        self.store.faults.refuses_writes = False
        await self.check_left(one)

    async def test_two_planned_stops_while_the_store_is_slow(self) -> None:
        await self.start_all()
        one = self.nodes[1]
        self.store.faults.slow_s = 2.0
        await self.depart(one)
        for _ in range(2):
            await self.stop(one)
            one.start()
        self.store.faults.slow_s = 0.0
        await self.check_left(one)

    async def test_kill_after_a_drain_that_a_check_in_began(self) -> None:
        await self.start_all()
        one = self.nodes[1]
        self.store.faults.silent = True
        self.assertTrue(await self.check_in(one, 'draining'))
        await asyncio.sleep(1.0)
        one.kill()
        one.start()
        self.store.faults.silent = False
        await self.check_left(one)

    async def test_check_in_that_is_late_does_not_bring_it_back(self) -> None:
        await self.start_all()
        one = self.nodes[1]
        self.store.faults.silent = True
        await self.depart(one)
        one.kill()
        self.store.faults.silent = False
        one.start()
        await self.wait_for(lambda: self.check_in(one))
        await self.check_left(one)
