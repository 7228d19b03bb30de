"""Collects the actions that one call of the protocol results in."""

from . import member
from . import member_codec
from . import member_messages
from . import member_timing
from . import member_view


class Outbox:
    """Wraps messages and adds the news that rides on them.

    Args:
        view: What this node believes.
        timing: Intervals and limits.
        config_version: Configuration version in force here.
    """

    def __init__(
        self,
        view: member_view.View,
        timing: member_timing.Timing,
        config_version: int,
    ) -> None:
        self.config_version = config_version
        self._view = view
        self._timing = timing
        self._actions: list[member_messages.Action] = []

    def send(
        self,
        address: member.Address,
        body: member_messages.Body,
        *,
        first: tuple[member.Update, ...] = (),
        piggyback_bytes: int | None = None,
    ) -> int:
        """Send one message with queued updates.

        Args:
            address: The receiver.
            body: The message.
            first: Updates that it must carry.
            piggyback_bytes: Most bytes of queued updates besides.

        Returns:
            The bytes of all its updates.
        """
        if piggyback_bytes is None:
            piggyback_bytes = self._timing.piggyback_bytes
        members = len(self._view.table.list_present())
        news = self._view.queue.take(piggyback_bytes, members)
        updates = first + news
        self.send_exactly(address, body, updates)
        return sum(member_codec.measure_update(item) for item in updates)

    def send_exactly(
        self,
        address: member.Address,
        body: member_messages.Body,
        updates: tuple[member.Update, ...],
    ) -> None:
        """Send one message with the given updates and no others."""
        envelope = member_messages.Envelope(
            self._view.local_member.node_id, self.config_version, body, updates
        )
        self._actions.append(member_messages.Send(address, envelope))

    def add(self, action: member_messages.Action) -> None:
        """Add any other action."""
        self._actions.append(action)

    def pop(self) -> list[member_messages.Action]:
        """Return and clear the actions, changes of members among them."""
        actions = self._actions
        self._actions = []
        actions.extend(self._view.pop_changes())
        return actions
