"""Failure detection by direct and indirect probes."""

import random

from . import member
from . import member_messages
from . import member_outbox
from . import member_probe
from . import member_timing
from . import member_view


class FailureDetector:
    """Probes one member per interval and answers the probes of others.

    Every second probe goes to a member in the local data centre.

    Args:
        view: The local view of all members.
        outbox: Collects the messages to send.
        timing: Intervals and limits of the protocol.
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
        """Return the monotonic time at which `advance` is due."""
        deadline = min(self._next_at, self._relayed_pings.next_deadline())
        if self._probe is not None:
            deadline = min(deadline, self._probe.next_deadline())
        return deadline

    def advance(self, now: float) -> None:
        """Run the timers that are due.

        Args:
            now: Monotonic time in seconds.
        """
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
        """Ping suspects again, since a refutation may have been lost."""
        for node_id in self._view.suspicions.pop_due_pings(now):
            known = self._view.table.find(node_id)
            if known is not None and not self._view.queue.backlogged:
                self._ping(known.address, self._sequence.next(), node_id)

    def abandon_probe(self, now: float) -> None:
        """Drop the probe in flight after this process was paused."""
        self._probe = None
        interval_s = (
            self._timing.probe_interval_s
            * self._view.degradation.interval_factor
        )
        self._next_at = now + interval_s

    def answer_ping(
        self,
        sender: str,
        address: member.Address,
        ping: member_messages.Ping,
    ) -> None:
        """Answer a ping that is addressed to this node's id.

        Args:
            sender: Node id of the sender.
            address: Address of the sender.
            ping: The ping.
        """
        if ping.probed_id != self._view.local_member.node_id:
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
        """Ping a member on behalf of another one.

        Args:
            address: Address of the member that asked.
            request: Which member to ping.
            now: Monotonic time in seconds.
        """
        sequence = self._sequence.next()
        relayed = member_probe.RelayedPing(
            address, request.sequence, now + self._timing.ack_timeout_s
        )
        if self._relayed_pings.add(sequence, relayed):
            self._ping(request.address, sequence, request.probed_id)

    def handle_ack(self, sequence: int) -> bool:
        """Complete a probe, or forward the ack of a relayed ping.

        Args:
            sequence: Sequence number of the ack.

        Returns:
            Whether it belongs to a ping that is in flight.
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
        """Note that a relay is alive but received no ack.

        Args:
            sender: Node id of the relay.
            sequence: Sequence number of the nack.

        Returns:
            Whether it belongs to the probe that is in flight.
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
        interval_s = self._timing.probe_interval_s * factor
        self._next_at = now + interval_s
        probed = self._choose_member()
        if probed is None:
            return
        self._probe = member_probe.Probe(
            probed,
            self._sequence.next(),
            now,
            now + self._timing.ack_timeout_s * factor,
            now + interval_s,
        )
        self._ping(probed.address, self._probe.sequence, probed.node_id)

    def _choose_member(self) -> member.Member | None:
        while self._view.priority_probes:
            known = self._view.table.find(self._view.priority_probes.pop(0))
            if known is not None and known.present:
                return known
        others = self._view.list_others()
        self._next_in_data_centre = not self._next_in_data_centre
        if self._next_in_data_centre:
            probed = self._data_centre_rotation.next(
                self._view.list_same_data_centre()
            )
            if probed is not None:
                return probed
        return self._mesh_rotation.next(others)

    def _send_indirect_pings(self, probe: member_probe.Probe) -> None:
        probe.relayed = True
        probed = probe.probed
        candidates = [
            item
            for item in self._view.list_others()
            if item.node_id != probed.node_id
            and item.health is member.Health.ALIVE
        ]
        relays = member_probe.choose_relays(
            probed, candidates, self._timing.relays, self._rng
        )
        probe.relays = frozenset(item.node_id for item in relays)
        request = member_messages.IndirectPing(
            probe.sequence, probed.node_id, probed.address
        )
        for relay in relays:
            self._outbox.send(relay.address, request)
        self._ping(probed.address, probe.sequence, probed.node_id)

    def _handle_failed_probe(
        self, probe: member_probe.Probe, now: float
    ) -> None:
        if self._is_probably_isolated(probe):
            self._view.degradation.raise_level()
            return
        self._view.suspect(probe.probed, now)
        self._ping(
            probe.probed.address,
            self._sequence.next(),
            probe.probed.node_id,
        )

    def _is_probably_isolated(self, probe: member_probe.Probe) -> bool:
        """Return whether the probe probably failed for a local fault.

        That is assumed if no relay answered at all. At the maximum level of
        degradation the probe counts again, since all other members may
        really have failed.
        """
        answered = bool(probe.nacks & probe.relays)
        all_silent = bool(probe.relays) and not answered
        return all_silent and not self._view.degradation.at_maximum

    def _ping(
        self, address: member.Address, sequence: int, probed_id: str
    ) -> None:
        self._outbox.send(
            address,
            member_messages.Ping(sequence, probed_id),
            first=self._view.build_health_notice(probed_id),
        )
