"""Membership protocol of the mesh, based on SWIM.

The protocol does no I/O and reads no clock: the caller passes the time, a
source of random numbers and received messages, and carries out the actions
returned. Views of different nodes may differ, so membership serves only as a
hint for routing, never for decisions that need agreement.
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

ALONE_REJOIN_INTERVAL_S = 1.0
ALONE_REJOIN_TARGETS = 3
REAP_INTERVAL_S = 30.0


class Membership:
    """One node's instance of the protocol.

    Args:
        local_member: Initial record of the local node.
        now: Monotonic time in seconds.
        rng: Source of random numbers.
        timing: Intervals and limits; None for the defaults.
        config_version: Configuration version in force at the local node.
    """

    def __init__(
        self,
        local_member: member.Member,
        *,
        now: float,
        rng: random.Random,
        timing: member_timing.Timing | None = None,
        config_version: int = 0,
    ) -> None:
        timing = timing or member_timing.Timing()
        self._timing = timing
        self._rng = rng
        self._view = member_view.View(local_member, timing, now)
        self._outbox = member_outbox.Outbox(self._view, timing, config_version)
        self._detector = member_detector.FailureDetector(
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
        self._due_at = math.inf

    @property
    def local_member(self) -> member.Member:
        """Current record of the local node."""
        return self._view.local_member

    @property
    def config_version(self) -> int:
        """Configuration version in force at the local node."""
        return self._outbox.config_version

    def list_members(self) -> list[member.Member]:
        """Return the present members, the local node included."""
        return self._view.table.list_present()

    def find(self, node_id: str) -> member.Member | None:
        """Return a member's record, even if it is dead or has left."""
        return self._view.table.find(node_id)

    def add_seeds(
        self, seeds: collections.abc.Iterable[member.Address]
    ) -> None:
        """Add addresses at which other members may be reached."""
        local_address = self.local_member.address
        for address in seeds:
            if address != local_address and address not in self._seeds:
                self._seeds.append(address)

    @property
    def flushed(self) -> bool:
        """Whether nothing is left to gossip, or no member to receive it."""
        return not self._has_updates() or not self._view.list_others()

    def set_state(self, state: member.MemberState, now: float) -> None:
        """Announce a new state of the local node.

        Args:
            state: The new state; LEFT is final.
            now: Monotonic time in seconds.
        """
        if self.local_member.state not in (state, member.MemberState.LEFT):
            self._view.update_local_member(now, state=state)

    def set_slots(self, slots: int, now: float) -> None:
        """Announce how many requests the local target runs at a time.

        Args:
            slots: Number of requests.
            now: Monotonic time in seconds.
        """
        if self.local_member.slots != slots:
            self._view.update_local_member(now, slots=slots)

    def advertise_config_version(self, version: int) -> None:
        """Announce the configuration version in force at the local node.

        Args:
            version: The version; one not above the current is ignored.
        """
        if version <= self._outbox.config_version:
            return
        self._outbox.config_version = version
        members = len(self._view.table.list_present())
        copies = member_updates.count_transmissions(members)
        self._version_rounds = math.ceil(copies / self._timing.gossip_fanout)

    def next_deadline(self) -> float:
        """Return the monotonic time at which `advance` is due."""
        deadlines = [self._reap_at]
        if self.local_member.state is not member.MemberState.LEFT:
            deadlines.append(self._detector.next_deadline())
            deadlines.append(self._sync.next_deadline())
            deadlines.append(self._view.suspicions.next_deadline())
            deadlines.append(self._rejoin_at)
        if self._has_updates():
            deadlines.append(self._gossip_at)
        return min(deadlines)

    def advance(self, now: float) -> list[member_messages.Action]:
        """Run the timers that are due.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Actions for the caller to carry out.
        """
        self._handle_pause(now)
        if self.local_member.state is not member.MemberState.LEFT:
            self._detector.ping_suspects(now)
            self._view.expire_suspicions(now)
            self._detector.advance(now)
            self._sync.advance(now)
            self._rejoin(now)
        self._gossip(now)
        self._reap(now)
        return self._pop_actions(now)

    def receive(
        self,
        address: member.Address,
        message: member_messages.Envelope,
        now: float,
    ) -> list[member_messages.Action]:
        """Process one received message.

        Args:
            address: Address of the sender.
            message: The message with its envelope.
            now: Monotonic time in seconds.

        Returns:
            Actions for the caller to carry out.
        """
        if message.sender == self.local_member.node_id:
            return []
        self._handle_pause(now)
        self._check_config_version(message)
        self._apply_updates(address, message, now)
        if self.local_member.state is not member.MemberState.LEFT:
            self._sync_unknown_sender(address, message)
            self._dispatch_body(address, message, now)
        return self._pop_actions(now)

    def _pop_actions(self, now: float) -> list[member_messages.Action]:
        actions = self._outbox.pop()
        self._due_at = max(now, self.next_deadline())
        return actions

    def _handle_pause(self, now: float) -> None:
        """Postpone suspicions if a late call shows that this process paused.

        Other members may have answered during the pause.
        """
        late_s = now - self._due_at
        if late_s <= self._timing.pause_threshold_s:
            return
        self._due_at = math.inf
        self._view.degradation.raise_level(2)
        self._view.suspicions.postpone(late_s)
        self._detector.abandon_probe(now)

    def _check_config_version(self, message: member_messages.Envelope) -> None:
        if message.config_version > self._outbox.config_version:
            self._outbox.add(
                member_messages.NewerConfigSeen(
                    message.config_version, message.sender
                )
            )

    def _apply_updates(
        self,
        address: member.Address,
        message: member_messages.Envelope,
        now: float,
    ) -> None:
        must_refute = False
        is_sync = isinstance(message.body, member_messages.Records)
        for update in message.updates:
            must_refute = must_refute or self._view.needs_refutation(update)
            if is_sync and isinstance(update, member.Member):
                if self._view.apply_sync_record(update, now):
                    self._sync.record_progress()
            else:
                self._view.apply_update(update, now)
        if must_refute:
            self._outbox.send_exactly(
                address, member_messages.Gossip(), (self.local_member,)
            )

    def _sync_unknown_sender(
        self, address: member.Address, message: member_messages.Envelope
    ) -> None:
        """Start a synchronisation with a sender that is unknown here."""
        if isinstance(message.body, member_messages.Sync):
            return
        if self._view.table.find(message.sender) is None:
            self._sync.send_digests(address)

    def _dispatch_body(
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
                if self._detector.handle_ack(sequence):
                    self._report_answer(message)
            case member_messages.Nack(sequence):
                if self._detector.handle_nack(message.sender, sequence):
                    self._report_answer(message)
            case member_messages.Sync() as body:
                self._sync.handle_sync(address, body, now)
            case _:
                pass

    def _report_answer(self, message: member_messages.Envelope) -> None:
        self._outbox.add(
            member_messages.PeerAnswered(
                message.sender, message.config_version
            )
        )

    def _has_updates(self) -> bool:
        return bool(self._view.queue) or self._version_rounds > 0

    def _gossip(self, now: float) -> None:
        if now < self._gossip_at or not self._has_updates():
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
        """Contact seeds and dead members, so that a partition heals."""
        if now < self._rejoin_at:
            return
        alone = not self._view.list_others()
        interval_s = (
            ALONE_REJOIN_INTERVAL_S
            if alone
            else self._timing.rejoin_interval_s
        )
        self._rejoin_at = now + interval_s * (0.75 + self._rng.random() / 2)
        absent = self._list_absent_addresses()
        count = min(ALONE_REJOIN_TARGETS if alone else 1, len(absent))
        for address in self._rng.sample(absent, count):
            self._sync.send_digests(address)

    def _list_absent_addresses(self) -> list[member.Address]:
        present = {item.address for item in self._view.list_others()}
        absent = {item.address for item in self._view.table.list_dead()}
        absent.update(self._seeds)
        return sorted(absent - present, key=lambda item: (item.ip, item.port))

    def _reap(self, now: float) -> None:
        if now < self._reap_at:
            return
        self._reap_at = now + REAP_INTERVAL_S
        self._view.table.reap(
            now,
            dead_s=self._timing.dead_retention_s,
            left_s=self._timing.left_retention_s,
        )
