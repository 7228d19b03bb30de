"""Tests of accepted versions in the platform's services."""

import collections.abc
import dataclasses
import datetime as dt
import typing
import unittest

from eelgrasswalk.controllers import audit
from eelgrasswalk.document import model
from eelgrasswalk.operations import revisions
from eelgrasswalk.operations import store
from eelgrasswalk.platform import memory
from eelgrasswalk.platform import protocols

NOW = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
AUTHOR = audit.Author('ana', '127.0.0.1', 'test')
DOCUMENT = model.Document(
    schema=1,
    mesh='small',
    accounts=(model.ClientAccount('erie', 40, 80),),
    services=(model.Service('catalogue', 1, 1),),
    routes=(model.Route('browse', 'catalogue', '/'),),
)

Rival: typing.TypeAlias = collections.abc.Callable[
    [], collections.abc.Awaitable[object]
]


class LossyTable(memory.MemoryTable):
    """A table whose next transaction gets no answer."""

    def __init__(self) -> None:
        super().__init__()
        self.lose = False
        self.takes_effect = True
        self.rival: Rival | None = None

    async def batch(
        self, operations: collections.abc.Sequence[protocols.Operation]
    ) -> protocols.WriteOutcome:
        if not self.lose:
            return self.commit(operations)
        self.lose = False
        if self.takes_effect:
            self.commit(operations)
        if self.rival is not None:
            await self.rival()
        return protocols.Unknown('the connection was lost')


class StoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.table = LossyTable()
        self.objects = memory.MemoryObjects()
        self.store = store.StoredRevisions(
            self.table, self.objects, clock=lambda: NOW
        )

    async def read_head(self) -> revisions.Revision | None:
        outcome = await self.store.read_head()
        if isinstance(outcome, revisions.Missing):
            return None
        assert isinstance(outcome, revisions.Found), outcome
        return outcome.revision

    async def publish(
        self, rate: float, base: revisions.Revision | None
    ) -> revisions.PublishOutcome:
        account = dataclasses.replace(DOCUMENT.accounts[0], rate=rate)
        document = dataclasses.replace(DOCUMENT, accounts=(account,))
        return await self.store.publish(document, base=base, author=AUTHOR)

    async def test_versions_follow_one_another(self) -> None:
        for rate in (1.0, 2.0, 3.0):
            outcome = await self.publish(rate, await self.read_head())
            self.assertIsInstance(outcome, revisions.Published)
        head = await self.read_head()
        assert head is not None
        self.assertEqual(
            (head.version, head.document.accounts[0].rate), (3, 3)
        )
        second = await self.store.read_version(2)
        assert isinstance(second, revisions.Found)
        self.assertEqual(second.revision.document.accounts[0].rate, 2)
        listed = await self.store.list_entries()
        assert isinstance(listed, revisions.Entries)
        verified = audit.verify_chain(listed.entries)
        self.assertIsInstance(verified, audit.Verified)
        self.assertEqual(
            listed.entries[2].changes, ('account erie: rate 2 -> 3/s',)
        )

    async def test_second_of_two_operators_meets_a_conflict(self) -> None:
        await self.publish(1.0, None)
        base = await self.read_head()
        await self.publish(2.0, base)
        for stale in (base, None):
            outcome = await self.publish(3.0, stale)
            assert isinstance(outcome, revisions.Conflict)
            assert outcome.head is not None
            self.assertEqual(outcome.head.version, 2)

    async def test_lost_answer_of_a_write_that_took_effect(self) -> None:
        self.table.lose = True
        outcome = await self.publish(1.0, None)
        self.assertIsInstance(outcome, revisions.Published)

    async def test_lost_answer_of_a_write_that_did_not(self) -> None:
        self.table.lose = True
        self.table.takes_effect = False
        outcome = await self.publish(1.0, None)
        self.assertIsInstance(outcome, revisions.Unknown)

    async def test_lost_answer_after_another_was_first(self) -> None:
        await self.publish(1.0, None)
        base = await self.read_head()
        self.table.lose = True
        self.table.takes_effect = False
        self.table.rival = lambda: self.publish(2.0, base)
        outcome = await self.publish(3.0, base)
        assert isinstance(outcome, revisions.Conflict)
        assert outcome.head is not None
        self.assertEqual(outcome.head.document.accounts[0].rate, 2)

    async def test_altered_document_is_not_taken(self) -> None:
        await self.publish(1.0, None)
        head = await self.read_head()
        assert head is not None
        name = store.make_object_name(head.entry.document_digest)
        self.objects.write(name, b'schema: 1')
        outcome = await self.store.read_head()
        self.assertIsInstance(outcome, revisions.Damaged)

    async def test_head_without_its_entry_is_not_taken(self) -> None:
        await self.publish(1.0, None)
        found = self.table.read(store.make_audit_key(1))
        assert isinstance(found, protocols.Found)
        await self.table.delete(found.row.key, expected=found.row.version)
        outcome = await self.store.read_head()
        self.assertIsInstance(outcome, revisions.Damaged)
