"""A request that crashes the targets that run it, with real processes."""

import asyncio
import itertools
import unittest

from eelgrasswalk.standins import app
from tests.integration import sidecars

DEADLY = '/back/safe/deadly'
DEADLY_ORDER = '/back/unsafe/deadly'
WORK_S = 0.05
# A crashed target is back after this time.
DOWN_S = 1.0
# The users' bound: a request that has crashed three targets is sent on in
# three more tries at most, counted from this time after the third crash.
STABILITY_S = 3.0
ALLOWED_TRIES = 3
DURATION_S = 9.0
DEADLY_INTERVAL_S = 0.1
INNOCENT_INTERVAL_S = 0.02


class DeadlyRequestTest(sidecars.SidecarTestCase):
    services = ('front', 'back', 'back', 'back', 'back')

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.backs = self.nodes[1:]
        self.statuses: list[tuple[float, int]] = []

    async def play(self, path: str, method: str) -> None:
        """Send the deadly request among innocent ones for some seconds."""
        await self.start_all()
        for node in self.backs:
            node.app.behaviour.work_s = WORK_S
            node.app.behaviour.deadly_paths = frozenset((path,))
        async with asyncio.timeout(4 * DURATION_S):
            async with asyncio.TaskGroup() as group:
                background = [
                    group.create_task(self.revive(node)) for node in self.backs
                ]
                await self.send_all(group, path, method)
                for task in background:
                    task.cancel()

    async def send_all(
        self, group: asyncio.TaskGroup, path: str, method: str
    ) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + DURATION_S
        deadly_at = loop.time()
        calls = []
        for number in itertools.count():
            if loop.time() >= ends_at:
                break
            node = self.nodes[number % len(self.nodes)]
            if loop.time() >= deadly_at:
                deadly_at += DEADLY_INTERVAL_S
                calls.append(
                    group.create_task(self.call(node, path, method=method))
                )
            # A popular request is in flight at every crash.
            for target in (f'/back/safe/{number}', '/back/safe/popular'):
                calls.append(
                    group.create_task(self.send_innocent(node, target))
                )
            await asyncio.sleep(INNOCENT_INTERVAL_S)
        await asyncio.wait(calls)

    async def send_innocent(self, node: sidecars.Node, target: str) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        answer = await self.call(node, target)
        self.statuses.append((sent_at, 0 if answer is None else answer.status))

    async def revive(self, node: sidecars.Node) -> None:
        """Restart a target some time after each of its crashes."""
        for number in itertools.count(1):
            while len(node.app.crashes) < number:
                await asyncio.sleep(0.02)
            await asyncio.sleep(DOWN_S)
            await node.app.recover(f'{node.app.target_id}-{number}')
            while not await self.check_in(node):
                await asyncio.sleep(0.05)

    def check_tries(self, path: str) -> None:
        """Check the users' bound on what follows the third crash."""
        crashes = self.list_crashes()
        if len(crashes) < 3:
            return
        bound_from = crashes[2] + STABILITY_S
        late = [
            arrival
            for arrival in self.list_runs(path)
            if arrival.at > bound_from
        ]
        self.assertLessEqual(len(late), ALLOWED_TRIES, crashes)

    def list_crashes(self) -> list[float]:
        return sorted(
            crash.at for node in self.backs for crash in node.app.crashes
        )

    def list_runs(self, path: str) -> list[app.Arrival]:
        return [
            arrival
            for node in self.backs
            for arrival in node.app.arrivals
            if arrival.path == path and arrival.was_run
        ]

    def check_service_is_back(self) -> None:
        """Check that the other callers have their targets back."""
        settled_from = self.list_crashes()[0] + STABILITY_S
        late = [status for at, status in self.statuses if at > settled_from]
        self.assertTrue(late)
        self.assertEqual({200}, set(late))
        # No proper request is refused for another's fault.
        self.assertNotIn(400, [status for _, status in self.statuses])

    async def test_request_that_crashes_every_target_is_stopped(self) -> None:
        """Guards against the BUDGET incident of the day `deadly`."""
        await self.play(DEADLY, 'GET')
        self.check_tries(DEADLY)
        self.check_service_is_back()

    async def test_unsafe_request_that_crashes_every_target_is_stopped(
        self,
    ) -> None:
        """The same where no call may be repeated."""
        await self.play(DEADLY_ORDER, 'POST')
        self.check_tries(DEADLY_ORDER)
        self.check_service_is_back()


if __name__ == '__main__':
    unittest.main()
