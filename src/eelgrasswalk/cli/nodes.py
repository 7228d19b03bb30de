"""Commands on nodes: status and drain."""

import collections.abc
import dataclasses
import itertools
import typing

import anyio
import cattrs
import click

from .. import events
from ..document import problem
from ..operations import fleet
from . import terminal

WATCH_INTERVAL_S = 2.0
MAX_ASKED = 256


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
            await show_status(session, client, node, found)
            if not watch:
                return
            await anyio.sleep(interval_s)


async def show_status(
    session: terminal.Session,
    client: fleet.FleetClient,
    node: str,
    found: fleet.NodeStatus | fleet.Unreachable,
) -> None:
    """Print what one node and the nodes that it knows report."""
    if isinstance(found, fleet.Unreachable):
        session.emit(
            {'outcome': 'unreachable', 'detail': found.detail},
            [f'{node} did not answer: {found.detail}'],
        )
        return
    members = fleet.list_members(found, node)
    asked = [m for m in members if m.state != fleet.DEAD][:MAX_ASKED]
    answers = await client.ask_members(asked)
    data = {
        'node': cattrs.unstructure(found),
        'nodes': {
            node_id: cattrs.unstructure(
                dataclasses.replace(answer, members=())
            )
            for node_id, answer in answers.items()
            if isinstance(answer, fleet.NodeStatus)
        },
    }
    session.emit(data, format_status(found, members, answers))


def format_status(
    found: fleet.NodeStatus,
    members: collections.abc.Sequence[fleet.Member],
    answers: collections.abc.Mapping[
        str, fleet.NodeStatus | fleet.Unreachable
    ],
) -> collections.abc.Iterator[str]:
    """Return a status as lines."""
    rows = [make_row(m, answers.get(m.node_id)) for m in members]
    versions = {row.version for row in rows if row.version is not None}
    newest = max(versions, default=0)
    current = sum(row.version == newest for row in rows)
    yield (
        f'{len(rows)} nodes; version {newest} in force on {current}, '
        f'as {found.host} knows them.'
    )
    yield ''
    head = ('SERVICE', 'HOST', 'STATE', 'VERSION', 'RUNNING', 'SHED')
    yield from format_table([(*head, 'ADMIN'), *(row.cells for row in rows)])
    for title, values in (('Calls', found.calls), ('Quotas', found.quotas)):
        if values:
            yield ''
            yield f'{title} of {found.host}:'
            yield from format_values(values, '  ')


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A node's line.

    Args:
        version: Version in force; None where not known.
        cells: The line's cells.
    """

    version: int | None
    cells: tuple[str, ...]


def make_row(
    member: fleet.Member, answer: fleet.NodeStatus | fleet.Unreachable | None
) -> Row:
    """Return a node's line, from its own answer where there is one."""
    state, version = member.state, member.config_version
    running = shed = '-'
    if isinstance(answer, fleet.Unreachable):
        state += ', no answer'
    elif answer is not None:
        state, version = answer.state, answer.config_version
        running = format_load(answer.admission)
        shed = str(sum(answer.calls.get('shed', {}).values()))
    shown = '-' if version is None else str(version)
    cells = (member.service, member.host, state, shown, running, shed)
    return Row(version, (*cells, member.admin))


def format_load(admission: collections.abc.Mapping[str, typing.Any]) -> str:
    """Return a target's running and waiting calls, and its limit."""
    if not admission:
        return '-'
    limit = int(admission.get('limit', 0))
    running = admission.get('in_flight', 0)
    queued = admission.get('queued', 0)
    return f'{running}/{limit}+{queued}'


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


@click.command('events')
@click.argument('number', type=int, required=False)
@click.pass_obj
def list_events(session: terminal.Session, number: int | None) -> None:
    """Explain the log event NUMBER, or all."""
    found = [
        event
        for event in events.list_events()
        if number is None or event.number == number
    ]
    if not found:
        raise terminal.Failure(
            terminal.ExitCode.USAGE,
            f"There is no event {number}. See 'eelgrasswalk events'.",
        )
    data = {'events': [dataclasses.asdict(event) for event in found]}
    rows = [('EVENT', 'TEXT', 'WHAT TO DO')]
    rows += [(str(e.number), e.text, e.remedy or '-') for e in found]
    session.emit(data, format_table(rows))


COMMANDS = (status, drain, list_events)
