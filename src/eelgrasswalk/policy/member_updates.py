"""Queue of updates that are still to be disseminated."""

import dataclasses
import heapq
import math

from . import member
from . import member_codec

MIN_TRANSMISSIONS = 8
BACKLOG_TRANSMISSIONS = 3
BACKLOG_LENGTH = 64
MAX_CANDIDATES = 64
_TRANSMISSIONS_PER_MAGNITUDE = 3


@dataclasses.dataclass(slots=True)
class _Entry:
    update: member.Update
    size: int
    transmissions: int = 0


class UpdateQueue:
    """Holds the latest update about each member until it was sent enough.

    Those sent least go first. In a long queue each update is sent fewer
    times; synchronisation delivers what that leaves out.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def backlogged(self) -> bool:
        """Whether there is so much news that each update is sent less."""
        return len(self._entries) > BACKLOG_LENGTH

    def add(self, update: member.Update) -> None:
        """Queue an update; it replaces an earlier one about the member."""
        size = member_codec.measure_update(update)
        self._entries[update.node_id] = _Entry(update, size)

    def take(self, max_bytes: int, members: int) -> tuple[member.Update, ...]:
        """Take updates for one message and count them as sent once.

        Args:
            max_bytes: Most bytes that they may have together.
            members: Size of the mesh.

        Returns:
            The updates.
        """
        if not self._entries:
            return ()
        limit = self._limit_transmissions(members)
        chosen = []
        left = max_bytes
        for entry in self._list_least_sent():
            if entry.size > left:
                continue
            left -= entry.size
            chosen.append(entry.update)
            self._count_transmission(entry, limit)
        return tuple(chosen)

    def _list_least_sent(self) -> list[_Entry]:
        return heapq.nsmallest(
            MAX_CANDIDATES,
            self._entries.values(),
            key=lambda entry: entry.transmissions,
        )

    def _count_transmission(self, entry: _Entry, limit: int) -> None:
        entry.transmissions += 1
        if entry.transmissions >= limit:
            del self._entries[entry.update.node_id]

    def _limit_transmissions(self, members: int) -> int:
        if self.backlogged:
            return BACKLOG_TRANSMISSIONS
        return count_transmissions(members)


def count_transmissions(members: int) -> int:
    """Return how often one node sends an update in a mesh of a size."""
    magnitude = math.ceil(math.log10(members + 1))
    return max(MIN_TRANSMISSIONS, _TRANSMISSIONS_PER_MAGNITUDE * magnitude)
