"""What callers, operators and samplers saw during a run of faults."""

import dataclasses
import enum


class Told(enum.Enum):
    """What a caller was told of one attempt."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    CUT = 'cut'
    LEFT = 'left'


class Load(enum.Enum):
    """A kind of request."""

    READ = 'read'
    TREE = 'tree'
    BOOKING = 'booking'
    GREEDY = 'greedy'
    KEYED = 'keyed'


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request of a caller, as the caller saw it.

    Times are seconds of the monotonic clock.

    Args:
        load: Its kind.
        request: Its request id; a booking has the same one on every try.
        entry: Index of the node that it was sent to.
        key: The key that came with it.
        sent_at: When it was sent.
        ended_at: When its outcome was known.
        told: Its outcome.
        status: Status of the answer; 0 for none.
        echoed: Request id in the answer; empty for none.
        detail: What the answer or the connection said of a failure.
    """

    load: Load
    request: str
    entry: int
    key: str
    sent_at: float
    ended_at: float = 0.0
    told: Told = Told.LEFT
    status: int = 0
    echoed: str = ''
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One request that a target began.

    Args:
        request: Its request id.
        booking: Its booking id.
        root: Id of the root of its call tree; empty for none.
        path: Its path without the query.
        start: When it began, in seconds of the monotonic clock.
        has_key: Whether it held a key.
    """

    request: str
    booking: str
    root: str
    path: str
    start: float
    has_key: bool


@dataclasses.dataclass(slots=True)
class Span:
    """A fault's time on one node or all.

    Args:
        kind: Its kind's name.
        node: Index of the node; None for no single one.
        start: When it began, in seconds of the monotonic clock.
        end: When it ended.
    """

    kind: str
    node: int | None
    start: float
    end: float = float('inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawal:
    """An accepted withdrawal of a key.

    Args:
        key: The key.
        at: When it was known to be accepted, in seconds.
    """

    key: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Race:
    """Two operators who published on the same base.

    Args:
        outcomes: Names of both outcomes.
        versions: Accepted versions that they were told.
    """

    outcomes: tuple[str, ...]
    versions: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A version that a node said it has in force.

    Args:
        node: Index of the node.
        at: When the node was asked, in seconds.
        version: The version; 0 while it has none.
    """

    node: int
    at: float
    version: int


@dataclasses.dataclass(slots=True)
class Evidence:
    """All that a run left behind.

    Args:
        attempts: The callers' records.
        runs: The targets' ledgers.
        spans: When faults came.
        withdrawals: Accepted withdrawals of keys.
        races: What racing operators were told.
        samples: Versions in force, in order of time.
        stops: Exit codes of planned stops by node, in order.
        accepted: The versions in the store's audit log, in order.
        is_chain_whole: Whether the audit log verifies.
        lagging: Nodes that did not have the last version in force in time.
        rate: Rate of the account that sends too much.
        burst: Its burst.
        allowance: Retries that a call tree may use.
    """

    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    spans: list[Span] = dataclasses.field(default_factory=list)
    withdrawals: list[Withdrawal] = dataclasses.field(default_factory=list)
    races: list[Race] = dataclasses.field(default_factory=list)
    samples: list[Sample] = dataclasses.field(default_factory=list)
    stops: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    accepted: list[int] = dataclasses.field(default_factory=list)
    is_chain_whole: bool = True
    lagging: list[int] = dataclasses.field(default_factory=list)
    rate: float = 0.0
    burst: float = 0.0
    allowance: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that did not hold.

    Args:
        promise: Name of the promise.
        detail: What was seen.
    """

    promise: str
    detail: str
