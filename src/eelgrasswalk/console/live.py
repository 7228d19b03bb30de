"""The live page and the history."""

import collections.abc
import dataclasses
import typing

import starlette.requests
import starlette.responses

from ..document import model
from ..operations import fleet
from ..operations import revisions
from . import pages

MAX_NODES = 256
MAX_ENTRIES = 100


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRow:
    """A node on the live page."""

    host: str
    service: str
    state: str
    config_version: int | None
    answered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Overview:
    """What the live page shows; counters run from each node's start.

    Args:
        nodes: The nodes known.
        answered: Requests answered whole; None where no node reports them.
        shed: Requests shed by importance; None where no node reports them.
        accounts: Requests sent and answered by account.
        unreachable: Why no node answered; empty when one did.
    """

    nodes: tuple[NodeRow, ...] = ()
    answered: int | None = None
    shed: dict[str, int] | None = None
    accounts: dict[str, dict[str, int]] | None = None
    unreachable: str = ''


@pages.require_operator
async def show_live(
    request: starlette.requests.Request,
) -> starlette.responses.Response:
    """Show the live page, which polls for its figures."""
    return pages.render(
        request,
        'live.html',
        title='Live',
        importances=[level.name.lower() for level in model.Importance],
    )


@pages.require_operator
async def send_live(
    request: starlette.requests.Request,
) -> starlette.responses.Response:
    """Send the live page's figures."""
    async with request.app.state.open_fleet() as client:
        overview = await collect_overview(
            client, request.app.state.settings.nodes
        )
    return starlette.responses.JSONResponse(dataclasses.asdict(overview))


@pages.require_operator
async def show_history(
    request: starlette.requests.Request,
) -> starlette.responses.Response:
    """Show who changed what."""
    async with request.app.state.open_revisions() as store:
        await pages.read_head(store)
        outcome = await store.list_entries()
    entries = outcome.entries if isinstance(outcome, revisions.Entries) else ()
    latest = list(reversed(entries))[:MAX_ENTRIES]
    return pages.render(
        request, 'history.html', title='History', entries=latest
    )


async def collect_overview(
    client: fleet.FleetClient, addresses: collections.abc.Sequence[str]
) -> Overview:
    """Ask the first node that answers, then the nodes that it knows.

    Args:
        client: Client of nodes.
        addresses: Administration addresses to begin with.
    """
    detail = 'the settings name no node'
    for address in addresses:
        status = await client.fetch_status(address)
        if isinstance(status, fleet.NodeStatus):
            members = fleet.list_members(status, address)[:MAX_NODES]
            answers = await client.ask_members(
                m for m in members if m.state != fleet.DEAD
            )
            return merge_statuses(members, answers)
        detail = f'{address}: {status.detail}'
    return Overview(unreachable=detail)


def merge_statuses(
    members: collections.abc.Sequence[fleet.Member],
    answers: collections.abc.Mapping[
        str, fleet.NodeStatus | fleet.Unreachable
    ],
) -> Overview:
    """Add up what the nodes report.

    Args:
        members: The nodes known.
        answers: Answers by node.
    """
    statuses = {
        node_id: answer
        for node_id, answer in answers.items()
        if isinstance(answer, fleet.NodeStatus)
    }
    rows = tuple(
        _make_row(member, statuses.get(member.node_id)) for member in members
    )
    calls = [status.calls for status in statuses.values()]
    return Overview(
        nodes=rows,
        answered=_add([c['answered'] for c in calls if 'answered' in c]),
        shed=_add_maps([c['shed'] for c in calls if 'shed' in c]),
        accounts=_add_accounts(
            [c['accounts'] for c in calls if 'accounts' in c]
        ),
    )


def _make_row(
    member: fleet.Member, status: fleet.NodeStatus | None
) -> NodeRow:
    if status is None:
        version = member.config_version
        return NodeRow(
            member.host, member.service, member.state, version, False
        )
    return NodeRow(
        status.host, status.service, status.state, status.config_version, True
    )


def _add(values: list[typing.Any]) -> int | None:
    numbers = [value for value in values if isinstance(value, int)]
    return sum(numbers) if numbers else None


def _add_maps(maps: list[typing.Any]) -> dict[str, int] | None:
    if not maps:
        return None
    totals: dict[str, int] = {}
    for values in maps:
        for name, value in values.items():
            totals[name] = totals.get(name, 0) + int(value)
    return totals


def _add_accounts(
    maps: list[typing.Any],
) -> dict[str, dict[str, int]] | None:
    if not maps:
        return None
    names = sorted({name for values in maps for name in values})
    return {
        name: _add_maps([v[name] for v in maps if name in v]) or {}
        for name in names
    }
