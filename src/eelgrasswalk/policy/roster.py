"""Which nodes there are and what each says of the target beside it."""

import collections.abc
import dataclasses
import enum

# Nodes that must be reached for each one that is taken for gone.
MIN_REACHED_PER_LOST = 2


class TargetState(enum.Enum):
    """What a node says of its target.

    ABSENT is a node whose target is not known or has gone.
    """

    ABSENT = 'absent'
    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """What one node says of itself.

    Args:
        node_id: Its id.
        incarnation: Grows with every start of the node.
        revision: Grows with every change that the node tells.
        service: Service of its target.
        data_centre: Its data centre.
        host: Address of its links.
        port: Port of its links.
        state: What it says of its target.
        target_id: Lifetime of its target; empty without one.
        slots: Calls that the target runs at a time.
        stopping: Whether the node itself is about to stop.
        secluded: Whether others could not reach it a while ago.
    """

    node_id: str
    incarnation: int
    revision: int
    service: str
    data_centre: str
    host: str
    port: int
    state: TargetState
    target_id: str = ''
    slots: int = 0
    stopping: bool = False
    secluded: bool = False

    @property
    def is_usable(self) -> bool:
        """Whether calls may be sent to the target."""
        return self.state is TargetState.READY and not self.stopping

    def is_newer(self, other: 'Entry') -> bool:
        """Return whether this was said after another entry of the node."""
        mine = (self.incarnation, self.revision)
        return mine > (other.incarnation, other.revision)


def choose_lost(
    failing: collections.abc.Sequence[str], *, reached: int
) -> tuple[str, ...]:
    """Return the nodes that are to be taken for gone.

    A node that cannot reach most others is itself the one that is cut off,
    and must not take all of them for gone.

    Args:
        failing: Nodes that could not be reached for long.
        reached: Nodes that are reached.
    """
    if reached < MIN_REACHED_PER_LOST * len(failing):
        return ()
    return tuple(failing)


class Roster:
    """The newest entry of every node, whichever way it came."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def list_entries(self) -> list[Entry]:
        """Return all entries."""
        return list(self._entries.values())

    def find(self, node_id: str) -> Entry | None:
        """Return a node's entry, or None."""
        return self._entries.get(node_id)

    def update(self, entry: Entry) -> bool:
        """Take an entry, and return whether it was news."""
        known = self._entries.get(entry.node_id)
        if known is not None and not entry.is_newer(known):
            return False
        self._entries[entry.node_id] = entry
        return True

    def remove(self, node_id: str) -> bool:
        """Forget a node, and return whether it was known."""
        return self._entries.pop(node_id, None) is not None

    def keep_only(self, node_ids: set[str]) -> bool:
        """Forget all other nodes, and return whether there were any."""
        gone = self._entries.keys() - node_ids
        for node_id in gone:
            del self._entries[node_id]
        return bool(gone)
