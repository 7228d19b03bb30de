"""Membership of the mesh: a gossip protocol in the manner of SWIM.

Nothing here does I/O, reads a clock or draws randomness of its own: time,
random numbers and messages come in, actions go out. Membership is a hint
for routing; nothing that must be agreed rests on it.
"""

import collections.abc
import math
import random

from . import member
from . import member_detector
from . import member_messages
from . import member_outbox
from . import member_sync
from . import member_timing
from . import member_updates
from . import member_view

LONE_REJOIN_S = 1.0
SEEDS_AT_ONCE = 3
REAP_INTERVAL_S = 30.0


class Membership:
    """One node's part in the protocol.

    Args:
        me: The node's own record.
        now: Monotonic time in seconds.
        rng: Source of random numbers.
        timing: Intervals and limits.
        config_version: Configuration version in force here.
    """

    def __init__(
        self,
        me: member.Member,
        *,
        now: float,
        rng: random.Random,
        timing: member_timing.Timing | None = None,
        config_version: int = 0,
    ) -> None:
        timing = timing or member_timing.Timing()
        self._timing = timing
        self._rng = rng
        self._view = member_view.View(me, timing, now)
        self._outbox = member_outbox.Outbox(self._view, timing, config_version)
        self._detector = member_detector.Detector(
            self._view, self._outbox, timing, rng, now
        )
        self._sync = member_sync.Synchroniser(
            self._view, self._outbox, timing, rng, now
        )
        self._gossip_budget = member_timing.TokenBucket(
            timing.gossip_rate, timing.gossip_burst, now
        )
        self._seeds: list[member.Address] = []
        self._gossip_at = now
        self._version_rounds = 0
        self._rejoin_at = now
        self._reap_at = now + REAP_INTERVAL_S
        self._due = math.inf

    @property
    def me(self) -> member.Member:
        """The node's own record."""
        return self._view.me

    @property
    def config_version(self) -> int:
        """Configuration version in force here."""
        return self._outbox.config_version

    def list_members(self) -> list[member.Member]:
        """Return the present members, this node included."""
        return self._view.table.list_present()

    def find(self, node_id: str) -> member.Member | None:
        """Return a member's record, dead and left ones included."""
        return self._view.table.find(node_id)

    def add_seeds(
        self, seeds: collections.abc.Iterable[member.Address]
    ) -> None:
        """Add addresses at which members may be found."""
        mine = self.me.address
        for address in seeds:
            if address != mine and address not in self._seeds:
                self._seeds.append(address)

    @property
    def settled(self) -> bool:
        """Whether nothing is left to tell others."""
        return not self._has_news() or not self._view.list_others()

    def set_state(self, state: member.MemberState, now: float) -> None:
        """Announce a new state of this node.

        Args:
            state: The state; LEFT ends its part in the mesh.
            now: Monotonic time in seconds.
        """
        if self.me.state not in (state, member.MemberState.LEFT):
            self._view.change_me(now, state=state)

    def set_slots(self, slots: int, now: float) -> None:
        """Announce how many requests this node's target runs at a time."""
        if self.me.slots != slots:
            self._view.change_me(now, slots=slots)

    def advertise_config_version(self, version: int) -> None:
        """Tell others the configuration version in force here."""
        if version <= self._outbox.config_version:
            return
        self._outbox.config_version = version
        members = len(self._view.table.list_present())
        copies = member_updates.count_transmissions(members)
        self._version_rounds = math.ceil(copies / self._timing.gossip_fanout)

    def next_deadline(self) -> float:
        """Return the monotonic time at which `advance` is due."""
        deadlines = [self._reap_at]
        if self.me.state is not member.MemberState.LEFT:
            deadlines.append(self._detector.next_deadline())
            deadlines.append(self._sync.next_deadline())
            deadlines.append(self._view.suspicions.next_deadline())
            deadlines.append(self._rejoin_at)
        if self._has_news():
            deadlines.append(self._gossip_at)
        return min(deadlines)

    def advance(self, now: float) -> list[member_messages.Action]:
        """Run the timers that are due.

        Args:
            now: Monotonic time in seconds.

        Returns:
            What is to be done.
        """
        self._notice_pause(now)
        if self.me.state is not member.MemberState.LEFT:
            self._detector.check_suspects(now)
            self._view.expire_suspicions(now)
            self._detector.advance(now)
            self._sync.advance(now)
            self._rejoin(now)
        self._gossip(now)
        self._reap(now)
        return self._finish(now)

    def receive(
        self,
        address: member.Address,
        message: member_messages.Envelope,
        now: float,
    ) -> list[member_messages.Action]:
        """Take one message.

        Args:
            address: Where it came from.
            message: The message.
            now: Monotonic time in seconds.

        Returns:
            What is to be done.
        """
        if message.sender == self.me.node_id:
            return []
        self._notice_pause(now)
        self._see_version(message)
        self._learn(address, message, now)
        if self.me.state is not member.MemberState.LEFT:
            self._greet(address, message)
            self._answer(address, message, now)
        return self._finish(now)

    def _finish(self, now: float) -> list[member_messages.Action]:
        actions = self._outbox.pop()
        self._due = max(now, self.next_deadline())
        return actions

    def _notice_pause(self, now: float) -> None:
        """Forgive others what this process missed while it was paused."""
        late_s = now - self._due
        if late_s <= self._timing.pause_s:
            return
        self._due = math.inf
        self._view.doubt.raise_level(2)
        self._view.suspicions.postpone(late_s)
        self._detector.abandon(now)

    def _see_version(self, message: member_messages.Envelope) -> None:
        if message.config_version > self._outbox.config_version:
            self._outbox.add(
                member_messages.VersionSeen(
                    message.config_version, message.sender
                )
            )

    def _learn(
        self,
        address: member.Address,
        message: member_messages.Envelope,
        now: float,
    ) -> None:
        accused = False
        synced = isinstance(message.body, member_messages.Records)
        for update in message.updates:
            accused = accused or self._view.is_accusation(update)
            if synced and isinstance(update, member.Member):
                if self._view.learn_record(update, now):
                    self._sync.note_progress()
            else:
                self._view.learn(update, now)
        if accused:
            self._outbox.send_exactly(
                address, member_messages.Gossip(), (self.me,)
            )

    def _greet(
        self, address: member.Address, message: member_messages.Envelope
    ) -> None:
        """Exchange tables with a sender that is unknown here."""
        if isinstance(message.body, member_messages.Sync):
            return
        if self._view.table.find(message.sender) is None:
            self._sync.compare(address)

    def _answer(
        self,
        address: member.Address,
        message: member_messages.Envelope,
        now: float,
    ) -> None:
        match message.body:
            case member_messages.Ping() as ping:
                self._detector.answer_ping(message.sender, address, ping)
            case member_messages.IndirectPing() as request:
                self._detector.relay_ping(address, request, now)
            case member_messages.Ack(sequence):
                if self._detector.take_ack(sequence):
                    self._hear(message)
            case member_messages.Nack(sequence):
                if self._detector.take_nack(message.sender, sequence):
                    self._hear(message)
            case member_messages.Sync() as body:
                self._sync.take_sync(address, body, now)
            case _:
                pass

    def _hear(self, message: member_messages.Envelope) -> None:
        self._outbox.add(
            member_messages.PeerHeard(message.sender, message.config_version)
        )

    def _has_news(self) -> bool:
        return bool(self._view.queue) or self._version_rounds > 0

    def _gossip(self, now: float) -> None:
        if now < self._gossip_at or not self._has_news():
            return
        self._gossip_at = now + self._timing.gossip_interval_s
        others = self._view.list_others()
        count = min(self._timing.gossip_fanout, len(others))
        for receiver in self._rng.sample(others, count):
            if not self._gossip_budget.allows(now):
                return
            size = self._outbox.send(
                receiver.address,
                member_messages.Gossip(),
                piggyback_bytes=self._timing.datagram_update_bytes,
            )
            self._gossip_budget.take(size)
        self._version_rounds = max(0, self._version_rounds - 1)

    def _rejoin(self, now: float) -> None:
        """Try seeds and dead members, so that a split mesh heals."""
        if now < self._rejoin_at:
            return
        alone = not self._view.list_others()
        pause_s = LONE_REJOIN_S if alone else self._timing.rejoin_interval_s
        self._rejoin_at = now + pause_s * (0.75 + self._rng.random() / 2)
        missing = self._list_missing()
        count = min(SEEDS_AT_ONCE if alone else 1, len(missing))
        for address in self._rng.sample(missing, count):
            self._sync.compare(address)

    def _list_missing(self) -> list[member.Address]:
        present = {item.address for item in self._view.list_others()}
        missing = {item.address for item in self._view.table.list_dead()}
        missing.update(self._seeds)
        return sorted(missing - present, key=lambda item: (item.ip, item.port))

    def _reap(self, now: float) -> None:
        if now < self._reap_at:
            return
        self._reap_at = now + REAP_INTERVAL_S
        self._view.table.reap(
            now,
            dead_s=self._timing.dead_memory_s,
            left_s=self._timing.left_memory_s,
        )
