"""The secret that the nodes of a mesh share, kept in the store."""

import asyncio
import random
import secrets
import typing

from .. import events
from .. import ports

TABLE = 'mesh'
KEY = 'secret'
SECRET_BYTES = 32
PAUSE_S = 0.2
# A node that joins an existing mesh creates the secret only after this time:
# a store restored from a copy may lack it until another node writes it again.
CREATE_AFTER_S = 6.0
# Rate of all nodes together at which they check the store after a restore.
CHECKS_PER_S = 400.0
MIN_CHECK_SPREAD_S = 0.5


class SecretKeeper:
    """Fetches the secret, and writes it again if the store loses it.

    Args:
        store: The store.
        count_nodes: Returns the number of nodes that check the store.
        source: Random number generator, to spread the checks.
    """

    def __init__(
        self,
        store: ports.RowStore,
        *,
        count_nodes: typing.Callable[[], int],
        source: random.Random,
    ) -> None:
        self._store = store
        self._count_nodes = count_nodes
        self._random = source
        self._secret: bytes | None = None
        self._checking: asyncio.Task[None] | None = None

    async def fetch(self, *, bootstrap: bool) -> bytes:
        """Return the mesh's secret; create it if there is none.

        Args:
            bootstrap: Whether the mesh starts for the first time.
        """
        loop = asyncio.get_running_loop()
        create_at = loop.time() + (0.0 if bootstrap else CREATE_AFTER_S)
        while True:
            may_create = loop.time() >= create_at
            self._secret = await self._try_fetch(may_create=may_create)
            if self._secret is not None:
                return self._secret
            await asyncio.sleep(PAUSE_S)

    def check_after_restore(self) -> None:
        """Look soon whether a restored store still has the secret."""
        if self._checking is None or self._checking.done():
            self._checking = asyncio.get_running_loop().create_task(
                self._check()
            )

    async def stop(self) -> None:
        """Stop checking."""
        if self._checking is not None:
            self._checking.cancel()

    async def _check(self) -> None:
        spread_s = max(MIN_CHECK_SPREAD_S, self._count_nodes() / CHECKS_PER_S)
        await asyncio.sleep(spread_s * self._random.random())
        while self._secret is not None:
            rows = await self._store.read(TABLE)
            if isinstance(rows, ports.Rows):
                found = _find_secret(rows)
                if found is not None:
                    if found != self._secret:
                        events.log(events.SECRET_DIFFERS)
                    return
                outcome = await self._store.put(
                    TABLE, KEY, self._secret, expected=0
                )
                if isinstance(outcome, ports.Written):
                    events.log(events.SECRET_WRITTEN_AGAIN)
                    return
            await asyncio.sleep(PAUSE_S)

    async def _try_fetch(self, *, may_create: bool) -> bytes | None:
        rows = await self._store.read(TABLE)
        if isinstance(rows, ports.Unavailable):
            return None
        found = _find_secret(rows)
        if found is not None or not may_create:
            return found
        value = secrets.token_bytes(SECRET_BYTES)
        outcome = await self._store.put(TABLE, KEY, value, expected=0)
        if isinstance(outcome, ports.Written):
            return value
        if isinstance(outcome, ports.Conflict) and outcome.row is not None:
            return outcome.row.value
        return None


def _find_secret(rows: ports.Rows) -> bytes | None:
    for row in rows.rows:
        if row.key == KEY and row.value is not None:
            return row.value
    return None
