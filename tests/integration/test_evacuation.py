"""Tests of evacuations with processes."""

from tests.integration import sidecars


class EvacuationTest(sidecars.SidecarTestCase):
    services = ('front', 'back', 'back')

    async def test_calls_leave_evacuated_data_centres_and_come_back(
        self,
    ) -> None:
        await self.start_all()
        front, one, other = self.nodes
        self.store.put('op', 'evacuate/zone-1', b'{}')
        await self.wait_until_known(1)
        one.app.arrivals.clear()
        # The node of the evacuated target serves callers as well.
        for node in (front, one) * 5:
            self.assertEqual(200, await self.call_back(node))
        self.assertEqual([], one.app.arrivals)
        self.store.put('op', 'evacuate/zone-2', b'{}')
        await self.wait_until_known(2)
        other.app.arrivals.clear()
        self.assertEqual(503, await self.call_back(front))
        self.assertEqual([], one.app.arrivals + other.app.arrivals)
        self.store.remove('op', 'evacuate/zone-1')
        await self.wait_until_known(1)
        self.assertEqual(200, await self.call_back(front))
        self.assertEqual([], other.app.arrivals)

    async def test_node_that_starts_during_an_evacuation(self) -> None:
        self.store.put('op', 'evacuate/zone-1', b'{}')
        await self.start_all()
        front, one, _ = self.nodes
        one.kill()
        one.start()
        await self.wait_for(lambda: self.check_in(one))
        await self.wait_until_known(1)
        for _ in range(5):
            self.assertEqual(200, await self.call_back(front))
        self.assertEqual([], one.app.arrivals)

    async def call_back(self, node: sidecars.Node) -> int:
        answer = await self.call(node, '/back/unsafe/', method='POST')
        assert answer is not None
        return answer.status

    async def wait_until_known(self, count: int) -> None:
        """Wait until all nodes know of a number of evacuations."""
        for node in self.nodes:
            await self.wait_for(lambda node=node: self._knows(node, count))

    async def _knows(self, node: sidecars.Node, count: int) -> bool:
        answer = await self.ask(node.ports[4], '/metrics')
        if answer is None:
            return False
        wanted = f'eelgrasswalk_evacuated_data_centres {count}.0\n'
        return wanted in answer.body.decode()
