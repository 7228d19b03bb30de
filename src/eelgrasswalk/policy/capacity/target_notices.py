"""What targets have said of themselves, as known to the nodes of callers.

It handles the restart of a node beside a target in trouble. That node holds
the target's limit for the whole fleet and has forgotten it, while slow answers
that name it again are still to come. Callers' nodes send what they know along
with their calls.
"""

import collections
import typing

# Nodes that notices are kept for; the least recently updated go first.
MAX_NODES = 1024

NoticeT = typing.TypeVar('NoticeT')


class TargetNotices(typing.Generic[NoticeT]):
    """The last notice of each target that has one in force, by its node.

    They outlast the entries of nodes in the roster, as a node that restarts
    leaves it.
    """

    def __init__(self) -> None:
        self._notices: collections.OrderedDict[str, NoticeT] = (
            collections.OrderedDict()
        )

    def record(self, node_id: str, notice: NoticeT | None) -> None:
        """Record what a node reports of its target; None for nothing."""
        if notice is None:
            self._notices.pop(node_id, None)
            return
        self._notices[node_id] = notice
        self._notices.move_to_end(node_id)
        if len(self._notices) > MAX_NODES:
            self._notices.popitem(last=False)

    def find(self, node_id: str) -> NoticeT | None:
        """Return what is known of a node's target, or None."""
        return self._notices.get(node_id)
