"""Commands on nodes: status and drain."""

import collections.abc
import itertools
import typing

import anyio
import cattrs
import click

from ..document import problem
from ..operations import fleet
from . import terminal

WATCH_INTERVAL_S = 2.0


@click.command('status')
@click.option('--watch', is_flag=True, help='Repeat until interrupted.')
@click.option(
    '--interval',
    'interval_s',
    default=WATCH_INTERVAL_S,
    show_default=True,
    type=click.FloatRange(min=0.1),
    help='Seconds between repeats.',
)
@click.pass_obj
@terminal.run_async
async def status(
    session: terminal.Session, watch: bool, interval_s: float
) -> None:
    """Show nodes, versions, calls and quotas as one node knows them."""
    node = session.require_node()
    async with session.connections.open_fleet() as client:
        for _ in itertools.count():
            found = await client.fetch_status(node)
            if isinstance(found, fleet.Unreachable) and not watch:
                raise make_unreachable(found)
            if watch and session.output is terminal.Output.TEXT:
                click.clear()
            show_status(session, node, found)
            if not watch:
                return
            await anyio.sleep(interval_s)


def show_status(
    session: terminal.Session,
    node: str,
    found: fleet.NodeStatus | fleet.Unreachable,
) -> None:
    """Print one status, or why there is none."""
    if isinstance(found, fleet.Unreachable):
        session.emit(
            {'outcome': 'unreachable', 'detail': found.detail},
            [f'{node} did not answer: {found.detail}'],
        )
        return
    members = fleet.list_members(found, node)
    session.emit(cattrs.unstructure(found), format_status(found, members))


def format_status(
    found: fleet.NodeStatus, members: collections.abc.Sequence[fleet.Member]
) -> collections.abc.Iterator[str]:
    """Return a status as lines."""
    newest = max(member.config_version for member in members)
    current = sum(member.config_version == newest for member in members)
    yield (
        f'{len(members)} nodes; version {newest} in force on {current}, '
        f'as {found.host} knows it.'
    )
    yield ''
    rows = [('SERVICE', 'HOST', 'STATE', 'VERSION', 'ADMIN', 'NODE')]
    rows += [
        (
            member.service,
            member.host,
            member.state,
            str(member.config_version),
            member.admin,
            member.node_id,
        )
        for member in members
    ]
    yield from format_table(rows)
    for title, values in (('Calls', found.calls), ('Quotas', found.quotas)):
        if values:
            yield ''
            yield f'{title} of {found.host}:'
            yield from format_values(values, '  ')


def format_table(
    rows: collections.abc.Sequence[tuple[str, ...]],
) -> collections.abc.Iterator[str]:
    """Return rows as aligned lines."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        yield '  '.join(cells).rstrip()


def format_values(
    values: collections.abc.Mapping[str, typing.Any], indent: str
) -> collections.abc.Iterator[str]:
    """Return nested values as indented lines."""
    for name, value in values.items():
        if isinstance(value, dict):
            yield f'{indent}{name}:'
            yield from format_values(value, indent + '  ')
        else:
            text = f'{value:g}' if isinstance(value, float) else str(value)
            yield f'{indent}{name}: {text}'


@click.command('drain')
@click.argument('host')
@click.option('--yes', '-y', is_flag=True, help='Do not ask.')
@click.pass_obj
@terminal.run_async
async def drain(session: terminal.Session, host: str, yes: bool) -> None:
    """Tell the nodes on HOST to take no new work and finish what they have."""
    node = session.require_node()
    async with session.connections.open_fleet() as client:
        found = await client.fetch_status(node)
        if isinstance(found, fleet.Unreachable):
            raise make_unreachable(found)
        members = find_members(fleet.list_members(found, node), host)
        names = ', '.join(f'{m.service} at {m.admin}' for m in members)
        if not yes:
            click.confirm(f'Drain {names}?', abort=True, err=True)
        outcomes = [await client.drain(member) for member in members]
    missed = [o for o in outcomes if isinstance(o, fleet.Unreachable)]
    if missed:
        raise make_unreachable(missed[0])
    data = {
        'outcome': 'draining',
        'host': host,
        'nodes': [member.node_id for member in members],
    }
    session.emit(data, [f'Draining {names}.'])


def find_members(
    members: collections.abc.Sequence[fleet.Member], host: str
) -> list[fleet.Member]:
    """Return the members on a host, or fail with the known hosts."""
    found = [m for m in members if host in (m.host, m.admin, m.node_id)]
    if found:
        return found
    hosts = sorted({member.host for member in members})
    hint = problem.suggest_name(host, hosts)
    raise terminal.Failure(
        terminal.ExitCode.USAGE,
        f"No node on host '{host}' is known; "
        f'known: {problem.list_names(hosts)}.{hint}',
    )


def make_unreachable(found: fleet.Unreachable) -> terminal.Failure:
    """Return the failure for a node that does not answer."""
    return terminal.Failure(
        terminal.ExitCode.NODE_UNREACHABLE,
        f'{found.address} did not answer: {found.detail}. '
        'Give --node of another node, or see whether it runs.',
    )


COMMANDS = (status, drain)
