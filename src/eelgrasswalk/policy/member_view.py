"""What one node believes about all members, itself included."""

import dataclasses
import typing

from . import member
from . import member_messages
from . import member_suspicion
from . import member_table
from . import member_timing
from . import member_updates

MAX_DOUBTFUL = 32


class View:
    """Merges news, defends the node's own record and queues what is new.

    Args:
        me: The node's own record, kept up to date in `me`.
        timing: Intervals and limits.
        now: Monotonic time in seconds.
    """

    def __init__(
        self, me: member.Member, timing: member_timing.Timing, now: float
    ) -> None:
        self.table = member_table.MemberTable()
        self.queue = member_updates.UpdateQueue()
        self.suspicions = member_suspicion.Suspicions(timing)
        self.doubt = member_suspicion.SelfDoubt()
        self.changes: list[member_messages.MemberChanged] = []
        self.doubtful: list[str] = []
        self.arrivals: list[str] = []
        self.me = me
        self._my_id = me.node_id
        self._others: list[member.Member] = []
        self._near: list[member.Member] = []
        self._others_of: list[member.Member] | None = None
        self.table.merge(me, now)

    def list_others(self) -> list[member.Member]:
        """Return the present members without the node itself."""
        self._refresh()
        return self._others

    def list_near(self) -> list[member.Member]:
        """Return the present others in the node's own data centre."""
        self._refresh()
        return self._near

    def change_me(self, now: float, **attributes: typing.Any) -> None:
        """Change attributes of the node's own record and announce it.

        Args:
            now: Monotonic time in seconds.
            attributes: Fields of the record with their new values.
        """
        me = self.me
        incarnation = dataclasses.replace(
            me.incarnation, revision=me.incarnation.revision + 1
        )
        self._replace_me(
            dataclasses.replace(me, incarnation=incarnation, **attributes), now
        )

    def learn(self, update: member.Update, now: float) -> bool:
        """Merge an update heard by gossip and pass it on if it is new.

        Args:
            update: The update.
            now: Monotonic time in seconds.

        Returns:
            Whether anything changed.
        """
        if update.node_id == self._my_id:
            return self._defend(update, now)
        changed = self._merge(update, now)
        confirmed = self._confirm(update, now)
        if changed or (confirmed and not self.queue.pressed):
            self.queue.add(update)
        return changed

    def learn_record(self, record: member.Member, now: float) -> bool:
        """Merge a record received in a synchronisation.

        Such records are not passed on. The death of a member that is alive
        here is not believed, since it may be left from a partition: the
        member is probed next instead.

        Args:
            record: The record.
            now: Monotonic time in seconds.

        Returns:
            Whether anything changed.
        """
        if record.node_id == self._my_id:
            return self._defend(record, now)
        known = self.table.find(record.node_id)
        dead = record.health is member.Health.DEAD
        if dead and known is not None and known.present:
            self._probe_soon(known)
            return False
        changed = self._merge(record, now)
        self._confirm(record, now)
        return changed

    def suspect(self, target: member.Member, now: float) -> None:
        """Accuse a member whose probe has failed."""
        known = self.table.find(target.node_id)
        if known is None or not known.present:
            return
        self.learn(
            member.HealthChange(
                known.node_id,
                known.incarnation,
                member.Health.SUSPECT,
                self._my_id,
            ),
            now,
        )

    def expire_suspicions(self, now: float) -> None:
        """Declare dead the members whose suspicion has ended."""
        for node_id in self.suspicions.pop_expired(now):
            known = self.table.find(node_id)
            if known is not None and known.health is member.Health.SUSPECT:
                self._declare_dead(known, now)

    def is_accusation(self, update: member.Update) -> bool:
        """Return whether an update says that this node does not live."""
        mine = update.node_id == self._my_id
        staying = self.me.state is not member.MemberState.LEFT
        return mine and staying and update.health is not member.Health.ALIVE

    def accuse(self, node_id: str) -> tuple[member.Update, ...]:
        """Return what a member must hear about itself to refute it."""
        known = self.table.find(node_id)
        if known is None or known.health is member.Health.ALIVE:
            return ()
        change = member.HealthChange(
            node_id, known.incarnation, known.health, self._my_id
        )
        return (change,)

    def pop_changes(self) -> list[member_messages.MemberChanged]:
        """Return and clear the changes since the last call."""
        changes = self.changes
        self.changes = []
        return changes

    def _refresh(self) -> None:
        present = self.table.list_present()
        if present is self._others_of:
            return
        mine = self.me.data_centre
        self._others_of = present
        self._others = [
            item for item in present if item.node_id != self._my_id
        ]
        self._near = [
            item for item in self._others if item.data_centre == mine
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
            self.arrivals.append(latest.node_id)
        self.changes.append(member_messages.MemberChanged(latest))
        return True

    def _confirm(self, update: member.Update, now: float) -> bool:
        if update.health is not member.Health.SUSPECT:
            return False
        known = self.table.find(update.node_id)
        if known is None or known.precedence != (
            update.incarnation,
            update.health,
        ):
            return False
        accuser = ''
        if isinstance(update, member.HealthChange):
            accuser = update.accuser
        return self.suspicions.suspect(
            update.node_id,
            update.incarnation,
            accuser,
            members=len(self.table.list_present()),
            now=now,
        )

    def _replace_predecessor(self, record: member.Member, now: float) -> None:
        """Declare dead the former process at a new member's address."""
        other = self.table.find_by_address(record.address)
        if other is None or other.node_id in (record.node_id, self._my_id):
            return
        newer = other.incarnation.boot < record.incarnation.boot
        if newer and other.present and record.present:
            self._declare_dead(other, now)

    def _declare_dead(self, known: member.Member, now: float) -> None:
        self.learn(
            member.HealthChange(
                known.node_id,
                known.incarnation,
                member.Health.DEAD,
            ),
            now,
        )

    def _defend(self, update: member.Update, now: float) -> bool:
        me = self.me
        if (update.incarnation, update.health) <= me.precedence:
            return False
        if me.state is member.MemberState.LEFT:
            return False
        if update.incarnation == me.incarnation:
            self._refute(me, now)
        else:
            self._outrank(me, update.incarnation, now)
        return True

    def _refute(self, me: member.Member, now: float) -> None:
        self.doubt.raise_level()
        incarnation = dataclasses.replace(
            me.incarnation, refutation=me.incarnation.refutation + 1
        )
        change = member.HealthChange(
            me.node_id, incarnation, member.Health.ALIVE
        )
        self.me = self.table.merge(change, now) or me
        self.queue.add(change)

    def _outrank(
        self, me: member.Member, other: member.Incarnation, now: float
    ) -> None:
        """Go beyond an incarnation left by an earlier process of this id."""
        incarnation = member.Incarnation(other.boot, other.revision + 1)
        self._replace_me(dataclasses.replace(me, incarnation=incarnation), now)

    def _replace_me(self, me: member.Member, now: float) -> None:
        self.me = me
        self.table.merge(me, now)
        self.queue.add(me)
        self.changes.append(member_messages.MemberChanged(me))

    def _probe_soon(self, known: member.Member) -> None:
        full = len(self.doubtful) >= MAX_DOUBTFUL
        if not full and known.node_id not in self.doubtful:
            self.doubtful.append(known.node_id)
