"""Tests of the configuration controller."""

import asyncio
import random
import unittest

from eelgrasswalk.controllers import audit
from eelgrasswalk.controllers import configuration
from eelgrasswalk.controllers import configuration_messages as messages
from eelgrasswalk.document import model
from eelgrasswalk.operations import revisions
from eelgrasswalk.operations import store
from eelgrasswalk.platform import memory
from eelgrasswalk.platform import protocols
from eelgrasswalk.policy import configuration as policy

from . import test_configuration_races as races

OPTIONS = configuration.Options(
    follow=policy.VersionTrackerSettings(
        min_poll_interval_s=0.001, initial_backoff_s=0.001
    ),
    start_wait_s=10.0,
    answer_wait_s=0.2,
)


class SwitchedTable(memory.MemoryTable):
    def __init__(self) -> None:
        super().__init__()
        self.is_down = False

    async def get(self, key: str) -> protocols.ReadOutcome:
        if self.is_down:
            return protocols.Unavailable('down')
        return await super().get(key)


class Mesh:
    """Connects controllers in memory."""

    def __init__(self) -> None:
        self.table = SwitchedTable()
        self.objects = memory.MemoryObjects()
        self.nodes: dict[str, configuration.ConfigurationController] = {}
        self.applied: dict[str, list[int]] = {}
        self.changed = asyncio.Event()
        self.now = 0.0

    def add(self, name: str, **more: object) -> None:
        self.applied[name] = []

        def apply(document: model.Document, version: int) -> None:
            self.applied[name].append(version)
            self.changed.set()

        def send(node_id: str, topic: str, payload: bytes) -> None:
            other = self.nodes.get(node_id)
            if other is not None:
                loop = asyncio.get_running_loop()
                loop.call_soon(other.receive, name, payload)

        self.nodes[name] = configuration.ConfigurationController(
            self.table,
            self.objects,
            apply=apply,
            send=send,
            list_peers=lambda: [each for each in self.nodes if each != name],
            options=OPTIONS,
            clock=lambda: self.now,
            source=random.Random(1),
        )

    async def wait_for(self, name: str, version: int) -> None:
        while self.nodes[name].get_state().version < version:
            await self.changed.wait()
            self.changed.clear()


class ConfigurationControllerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.mesh = Mesh()
        self.store = store.StoredRevisions(self.mesh.table, self.mesh.objects)

    async def publish(self, rate: float) -> None:
        head = await self.store.read_head()
        base = head.revision if isinstance(head, revisions.Found) else None
        outcome = await self.store.publish(
            races.make_document(rate),
            base=base,
            author=audit.Author('ana', '127.0.0.1', 'test'),
        )
        self.assertIsInstance(outcome, revisions.Published)

    async def start(self, *names: str) -> None:
        for name in names:
            self.mesh.add(name)
            self.addAsyncCleanup(self.mesh.nodes[name].stop)
            await self.mesh.nodes[name].start()

    async def test_starts_with_what_the_store_has(self) -> None:
        await self.publish(1.0)
        await self.start('a')
        self.assertEqual([1], self.mesh.applied['a'])
        self.assertTrue(self.mesh.nodes['a'].allows_keys())

    async def test_starts_with_nothing_in_a_new_mesh(self) -> None:
        await self.start('a')
        self.assertEqual([], self.mesh.applied['a'])

    async def test_takes_each_new_version(self) -> None:
        await self.start('a')
        for version in (1, 2, 3):
            await self.publish(float(version))
            await self.mesh.wait_for('a', version)
        self.assertEqual([1, 2, 3], self.mesh.applied['a'])

    async def test_starts_from_peers_in_an_outage(self) -> None:
        await self.publish(1.0)
        await self.start('a')
        self.mesh.table.is_down = True
        await self.start('b')
        self.assertEqual([1], self.mesh.applied['b'])
        self.assertTrue(self.mesh.nodes['b'].allows_keys())

    async def test_learns_from_a_peer_what_the_store_cannot_say(self) -> None:
        await self.publish(1.0)
        await self.start('a', 'b')
        await self.publish(2.0)
        await self.mesh.wait_for('a', 2)
        await self.mesh.wait_for('b', 2)
        self.mesh.table.is_down = True
        self.mesh.add('c')
        node = self.mesh.nodes['c']
        self.addAsyncCleanup(node.stop)
        node.observe_peer_version('a', 2)
        await node.start()
        self.assertEqual([2], self.mesh.applied['c'])

    async def test_refuses_keys_when_it_hears_nobody(self) -> None:
        await self.publish(1.0)
        await self.start('a')
        self.mesh.table.is_down = True
        node = self.mesh.nodes['a']
        self.mesh.now += 10.0
        self.assertTrue(node.allows_keys())
        self.mesh.now += 0.1
        self.assertFalse(node.allows_keys())
        self.assertEqual(1, node.get_state().version)
        node.observe_peer_version('b', 1)
        self.assertTrue(node.allows_keys())

    async def test_keeps_its_version_when_the_next_is_unreadable(
        self,
    ) -> None:
        await self.publish(1.0)
        await self.start('a')
        node = self.mesh.nodes['a']
        content = b'schema: 999'
        tell = messages.Tell(2, configuration.compute_digest(content), content)
        with self.assertLogs('eelgrasswalk', 'ERROR'):
            await node._load(tell.version, tell.digest, tell.content)
        self.assertEqual((2,), node.get_state().rejected)
        self.assertEqual([1], self.mesh.applied['a'])

    async def test_drops_a_document_that_was_altered(self) -> None:
        await self.start('a')
        node = self.mesh.nodes['a']
        await node._load(1, configuration.compute_digest(b'one'), b'two')
        self.assertEqual(0, node.get_state().version)


class MessagesTest(unittest.TestCase):
    def test_messages_survive(self) -> None:
        for message in (
            messages.Ask(3),
            messages.Tell(3, 'ab', b'content' * 100),
            messages.Tell(0, '', b''),
        ):
            payload = messages.encode_message(message)
            self.assertEqual(message, messages.decode_message(payload))

    def test_a_long_document_is_left_to_the_store(self) -> None:
        content = random.Random(1).randbytes(300_000)
        payload = messages.encode_message(messages.Tell(1, 'ab', content))
        told = messages.decode_message(payload)
        self.assertEqual(messages.Tell(1, 'ab', b''), told)

    def test_other_payloads_are_rejected(self) -> None:
        for payload in (b'', b'\xff', b'\x80', b'\x05'):
            with self.assertRaises(messages.MalformedError):
                messages.decode_message(payload)
