"""The document of a run of faults, and the operators who change it."""

import asyncio
import dataclasses
import hashlib

import httpx

from ..controllers import audit
from ..document import model
from ..operations import revisions
from ..operations import store
from ..platform import http
from . import chaos_records as records

SERVICES = ('front', 'orders', 'stock')
KEYS = 40
STEADY_KEY = 'chaos-steady-key'
GREEDY_KEY = 'chaos-greedy-key'
GREEDY_RATE = 20.0
GREEDY_BURST = 20
STEADY_RATE = 5000.0
RETRY_ALLOWANCE = 2
DEADLINE_S = 4.0
SLOTS = 40
PUBLISH_TRIES = 4
KEYED_ACCOUNT = 'keyed'


def list_keys() -> list[str]:
    """Return the keys that can be withdrawn one by one."""
    return [f'chaos-keyed-key-{number:03d}' for number in range(KEYS)]


def build_document() -> model.Document:
    """Return the first version."""
    accounts = (
        _build_account('steady', STEADY_RATE, 5000, [STEADY_KEY]),
        _build_account('greedy', GREEDY_RATE, GREEDY_BURST, [GREEDY_KEY]),
        _build_account(KEYED_ACCOUNT, STEADY_RATE, 5000, list_keys()),
    )
    services = tuple(
        model.Service(name, slots=SLOTS, connections=4 * SLOTS)
        for name in SERVICES
    )
    routes = tuple(
        model.Route(
            name,
            name,
            f'/{name}',
            idempotent=True,
            deadline_s=DEADLINE_S,
            retry_allowance=RETRY_ALLOWANCE,
        )
        for name in SERVICES
    )
    booking = model.Route(
        'booking',
        'orders',
        '/bookings',
        methods=('POST',),
        importance=model.Importance.CRITICAL,
        deadline_s=DEADLINE_S,
        once=model.OnceMode.REFUSE,
        retry_allowance=RETRY_ALLOWANCE,
    )
    return model.Document(1, 'chaos', accounts, services, (*routes, booking))


def withdraw(document: model.Document, key: str) -> model.Document:
    """Return the document without a key."""
    digest = _compute_digest(key)
    accounts = tuple(
        dataclasses.replace(
            account,
            keys=tuple(each for each in account.keys if each.digest != digest),
        )
        for account in document.accounts
    )
    return dataclasses.replace(document, accounts=accounts)


def change_rate(
    document: model.Document, name: str, change: float
) -> model.Document:
    """Return the document with another rate of an account."""
    accounts = tuple(
        dataclasses.replace(account, rate=account.rate + change)
        if account.name == name
        else account
        for account in document.accounts
    )
    return dataclasses.replace(document, accounts=accounts)


class Operators:
    """Operators who publish on the platform.

    Args:
        platform: URL of the platform, without faults.
    """

    def __init__(self, platform: str) -> None:
        self._platform = platform

    async def publish_first(self) -> None:
        """Publish the first version.

        Raises:
            RuntimeError: It was not accepted.
        """
        outcome = await self._publish(build_document(), None, 'ana')
        if not isinstance(outcome, revisions.Published):
            raise RuntimeError(f'not published: {outcome}')

    async def withdraw(self, key: str) -> bool:
        """Withdraw a key; tell whether that is known to be accepted."""
        for _ in range(PUBLISH_TRIES):
            head = await self._read_head()
            if head is None:
                return False
            changed = withdraw(head.document, key)
            outcome = await self._publish(changed, head, 'ana')
            if isinstance(outcome, revisions.Published):
                return True
            if not isinstance(outcome, revisions.Conflict):
                return False
        return False

    async def race(self) -> records.Race | None:
        """Let two operators change the same version at once."""
        head = await self._read_head()
        if head is None:
            return None
        outcomes = await asyncio.gather(
            self._publish(
                change_rate(head.document, 'steady', 1.0), head, 'ana'
            ),
            self._publish(
                change_rate(head.document, KEYED_ACCOUNT, 1.0), head, 'bia'
            ),
        )
        return records.Race(
            tuple(type(each).__name__ for each in outcomes),
            tuple(
                each.entry.version
                for each in outcomes
                if isinstance(each, revisions.Published)
            ),
        )

    async def list_entries(self) -> tuple[audit.Entry, ...]:
        """Return the audit log.

        Raises:
            RuntimeError: The platform did not answer.
        """
        async with httpx.AsyncClient(base_url=self._platform) as client:
            platform = http.HttpPlatform(client)
            opened = store.StoredRevisions(platform, platform)
            outcome = await opened.list_entries()
        if not isinstance(outcome, revisions.Entries):
            raise RuntimeError(f'no audit log: {outcome}')
        return outcome.entries

    async def _read_head(self) -> revisions.Revision | None:
        async with httpx.AsyncClient(base_url=self._platform) as client:
            platform = http.HttpPlatform(client)
            opened = store.StoredRevisions(platform, platform)
            outcome = await opened.read_head()
        if isinstance(outcome, revisions.Found):
            return outcome.revision
        return None

    async def _publish(
        self,
        document: model.Document,
        base: revisions.Revision | None,
        name: str,
    ) -> revisions.PublishOutcome:
        author = audit.Author(name, '127.0.0.1', 'bench')
        async with httpx.AsyncClient(base_url=self._platform) as client:
            platform = http.HttpPlatform(client)
            opened = store.StoredRevisions(platform, platform)
            return await opened.publish(document, base=base, author=author)


def _build_account(
    name: str, rate: float, burst: int, keys: list[str]
) -> model.ClientAccount:
    return model.ClientAccount(
        name,
        rate,
        burst,
        tuple(model.Key(key, _compute_digest(key)) for key in keys),
    )


def _compute_digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
