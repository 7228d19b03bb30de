"""A node's local view of all members, itself included."""

import dataclasses
import typing

from . import member
from . import member_messages
from . import member_suspicion
from . import member_table
from . import member_timing
from . import member_updates

MAX_PRIORITY_PROBES = 32


class View:
    """Merges updates about members and queues new ones for gossip.

    Reports that the local node is suspect or dead are refuted.

    Args:
        local_member: Initial record of the local node; the attribute of
            this name holds the current one.
        timing: Intervals and limits of the protocol.
        now: Monotonic time in seconds.
    """

    def __init__(
        self,
        local_member: member.Member,
        timing: member_timing.Timing,
        now: float,
    ) -> None:
        self.table = member_table.MemberTable()
        self.queue = member_updates.UpdateQueue()
        self.suspicions = member_suspicion.Suspicions(timing)
        self.degradation = member_suspicion.LocalDegradation()
        self.changes: list[member_messages.MemberChanged] = []
        self.priority_probes: list[str] = []
        self.joined: list[str] = []
        self.local_member = local_member
        self._local_id = local_member.node_id
        self._others: list[member.Member] = []
        self._same_data_centre: list[member.Member] = []
        self._cached_from: list[member.Member] | None = None
        self.table.merge(local_member, now)

    def list_others(self) -> list[member.Member]:
        """Return the present members except the local node."""
        self._refresh_lists()
        return self._others

    def list_same_data_centre(self) -> list[member.Member]:
        """Return the other present members in the local data centre."""
        self._refresh_lists()
        return self._same_data_centre

    def update_local_member(
        self, now: float, **attributes: typing.Any
    ) -> None:
        """Change attributes of the local node's record and announce them.

        Args:
            now: Monotonic time in seconds.
            attributes: Fields of `Member` with their new values.
        """
        local_member = self.local_member
        incarnation = dataclasses.replace(
            local_member.incarnation,
            revision=local_member.incarnation.revision + 1,
        )
        self._replace_local_member(
            dataclasses.replace(
                local_member, incarnation=incarnation, **attributes
            ),
            now,
        )

    def apply_update(self, update: member.Update, now: float) -> bool:
        """Merge an update received by gossip and queue it if it is new.

        Args:
            update: The update.
            now: Monotonic time in seconds.

        Returns:
            Whether a record changed.
        """
        if update.node_id == self._local_id:
            return self._apply_update_about_local(update, now)
        changed = self._merge(update, now)
        confirmed = self._confirm_suspicion(update, now)
        if changed or (confirmed and not self.queue.backlogged):
            self.queue.add(update)
        return changed

    def apply_sync_record(self, record: member.Member, now: float) -> bool:
        """Merge a record received in a synchronisation.

        Such records are not queued for gossip. A record that declares a
        present member dead is not merged, since it may be a remnant of a
        network partition; the member is probed next instead.

        Args:
            record: The record.
            now: Monotonic time in seconds.

        Returns:
            Whether a record changed.
        """
        if record.node_id == self._local_id:
            return self._apply_update_about_local(record, now)
        known = self.table.find(record.node_id)
        dead = record.health is member.Health.DEAD
        if dead and known is not None and known.present:
            self._queue_priority_probe(known)
            return False
        changed = self._merge(record, now)
        self._confirm_suspicion(record, now)
        return changed

    def suspect(self, probed: member.Member, now: float) -> None:
        """Report a member as suspect because its probe has failed.

        Args:
            probed: The probed member.
            now: Monotonic time in seconds.
        """
        known = self.table.find(probed.node_id)
        if known is None or not known.present:
            return
        self.apply_update(
            member.HealthChange(
                known.node_id,
                known.incarnation,
                member.Health.SUSPECT,
                self._local_id,
            ),
            now,
        )

    def expire_suspicions(self, now: float) -> None:
        """Declare members dead whose suspicion has timed out."""
        for node_id in self.suspicions.pop_expired(now):
            known = self.table.find(node_id)
            if known is not None and known.health is member.Health.SUSPECT:
                self._declare_dead(known, now)

    def needs_refutation(self, update: member.Update) -> bool:
        """Return whether an update reports the local node suspect or dead.

        A node that has left the mesh does not refute such reports.
        """
        is_local = update.node_id == self._local_id
        is_present = self.local_member.state is not member.MemberState.LEFT
        return (
            is_local
            and is_present
            and update.health is not member.Health.ALIVE
        )

    def build_health_notice(self, node_id: str) -> tuple[member.Update, ...]:
        """Return the report that a member has to refute, if there is one.

        Messages to a suspect or dead member carry it, so that the member
        can refute it at once.

        Args:
            node_id: Node id of the member.

        Returns:
            One change of health, or nothing for a member that is alive or
            unknown.
        """
        known = self.table.find(node_id)
        if known is None or known.health is member.Health.ALIVE:
            return ()
        change = member.HealthChange(
            node_id, known.incarnation, known.health, self._local_id
        )
        return (change,)

    def pop_changes(self) -> list[member_messages.MemberChanged]:
        """Return the changes since the last call and clear them."""
        changes = self.changes
        self.changes = []
        return changes

    def _refresh_lists(self) -> None:
        present = self.table.list_present()
        if present is self._cached_from:
            return
        local_data_centre = self.local_member.data_centre
        self._cached_from = present
        self._others = [
            item for item in present if item.node_id != self._local_id
        ]
        self._same_data_centre = [
            item
            for item in self._others
            if item.data_centre == local_data_centre
        ]

    def _merge(self, update: member.Update, now: float) -> bool:
        known = self.table.find(update.node_id)
        if isinstance(update, member.Member):
            self._replace_predecessor(update, now)
        latest = self.table.merge(update, now)
        if latest is None:
            return False
        if latest.health is not member.Health.SUSPECT:
            self.suspicions.clear(latest.node_id)
        if latest.present and (known is None or not known.present):
            self.joined.append(latest.node_id)
        self.changes.append(member_messages.MemberChanged(latest))
        return True

    def _confirm_suspicion(self, update: member.Update, now: float) -> bool:
        if update.health is not member.Health.SUSPECT:
            return False
        known = self.table.find(update.node_id)
        if known is None or known.precedence != (
            update.incarnation,
            update.health,
        ):
            return False
        reporter = ''
        if isinstance(update, member.HealthChange):
            reporter = update.reporter
        return self.suspicions.suspect(
            update.node_id,
            update.incarnation,
            reporter,
            members=len(self.table.list_present()),
            now=now,
        )

    def _replace_predecessor(self, record: member.Member, now: float) -> None:
        """Declare the previous member at a new member's address dead."""
        other = self.table.find_by_address(record.address)
        if other is None or other.node_id in (record.node_id, self._local_id):
            return
        newer = other.incarnation.boot < record.incarnation.boot
        if newer and other.present and record.present:
            self._declare_dead(other, now)

    def _declare_dead(self, known: member.Member, now: float) -> None:
        self.apply_update(
            member.HealthChange(
                known.node_id,
                known.incarnation,
                member.Health.DEAD,
            ),
            now,
        )

    def _apply_update_about_local(
        self, update: member.Update, now: float
    ) -> bool:
        local_member = self.local_member
        if (update.incarnation, update.health) <= local_member.precedence:
            return False
        if local_member.state is member.MemberState.LEFT:
            return False
        if update.incarnation == local_member.incarnation:
            self._refute(local_member, now)
        else:
            self._supersede(local_member, update.incarnation, now)
        return True

    def _refute(self, local_member: member.Member, now: float) -> None:
        self.degradation.raise_level()
        incarnation = dataclasses.replace(
            local_member.incarnation,
            refutation=local_member.incarnation.refutation + 1,
        )
        change = member.HealthChange(
            local_member.node_id, incarnation, member.Health.ALIVE
        )
        self.local_member = self.table.merge(change, now) or local_member
        self.queue.add(change)

    def _supersede(
        self,
        local_member: member.Member,
        other: member.Incarnation,
        now: float,
    ) -> None:
        """Supersede an incarnation of an earlier process with this node id."""
        incarnation = member.Incarnation(other.boot, other.revision + 1)
        self._replace_local_member(
            dataclasses.replace(local_member, incarnation=incarnation), now
        )

    def _replace_local_member(
        self, local_member: member.Member, now: float
    ) -> None:
        self.local_member = local_member
        self.table.merge(local_member, now)
        self.queue.add(local_member)
        self.changes.append(member_messages.MemberChanged(local_member))

    def _queue_priority_probe(self, known: member.Member) -> None:
        full = len(self.priority_probes) >= MAX_PRIORITY_PROBES
        if not full and known.node_id not in self.priority_probes:
            self.priority_probes.append(known.node_id)
