"""Tests of the secret of the mesh in a store that may be restored."""

import asyncio
import random
import unittest
import unittest.mock

from eelgrasswalk.controllers import mesh_secret
from eelgrasswalk.platform import rows
from eelgrasswalk.standins import rows as standin


class SecretKeeperTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.standin = standin.RowsStandin()
        self.port = await self.standin.start()
        self.addAsyncCleanup(self.standin.stop)
        self.empty = self.standin.copy()
        for name in ('MIN_CHECK_SPREAD_S', 'PAUSE_S'):
            patch = unittest.mock.patch.object(mesh_secret, name, 0.0)
            patch.start()
            self.addCleanup(patch.stop)

    def build(self) -> mesh_secret.SecretKeeper:
        store = rows.PlatformRows('127.0.0.1', self.port)
        self.addAsyncCleanup(store.close)
        keeper = mesh_secret.SecretKeeper(
            store, count_nodes=lambda: 1, source=random.Random(1)
        )
        self.addAsyncCleanup(keeper.stop)
        return keeper

    async def test_nodes_that_start_together_share_one_secret(self) -> None:
        first, second = await asyncio.gather(
            self.build().fetch(bootstrap=True),
            self.build().fetch(bootstrap=True),
        )
        self.assertEqual(first, second)

    async def test_node_that_joins_after_a_restore_gets_the_same_secret(
        self,
    ) -> None:
        """The copy is older than the secret."""
        keeper = self.build()
        secret = await keeper.fetch(bootstrap=True)
        self.standin.restore(self.empty)
        joining = asyncio.create_task(self.build().fetch(bootstrap=False))
        keeper.check_after_restore()
        self.assertEqual(secret, await joining)

    async def test_secret_is_created_if_nobody_has_one(self) -> None:
        with unittest.mock.patch.object(mesh_secret, 'CREATE_AFTER_S', 0.0):
            secret = await self.build().fetch(bootstrap=False)
        self.assertEqual(
            secret, self.standin.read(mesh_secret.TABLE, mesh_secret.KEY)
        )

    async def test_secret_of_another_mesh_is_reported(self) -> None:
        keeper = self.build()
        await keeper.fetch(bootstrap=True)
        self.standin.restore(self.empty)
        await self.build().fetch(bootstrap=True)
        with self.assertLogs('eelgrasswalk', 'ERROR') as logs:
            keeper.check_after_restore()
            while not logs.records:
                await asyncio.sleep(0)
        self.assertEqual(3015, logs.records[0].__dict__['event'])
