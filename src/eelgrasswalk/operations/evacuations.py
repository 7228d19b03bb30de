"""What operators see of evacuated data centres."""

from .. import ports


async def list_evacuated(
    store: ports.RowStore, source: ports.RuleSource
) -> tuple[str, ...] | ports.Unavailable:
    """Return the evacuated data centres in alphabetical order.

    Args:
        store: The store.
        source: Decodes the operator's rows.
    """
    rows = await store.read(source.table)
    if isinstance(rows, ports.Unavailable):
        return rows
    return tuple(sorted(source.decode_evacuations(rows.rows).evacuated))
