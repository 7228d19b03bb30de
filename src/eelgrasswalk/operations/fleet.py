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
MEMBER_TIMEOUT_S = 1.0
DIRECT_ASKS = 32
LEFT = 'left'
DEAD = 'dead'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A node as another node knows it.

    Args:
        node_id: Identity of the node's process.
        host: Host that it runs on.
        admin: Administration address, `IP:PORT`.
        service: Service of its target.
        state: State of the node.
        config_version: Version in force there; None where not known.
        data_centre: Data centre of the host.
    """

    node_id: str
    host: str
    admin: str
    service: str
    state: str
    config_version: int | None = None
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
        calls: Its counts of callers' calls.
        admission: Calls that its target runs, that wait, and the limit.
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
    admission: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
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
        dead: Nodes that others take for dead; they are not waited for.
    """

    version: int
    in_force: tuple[Member, ...]
    lagging: tuple[Member, ...]
    unreached: tuple[Member, ...]
    dead: tuple[Member, ...] = ()

    @property
    def complete(self) -> bool:
        """Whether every node that is not dead has the version in force."""
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

    async def fetch_status(
        self, address: str, *, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> NodeStatus | Unreachable:
        """Ask one node for its status.

        Args:
            address: Its administration address.
            timeout_s: Seconds to wait for the answer.
        """
        if not address:
            return Unreachable('', 'no administration address is known')
        try:
            response = await self._client.get(
                format_url(address) + STATUS_PATH, timeout=timeout_s
            )
            response.raise_for_status()
            return cattrs.structure(response.json(), NodeStatus)
        except httpx.HTTPError as error:
            return Unreachable(address, _describe_error(error))
        except Exception:
            return Unreachable(address, 'the answer is no node status')

    async def fetch(
        self,
        address: str,
        path: str,
        *,
        params: collections.abc.Mapping[str, str],
        headers: collections.abc.Mapping[str, str],
    ) -> httpx.Response | Unreachable:
        """Send a GET to a node and return its answer, whatever its status."""
        try:
            return await self._client.get(
                format_url(address) + path,
                params=params,
                headers=headers,
                timeout=REQUEST_TIMEOUT_S,
            )
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            return Unreachable(address, str(error) or type(error).__name__)

    async def drain(self, member: Member) -> Draining | Unreachable:
        """Tell one node to drain."""
        if not member.admin:
            detail = 'no administration address is known'
            return Unreachable(member.host, detail)
        try:
            response = await self._client.post(
                format_url(member.admin) + DRAIN_PATH,
                timeout=REQUEST_TIMEOUT_S,
            )
            response.raise_for_status()
        except httpx.HTTPError as error:
            return Unreachable(member.admin, _describe_error(error))
        return Draining(member.node_id)

    async def ask_members(
        self, members: collections.abc.Iterable[Member]
    ) -> dict[str, NodeStatus | Unreachable]:
        """Ask nodes for their own status.

        Returns:
            The answers by node.
        """
        answers: dict[str, NodeStatus | Unreachable] = {}
        limiter = anyio.CapacityLimiter(DIRECT_ASKS)

        async def ask(member: Member) -> None:
            async with limiter:
                answers[member.node_id] = await self.fetch_status(
                    member.admin, timeout_s=MEMBER_TIMEOUT_S
                )

        async with anyio.create_task_group() as group:
            for member in members:
                group.start_soon(ask, member)
        return answers

    async def check_progress(
        self,
        address: str,
        version: int,
        *,
        confirmed: collections.abc.Set[str] = frozenset(),
    ) -> Progress | Unreachable:
        """Find out where a version is in force.

        The members come from one node; those not known to have the version
        are asked themselves.

        Args:
            address: Any node's administration address.
            version: The version waited for.
            confirmed: Nodes that have it, which need not be asked again.
        """
        status = await self.fetch_status(address)
        if isinstance(status, Unreachable):
            return status
        members = list_members(status, address)
        present = [m for m in members if m.state != DEAD]
        doubtful = [
            m
            for m in present
            if m.node_id not in confirmed and (m.config_version or 0) < version
        ]
        answers = await self.ask_members(doubtful)
        in_force, lagging, unreached = [], [], []
        for member in present:
            answer = answers.get(member.node_id)
            if isinstance(answer, Unreachable):
                unreached.append(member)
            elif answer is not None and answer.config_version < version:
                lagging.append(_correct_version(member, answer))
            else:
                in_force.append(member)
        return Progress(
            version,
            tuple(in_force),
            tuple(lagging),
            tuple(unreached),
            tuple(m for m in members if m.state == DEAD),
        )


def _correct_version(member: Member, answer: NodeStatus) -> Member:
    return dataclasses.replace(member, config_version=answer.config_version)


def list_members(status: NodeStatus, address: str) -> tuple[Member, ...]:
    """Return the node itself and the members that have not left.

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
        if member.state != LEFT:
            members.setdefault(member.node_id, member)
    ordered = sorted(members.values(), key=lambda m: (m.service, m.host))
    return tuple(ordered)


def _describe_error(error: httpx.HTTPError) -> str:
    if isinstance(error, httpx.HTTPStatusError):
        return f'HTTP status {error.response.status_code}'
    return str(error) or type(error).__name__
