"""What control costs a node, and what that comes to at 1,200 nodes."""

import collections.abc
import dataclasses
import math
import statistics
import typing

import click

from . import control_members
from . import control_nodes
from . import report

DESIGN_NODES = 1_200
PROCESS_SIZES = (8, 16, 32)
MEMBER_SIZES = (60, 300, 1_200)
STORM_SIZE = 180
SECONDS = 15.0
QUICK_PROCESS_SIZES = (4, 8)
QUICK_MEMBER_SIZES = (30, 150)
QUICK_SECONDS = 4.0
FIELDS = ('cpu_core_ratio', 'rss_mb', 'bytes_s', 'config_in_force_s')

Points: typing.TypeAlias = collections.abc.Sequence[control_members.Point]


def extrapolate(
    points: Points, name: str, *, nodes: int = DESIGN_NODES
) -> float | None:
    """Return a figure at a size from the slope of the measured points.

    The time until a version is in force grows with the logarithm of the
    size, since it is spread by gossip; everything else with the size.

    Args:
        points: Points of one kind.
        name: The figure.
        nodes: The size.

    Returns:
        The figure, or None when it was measured at fewer than two sizes.
    """
    scale = math.log2 if name == 'config_in_force_s' else float
    known = [
        (scale(point.nodes), getattr(point, name))
        for point in points
        if getattr(point, name) is not None
    ]
    if len(known) < 2:
        return None
    sizes, values = zip(*known, strict=True)
    slope, base = statistics.linear_regression(sizes, values)
    return base + slope * scale(nodes)


def combine(processes: Points, members: Points) -> dict[str, typing.Any]:
    """Return the figures of a whole node at the size to design for.

    What grows with the mesh is taken from the members' slope, and what the
    rest of a node adds from the largest mesh of processes.

    Args:
        processes: Points of whole nodes.
        members: Points of the membership alone.
    """
    figures: dict[str, typing.Any] = {'nodes': DESIGN_NODES}
    for name in FIELDS:
        membership = extrapolate(members, name)
        figures[name] = None
        if membership is None or not processes:
            continue
        largest = processes[-1]
        there = extrapolate(members, name, nodes=largest.nodes)
        whole = getattr(largest, name)
        if there is not None and whole is not None:
            rest = max(0.0, whole - there)
            figures[name] = round(membership + rest, 5)
    return figures


@click.command()
@click.option('--json', 'as_json', is_flag=True, help='One line of JSON.')
@click.option('--quick', is_flag=True, help='Fit into 50 s.')
@click.option('--seed', default=1, show_default=True)
@click.option('--nodes', multiple=True, type=int, help='Meshes of processes.')
@click.option('--members', multiple=True, type=int, help='Sizes of meshes.')
@click.option('--storm', type=int, help='Mesh that loses a data centre.')
@click.option('--seconds', type=float, help='Measured time of each point.')
def command(
    as_json: bool,
    quick: bool,
    seed: int,
    nodes: tuple[int, ...],
    members: tuple[int, ...],
    storm: int | None,
    seconds: float | None,
) -> None:
    """Measure control at several sizes and work out 1,200 nodes."""
    run = report.start_run('control', seed=seed)
    sizes = nodes or (QUICK_PROCESS_SIZES if quick else PROCESS_SIZES)
    member_sizes = members or (QUICK_MEMBER_SIZES if quick else MEMBER_SIZES)
    length = seconds or (QUICK_SECONDS if quick else SECONDS)
    settle_s = control_members.SETTLE_S
    if quick:
        settle_s = control_members.QUICK_SETTLE_S
    alone = control_members.measure_members(
        member_sizes, seconds=length, seed=seed, settle_s=settle_s
    )
    whole, uses = control_nodes.measure_nodes(
        sizes, seconds=length, settle_s=settle_s
    )
    lost = None
    if not quick:
        lost = control_members.measure_storm(storm or STORM_SIZE, seed=seed)
    fields = {
        'points': [dataclasses.asdict(item) for item in (*whole, *alone)],
        'platform': [dataclasses.asdict(use) for use in uses],
        'data_centre_lost': None if lost is None else dataclasses.asdict(lost),
        'at_1200': combine(whole, alone),
    }
    report.print_result(run, fields, as_json=as_json)
