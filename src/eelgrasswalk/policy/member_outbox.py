"""Collects the actions that result from one call of the protocol."""

from . import member
from . import member_codec
from . import member_messages
from . import member_timing
from . import member_view


class Outbox:
    """Wraps messages in envelopes and adds queued updates to them.

    Args:
        view: The local view of all members.
        timing: Intervals and limits of the protocol.
        config_version: Configuration version in force at the local node.
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
            address: Address of the receiver.
            body: The message.
            first: Updates that the message always carries.
            piggyback_bytes: Maximum size of the queued updates in addition
                to `first`; the default is that of the timing.

        Returns:
            Encoded size of all its updates in bytes.
        """
        if piggyback_bytes is None:
            piggyback_bytes = self._timing.piggyback_bytes
        members = len(self._view.table.list_present())
        queued = self._view.queue.take(piggyback_bytes, members)
        updates = first + queued
        self.send_exactly(address, body, updates)
        return sum(member_codec.measure_update(item) for item in updates)

    def send_exactly(
        self,
        address: member.Address,
        body: member_messages.Body,
        updates: tuple[member.Update, ...],
    ) -> None:
        """Send one message with the given updates and no others.

        Args:
            address: Address of the receiver.
            body: The message.
            updates: All updates that the message carries.
        """
        envelope = member_messages.Envelope(
            self._view.local_member.node_id, self.config_version, body, updates
        )
        self._actions.append(member_messages.Send(address, envelope))

    def add(self, action: member_messages.Action) -> None:
        """Add an action."""
        self._actions.append(action)

    def pop(self) -> list[member_messages.Action]:
        """Return all actions, changes of members included, and clear them."""
        actions = self._actions
        self._actions = []
        actions.extend(self._view.pop_changes())
        return actions
