"""The typed configuration document."""

import dataclasses
import enum


class Importance(enum.IntEnum):
    """How much a kind of request matters; the lowest number is shed last."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class OnceMode(enum.Enum):
    """What a route does about at-most-once claims in a store outage.

    NONE makes no claim at all; REFUSE refuses without the store; LOCAL goes
    on with the node's own record of attempts.
    """

    NONE = 'none'
    REFUSE = 'refuse'
    LOCAL = 'local'


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A key of a client account.

    Args:
        label: The operators' name for it.
        digest: Lower-case hexadecimal SHA-256 of the key.
    """

    label: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account.

    Args:
        name: Its name.
        rate: Requests a second, over all hosts together.
        burst: Requests that may come at once.
        keys: The keys in force. A key that is not listed is withdrawn.
    """

    name: str
    rate: float
    burst: int
    keys: tuple[Key, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and what each of its upstreams can take.

    Args:
        name: Its name.
        slots: Requests that one upstream's target runs at a time.
        connections: Connections that one upstream's target accepts.
        refusal_means_not_run: Whether a 503 of the target itself proves
            that the request did not run.
        upstreams: Upstreams that operators plan for; 0 where not stated.
            Nodes announce themselves whatever it says.
    """

    name: str
    slots: int
    connections: int
    refusal_means_not_run: bool = False
    upstreams: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which service, and on what terms.

    Args:
        name: Its name.
        service: The service that answers.
        path_prefix: Matches paths that begin with it; the longest wins.
        methods: Methods matched; empty for all.
        importance: How late it is shed.
        idempotent: Whether running it twice does no harm.
        open_to_all: Whether it runs without a key.
        deadline_s: Seconds that a request has when it names none.
        max_request_bytes: Longest body of a request.
        max_answer_bytes: Longest body of an answer.
        once: What it does about at-most-once claims.
        retry_allowance: Extra attempts for the whole call tree.
    """

    name: str
    service: str
    path_prefix: str
    methods: tuple[str, ...] = ()
    importance: Importance = Importance.NORMAL
    idempotent: bool = False
    open_to_all: bool = False
    deadline_s: float = 10.0
    max_request_bytes: int = 1_048_576
    max_answer_bytes: int = 33_554_432
    once: OnceMode = OnceMode.NONE
    retry_allowance: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds that no other part of the document may exceed.

    Args:
        total_rate: Sum of the accounts' rates, in requests a second.
        total_slots: Sum over services of slots times planned upstreams.
        deadline_s: Longest deadline of a route, in seconds.
        body_bytes: Longest body of a request or an answer.
        retry_allowance: Largest retry allowance of a route.
    """

    total_rate: float = 120_000.0
    total_slots: int = 200_000
    deadline_s: float = 120.0
    body_bytes: int = 67_108_864
    retry_allowance: int = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """One mesh's whole configuration.

    Args:
        schema: Version of the schema.
        mesh: Name of the mesh.
        accounts: Its client accounts.
        services: Its services.
        routes: Its routes.
        limits: Bounds on the rest.
    """

    schema: int
    mesh: str
    accounts: tuple[ClientAccount, ...]
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    limits: Limits = Limits()
