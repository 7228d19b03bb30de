"""Tests of publishing a version, alone and in races."""

import asyncio
import collections.abc
import unittest

from eelgrasswalk.controllers import audit
from eelgrasswalk.controllers import configuration_rows as rows
from eelgrasswalk.controllers import publishing
from eelgrasswalk.document import loading
from eelgrasswalk.document import model
from eelgrasswalk.operations import revisions
from eelgrasswalk.platform import memory
from eelgrasswalk.platform import protocols


def make_document(rate: float = 10.0) -> model.Document:
    account = model.ClientAccount('toledo', rate=rate, burst=20)
    service = model.Service('catalogue', slots=10, connections=100)
    route = model.Route('browse', 'catalogue', '/catalogue', idempotent=True)
    return model.Document(1, 'lakeshore', (account,), (service,), (route,))


def make_author(operator: str) -> audit.Author:
    return audit.Author(operator, '127.0.0.1', 'test')


class FaultyTable(memory.MemoryTable):
    """Answers each transaction as told: after it, before it, or not."""

    def __init__(self) -> None:
        super().__init__()
        self.faults: list[str] = []

    async def batch(
        self, operations: collections.abc.Sequence[protocols.Operation]
    ) -> protocols.WriteOutcome:
        await asyncio.sleep(0)
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'down':
            return protocols.Unavailable('down')
        if fault == 'lost request':
            return protocols.Unknown('lost')
        outcome = self.commit(operations)
        if fault == 'lost answer':
            return protocols.Unknown('lost')
        return outcome


class PublishingTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.table = FaultyTable()
        self.objects = memory.MemoryObjects()
        self.store = publishing.StoredRevisions(self.table, self.objects)

    async def publish(
        self,
        operator: str = 'ana',
        base: revisions.Revision | None = None,
        rate: float = 10.0,
    ) -> revisions.PublishOutcome:
        return await self.store.publish(
            make_document(rate), base=base, author=make_author(operator)
        )

    async def read_head(self) -> revisions.Revision:
        outcome = await self.store.read_head()
        self.assertIsInstance(outcome, revisions.Found)
        return outcome.revision

    async def test_publishes_versions_in_a_chain(self) -> None:
        self.assertEqual(revisions.Missing(), await self.store.read_head())
        await self.publish()
        first = await self.read_head()
        self.assertEqual(1, first.version)
        self.assertEqual(make_document(), first.document)
        await self.publish('luz', base=first, rate=20.0)
        second = await self.read_head()
        self.assertEqual(2, second.version)
        listed = await self.store.list_entries()
        contents = {
            revision.version: loading.dump_document(revision.document)
            for revision in (first, second)
        }
        verified = audit.verify_chain(listed.entries, contents)
        self.assertIsInstance(verified, audit.Verified)
        old = await self.store.read_version(1)
        self.assertEqual(first, old.revision)

    async def test_one_of_two_operators_wins(self) -> None:
        outcomes = await asyncio.gather(
            self.publish('ana', rate=11.0), self.publish('luz', rate=12.0)
        )
        kinds = {type(outcome) for outcome in outcomes}
        self.assertEqual({revisions.Published, revisions.Conflict}, kinds)
        for outcome in outcomes:
            if isinstance(outcome, revisions.Conflict):
                head = await self.read_head()
                self.assertEqual(head, outcome.head)
                self.assertEqual(1, outcome.head.version)

    async def test_a_lost_answer_is_resolved(self) -> None:
        self.table.faults = ['lost answer']
        outcome = await self.publish()
        self.assertIsInstance(outcome, revisions.Published)
        self.assertEqual(outcome.entry, (await self.read_head()).entry)

    async def test_a_lost_request_stays_unknown(self) -> None:
        self.table.faults = ['lost request']
        outcome = await self.publish()
        self.assertIsInstance(outcome, revisions.Unknown)

    async def test_a_lost_request_that_lost_the_race_is_a_conflict(
        self,
    ) -> None:
        self.table.faults = ['lost request', '']
        outcomes = await asyncio.gather(
            self.publish('ana'), self.publish('luz')
        )
        self.assertIsInstance(outcomes[1], revisions.Published)
        self.assertIsInstance(
            outcomes[0], revisions.Conflict | revisions.Unknown
        )

    async def test_an_outage_changes_nothing(self) -> None:
        self.table.faults = ['down']
        outcome = await self.publish()
        self.assertIsInstance(outcome, revisions.Unavailable)
        self.assertEqual(revisions.Missing(), await self.store.read_head())

    async def test_an_old_base_is_a_conflict(self) -> None:
        await self.publish()
        first = await self.read_head()
        await self.publish('luz', base=first, rate=20.0)
        outcome = await self.publish('ana', base=first, rate=30.0)
        self.assertIsInstance(outcome, revisions.Conflict)
        self.assertEqual('luz', outcome.head.entry.author.operator)

    async def test_an_altered_document_is_not_taken(self) -> None:
        await self.publish()
        head = await self.read_head()
        name = rows.make_object_name(head.entry.document_digest)
        self.objects.write(name, loading.dump_document(make_document(99.0)))
        outcome = await self.store.read_head()
        self.assertIsInstance(outcome, revisions.Damaged)

    async def test_a_head_without_its_entry_is_not_taken(self) -> None:
        await self.publish()
        key = rows.make_audit_key(1)
        found = self.table.read(key)
        assert isinstance(found, protocols.Found)
        await self.table.delete(key, expected=found.row.version)
        outcome = await self.store.read_head()
        self.assertIsInstance(outcome, revisions.Damaged)
