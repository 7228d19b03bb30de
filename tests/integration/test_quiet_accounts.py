"""Changes of the limits of accounts that send nothing meanwhile."""

import asyncio
import typing

from tests.integration import sidecars


class QuietAccountTest(sidecars.SidecarTestCase):
    """A limit that is lowered while an account is quiet binds it."""

    services = ('front', 'back')
    bounds = {
        'config_apply_ms': 300,
        'quota_window_s': 2,
        'quota_overage': 0.0,
        'quota_slack': 0,
    }
    version = 1
    high = 200.0
    low = 5.0
    # The lower limit has to be in force, and a second of grace is over.
    quiet_s = 2.0

    def publish(self, rate: float, **options: typing.Any) -> None:
        self.version += 1
        config = sidecars.build_config(
            self.version, self.services, rate=rate, burst=rate, **options
        )
        self.store.put('op', 'config', config)

    async def start_and_lower(self, *rates: float) -> None:
        config = sidecars.build_config(
            self.version,
            self.services,
            rate=self.high,
            burst=self.high,
        )
        await self.start_all(config)
        for rate in rates:
            self.publish(rate)
            await asyncio.sleep(0.5)

    async def check_bound(self) -> None:
        """Check that a sudden burst gets no more than the low limit."""
        await asyncio.sleep(self.quiet_s)
        began_at = asyncio.get_running_loop().time()
        answers = await asyncio.gather(
            *(
                self.call(self.nodes[number % 2], '/back/safe/')
                for number in range(100)
            )
        )
        took_s = asyncio.get_running_loop().time() - began_at
        admitted = [sidecars.get_status(answer) for answer in answers].count(
            200
        )
        self.assertLessEqual(admitted, self.low * (1.0 + took_s) + 1.0)

    async def test_after_one_change(self) -> None:
        await self.start_and_lower(self.low)
        await self.check_bound()

    async def test_after_two_changes_in_a_row(self) -> None:
        await self.start_and_lower(100.0, self.low)
        await self.check_bound()

    async def test_after_an_increase_between(self) -> None:
        await self.start_and_lower(100.0, self.high, self.low)
        await self.check_bound()

    async def test_after_the_account_was_away(self) -> None:
        await self.start_and_lower()
        self.publish(self.high, keys=[])
        await asyncio.sleep(0.5)
        self.publish(self.low)
        await self.check_bound()

    async def test_with_a_new_owner_of_the_account(self) -> None:
        await self.start_and_lower(self.low)
        await asyncio.sleep(self.quiet_s)
        for node in self.nodes:
            node.kill()
            node.start()
            await self.wait_for(lambda node=node: self.check_in(node))
        for node in self.nodes:
            await self.wait_for(lambda node=node: self.knows_all(node))
        await self.check_bound()
