"""Quota controllers of several nodes in virtual time, with faults."""

import asyncio
import collections.abc
import dataclasses
import random

import anyio

from ..controllers import quota
from ..controllers import quota_entry
from ..controllers import quota_standbys
from ..document import model
from ..platform import memory
from ..platform import protocols
from ..policy import lease
from ..policy import quota as quota_policy
from ..policy import quota_messages

NEAR_DELAY_S = 0.0003
FAR_DELAY_S = 0.0015
TABLE_DELAY_S = 0.004
TABLE_TIMEOUT_S = 1.0
DETECTION_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scheme:
    """A way to divide quotas.

    Args:
        name: Its name in the result.
        slots: Slots of each account; 0 for a number by its burst; None for
            a fixed share of each node.
        standbys: Candidates for a slot's standby.
        timing: How long leases last.
    """

    name: str
    slots: int | None
    standbys: int = quota_standbys.CANDIDATES
    timing: lease.Timing = dataclasses.field(default_factory=lease.Timing)

    def choose_slot_count(self, burst: float) -> int:
        """Return the number of slots of an account."""
        return self.slots or quota_policy.choose_slot_count(burst)


class Table:
    """A table that nodes reach over a network, or do not reach.

    Args:
        rows: Where the rows are.
    """

    def __init__(self, rows: memory.MemoryTable) -> None:
        self._rows = rows
        self.is_down = False
        self.writes = 0
        self.reads = 0

    async def get(self, key: str) -> protocols.ReadOutcome:
        """Read one row."""
        self.reads += 1
        if not await self._reach():
            return protocols.Unavailable('down')
        return await self._rows.get(key)

    async def list(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> protocols.ListOutcome:
        """Read the rows whose keys begin with a prefix."""
        self.reads += 1
        if not await self._reach():
            return protocols.Unavailable('down')
        return await self._rows.list(prefix, after=after, limit=limit)

    async def put(
        self, key: str, value: bytes, *, expected: str | None
    ) -> protocols.WriteOutcome:
        """Write one row if it is at the expected version."""
        return await self.batch((protocols.Put(key, value, expected),))

    async def delete(
        self, key: str, *, expected: str
    ) -> protocols.WriteOutcome:
        """Delete one row if it is at the expected version."""
        return await self.batch((protocols.Delete(key, expected),))

    async def batch(
        self, operations: collections.abc.Sequence[protocols.Operation]
    ) -> protocols.WriteOutcome:
        """Carry out all operations in one transaction, or none."""
        self.writes += 1
        if not await self._reach():
            return protocols.Unavailable('down')
        return await self._rows.batch(operations)

    async def _reach(self) -> bool:
        if self.is_down:
            await anyio.sleep(TABLE_TIMEOUT_S)
            return False
        await anyio.sleep(TABLE_DELAY_S)
        return True


class Node:
    """One node of the fleet.

    Args:
        fleet: The fleet.
        member: Its name and data centre.
        source: Random numbers.
    """

    def __init__(
        self, fleet: 'Fleet', member: quota_entry.Member, source: random.Random
    ) -> None:
        self.member = member
        self.fleet = fleet
        self.is_dead = False
        self.gone_at = float('inf')
        self.running = anyio.Event()
        self.running.set()
        self.table = Table(fleet.rows)
        self.controller = quota.QuotaController(
            node_id=member.node_id,
            incarnation=1,
            data_centre=member.data_centre,
            send=self._send,
            table=self.table,
            members=fleet.list_members,
            clock=fleet.loop.time,
            source=source,
            timing=fleet.scheme.timing,
            choose_slot_count=fleet.scheme.choose_slot_count,
            sleep=self._sleep,
            standbys=fleet.scheme.standbys,
        )

    @property
    def is_serving(self) -> bool:
        """Whether requests can enter here."""
        return not self.is_dead and self.running.is_set()

    def kill(self) -> None:
        """End at once."""
        self.is_dead = True
        self.gone_at = self.fleet.loop.time()
        self.controller.cancel()

    def pause(self) -> None:
        """Stop all work for a while."""
        self.running = anyio.Event()

    def _send(self, node_id: str, message: quota_messages.Message) -> None:
        self.fleet.send(self, node_id, message)

    async def _sleep(self, seconds: float) -> None:
        await anyio.sleep(seconds)
        await self.running.wait()


class Fleet:
    """Nodes, the network between them and the table.

    Args:
        scheme: How quotas are divided.
        accounts: The client accounts.
        nodes: Number of nodes.
        centres: Number of data centres.
        seed: Seed of all random numbers.
    """

    def __init__(
        self,
        scheme: Scheme,
        accounts: collections.abc.Sequence[model.ClientAccount],
        *,
        nodes: int,
        centres: int,
        seed: int,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.scheme = scheme
        self.rows = memory.MemoryTable()
        self.messages = 0
        self.isolated = ''
        self.nodes: dict[str, Node] = {}
        self._accounts = accounts
        self._centres = centres
        self._source = random.Random(seed)
        for number in range(nodes):
            self.add_node(number)

    def add_node(self, number: int) -> Node:
        """Add a node that is not started."""
        member = quota_entry.Member(
            f'node-{number}', f'dc-{number % self._centres}'
        )
        source = random.Random(self._source.random())
        node = Node(self, member, source)
        self.nodes[member.node_id] = node
        return node

    async def start_node(self, node: Node) -> None:
        """Start a node."""
        node.controller.replace_accounts(self._accounts)
        await node.controller.start()

    def stop(self) -> None:
        """End all nodes."""
        for node in self.nodes.values():
            node.controller.cancel()

    def list_members(self) -> list[quota_entry.Member]:
        """Return the nodes that failure detection believes alive."""
        now = self.loop.time()
        return [
            node.member
            for node in self.nodes.values()
            if now < node.gone_at + DETECTION_S
        ]

    def list_serving(self) -> list[Node]:
        """Return the nodes where requests can enter."""
        return [node for node in self.nodes.values() if node.is_serving]

    def find_main_owner(self) -> Node:
        """Return the owner of the first slot of the largest account."""
        largest = max(self._accounts, key=lambda account: account.rate)
        slot = quota_policy.Slot(largest.name, 0)
        for node in self.list_serving():
            if node.controller.slots.owns(slot):
                return node
        return self.list_serving()[0]

    def set_table_down(self, is_down: bool) -> None:
        """Switch the table off or on for all nodes."""
        for node in self.nodes.values():
            node.table.is_down = is_down

    def isolate(self, centre: str) -> None:
        """Cut a data centre from the others and from the table."""
        self.isolated = centre
        for node in self.nodes.values():
            if centre:
                node.table.is_down = node.member.data_centre == centre
            else:
                node.table.is_down = False

    def send(
        self, sender: Node, node_id: str, message: quota_messages.Message
    ) -> None:
        """Carry a message from one node to another."""
        receiver = self.nodes.get(node_id)
        self.messages += 1
        if receiver is None or sender.is_dead:
            return
        centres = {sender.member.data_centre, receiver.member.data_centre}
        if len(centres) > 1 and self.isolated in centres:
            return
        delay_s = NEAR_DELAY_S if len(centres) == 1 else FAR_DELAY_S
        self.loop.call_later(delay_s, self._deliver, sender, receiver, message)

    def _deliver(
        self, sender: Node, receiver: Node, message: quota_messages.Message
    ) -> None:
        if receiver.is_dead:
            return
        if not receiver.running.is_set():
            # It waits in the receiver's socket.
            self.loop.call_later(
                0.05, self._deliver, sender, receiver, message
            )
            return
        receiver.controller.on_message(sender.member.node_id, message)
