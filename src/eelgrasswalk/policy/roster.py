"""Roster of all nodes, each with the state of its local target."""

import collections
import collections.abc
import dataclasses
import enum

# Minimum number of reachable nodes for each node that is considered lost.
MIN_REACHED_PER_LOST = 2
# Removed entries that are remembered; the oldest are forgotten.
MAX_REMOVED = 1024


class TargetState(enum.Enum):
    """State of a node's target, as reported by the node.

    ABSENT means that the node's target is not known yet or has gone.
    """

    ABSENT = 'absent'
    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A node's own description of itself and its target.

    Args:
        node_id: Id of the node.
        incarnation: Number that grows with every start of the node.
        revision: Number that grows with every change that the node reports.
        service: Service of the target.
        data_centre: Data centre of the node.
        host: Address of the node's listener for links.
        port: Port of the node's listener for links.
        state: State of the target.
        target_id: Id of the target's current run; empty without a target.
        slots: Maximum number of calls that the target runs concurrently.
        stopping: Whether the node is about to stop.
        secluded: Whether other nodes recently could not reach the node.
        born_ms: Start of the target's current run in Unix milliseconds; 0 if
            unknown.
        cold_s: Seconds for which the target remains cold, counted from when
            the entry is read; 0 if it is not cold.
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
    born_ms: int = 0
    cold_s: float = 0.0

    @property
    def run_id(self) -> str:
        """Id of the target's current run."""
        return f'{self.target_id}@{self.born_ms}'

    @property
    def is_usable(self) -> bool:
        """Whether calls may be sent to the target."""
        return self.state is TargetState.READY and not self.stopping

    def is_newer(self, other: 'Entry') -> bool:
        """Return whether this entry is newer than another of the node."""
        version = (self.incarnation, self.revision)
        return version > (other.incarnation, other.revision)


def choose_lost(
    failing: collections.abc.Sequence[str], *, reached: int
) -> tuple[str, ...]:
    """Return the nodes to consider lost.

    A node that cannot reach most other nodes is probably partitioned itself,
    and must not consider all the others lost.

    Args:
        failing: Ids of the nodes that have been unreachable for a long time.
        reached: Number of reachable nodes.

    Returns:
        All failing nodes, or none if too few other nodes are reachable.
    """
    if reached < MIN_REACHED_PER_LOST * len(failing):
        return ()
    return tuple(failing)


class Roster:
    """Newest known entry of every node, whatever its source.

    An entry that was removed does not come back; a node that is alive adds a
    newer one.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._removed: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._entries)

    def list_entries(self) -> list[Entry]:
        """Return all entries."""
        return list(self._entries.values())

    def find(self, node_id: str) -> Entry | None:
        """Return a node's entry, or None."""
        return self._entries.get(node_id)

    def update(self, entry: Entry) -> bool:
        """Store an entry unless a newer one is known.

        A run of a target that has begun to drain stays so, even if its node
        has restarted and does not know it.

        Returns:
            Whether the entry was stored.
        """
        removed = self._removed.get(entry.node_id)
        if removed is not None and not entry.is_newer(removed):
            return False
        known = self._entries.get(entry.node_id)
        if known is not None and not entry.is_newer(known):
            return False
        if (
            known is not None
            and known.state is TargetState.DRAINING
            and entry.state is TargetState.READY
            and entry.run_id == known.run_id
        ):
            entry = dataclasses.replace(entry, state=TargetState.DRAINING)
        self._entries[entry.node_id] = entry
        return True

    def remove(self, node_id: str) -> bool:
        """Remove a node's entry.

        Returns:
            Whether there was one.
        """
        entry = self._entries.pop(node_id, None)
        if entry is None:
            return False
        self._removed[node_id] = entry
        self._removed.move_to_end(node_id)
        if len(self._removed) > MAX_REMOVED:
            self._removed.popitem(last=False)
        return True

    def keep_only(self, node_ids: set[str]) -> bool:
        """Remove the entries of all other nodes.

        Args:
            node_ids: Ids of the nodes to keep.

        Returns:
            Whether there were any to remove.
        """
        removed = self._entries.keys() - node_ids
        for node_id in removed:
            self.remove(node_id)
        return bool(removed)
