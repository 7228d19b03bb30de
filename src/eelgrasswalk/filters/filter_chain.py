"""The filter chain and the state of a request that passes through it."""

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
    """The listener that received a request."""

    CALLER = 'caller'
    TARGET = 'target'


@dataclasses.dataclass(slots=True)
class ServedCall:
    """A call that this node's target is serving.

    Args:
        context: Context that its child calls inherit.
        root_started_at: Loop time at which the root request started.
        deadline: Loop time of its deadline.
        retry_allowance: Extra attempts left to its child calls.
        children: Tasks of the child calls that are running.
        services: Names of the services that its child calls went to.
        child_s: Seconds during which at least one child call was running.
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
        """Record the start of a child call at a loop time."""
        if not self.children:
            self._child_since = now
        self.children.add(task)

    def end_child(self, task: asyncio.Task[typing.Any], now: float) -> None:
        """Record the end of a child call at a loop time."""
        if task not in self.children:
            return
        self.children.discard(task)
        if not self.children:
            self.child_s += now - self._child_since


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request and the state that the filters attach to it.

    Args:
        request: The request; the last step of the chain removes headers that
            are not forwarded.
        source: The listener that received it.
        arrived_at: Loop time of its arrival.
        table: Configuration that all filters use for this request.
        parent_call: The call for which the target made this request; None
            if a client made it.
        account: Name of the client account; empty on an open route.
        route: Its route; None until the route check has run.
        deadline: Loop time by which the caller needs the answer.
        idempotency_key: The caller's idempotency key, or an empty string.
        context: Context sent to the upstream; None until the context check
            has run.
        root_started_at: Loop time at which the root request started.
        retry_allowance: Extra attempts left to the call tree of this
            request; None until the context check has run.
    """

    request: message.Request
    source: Source
    arrived_at: float
    table: routing.RoutingTable
    parent_call: ServedCall | None = None
    account: str = ''
    route: model.Route | None = None
    deadline: float = 0.0
    idempotency_key: str = ''
    context: frames.Context | None = None
    root_started_at: float = 0.0
    retry_allowance: retries.RetryAllowance | None = None

    def get_route(self) -> model.Route:
        """Return the route; the route check must have run."""
        assert self.route is not None
        return self.route

    def get_context(self) -> frames.Context:
        """Return the context; the context check must have run."""
        assert self.context is not None
        return self.context

    def get_retry_allowance(self) -> retries.RetryAllowance:
        """Return the retry allowance; the context check must have run."""
        assert self.retry_allowance is not None
        return self.retry_allowance


Proceed: typing.TypeAlias = typing.Callable[
    [Exchange], typing.Awaitable[verdict.Verdict]
]


class Filter(typing.Protocol):
    """An asynchronous step of the chain."""

    async def apply(
        self, exchange: Exchange, proceed: Proceed
    ) -> verdict.Verdict:
        """Return a refusal, or the verdict of the next step.

        Args:
            exchange: The request.
            proceed: Calls the next step.
        """


class Check(typing.Protocol):
    """A synchronous step of the chain that passes or refuses requests."""

    def check(self, exchange: Exchange) -> verdict.NotRun | None:
        """Return a refusal, or None to let the request pass."""


class Chain:
    """Passes requests through checks, then filters, then a last step.

    Args:
        checks: Synchronous steps, in order.
        filters: Asynchronous steps, in order.
        last: Sends the request to an upstream.
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
        """Pass a request through the chain and return the verdict."""
        for step in self._checks:
            refusal = step.check(exchange)
            if refusal is not None:
                return refusal
        return await self._proceed(exchange)


def _join(step: Filter, proceed: Proceed) -> Proceed:
    def run(exchange: Exchange) -> typing.Awaitable[verdict.Verdict]:
        return step.apply(exchange, proceed)

    return run
