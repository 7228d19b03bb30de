"""Waits until a version is in force and shows how far it has come."""

import dataclasses
import typing

import anyio
import click

from ..document import problem
from ..operations import fleet
from . import terminal

POLL_INTERVAL_S = 0.5
MAX_LISTED = 50


async def wait_for_version(
    session: terminal.Session, version: int, timeout_s: float
) -> fleet.Progress:
    """Wait until a version is in force on every known node.

    Args:
        session: The command's session.
        version: The version to wait for.
        timeout_s: Seconds to wait.

    Returns:
        The progress, complete.

    Raises:
        terminal.Failure: It was not in force everywhere in time; the message
            lists the hosts not reached.
    """
    node = session.require_node()
    last: fleet.Progress | fleet.Unreachable | None = None
    # A node never goes back to an earlier version.
    confirmed: set[str] = set()
    seen: dict[str, fleet.Member] = {}
    told = ''
    async with session.connections.open_fleet() as client:
        with anyio.move_on_after(timeout_s):
            while True:
                last = await client.check_progress(
                    node, version, confirmed=confirmed
                )
                if isinstance(last, fleet.Progress):
                    last = add_vanished(last, seen, confirmed)
                    confirmed |= {m.node_id for m in last.in_force}
                    line = summarize_progress(last)
                    if line != told:
                        session.tell(line)
                    told = line
                    if last.complete:
                        return last
                await anyio.sleep(POLL_INTERVAL_S)
    raise make_overdue(session, version, last, timeout_s)


def add_vanished(
    reached: fleet.Progress,
    seen: dict[str, fleet.Member],
    confirmed: set[str],
) -> fleet.Progress:
    """Count nodes that are no longer listed, unconfirmed, among the dead.

    Args:
        reached: The progress of this round.
        seen: Nodes of earlier rounds; those of this one are added.
        confirmed: Nodes that have the version.
    """
    listed = {
        member.node_id: member
        for member in (
            *reached.in_force,
            *reached.lagging,
            *reached.unreached,
            *reached.dead,
        )
    }
    vanished = [
        member
        for node_id, member in seen.items()
        if node_id not in listed and node_id not in confirmed
    ]
    seen.update(listed)
    return dataclasses.replace(reached, dead=(*reached.dead, *vanished))


def make_overdue(
    session: terminal.Session,
    version: int,
    last: fleet.Progress | fleet.Unreachable | None,
    timeout_s: float,
) -> terminal.Failure:
    """Return the failure for a version that is not in force in time."""
    if not isinstance(last, fleet.Progress):
        detail = last.detail if last else 'no answer in time'
        return terminal.Failure(
            terminal.ExitCode.NODE_UNREACHABLE,
            f'{session.node} cannot be asked where version {version} is in '
            f'force ({detail}). Give --node of another node.',
        )
    hosts = [
        f'{m.host} ({m.admin}) has {m.config_version}, answers'
        for m in last.lagging
    ]
    hosts += [f'{m.host} ({m.admin}) not reached' for m in last.unreached]
    shown = hosts[:MAX_LISTED]
    if len(hosts) > MAX_LISTED:
        shown.append(f'and {len(hosts) - MAX_LISTED} more')
    listing = '\n  '.join(shown)
    return terminal.Failure(
        terminal.ExitCode.NOT_IN_FORCE,
        f'Version {version} is not in force everywhere after '
        f'{timeout_s:g} s:\n  {listing}\n'
        'Nodes that can reach the store or a peer will take it; look again '
        "with 'eelgrasswalk status'.",
    )


def summarize_progress(reached: fleet.Progress) -> str:
    """Return the progress on one line."""
    total = sum(
        map(len, (reached.in_force, reached.lagging, reached.unreached))
    )
    text = (
        f'Version {reached.version} is in force on '
        f'{len(reached.in_force)} of {total} nodes'
    )
    if reached.unreached:
        text += f', {len(reached.unreached)} not reached'
    if reached.dead:
        hosts = problem.list_names(member.host for member in reached.dead)
        text += f'; taken for dead and not waited for: {hosts}'
    return text + '.'


def export_progress(reached: fleet.Progress) -> dict[str, typing.Any]:
    """Return the progress as plain data."""
    return {
        'version': reached.version,
        'in_force': [member.host for member in reached.in_force],
        'lagging': [member.host for member in reached.lagging],
        'unreached': [member.host for member in reached.unreached],
        'dead': [member.host for member in reached.dead],
    }


@click.command('wait')
@click.argument('version', type=click.IntRange(min=1))
@click.option(
    '--timeout',
    'timeout_s',
    default=30.0,
    show_default=True,
    type=click.FloatRange(min=0),
    help='Seconds to wait.',
)
@click.pass_obj
@terminal.run_async
async def wait(
    session: terminal.Session, version: int, timeout_s: float
) -> None:
    """Wait until VERSION is in force everywhere."""
    reached = await wait_for_version(session, version, timeout_s)
    data = {'outcome': 'in_force', 'in_force': export_progress(reached)}
    session.emit(data, [summarize_progress(reached)])


COMMANDS = (wait,)
