"""The configuration on node processes, with and without the store."""

import dataclasses
import hashlib
import typing
import unittest

import httpx

from eelgrasswalk.bench import mesh
from eelgrasswalk.document import model
from tests.integration import fleet

KEYS = ('first-key', 'second-key')


def make_document(keys: typing.Sequence[str]) -> model.Document:
    account = model.ClientAccount(
        'erie',
        5000.0,
        5000,
        tuple(
            model.Key(key, hashlib.sha256(key.encode()).hexdigest())
            for key in keys
        ),
    )
    services = tuple(
        model.Service(name, slots=20, connections=40)
        for name in ('front', 'orders')
    )
    route = model.Route('read', 'orders', '/orders', idempotent=True)
    return model.Document(1, 'test', (account,), services, (route,))


class ConfigurationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = fleet.Fleet(self.enterContext(mesh.Mesh()), seed=4)
        await self.fleet.publish(make_document(KEYS))
        self.fleet.start()
        self.client = await self.enterAsyncContext(
            httpx.AsyncClient(timeout=20)
        )
        self.versions: dict[int, int] = {}

    async def read(self, entry: str, key: str) -> int:
        answer = await self.client.get(
            f'{entry}/orders', headers={'x-api-key': key}
        )
        return answer.status_code

    async def wait_for(self, entry: str, key: str, status: int) -> None:
        while await self.read(entry, key) != status:
            pass

    async def read_version(self, index: int) -> int:
        address = self.fleet.processes[index].ready['admin']
        answer = await self.client.get(
            f'http://{address}/_eelgrasswalk/status'
        )
        return answer.json()['configuration']['version']

    async def check_versions(self, least: int) -> None:
        for index in range(len(self.fleet.processes)):
            version = await self.read_version(index)
            self.assertGreaterEqual(version, least, index)
            self.assertGreaterEqual(version, self.versions.get(index, 0))
            self.versions[index] = version

    async def test_a_withdrawn_key_stays_withdrawn(self) -> None:
        for entry in self.fleet.list_entries():
            for key in KEYS:
                await self.wait_for(entry, key, 200)
        await self.fleet.publish(make_document(KEYS[1:]))
        for entry in self.fleet.list_entries():
            await self.wait_for(entry, KEYS[0], 403)
            self.assertEqual(200, await self.read(entry, KEYS[1]))
        await self.fleet.behave(down=True)
        for index in range(len(self.fleet.processes)):
            self.fleet.replace(index)
            await self.check_versions(least=2)
        for entry in self.fleet.list_entries():
            self.assertEqual(403, await self.read(entry, KEYS[0]))
            self.assertNotEqual(403, await self.read(entry, KEYS[1]))
        await self.fleet.behave(down=False)
        old = dataclasses.replace(make_document(KEYS), mesh='test')
        await self.fleet.publish(old)
        for entry in self.fleet.list_entries():
            await self.wait_for(entry, KEYS[0], 200)
        await self.check_versions(least=2)
