"""Fakes of the accepted versions and of the fleet."""

import collections.abc
import contextlib
import typing

import httpx

from eelgrasswalk.controllers import audit
from eelgrasswalk.document import loading
from eelgrasswalk.document import model
from eelgrasswalk.operations import fleet
from eelgrasswalk.operations import revisions

TIME = '2026-01-01T00:00:00+00:00'
AUTHOR = audit.Author('benito', '10.0.0.9', 'test')


class MemoryRevisions:
    """Accepted versions in memory, with faults to switch on."""

    def __init__(self) -> None:
        self.accepted: list[revisions.Revision] = []
        self.unavailable = False
        self.answer_lost = False
        self.racing: model.Document | None = None

    async def read_head(self) -> revisions.ReadOutcome:
        return await self.read_version(len(self.accepted))

    async def read_version(self, version: int) -> revisions.ReadOutcome:
        if self.unavailable:
            return revisions.Unavailable('connection refused')
        if not 1 <= version <= len(self.accepted):
            return revisions.Missing()
        return revisions.Found(self.accepted[version - 1])

    async def list_entries(self) -> revisions.EntriesOutcome:
        if self.unavailable:
            return revisions.Unavailable('connection refused')
        return revisions.Entries(tuple(r.entry for r in self.accepted))

    async def publish(
        self,
        document: model.Document,
        *,
        base: revisions.Revision | None,
        author: audit.Author,
        note: str = '',
    ) -> revisions.PublishOutcome:
        if self.unavailable:
            return revisions.Unavailable('connection refused')
        if self.racing is not None:
            self.accept(self.racing)
            self.racing = None
        head = self.accepted[-1] if self.accepted else None
        if head != base:
            return revisions.Conflict(head)
        entry = self.accept(document, author, note)
        if self.answer_lost:
            return revisions.Unknown('the connection was lost')
        return revisions.Published(entry)

    def accept(
        self,
        document: model.Document,
        author: audit.Author = AUTHOR,
        note: str = '',
    ) -> audit.Entry:
        base = self.accepted[-1] if self.accepted else None
        entry = revisions.make_entry(
            document,
            loading.dump_document(document),
            base=base,
            author=author,
            time=TIME,
            note=note,
        )
        self.accepted.append(
            revisions.Revision(entry.version, document, entry)
        )
        return entry


class MemoryFleet:
    """Nodes behind an HTTP transport in memory."""

    def __init__(self) -> None:
        self.versions = {'10.0.0.1:1': 1, '10.0.0.2:1': 1}
        self.silent: set[str] = set()
        self.draining: list[str] = []
        self.dead: list[dict[str, typing.Any]] = []

    def answer(self, request: httpx.Request) -> httpx.Response:
        address = f'{request.url.host}:{request.url.port}'
        if address in self.silent:
            raise httpx.ConnectTimeout('timed out', request=request)
        if request.method == 'POST':
            self.draining.append(address)
            return httpx.Response(202, json={})
        members = [self.describe(other) for other in self.versions]
        for member in members:
            del member['config_version']
        members += self.dead
        own = self.describe(address)
        del own['admin']
        own['members'] = members
        own['calls'] = {'answered': 12}
        own['admission'] = {'in_flight': 3, 'queued': 1, 'limit': 9.5}
        return httpx.Response(200, json=own)

    def describe(self, address: str) -> dict[str, typing.Any]:
        return {
            'node_id': f'node-{address}',
            'host': address.split(':')[0],
            'admin': address,
            'data_centre': 'erie',
            'service': 'catalogue',
            'state': 'ready',
            'config_version': self.versions[address],
        }


class MemoryConnections:
    """Connections to both fakes."""

    def __init__(self) -> None:
        self.revisions = MemoryRevisions()
        self.fleet = MemoryFleet()

    @contextlib.asynccontextmanager
    async def open_revisions(
        self, platform: str
    ) -> collections.abc.AsyncIterator[revisions.Revisions]:
        yield self.revisions

    @contextlib.asynccontextmanager
    async def open_fleet(
        self,
    ) -> collections.abc.AsyncIterator[fleet.FleetClient]:
        transport = httpx.MockTransport(self.fleet.answer)
        async with httpx.AsyncClient(transport=transport) as client:
            yield fleet.FleetClient(client)
