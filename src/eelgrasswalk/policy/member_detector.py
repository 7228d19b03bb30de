"""Failure detection by direct and indirect probes."""

import random

from . import member
from . import member_messages
from . import member_outbox
from . import member_probe
from . import member_timing
from . import member_view


class FailureDetector:
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
        self._sequence = member_probe.SequenceCounter(rng.getrandbits(32))
        self._mesh_rotation = member_probe.ProbeRotation(rng)
        self._data_centre_rotation = member_probe.ProbeRotation(rng)
        self._relayed_pings = member_probe.RelayedPings()
        self._probe: member_probe.Probe | None = None
        self._next_in_data_centre = False
        self._next_at = now + rng.random() * timing.probe_interval_s

    def next_deadline(self) -> float:
        """Return when `advance` has something to do."""
        deadline = min(self._next_at, self._relayed_pings.next_deadline())
        if self._probe is not None:
            deadline = min(deadline, self._probe.next_deadline())
        return deadline

    def advance(self, now: float) -> None:
        """Run the timers that are due."""
        self._add_joined()
        for relayed in self._relayed_pings.pop_expired(now):
            self._outbox.send(
                relayed.address, member_messages.Nack(relayed.sequence)
            )
        probe = self._probe
        if probe is not None and now >= probe.deadline:
            self._probe = None
            self._handle_failed_probe(probe, now)
        elif probe is not None and not probe.relayed and now >= probe.relay_at:
            self._send_indirect_pings(probe)
        if self._probe is None and now >= self._next_at:
            self._start_probe(now)

    def ping_suspects(self, now: float) -> None:
        """Ask suspects again, since a refutation may have been lost."""
        for node_id in self._view.suspicions.pop_due_pings(now):
            known = self._view.table.find(node_id)
            if known is not None and not self._view.queue.backlogged:
                self._ping(known.address, self._sequence.next(), node_id)

    def abandon_probe(self, now: float) -> None:
        """Forget the probe in flight after a pause of this process."""
        self._probe = None
        interval = (
            self._timing.probe_interval_s
            * self._view.degradation.interval_factor
        )
        self._next_at = now + interval

    def answer_ping(
        self,
        sender: str,
        address: member.Address,
        ping: member_messages.Ping,
    ) -> None:
        """Answer a ping that is meant for this process."""
        if ping.target_id != self._view.local_member.node_id:
            return
        self._outbox.send(
            address,
            member_messages.Ack(ping.sequence),
            first=self._view.build_health_notice(sender),
        )

    def relay_ping(
        self,
        address: member.Address,
        request: member_messages.IndirectPing,
        now: float,
    ) -> None:
        """Ping a member for another one."""
        sequence = self._sequence.next()
        relayed = member_probe.RelayedPing(
            address, request.sequence, now + self._timing.ack_timeout_s
        )
        if self._relayed_pings.add(sequence, relayed):
            self._ping(request.address, sequence, request.target_id)

    def handle_ack(self, sequence: int) -> bool:
        """Count an answer to a probe, or pass it on to who asked for it.

        Args:
            sequence: Sequence number of the answer.

        Returns:
            Whether it answers a ping that is in flight.
        """
        relayed = self._relayed_pings.pop(sequence)
        if relayed is not None:
            self._outbox.send(
                relayed.address, member_messages.Ack(relayed.sequence)
            )
            return True
        if self._probe is None or self._probe.sequence != sequence:
            return False
        self._probe = None
        self._view.degradation.lower_level()
        return True

    def handle_nack(self, sender: str, sequence: int) -> bool:
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

    def _add_joined(self) -> None:
        for node_id in self._view.joined:
            self._mesh_rotation.add(node_id)
            known = self._view.table.find(node_id)
            local_data_centre = self._view.local_member.data_centre
            if known is not None and known.data_centre == local_data_centre:
                self._data_centre_rotation.add(node_id)
        self._view.joined.clear()

    def _start_probe(self, now: float) -> None:
        factor = self._view.degradation.interval_factor
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
        while self._view.priority_probes:
            known = self._view.table.find(self._view.priority_probes.pop(0))
            if known is not None and known.present:
                return known
        others = self._view.list_others()
        self._next_in_data_centre = not self._next_in_data_centre
        if self._next_in_data_centre:
            target = self._data_centre_rotation.next(
                self._view.list_same_data_centre()
            )
            if target is not None:
                return target
        return self._mesh_rotation.next(others)

    def _send_indirect_pings(self, probe: member_probe.Probe) -> None:
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

    def _handle_failed_probe(
        self, probe: member_probe.Probe, now: float
    ) -> None:
        if self._is_probably_isolated(probe):
            self._view.degradation.raise_level()
            return
        self._view.suspect(probe.target, now)
        self._ping(
            probe.target.address,
            self._sequence.next(),
            probe.target.node_id,
        )

    def _is_probably_isolated(self, probe: member_probe.Probe) -> bool:
        """Return whether the fault is likely this node's own.

        No relay answered at all. At the highest doubt the node believes
        its probes again, since all the others may really be gone.
        """
        answered = bool(probe.nacks & probe.relays)
        all_silent = bool(probe.relays) and not answered
        return all_silent and not self._view.degradation.at_maximum

    def _ping(
        self, address: member.Address, sequence: int, target_id: str
    ) -> None:
        self._outbox.send(
            address,
            member_messages.Ping(sequence, target_id),
            first=self._view.build_health_notice(target_id),
        )
