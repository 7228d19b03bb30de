"""Asks nodes about themselves over their administration addresses."""

import collections.abc
import dataclasses
import typing

import anyio
import cattrs
import httpx

STATUS_PATH = '/_eelgrasswalk/status'
DRAIN_PATH = '/_eelgrasswalk/drain'
REQUEST_TIMEOUT_S = 3.0
DIRECT_ASKS = 16
GONE_STATES = frozenset({'dead', 'left', 'gone'})


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A node as another node knows it.

    Args:
        node_id: Identity of the node's process.
        host: Host that it runs on.
        admin: Administration address, `IP:PORT`.
        service: Service of its target.
        state: State of the node.
        config_version: Version in force there, as far as known.
        data_centre: Data centre of the host.
    """

    node_id: str
    host: str
    admin: str
    service: str
    state: str
    config_version: int
    data_centre: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStatus:
    """What a node reports.

    Args:
        node_id: Identity of its process.
        host: Host that it runs on.
        data_centre: Data centre of the host.
        service: Service of its target.
        state: State of the node.
        config_version: Version in force.
        members: The nodes that it knows.
        calls: Its counters of calls.
        quotas: Its share of the accounts' quotas.
    """

    node_id: str
    host: str
    data_centre: str
    service: str
    state: str
    config_version: int
    members: tuple[Member, ...] = ()
    calls: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    quotas: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """A node that gave no usable answer.

    Args:
        address: The address asked.
        detail: Why.
    """

    address: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Draining:
    """A node that accepted the order to drain."""

    node_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """How far a version has come.

    Args:
        version: The version waited for.
        in_force: Nodes that have it or a later one in force.
        lagging: Nodes that answered with an earlier one.
        unreached: Nodes that did not answer for themselves.
    """

    version: int
    in_force: tuple[Member, ...]
    lagging: tuple[Member, ...]
    unreached: tuple[Member, ...]

    @property
    def complete(self) -> bool:
        """Whether every known node has the version in force."""
        return not self.lagging and not self.unreached


def format_url(address: str) -> str:
    """Return the URL of an administration address."""
    if '://' in address:
        return address.rstrip('/')
    return f'http://{address}'


class FleetClient:
    """Asks nodes over HTTP.

    Args:
        client: The HTTP client; the caller closes it.
    """

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def fetch_status(self, address: str) -> NodeStatus | Unreachable:
        """Ask one node for its status."""
        try:
            response = await self._client.get(
                format_url(address) + STATUS_PATH, timeout=REQUEST_TIMEOUT_S
            )
            response.raise_for_status()
            return cattrs.structure(response.json(), NodeStatus)
        except httpx.HTTPError as error:
            return Unreachable(address, _describe_error(error))
        except Exception:
            return Unreachable(address, 'the answer is no node status')

    async def drain(self, member: Member) -> Draining | Unreachable:
        """Tell one node to drain."""
        try:
            response = await self._client.post(
                format_url(member.admin) + DRAIN_PATH,
                timeout=REQUEST_TIMEOUT_S,
            )
            response.raise_for_status()
        except httpx.HTTPError as error:
            return Unreachable(member.admin, _describe_error(error))
        return Draining(member.node_id)

    async def check_progress(
        self, address: str, version: int
    ) -> Progress | Unreachable:
        """Find out where a version is in force.

        The members' versions come from one node first; those that seem to
        lag are then asked themselves, since that node's view is late.

        Args:
            address: Any node's administration address.
            version: The version waited for.
        """
        status = await self.fetch_status(address)
        if isinstance(status, Unreachable):
            return status
        members = list_members(status, address)
        behind = [m for m in members if m.config_version < version]
        answers = await self._ask_members(behind)
        in_force = [m for m in members if m.config_version >= version]
        lagging, unreached = [], []
        for member in behind:
            answer = answers[member.node_id]
            if isinstance(answer, Unreachable):
                unreached.append(member)
            elif answer.config_version >= version:
                in_force.append(member)
            else:
                lagging.append(member)
        return Progress(
            version, tuple(in_force), tuple(lagging), tuple(unreached)
        )

    async def _ask_members(
        self, members: collections.abc.Sequence[Member]
    ) -> dict[str, NodeStatus | Unreachable]:
        answers: dict[str, NodeStatus | Unreachable] = {}
        limiter = anyio.CapacityLimiter(DIRECT_ASKS)

        async def ask(member: Member) -> None:
            async with limiter:
                answers[member.node_id] = await self.fetch_status(member.admin)

        async with anyio.create_task_group() as group:
            for member in members:
                group.start_soon(ask, member)
        return answers


def list_members(status: NodeStatus, address: str) -> tuple[Member, ...]:
    """Return the node itself and the members that are not gone.

    Args:
        status: The node's status.
        address: The address that gave it.
    """
    members = {
        status.node_id: Member(
            node_id=status.node_id,
            host=status.host,
            admin=address,
            service=status.service,
            state=status.state,
            config_version=status.config_version,
            data_centre=status.data_centre,
        )
    }
    for member in status.members:
        if member.state not in GONE_STATES:
            members.setdefault(member.node_id, member)
    ordered = sorted(members.values(), key=lambda m: (m.service, m.host))
    return tuple(ordered)


def _describe_error(error: httpx.HTTPError) -> str:
    if isinstance(error, httpx.HTTPStatusError):
        return f'HTTP status {error.response.status_code}'
    return str(error) or type(error).__name__
