"""Asks nodes where a request would go."""

import dataclasses
import typing

import httpx

from . import fleet

PATH = '/placement'
FORMAT = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """The request that is asked about.

    Args:
        host: Host name that it is addressed to.
        path: Its path, possibly with a query.
        method: Its method.
        key: Its API key; empty without one.
    """

    host: str
    path: str
    method: str
    key: str = dataclasses.field(default='', repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Explained:
    """The explanation of a node, as its JSON object."""

    address: str
    explanation: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A node that has no explanation.

    Args:
        address: The address asked.
        error: Name of the problem.
        detail: One sentence on it.
    """

    address: str
    error: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class TooOld:
    """A node that does not know the question, or another format of it."""

    address: str


Answer: typing.TypeAlias = Explained | Rejected | TooOld | fleet.Unreachable


async def ask(
    client: fleet.FleetClient, address: str, question: Question
) -> Answer:
    """Ask one node.

    Args:
        client: The client of nodes.
        address: The node's metrics address, `IP:PORT`.
        question: The request that is asked about.
    """
    headers = {}
    if question.key:
        headers['authorization'] = f'Bearer {question.key}'
    params = {
        'host': question.host,
        'path': question.path,
        'method': question.method,
    }
    response = await client.fetch(
        address, PATH, params=params, headers=headers
    )
    if isinstance(response, fleet.Unreachable):
        return response
    return _read_answer(address, response)


def _read_answer(address: str, response: httpx.Response) -> Answer:
    try:
        data = response.json()
    except ValueError:
        data = None
    if not isinstance(data, dict) or data.get('format') != FORMAT:
        return _read_other(address, response)
    found = data.get('explanation')
    if isinstance(found, dict):
        return Explained(address, found)
    return Rejected(
        address, str(data.get('error', '')), str(data.get('detail', ''))
    )


def _read_other(address: str, response: httpx.Response) -> Answer:
    # Nodes answer paths that they do not know with 404.
    if response.status_code in (200, 404):
        return TooOld(address)
    return fleet.Unreachable(address, f'HTTP status {response.status_code}')
