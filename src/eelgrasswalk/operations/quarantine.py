"""What operators do with requests that are quarantined."""

import dataclasses

from .. import ports
from ..controllers import quarantine as keeper
from ..controllers import quarantine_messages as messages
from ..policy import quarantine

# Conflicts with nodes that write at the same time.
MAX_TRIES = 5


class StoreError(Exception):
    """The store did not do what was asked.

    Args:
        detail: Why.
        is_in_doubt: Whether it may have been done.
    """

    def __init__(self, detail: str, *, is_in_doubt: bool = False) -> None:
        super().__init__(detail)
        self.is_in_doubt = is_in_doubt


class UnknownDigestError(Exception):
    """No service has such a request in quarantine."""


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """A quarantined request of a service.

    Args:
        service: The service whose targets it crashes.
        record: Its record.
    """

    service: str
    record: quarantine.Record


async def list_quarantined(store: ports.RowStore) -> list[Quarantined]:
    """Return the requests in quarantine, by service and beginning.

    Raises:
        StoreError: The store does not answer.
    """
    found = [
        Quarantined(row.key, record)
        for row in await _read_rows(store)
        for record in _decode(row)
        if not record.lifted
    ]
    return sorted(found, key=lambda each: (each.service, each.record.since_ms))


async def lift_quarantine(store: ports.RowStore, digest: str) -> Quarantined:
    """Let a request run again.

    Args:
        store: The store.
        digest: Digest of the request in hexadecimal digits, or the first of
            them.

    Returns:
        The record as it is written.

    Raises:
        StoreError: The store did not take it.
        UnknownDigestError: No or several requests have this digest.
    """
    for _ in range(MAX_TRIES):
        lifted, outcome = await _try_to_lift(store, digest)
        if isinstance(outcome, ports.Written):
            return lifted
        if not isinstance(outcome, ports.Conflict):
            raise StoreError(
                outcome.detail, is_in_doubt=isinstance(outcome, ports.Unknown)
            )
    raise StoreError('the row was changed by others all the time')


async def _try_to_lift(
    store: ports.RowStore, digest: str
) -> tuple[
    Quarantined,
    ports.Written | ports.Conflict | ports.Unavailable | ports.Unknown,
]:
    matches = [
        (row, record)
        for row in await _read_rows(store)
        for record in _decode(row)
        if not record.lifted and record.digest.hex().startswith(digest.lower())
    ]
    if len(matches) != 1:
        raise UnknownDigestError(
            f'{len(matches)} quarantined requests have the digest {digest!r}'
        )
    row, record = matches[0]
    lifted = record.build_lifted()
    records = [
        lifted if each.digest == record.digest else each
        for each in _decode(row)
    ]
    outcome = await store.put(
        keeper.TABLE,
        row.key,
        messages.encode_records(records),
        expected=row.version,
    )
    return Quarantined(row.key, lifted), outcome


async def _read_rows(store: ports.RowStore) -> tuple[ports.Row, ...]:
    rows = await store.read(keeper.TABLE)
    if isinstance(rows, ports.Unavailable):
        raise StoreError(rows.detail)
    return rows.rows


def _decode(row: ports.Row) -> list[quarantine.Record]:
    if row.value is None:
        return []
    try:
        return messages.decode_records(row.value)
    except ValueError as error:
        raise StoreError(
            f'row {row.key!r} of table {keeper.TABLE!r} cannot be read '
            f'({error}); look for another writer'
        ) from error
