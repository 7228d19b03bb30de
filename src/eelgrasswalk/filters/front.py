"""The caller's side of a call: what it may do, then where it goes."""

import asyncio
import dataclasses
import random
import traceback
import typing

from .. import events
from .. import ports
from .. import request_log
from .. import verdict
from ..policy import call_rules
from ..policy import deadline
from ..policy import freshness
from ..policy import quota
from ..policy import root_hash
from ..policy import running_calls
from ..transport import message

# Callers that wait this long find rules, keys or tokens as they should be.
STALE_RETRY_S = 0.5
MAX_TIMEOUT_S = 600.0
_CALLER_GONE = verdict.MayHaveRun(verdict.Reason.CALLER_GONE)


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """What became of one attempt.

    Args:
        node_id: The upstream's node.
        outcome: The verdict's reason, or the status of the answer.
        latency_s: Seconds from start to end.
        load: What the upstream said of its load; None for nothing.
    """

    node_id: str
    outcome: str
    latency_s: float
    load: float | None


@dataclasses.dataclass(slots=True)
class IncomingCall:
    """A call and what has been found out about it.

    Args:
        request: As the caller sent it.
        request_id: The caller's id of it.
        arrived_at: Loop time of its arrival.
        route: The route it takes.
        service: The service that answers.
        account: Client account; empty on an open route.
        urgency: How late it is shed.
        deadline: Loop time by which the caller needs its answer.
        root_hash: Position of its root request, 0 <= hash < 1.
        parent_id: The request that made it; empty if unknown.
        attempts: What became of each attempt, for the log.
    """

    request: message.Request
    request_id: str
    arrived_at: float
    route: call_rules.RouteRule
    service: str
    account: str
    urgency: running_calls.Urgency
    deadline: float
    root_hash: float
    parent_id: str = ''
    attempts: list[Attempt] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A call that may not run, and what is known of it.

    Args:
        outcome: Why.
        account: Its client account; empty where it was not yet known.
        inputs: What decided, for the log.
    """

    outcome: verdict.NotRun
    account: str = ''
    inputs: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


class Quota(typing.Protocol):
    """Holds client accounts to their rates."""

    def describe(
        self, account: call_rules.AccountRule
    ) -> dict[str, typing.Any]:
        """Return what decides on the account's calls, for the log."""

    async def admit(
        self, account: call_rules.AccountRule
    ) -> quota.Refused | None:
        """Charge one call, or refuse it."""


class Forward(typing.Protocol):
    """Sends a call to an upstream."""

    async def __call__(self, call: IncomingCall) -> verdict.Verdict:
        """Return what became of a call."""


class Frontend:
    """Handles the calls that begin on this host.

    Args:
        dialect: How callers speak.
        service: The service beside which the calls begin.
        get_table: Returns the rules in force, or None.
        fresh: How old the certainty about them is.
        quotas: Holds client accounts to their rates.
        forward: Sends calls on.
        log: Takes what became of each call.
        boot_clock: Seconds of a clock that runs through suspension.
        source: Random numbers.
    """

    def __init__(
        self,
        dialect: ports.Dialect,
        *,
        service: str,
        get_table: call_rules.Lookup,
        fresh: freshness.Freshness,
        quotas: Quota,
        forward: Forward,
        log: request_log.RequestLog,
        boot_clock: typing.Callable[[], float],
        source: random.Random,
    ) -> None:
        self._dialect = dialect
        self._service = service
        self._get_table = get_table
        self._fresh = fresh
        self._quotas = quotas
        self._forward = forward
        self._log = log
        self._boot_clock = boot_clock
        self._random = source
        self._service_choice = call_rules.WeightedChoice()
        self._loop = asyncio.get_running_loop()

    async def handle(self, request: message.Request) -> verdict.Response:
        """Answer one call."""
        try:
            outcome = await self._run(request)
        except Exception as error:
            events.log(events.REQUEST_FAILED, traceback=traceback.format_exc())
            outcome = verdict.MayHaveRun(
                verdict.Reason.INTERNAL, type(error).__name__
            )
        return self._dialect.render(outcome)

    async def _run(self, request: message.Request) -> verdict.Verdict:
        arrived_at = self._loop.time()
        call = await self._accept(request)
        if isinstance(call, Refusal):
            self._record_refusal(request, call, arrived_at)
            return call.outcome
        try:
            outcome = await self._forward(call)
        except asyncio.CancelledError:
            self._record_call(call, _CALLER_GONE)
            raise
        self._record_call(call, outcome)
        return outcome

    def _record_refusal(
        self,
        request: message.Request,
        refusal: Refusal,
        arrived_at: float,
    ) -> None:
        outcome = refusal.outcome
        self._log.record(
            events.CALL_ENDED,
            outcome,
            hop='entry',
            service='',
            account=refusal.account,
            latency_s=self._loop.time() - arrived_at,
            describe=lambda: {
                'request': self._dialect.read_request_id(request.headers),
                'path': request.path,
                'detail': outcome.detail,
                'retry_after_s': outcome.retry_after_s,
                **refusal.inputs,
                **self._describe_rules(),
            },
        )

    def _record_call(
        self, call: IncomingCall, outcome: verdict.Verdict
    ) -> None:
        now = self._loop.time()
        self._log.record(
            events.CALL_ENDED,
            outcome,
            hop='entry',
            service=call.service,
            account=call.account,
            latency_s=now - call.arrived_at,
            describe=lambda: {
                'request': call.request_id,
                'parent': call.parent_id,
                'route': call.route.name,
                'importance': call.urgency.importance,
                'left_ms': round((call.deadline - now) * 1000.0),
                'attempts': [
                    {
                        'node': attempt.node_id,
                        'outcome': attempt.outcome,
                        'ms': round(attempt.latency_s * 1000.0, 1),
                        'load': attempt.load,
                    }
                    for attempt in call.attempts
                ],
                **self._describe_rules(),
            },
        )

    def _describe_rules(self) -> dict[str, typing.Any]:
        table = self._get_table()
        age_s = self._fresh.get_age(self._boot_clock())
        return {
            'rules_version': None if table is None else table.version,
            'rules_age_s': round(age_s, 2) if age_s < 1e6 else None,
        }

    async def _accept(
        self, request: message.Request
    ) -> IncomingCall | Refusal:
        """Return the call on its terms, or why it may not run."""
        now = self._loop.time()
        table = self._get_table()
        if table is None:
            return Refusal(self._refuse_stale())
        head = self._dialect.read_head(request.headers)
        route = table.find_route(head.hostname, request.path)
        if route is None:
            return Refusal(self._refuse_unknown(verdict.Reason.NO_ROUTE))
        account = self._identify(head.key, table, route)
        if isinstance(account, verdict.NotRun):
            return Refusal(account)
        timeout = head.timeout
        if isinstance(timeout, deadline.Malformed):
            return Refusal(
                verdict.NotRun(
                    verdict.Reason.BAD_REQUEST, detail=timeout.detail
                )
            )
        call_timeout_s = route.timeout_s
        if isinstance(timeout, deadline.Given):
            call_timeout_s = min(call_timeout_s, timeout.seconds)
        if account is not None:
            refused = await self._quotas.admit(account)
            if refused is not None:
                return self._refuse_over_rate(account, route, refused)
        return self._build_item(
            request, head.request_id, route, account, now, call_timeout_s
        )

    def _build_item(
        self,
        request: message.Request,
        request_id: str,
        route: call_rules.RouteRule,
        account: call_rules.AccountRule | None,
        now: float,
        call_timeout_s: float,
    ) -> IncomingCall:
        name = '' if account is None else account.name
        importance = route.importance
        if account is not None and account.importance is not None:
            importance = account.importance
        forwarded = message.Request(
            method=request.method,
            target=request.target,
            headers=self._dialect.build_forwarded(
                request.headers, account=name, service=self._service
            ),
            body=request.body,
        )
        return IncomingCall(
            request=forwarded,
            request_id=request_id,
            arrived_at=now,
            route=route,
            service=self._service_choice.choose(route, self._random.random()),
            account=name,
            urgency=running_calls.Urgency(
                int(importance), int(route.importance)
            ),
            deadline=now + min(call_timeout_s, MAX_TIMEOUT_S),
            root_hash=self._find_root_hash(request_id),
            parent_id=self._dialect.find_parent_id(request_id),
        )

    def _find_root_hash(self, request_id: str) -> float:
        root_id = self._dialect.find_root_id(request_id)
        if not root_id:
            return self._random.random()
        return root_hash.compute_root_hash(root_id)

    def _identify(
        self,
        key: bytes | None,
        table: call_rules.RuleTable,
        route: call_rules.RouteRule,
    ) -> call_rules.AccountRule | verdict.NotRun | None:
        """Return the client account, or None where none is asked for."""
        if route.open_to_all or not table.needs_keys:
            return None
        if not self._fresh.is_fresh(self._boot_clock()):
            return self._refuse_stale()
        if key is None:
            return verdict.NotRun(verdict.Reason.KEY_MISSING)
        account = table.find_account(key)
        if account is None:
            return verdict.NotRun(verdict.Reason.KEY_UNKNOWN)
        return account

    def _refuse_over_rate(
        self,
        account: call_rules.AccountRule,
        route: call_rules.RouteRule,
        refused: quota.Refused,
    ) -> Refusal:
        return Refusal(
            verdict.NotRun(
                verdict.Reason.QUOTA, retry_after_s=refused.retry_after_s
            ),
            account.name,
            {'route': route.name, **self._quotas.describe(account)},
        )

    def _refuse_unknown(self, reason: verdict.Reason) -> verdict.NotRun:
        """Refuse what the rules do not know, if they may be relied on."""
        if not self._fresh.is_fresh(self._boot_clock()):
            return self._refuse_stale()
        return verdict.NotRun(reason)

    def _refuse_stale(self) -> verdict.NotRun:
        delay_s = STALE_RETRY_S * (1.0 + self._random.random())
        return verdict.NotRun(
            verdict.Reason.NO_CONFIGURATION, retry_after_s=delay_s
        )
