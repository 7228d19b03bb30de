"""What the product asks of the platform, whichever platform it is."""

import collections.abc
import dataclasses
import typing

from . import verdict
from .policy import call_rules
from .policy import deadline
from .policy.placement import evacuation
from .transport import message


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of a table.

    Args:
        key: Its key.
        value: Its value; None when the row has been removed.
        version: Grows with every transaction of the whole store, also across
            its restores.
    """

    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """What a table holds, or what has changed in it.

    Args:
        rows: The rows in order.
        version: The store's newest version when they were read.
        store_s: The store's own steady clock then, in seconds; 0 when it
            does not tell.
        era: How often the store has been restored from a copy; what it had
            acknowledged since the copy is lost each time.
    """

    rows: tuple[Row, ...]
    version: int
    store_s: float = 0.0
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The changes since a version are no longer kept; read everything."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """Nothing was read, or the write certainly took no effect.

    Args:
        detail: Why, for logs.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The answer to a write was lost; it may take effect, even later.

    Args:
        detail: Why, for logs.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write took effect.

    Args:
        version: The version that it made.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The write took no effect: the row was not at the expected version.

    Args:
        row: The row as it is; None when there is none.
    """

    row: Row | None


class RowStore(typing.Protocol):
    """Tables of rows with conditional writes and a feed of changes."""

    async def read(self, table: str) -> Rows | Unavailable:
        """Read a whole table."""

    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> Rows | HistoryGone | Unavailable:
        """Wait for changes of a table.

        Args:
            table: The table.
            after: Version after which changes count.
            wait_s: Seconds after which an empty answer comes.
        """

    async def put(
        self, table: str, key: str, value: bytes, *, expected: int
    ) -> Written | Conflict | Unavailable | Unknown:
        """Write a row.

        Args:
            table: The table.
            key: Its key.
            value: Its new value.
            expected: Version that the row must have; 0 for no such row.
        """

    async def remove(
        self, table: str, key: str, *, expected: int
    ) -> Written | Conflict | Unavailable | Unknown:
        """Remove a row that is at the expected version."""


class RuleSource(typing.Protocol):
    """Where the operator's configuration comes from."""

    table: str

    def decode(
        self, rows: collections.abc.Iterable[Row]
    ) -> call_rules.Rules | None:
        """Return the rules among some rows, or None when there are none.

        Raises:
            ValueError: The rules cannot be read.
        """

    def decode_evacuations(
        self, rows: collections.abc.Iterable[Row]
    ) -> evacuation.Marks:
        """Return what some rows say of evacuated data centres."""


@dataclasses.dataclass(frozen=True, slots=True)
class CheckIn:
    """What a target says of itself to the node beside it.

    Args:
        target_id: Id of the target's lifetime.
        born_ms: Unix milliseconds of its start; 0 when not told.
        sequence: Grows with each check-in of a lifetime.
        service: The service that it serves.
        slots: Calls that it runs at a time.
        draining: Whether it is leaving.
        cold_s: Seconds for which it remains cold, as it said when it sent
            this; 0 if it did not say that it is cold; None if the value is
            malformed.
    """

    target_id: str
    born_ms: int
    sequence: int
    service: str
    slots: int
    draining: bool
    cold_s: float | None = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A target says that it leaves.

    Args:
        target_id: Id of the target's lifetime.
    """

    target_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """A message that names no target to use.

    Args:
        detail: Why, for logs.
    """

    detail: str


class CheckInFormat(typing.Protocol):
    """Reads what targets say of themselves."""

    def decode(
        self, request: message.Request
    ) -> CheckIn | Departure | Unreadable:
        """Return what a request says."""

    def acknowledge(self) -> verdict.Response:
        """Return the answer that acknowledges a check-in."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallHead:
    """What the headers of a call say.

    Args:
        request_id: The caller's id of it; empty when there is none.
        hostname: The host that it names, without its port.
        key: The caller's key, or None.
        timeout: The time that the caller waits.
    """

    request_id: str
    hostname: str
    key: bytes | None
    timeout: deadline.Timeout


@dataclasses.dataclass(frozen=True, slots=True)
class TargetNotice:
    """What a target says of itself in an answer.

    Args:
        calls_per_s: Calls a second that it takes from all nodes together;
            None for no limit.
        leaving: Whether it is leaving.
    """

    calls_per_s: float | None = None
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a target reports of itself in an answer.

    Args:
        running: Requests that it runs.
        waiting: Requests that wait at it.
        slots: Requests that it can run at a time.
        slowdown: How long work takes on its host now, as a multiple of what
            it usually takes.
        has_slowdown: Whether the target stated the slowdown; without it, the
            usual one is assumed.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0
    has_slowdown: bool = dataclasses.field(default=False, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedLoad:
    """A report of a load that cannot be read."""


class Dialect(typing.Protocol):
    """How callers and targets say what a call is and what became of it."""

    def read_request_id(self, headers: message.Headers) -> str:
        """Return the caller's id of a request; empty when there is none."""

    def find_root_id(self, request_id: str) -> str:
        """Return the id of a call's root request; empty when it has no id.

        It is a hint: calls of one root may seem to have different ones.
        """

    def find_parent_id(self, request_id: str) -> str:
        """Return the id of the request that made a call; empty if unknown.

        It is a hint as well.
        """

    def read_head(self, headers: message.Headers) -> CallHead:
        """Return what the headers of a call say."""

    def build_forwarded(
        self, headers: message.Headers, *, account: str, service: str
    ) -> message.Headers:
        """Return the headers that travel to the target.

        Args:
            headers: As the caller sent them.
            account: The client account; empty on an open route.
            service: The service beside which the call began.
        """

    def build_delivered(
        self, headers: message.Headers, *, remaining_s: float, target_id: str
    ) -> message.Headers:
        """Return the headers that the target gets.

        Args:
            headers: As they were forwarded.
            remaining_s: Seconds that the target may take.
            target_id: The lifetime that alone may run the call.
        """

    def find_echo(self, headers: message.Headers) -> bytes | None:
        """Return the id that a request or its answer carries, or None."""

    def read_notice(self, response: verdict.Response) -> TargetNotice | None:
        """Return what a target's answer says of the target.

        Args:
            response: The answer.

        Returns:
            The notice; None if the answer is no evidence of the target's
            state.
        """

    def read_load(
        self, response: verdict.Response
    ) -> LoadReport | MalformedLoad | None:
        """Return the load that a target's answer reports; None for none."""

    def read_target_id(self, response: verdict.Response) -> str:
        """Return the id of the target that answered; empty if not told."""

    def read_cold_s(self, response: verdict.Response) -> float | None:
        """Return how long a target remains cold, as its health answer says.

        Args:
            response: The answer to a health check.

        Returns:
            Seconds; 0 if it is not cold; None if the value is malformed.
        """

    def judge(self, response: verdict.Response) -> verdict.Verdict:
        """Return what a target's answer says of its call."""

    def render(self, outcome: verdict.Verdict) -> verdict.Response:
        """Return the answer for the caller."""
