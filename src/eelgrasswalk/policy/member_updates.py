"""Queue of updates to disseminate by gossip."""

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

    Updates sent the fewest times go first. While the queue is long, each
    update is sent fewer times; synchronisation delivers updates that do not
    reach every member that way.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def backlogged(self) -> bool:
        """Whether the queue is so long that updates are sent fewer times."""
        return len(self._entries) > BACKLOG_LENGTH

    def add(self, update: member.Update) -> None:
        """Queue an update, replacing an earlier one about the same member."""
        size = member_codec.measure_update(update)
        self._entries[update.node_id] = _Entry(update, size)

    def take(self, max_bytes: int, members: int) -> tuple[member.Update, ...]:
        """Select updates for one message and count one transmission each.

        Args:
            max_bytes: Maximum total size of the encoded updates.
            members: Number of present members.

        Returns:
            The selected updates.
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
    """Return how many times a node sends each update.

    Args:
        members: Number of present members.
    """
    magnitude = math.ceil(math.log10(members + 1))
    return max(MIN_TRANSMISSIONS, _TRANSMISSIONS_PER_MAGNITUDE * magnitude)
