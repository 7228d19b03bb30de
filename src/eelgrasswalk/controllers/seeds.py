"""Keeps a few seed rows in the platform's table and reads them."""

import asyncio
import collections.abc
import json
import random
import typing

from ..platform import protocols
from ..policy import member
from ..policy import member_seeds

PREFIX = 'seeds/'
LONE_INTERVAL_S = 5.0
HOLDER_INTERVAL_S = 60.0
OTHER_INTERVAL_S = 600.0
START_SPREAD_S = 2.0
_TOKEN_BITS = 128


class Mesh(typing.Protocol):
    """What the seed rows need to know of the membership."""

    @property
    def local_member(self) -> member.Member:
        """The node's own record."""
        ...

    def list_members(self) -> collections.abc.Sequence[member.Member]:
        """Return the present members, this node included."""
        ...

    def add_seeds(
        self, seeds: collections.abc.Iterable[member.Address]
    ) -> None:
        """Add addresses at which members may be found."""
        ...


class Seeds:
    """Reads all seed rows and keeps this node's own, if it holds one.

    Args:
        mesh: The membership that the rows are for.
        table: The platform's table.
        clock: Returns monotonic time in seconds.
        rng: Source of random numbers.
    """

    def __init__(
        self,
        mesh: Mesh,
        table: protocols.Table,
        *,
        clock: collections.abc.Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._mesh = mesh
        self._table = table
        self._clock = clock
        self._rng = rng
        self._alone_since: float | None = None
        self._holder = False

    async def run(self) -> None:
        """Read and keep the rows until cancelled."""
        await self.read()
        while True:
            await asyncio.sleep(self._draw_interval())
            await self.refresh()

    async def read(self) -> None:
        """Read the rows of all data centres, to find the mesh by them."""
        rows = await self._list_rows()
        if rows is not None:
            self._mesh.add_seeds(seed.address for seed, _ in rows)

    async def refresh(self) -> None:
        """Read the rows, and write or delete as this node's rank asks."""
        rows = await self._list_rows()
        if rows is None:
            return
        self._mesh.add_seeds(seed.address for seed, _ in rows)
        plan = member_seeds.plan_rows(
            self._mesh.local_member,
            self._mesh.list_members(),
            [seed for seed, _ in rows],
            alone_s=self._count_alone(),
        )
        self._holder = plan.holder
        await self._carry_out(plan, {seed.node_id: row for seed, row in rows})

    async def withdraw(self) -> None:
        """Delete this node's own row, if there is one."""
        if not self._holder:
            return
        found = await self._table.get(build_key(self._mesh.local_member))
        if isinstance(found, protocols.Found):
            await self._table.delete(found.row.key, expected=found.row.version)

    async def _list_rows(
        self,
    ) -> list[tuple[member_seeds.SeedRow, protocols.Row]] | None:
        listed = await self._table.list(PREFIX)
        if not isinstance(listed, protocols.Listed):
            return None
        rows = [(read_row(row), row) for row in listed.rows]
        return [(seed, row) for seed, row in rows if seed is not None]

    async def _carry_out(
        self,
        plan: member_seeds.RowPlan,
        rows: collections.abc.Mapping[str, protocols.Row],
    ) -> None:
        local_member = self._mesh.local_member
        if plan.write:
            former = rows.get(local_member.node_id)
            expected = None if former is None else former.version
            await self._table.put(
                build_key(local_member),
                self._build_value(local_member),
                expected=expected,
            )
        for node_id in plan.delete:
            row = rows[node_id]
            await self._table.delete(row.key, expected=row.version)

    def _build_value(self, local_member: member.Member) -> bytes:
        value = {
            'ip': local_member.ip,
            'port': local_member.udp_port,
            'token': f'{self._rng.getrandbits(_TOKEN_BITS):032x}',
        }
        return json.dumps(value).encode()

    def _count_alone(self) -> float:
        if len(self._mesh.list_members()) > 1:
            self._alone_since = None
            return 0.0
        now = self._clock()
        if self._alone_since is None:
            self._alone_since = now
        return now - self._alone_since

    def _draw_interval(self) -> float:
        """Return a random interval, so that nodes do not write at once."""
        if len(self._mesh.list_members()) <= 1:
            if self._alone_since is None:
                return START_SPREAD_S * self._rng.random()
            interval = LONE_INTERVAL_S
        elif self._holder:
            interval = HOLDER_INTERVAL_S
        else:
            interval = OTHER_INTERVAL_S
        return interval * (0.5 + self._rng.random())


def build_key(local_member: member.Member) -> str:
    """Return the key of a member's seed row."""
    return f'{PREFIX}{local_member.data_centre}/{local_member.node_id}'


def read_row(row: protocols.Row) -> member_seeds.SeedRow | None:
    """Return what a row says, or None when it cannot be understood."""
    parts = row.key.split('/')
    if len(parts) != 3:
        return None
    try:
        value = json.loads(row.value)
        address = member.Address(str(value['ip']), int(value['port']))
    except (ValueError, TypeError, LookupError):
        return None
    return member_seeds.SeedRow(parts[2], parts[1], address)
