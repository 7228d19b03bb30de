"""Failure detection by direct and indirect probes."""

import random

from . import member
from . import member_messages
from . import member_outbox
from . import member_probe
from . import member_timing
from . import member_view


class Detector:
    """Probes one member in each interval and answers the probes of others.

    Every second probe stays inside the node's own data centre.

    Args:
        view: What this node believes.
        outbox: Takes the messages.
        timing: Intervals and limits.
        rng: Source of random numbers.
        now: Monotonic time in seconds.
    """

    def __init__(
        self,
        view: member_view.View,
        outbox: member_outbox.Outbox,
        timing: member_timing.Timing,
        rng: random.Random,
        now: float,
    ) -> None:
        self._view = view
        self._outbox = outbox
        self._timing = timing
        self._rng = rng
        self._sequence = member_probe.Sequence(rng.getrandbits(32))
        self._everywhere = member_probe.Rotation(rng)
        self._nearby = member_probe.Rotation(rng)
        self._relays = member_probe.RelayBook()
        self._probe: member_probe.Probe | None = None
        self._near_next = False
        self._next_at = now + rng.random() * timing.probe_interval_s

    def next_deadline(self) -> float:
        """Return when `advance` has something to do."""
        deadline = min(self._next_at, self._relays.next_deadline())
        if self._probe is not None:
            deadline = min(deadline, self._probe.next_deadline())
        return deadline

    def advance(self, now: float) -> None:
        """Run the timers that are due."""
        self._admit_arrivals()
        for relayed in self._relays.pop_expired(now):
            self._outbox.send(
                relayed.address, member_messages.Nack(relayed.sequence)
            )
        probe = self._probe
        if probe is not None and now >= probe.deadline:
            self._probe = None
            self._fail(probe, now)
        elif probe is not None and not probe.relayed and now >= probe.relay_at:
            self._ask_relays(probe)
        if self._probe is None and now >= self._next_at:
            self._start(now)

    def check_suspects(self, now: float) -> None:
        """Ask suspects again, since a refutation may have been lost."""
        for node_id in self._view.suspicions.pop_checks(now):
            known = self._view.table.find(node_id)
            if known is not None and not self._view.queue.pressed:
                self._ping(known.address, self._sequence.next(), node_id)

    def abandon(self, now: float) -> None:
        """Forget the probe in flight after a pause of this process."""
        self._probe = None
        interval = self._timing.probe_interval_s * self._view.doubt.factor
        self._next_at = now + interval

    def answer_ping(
        self,
        sender: str,
        address: member.Address,
        ping: member_messages.Ping,
    ) -> None:
        """Answer a ping that is meant for this process."""
        if ping.target_id != self._view.me.node_id:
            return
        self._outbox.send(
            address,
            member_messages.Ack(ping.sequence),
            first=self._view.accuse(sender),
        )

    def relay_ping(
        self,
        address: member.Address,
        request: member_messages.IndirectPing,
        now: float,
    ) -> None:
        """Ping a member for another one."""
        sequence = self._sequence.next()
        relayed = member_probe.Relayed(
            address, request.sequence, now + self._timing.ack_timeout_s
        )
        if self._relays.add(sequence, relayed):
            self._ping(request.address, sequence, request.target_id)

    def take_ack(self, sequence: int) -> bool:
        """Count an answer to a probe, or pass it on to who asked for it.

        Args:
            sequence: Sequence number of the answer.

        Returns:
            Whether it answers a ping that is in flight.
        """
        relayed = self._relays.pop(sequence)
        if relayed is not None:
            self._outbox.send(
                relayed.address, member_messages.Ack(relayed.sequence)
            )
            return True
        if self._probe is None or self._probe.sequence != sequence:
            return False
        self._probe = None
        self._view.doubt.lower_level()
        return True

    def take_nack(self, sender: str, sequence: int) -> bool:
        """Count a relay that answered without success.

        Args:
            sender: The relay.
            sequence: Sequence number of the answer.

        Returns:
            Whether it answers a request that is in flight.
        """
        probe = self._probe
        if probe is None or probe.sequence != sequence:
            return False
        probe.nacks.add(sender)
        return True

    def _admit_arrivals(self) -> None:
        for node_id in self._view.arrivals:
            self._everywhere.add(node_id)
            known = self._view.table.find(node_id)
            mine = self._view.me.data_centre
            if known is not None and known.data_centre == mine:
                self._nearby.add(node_id)
        self._view.arrivals.clear()

    def _start(self, now: float) -> None:
        factor = self._view.doubt.factor
        interval = self._timing.probe_interval_s * factor
        self._next_at = now + interval
        target = self._choose_target()
        if target is None:
            return
        self._probe = member_probe.Probe(
            target,
            self._sequence.next(),
            now,
            now + self._timing.ack_timeout_s * factor,
            now + interval,
        )
        self._ping(target.address, self._probe.sequence, target.node_id)

    def _choose_target(self) -> member.Member | None:
        while self._view.doubtful:
            known = self._view.table.find(self._view.doubtful.pop(0))
            if known is not None and known.present:
                return known
        others = self._view.list_others()
        self._near_next = not self._near_next
        if self._near_next:
            target = self._nearby.next(self._view.list_near())
            if target is not None:
                return target
        return self._everywhere.next(others)

    def _ask_relays(self, probe: member_probe.Probe) -> None:
        probe.relayed = True
        target = probe.target
        candidates = [
            item
            for item in self._view.list_others()
            if item.node_id != target.node_id
            and item.health is member.Health.ALIVE
        ]
        relays = member_probe.choose_relays(
            target, candidates, self._timing.relays, self._rng
        )
        probe.relays = frozenset(item.node_id for item in relays)
        request = member_messages.IndirectPing(
            probe.sequence, target.node_id, target.address
        )
        for relay in relays:
            self._outbox.send(relay.address, request)
        self._ping(target.address, probe.sequence, target.node_id)

    def _fail(self, probe: member_probe.Probe, now: float) -> None:
        if self._seems_cut_off(probe):
            self._view.doubt.raise_level()
            return
        self._view.suspect(probe.target, now)
        self._ping(
            probe.target.address,
            self._sequence.next(),
            probe.target.node_id,
        )

    def _seems_cut_off(self, probe: member_probe.Probe) -> bool:
        """Return whether the fault is likely this node's own.

        No relay answered at all. At the highest doubt the node believes
        its probes again, since all the others may really be gone.
        """
        answered = bool(probe.nacks & probe.relays)
        silent = bool(probe.relays) and not answered
        return silent and not self._view.doubt.highest

    def _ping(
        self, address: member.Address, sequence: int, target_id: str
    ) -> None:
        self._outbox.send(
            address,
            member_messages.Ping(sequence, target_id),
            first=self._view.accuse(target_id),
        )
