"""The working state of one request on its way through the filters."""

import asyncio
import dataclasses
import enum
import typing

from .. import verdict
from ..document import model
from ..policy import retries
from ..policy import routing
from ..transport import frames
from ..transport import message


class Source(enum.Enum):
    """Which listener a request came in by."""

    CALLER = 'caller'
    TARGET = 'target'


@dataclasses.dataclass(slots=True)
class ServedCall:
    """A call that this node's target is serving now.

    Args:
        context: What its own child calls inherit.
        deadline: Loop time of its deadline.
        retry_allowance: Extra attempts left to its call tree.
        children: Child calls under way.
        services: Services that it has called.
        child_s: Seconds in which child calls were under way.
    """

    context: frames.Context
    root_started_at: float
    deadline: float
    retry_allowance: retries.RetryAllowance
    children: set[asyncio.Task[typing.Any]] = dataclasses.field(
        default_factory=set
    )
    services: set[str] = dataclasses.field(default_factory=set)
    child_s: float = 0.0
    _child_since: float = 0.0

    def begin_child(self, task: asyncio.Task[typing.Any], now: float) -> None:
        """Note that a child call has begun."""
        if not self.children:
            self._child_since = now
        self.children.add(task)

    def end_child(self, task: asyncio.Task[typing.Any], now: float) -> None:
        """Note that a child call has ended."""
        if task not in self.children:
            return
        self.children.discard(task)
        if not self.children:
            self.child_s += now - self._child_since


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request and what the filters have found out about it.

    Args:
        request: The request as it arrived.
        source: The listener that it came in by.
        arrived_at: Loop time of its arrival.
        table: The configuration that all filters go by.
        served: The call whose target made this request, if any.
        account: Client account; empty on an open route.
        route: The route it takes.
        deadline: Loop time by which the caller needs its answer.
        idempotency_key: The caller's key, or an empty string.
        context: What travels to the upstream.
        root_started_at: Loop time at which the root request started.
        retry_allowance: Extra attempts left for this request's own tree.
    """

    request: message.Request
    source: Source
    arrived_at: float
    table: routing.RoutingTable
    served: ServedCall | None = None
    account: str = ''
    route: model.Route | None = None
    deadline: float = 0.0
    idempotency_key: str = ''
    context: frames.Context | None = None
    root_started_at: float = 0.0
    retry_allowance: retries.RetryAllowance | None = None

    def get_route(self) -> model.Route:
        """Return the route; the route filter has run."""
        assert self.route is not None
        return self.route

    def get_context(self) -> frames.Context:
        """Return the context; the context filter has run."""
        assert self.context is not None
        return self.context

    def get_retry_allowance(self) -> retries.RetryAllowance:
        """Return the retry allowance, set by the context filter."""
        assert self.retry_allowance is not None
        return self.retry_allowance


Proceed: typing.TypeAlias = typing.Callable[
    [Exchange], typing.Awaitable[verdict.Verdict]
]


class Filter(typing.Protocol):
    """One step of a request; refuses it or lets it proceed."""

    async def apply(
        self, exchange: Exchange, proceed: Proceed
    ) -> verdict.Verdict:
        """Handle one request."""


class Check(typing.Protocol):
    """A step that only refuses or lets pass, without waiting."""

    def check(self, exchange: Exchange) -> verdict.NotRun | None:
        """Return a refusal, or None to let the request pass."""


class Chain:
    """Passes requests through checks, then filters, then a last step.

    Args:
        checks: Steps without waiting, in order.
        filters: Steps that may wait, in order.
        last: Sends the request on.
    """

    def __init__(
        self,
        checks: typing.Sequence[Check],
        filters: typing.Sequence[Filter],
        last: Proceed,
    ) -> None:
        self._checks = tuple(checks)
        proceed = last
        for step in reversed(filters):
            proceed = _join(step, proceed)
        self._proceed = proceed

    async def run(self, exchange: Exchange) -> verdict.Verdict:
        """Return what became of a request."""
        for step in self._checks:
            refusal = step.check(exchange)
            if refusal is not None:
                return refusal
        return await self._proceed(exchange)


def _join(step: Filter, proceed: Proceed) -> Proceed:
    def run(exchange: Exchange) -> typing.Awaitable[verdict.Verdict]:
        return step.apply(exchange, proceed)

    return run
