"""Deterministic simulated network for membership tests."""

import collections
import collections.abc
import heapq
import itertools
import random

from eelgrasswalk.policy import member
from eelgrasswalk.policy import member_codec
from eelgrasswalk.policy import member_messages
from eelgrasswalk.policy import member_timing
from eelgrasswalk.policy import membership

SECRET = b'network secret'
LATENCY_S = 0.002
MAX_REPLAY_DELAY_S = 40.0
BOOT = 1_700_000_000_000


def make_member(
    number: int, *, data_centre: str = 'a', boot: int = BOOT
) -> member.Member:
    """Return the record of a test node.

    Args:
        number: Number from which node id and address are derived.
        data_centre: Name of its data centre.
        boot: Start time of its process in milliseconds since the epoch.
    """
    return member.Member(
        f'node-{number:04}',
        f'10.0.{number // 250}.{number % 250 + 1}',
        7000,
        7001,
        f'service-{number % 4}',
        16,
        data_centre,
        member.MemberState.READY,
        member.Incarnation(boot),
    )


class Network:
    """Runs membership nodes on simulated time.

    Every message is encoded and decoded. `replay` is the fraction of
    datagrams that are delivered a second time, up to `MAX_REPLAY_DELAY_S`
    later. `blocked` tells for two node ids whether datagrams from the first
    to the second are lost.

    Args:
        seed: Seed of all random numbers.
        loss: Fraction of datagrams that are lost.
    """

    def __init__(self, seed: int, *, loss: float = 0.0) -> None:
        self.now = 0.0
        self.loss = loss
        self.replay = 0.0
        self.timing = member_timing.Timing()
        self.blocked = lambda source, receiver: False
        self.nodes: dict[str, membership.Membership] = {}
        self.events: list[
            tuple[float, str, member_messages.MemberChanged]
        ] = []
        self.versions: list[tuple[float, str, int]] = []
        self.bytes_sent: collections.Counter[str] = collections.Counter()
        self.paused: set[str] = set()
        self._rng = random.Random(seed)
        self._order = itertools.count()
        self._ids: dict[member.Address, str] = {}
        self._heap: list[tuple[float, int, str, object]] = []
        self._timers: dict[str, float] = {}

    def add(
        self,
        local_member: member.Member,
        seeds: collections.abc.Iterable[member.Address] = (),
    ) -> membership.Membership:
        """Start a node.

        Args:
            local_member: Record of the node.
            seeds: Addresses by which it joins the mesh.
        """
        rng = random.Random(self._rng.getrandbits(64))
        node = membership.Membership(
            local_member, now=self.now, rng=rng, timing=self.timing
        )
        node.add_seeds(seeds)
        self.nodes[local_member.node_id] = node
        self._ids[local_member.address] = local_member.node_id
        self._schedule(local_member.node_id)
        return node

    def kill(self, node_id: str) -> None:
        """Stop a node without an announcement."""
        del self.nodes[node_id]

    def pause(self, node_id: str) -> None:
        """Stop a node's timers; datagrams for it are lost."""
        self.paused.add(node_id)

    def resume(self, node_id: str) -> None:
        """Resume a paused node."""
        self.paused.discard(node_id)
        self._schedule(node_id)

    def apply_operation(
        self, node_id: str, operation: collections.abc.Callable[..., object]
    ) -> None:
        """Call an operation with a node, then run its due timers."""
        operation(self.nodes[node_id])
        self._advance(node_id)

    def run(self, seconds: float) -> None:
        """Run for a number of simulated seconds."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            at, _, node_id, content = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            self._dispatch(at, node_id, content)
        self.now = end

    def run_until(
        self, condition: collections.abc.Callable[[], bool], limit: float
    ) -> float:
        """Run until a condition holds; return the simulated seconds taken."""
        start = self.now
        while not condition():
            if self.now - start >= limit:
                raise AssertionError(f'condition not met within {limit} s')
            self.run(0.1)
        return self.now - start

    def sees_all(self, ids: collections.abc.Iterable[str]) -> bool:
        """Return whether each node considers exactly these nodes alive."""
        expected = set(ids)
        return all(self.list_alive(item) == expected for item in expected)

    def list_alive(self, node_id: str) -> set[str]:
        """Return the ids of the members that a node considers alive."""
        return {
            item.node_id
            for item in self.nodes[node_id].list_members()
            if item.health is member.Health.ALIVE
        }

    def list_deaths(self) -> list[tuple[float, str, str]]:
        """Return time, observer and member of each change to dead."""
        return [
            (at, observer, change.member.node_id)
            for at, observer, change in self.events
            if change.member.health is member.Health.DEAD
        ]

    def _dispatch(self, at: float, node_id: str, content: object) -> None:
        if node_id not in self.nodes or node_id in self.paused:
            return
        if isinstance(content, tuple):
            address, datagram = content
            message = member_codec.decode(datagram, SECRET)
            if isinstance(message, member_codec.Undecodable):
                raise AssertionError(message.reason)
            node = self.nodes[node_id]
            self._apply(node_id, node.receive(address, message, self.now))
            self._schedule(node_id)
        elif self._timers.get(node_id) == at:
            self._advance(node_id)

    def _advance(self, node_id: str) -> None:
        actions = self.nodes[node_id].advance(self.now)
        self._apply(node_id, actions)
        self._schedule(node_id)

    def _schedule(self, node_id: str) -> None:
        at = max(self.now, self.nodes[node_id].next_deadline())
        if self._timers.get(node_id) != at or at <= self.now:
            self._timers[node_id] = at
            self._push(at, node_id, None)

    def _push(self, at: float, node_id: str, content: object) -> None:
        heapq.heappush(self._heap, (at, next(self._order), node_id, content))

    def _apply(
        self, node_id: str, actions: list[member_messages.Action]
    ) -> None:
        for action in actions:
            match action:
                case member_messages.Send():
                    self._transmit(node_id, action)
                case member_messages.MemberChanged():
                    self.events.append((self.now, node_id, action))
                case member_messages.NewerConfigSeen():
                    self.versions.append((self.now, node_id, action.version))

    def _transmit(self, node_id: str, action: member_messages.Send) -> None:
        datagram = member_codec.encode(action.message, SECRET)
        self.bytes_sent[node_id] += len(datagram)
        receiver = self._ids.get(action.address)
        if receiver is None or self.blocked(node_id, receiver):
            return
        if self._rng.random() < self.loss:
            return
        source = self.nodes[node_id].local_member.address
        latency = LATENCY_S * (0.5 + self._rng.random())
        self._push(self.now + latency, receiver, (source, datagram))
        if self._rng.random() < self.replay:
            later = self.now + MAX_REPLAY_DELAY_S * self._rng.random()
            self._push(later, receiver, (source, datagram))


def start_mesh(
    count: int,
    *,
    seed: int = 1,
    loss: float = 0.0,
    data_centres: tuple[str, ...] = ('a', 'b'),
    timing: member_timing.Timing | None = None,
) -> Network:
    """Return a network in which all nodes know each other.

    Args:
        count: Number of nodes.
        seed: Seed of all random numbers.
        loss: Fraction of datagrams that are lost.
        data_centres: Data centres, assigned to the nodes in turn.
        timing: Intervals and limits of the protocol.
    """
    network = Network(seed, loss=loss)
    network.timing = timing or network.timing
    records = tuple(
        make_member(
            number, data_centre=data_centres[number % len(data_centres)]
        )
        for number in range(count)
    )
    for record in records:
        node = network.add(record, (records[0].address, records[1].address))
        other = records[0] if record is records[1] else records[1]
        message = member_messages.Envelope(
            other.node_id, 0, member_messages.Records(), records
        )
        node.receive(other.address, message, 0.0)
    network.run(2.0)
    network.events.clear()
    network.bytes_sent.clear()
    return network
