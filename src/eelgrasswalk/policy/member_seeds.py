"""Decides which members hold a seed row in the platform's table."""

import collections.abc
import dataclasses

from . import member

SEEDS_PER_DATA_CENTRE = 3
SEED_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class SeedRow:
    """A row by which new members find the mesh.

    Args:
        node_id: The member that it is about.
        data_centre: The member's data centre.
        address: Where the member receives datagrams.
    """

    node_id: str
    data_centre: str
    address: member.Address


@dataclasses.dataclass(frozen=True, slots=True)
class RowPlan:
    """What one member is to do about the seed rows.

    Args:
        write: Whether it writes its own row.
        delete: Node ids whose rows it deletes.
        holder: Whether it is one of those that keep a row.
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

    The members that have run longest hold the rows of their data centre.
    One that knows nobody leaves it to the holders for a while, and then
    takes them for dead.

    Args:
        local_member: The member that asks.
        present: All present members that it knows.
        rows: The seed rows of all data centres.
        alone_s: Seconds for which it has known no other member; 0 when it
            knows some.

    Returns:
        The plan.
    """
    nearby = [
        row for row in rows if row.data_centre == local_member.data_centre
    ]
    holders = _choose_holders(local_member, present)
    if len(present) <= 1:
        full = len(nearby) >= SEEDS_PER_DATA_CENTRE
        waits_for_seeds = full and alone_s < SEED_TIMEOUT_S
        return RowPlan(
            not waits_for_seeds and _lacks_own_row(local_member, nearby),
            (),
            not waits_for_seeds,
        )
    if local_member.node_id in holders:
        return RowPlan(
            _lacks_own_row(local_member, nearby),
            _find_stale_rows(local_member, holders, present, nearby),
            True,
        )
    has_own_row = any(row.node_id == local_member.node_id for row in nearby)
    holders_have_rows = {row.node_id for row in nearby}.issuperset(holders)
    return RowPlan(
        False,
        (local_member.node_id,) if has_own_row and holders_have_rows else (),
        False,
    )


def _choose_holders(
    local_member: member.Member,
    present: collections.abc.Sequence[member.Member],
) -> list[str]:
    nearby = [
        item
        for item in present
        if item.data_centre == local_member.data_centre
    ]
    nearby.sort(key=lambda item: (item.incarnation.boot, item.node_id))
    return [item.node_id for item in nearby[:SEEDS_PER_DATA_CENTRE]]


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
    """Return members that are gone, for the first holder to clean up."""
    if holders[0] != local_member.node_id:
        return ()
    known = {item.node_id for item in present}
    return tuple(row.node_id for row in rows if row.node_id not in known)
