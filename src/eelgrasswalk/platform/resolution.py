"""What a write did whose answer was lost."""

import collections.abc

from . import protocols


def resolve(
    operations: collections.abc.Sequence[protocols.Operation],
    conflict: protocols.Conflict,
) -> protocols.WriteOutcome:
    """Tell the effect of a write from the conflict of its repetition.

    If the write took effect, every row that it put has changed. A row that
    still holds the written value, and with it the writer's token, proves the
    effect of the whole transaction.

    Args:
        operations: The write.
        conflict: What its repetition met.
    """
    puts = [each for each in operations if isinstance(each, protocols.Put)]
    if not puts and not conflict.rows:
        return protocols.Done(('',) * len(operations))
    if any(each.key not in conflict.keys for each in puts):
        return conflict
    versions = tuple(_find_own_version(each, conflict) for each in operations)
    if any(versions):
        return protocols.Done(versions)
    return protocols.Unknown('overwritten or never written', conflict)


def _find_own_version(
    operation: protocols.Operation, conflict: protocols.Conflict
) -> str:
    row = conflict.find(operation.key)
    if row is None or not isinstance(operation, protocols.Put):
        return ''
    return row.version if row.value == operation.value else ''
