"""Access to the platform's store for commands."""

import collections.abc
import contextlib

from .. import address
from ..platform import rows
from . import terminal


@contextlib.asynccontextmanager
async def open_store(
    session: terminal.Session,
) -> collections.abc.AsyncIterator[rows.PlatformRows]:
    """Open the store that --platform names.

    Raises:
        Failure: The address cannot be used.
    """
    try:
        place = address.parse_address(session.platform)
    except ValueError as error:
        raise terminal.Failure(
            terminal.ExitCode.USAGE,
            f"--platform {error}. Give the address of the platform's store.",
        ) from error
    store = rows.PlatformRows(place.host, place.port)
    try:
        yield store
    finally:
        await store.close()
