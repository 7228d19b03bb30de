"""Decides which members keep a seed row in the platform's table."""

import collections.abc
import dataclasses

from . import member

SEEDS_PER_DATA_CENTRE = 3
SEED_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class SeedRow:
    """Address of one member, stored so that new nodes can join the mesh.

    Args:
        node_id: Node id of the member.
        data_centre: Name of the member's data centre.
        address: UDP address of the member.
    """

    node_id: str
    data_centre: str
    address: member.Address


@dataclasses.dataclass(frozen=True, slots=True)
class RowPlan:
    """Changes that one member makes to the seed rows.

    Args:
        write: Whether it writes its own row.
        delete: Node ids of the members whose rows it deletes.
        holder: Whether it is one of the members that keep a row.
    """

    write: bool
    delete: tuple[str, ...]
    holder: bool


def plan_rows(
    local_member: member.Member,
    present: collections.abc.Sequence[member.Member],
    rows: collections.abc.Sequence[SeedRow],
    *,
    alone_s: float,
) -> RowPlan:
    """Plan this member's changes to the seed rows.

    The longest-running members of each data centre keep its rows. A member
    that knows no other one writes a row at once if its data centre has too
    few. Otherwise it waits for the members in these rows; after
    `SEED_TIMEOUT_S` it assumes that they are dead and writes its row.

    Args:
        local_member: The local node's record.
        present: All present members, the local node included.
        rows: The seed rows of all data centres.
        alone_s: Seconds for which the local node has known no other member;
            0 if it knows some.

    Returns:
        The changes to make.
    """
    data_centre_rows = [
        row for row in rows if row.data_centre == local_member.data_centre
    ]
    holders = _choose_holders(local_member, present)
    if len(present) <= 1:
        full = len(data_centre_rows) >= SEEDS_PER_DATA_CENTRE
        waits_for_seeds = full and alone_s < SEED_TIMEOUT_S
        return RowPlan(
            not waits_for_seeds
            and _lacks_own_row(local_member, data_centre_rows),
            (),
            not waits_for_seeds,
        )
    if local_member.node_id in holders:
        return RowPlan(
            _lacks_own_row(local_member, data_centre_rows),
            _find_stale_rows(local_member, holders, present, data_centre_rows),
            True,
        )
    has_own_row = any(
        row.node_id == local_member.node_id for row in data_centre_rows
    )
    holders_have_rows = {row.node_id for row in data_centre_rows}.issuperset(
        holders
    )
    return RowPlan(
        False,
        (local_member.node_id,) if has_own_row and holders_have_rows else (),
        False,
    )


def _choose_holders(
    local_member: member.Member,
    present: collections.abc.Sequence[member.Member],
) -> list[str]:
    data_centre_members = [
        item
        for item in present
        if item.data_centre == local_member.data_centre
    ]
    data_centre_members.sort(
        key=lambda item: (item.incarnation.boot, item.node_id)
    )
    return [
        item.node_id for item in data_centre_members[:SEEDS_PER_DATA_CENTRE]
    ]


def _lacks_own_row(
    local_member: member.Member, rows: collections.abc.Sequence[SeedRow]
) -> bool:
    return not any(
        row.node_id == local_member.node_id
        and row.address == local_member.address
        for row in rows
    )


def _find_stale_rows(
    local_member: member.Member,
    holders: list[str],
    present: collections.abc.Sequence[member.Member],
    rows: collections.abc.Sequence[SeedRow],
) -> tuple[str, ...]:
    """Return the node ids of rows that the first holder deletes.

    Those are rows of absent members; other members delete none.
    """
    if holders[0] != local_member.node_id:
        return ()
    known = {item.node_id for item in present}
    return tuple(row.node_id for row in rows if row.node_id not in known)
