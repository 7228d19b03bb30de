"""The secret that the nodes of a mesh share, kept in the store."""

import asyncio
import secrets

from .. import ports

TABLE = 'mesh'
KEY = 'secret'
SECRET_BYTES = 32
PAUSE_S = 0.2


async def fetch_secret(store: ports.RowStore) -> bytes:
    """Return the mesh's secret; the first node to ask creates it."""
    while True:
        found = await _try_fetch(store)
        if found is not None:
            return found
        await asyncio.sleep(PAUSE_S)


async def _try_fetch(store: ports.RowStore) -> bytes | None:
    rows = await store.read(TABLE)
    if isinstance(rows, ports.Unavailable):
        return None
    for row in rows.rows:
        if row.key == KEY and row.value is not None:
            return row.value
    value = secrets.token_bytes(SECRET_BYTES)
    outcome = await store.put(TABLE, KEY, value, expected=0)
    if isinstance(outcome, ports.Written):
        return value
    if isinstance(outcome, ports.Conflict) and outcome.row is not None:
        return outcome.row.value
    return None
