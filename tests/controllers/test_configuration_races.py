"""Every race of two operators over a store that loses answers."""

import functools
import unittest
import unittest.mock

from eelgrasswalk.controllers import audit
from eelgrasswalk.document import difference
from eelgrasswalk.document import loading
from eelgrasswalk.document import model
from eelgrasswalk.operations import revisions
from eelgrasswalk.operations import store
from eelgrasswalk.platform import memory
from eelgrasswalk.platform import protocols
from tests import explorer

OPERATORS = ('ana', 'luz')


def make_document(rate: float) -> model.Document:
    account = model.ClientAccount('erie', rate=rate, burst=20)
    service = model.Service('catalogue', slots=1, connections=1)
    route = model.Route('browse', 'catalogue', '/')
    return model.Document(1, 'small', (account,), (service,), (route,))


DOCUMENTS = {'ana': make_document(1.0), 'luz': make_document(2.0)}


async def publish(
    opened: store.StoredRevisions, operator: str
) -> revisions.PublishOutcome:
    return await opened.publish(
        DOCUMENTS[operator],
        base=None,
        author=audit.Author(operator, '127.0.0.1', 'test'),
    )


class RacesTest(unittest.TestCase):
    def setUp(self) -> None:
        for module, name in (
            (loading, 'dump_document'),
            (loading, 'load_document'),
            (difference, 'compare_documents'),
        ):
            cached = functools.cache(getattr(module, name))
            patch = unittest.mock.patch.object(module, name, cached)
            patch.start()
            self.addCleanup(patch.stop)

    def test_two_lost_messages(self) -> None:
        self.explore(faults=2, outages=False, paths=5000)

    def test_an_outage(self) -> None:
        self.explore(faults=1, outages=True, paths=500)

    def explore(self, *, faults: int, outages: bool, paths: int) -> None:
        seen: set[tuple[str, ...]] = set()

        def run(choose: explorer.Choose) -> None:
            table = explorer.Store(choose, faults=faults, outages=outages)
            objects = memory.MemoryObjects()
            opened = store.StoredRevisions(table, objects)
            tasks = [publish(opened, operator) for operator in OPERATORS]
            outcomes = explorer.run_all(choose, table, tasks)
            rows = table.table.scan(store.AUDIT_PREFIX).rows
            entries = [audit.decode_entry(row.value) for row in rows]
            self.check(outcomes, entries)
            self.check_head(table.table, entries)
            seen.add(tuple(type(each).__name__ for each in outcomes))

        self.assertGreater(explorer.explore(run), paths)
        self.assertIn(('Published', 'Conflict'), seen)
        self.assertIn(('Conflict', 'Published'), seen)
        self.assertNotIn(('Published', 'Published'), seen)

    def check(
        self,
        outcomes: list[revisions.PublishOutcome],
        entries: list[audit.Entry],
    ) -> None:
        self.assertLessEqual(len(entries), 1)
        winners = [entry.author.operator for entry in entries]
        for operator, outcome in zip(OPERATORS, outcomes, strict=True):
            match outcome:
                case revisions.Published(entry):
                    self.assertEqual([entry], entries)
                case revisions.Conflict(head):
                    self.assertNotIn(operator, winners)
                    if head is not None:
                        self.assertEqual(winners, [name_author(head)])
                case revisions.Unavailable():
                    self.assertNotIn(operator, winners)

    def check_head(
        self, table: memory.MemoryTable, entries: list[audit.Entry]
    ) -> None:
        found = table.read(store.HEAD_KEY)
        if not entries:
            self.assertEqual(protocols.Missing(), found)
            return
        head = store.decode_head(found.row.value)
        self.assertEqual(entries[-1].version, head.version)
        self.assertEqual(entries[-1].document_digest, head.digest)


def name_author(revision: revisions.Revision) -> str:
    return revision.entry.author.operator
