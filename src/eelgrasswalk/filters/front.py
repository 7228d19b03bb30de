"""Handling of a call at the caller's node, before it is forwarded."""

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
from ..policy.placement import finish_time
from ..transport import message
from . import identity

# Within this time the node normally has up-to-date rules again.
STALE_RETRY_S = 0.5
MAX_TIMEOUT_S = 600.0
_CALLER_GONE = verdict.MayHaveRun(verdict.Reason.CALLER_GONE)


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """The result of one attempt.

    Args:
        node_id: Id of the upstream's node.
        outcome: Status of the answer, or the reason why there is none.
        latency_s: Seconds from start to end.
        load: Load that the upstream reported; None if it reported none.
        times: What the upstream expects of another call; None if it does not
            tell.
    """

    node_id: str
    outcome: str
    latency_s: float
    load: float | None
    times: finish_time.Times | None = None


@dataclasses.dataclass(slots=True)
class IncomingCall:
    """A call that the node has accepted from a caller.

    Args:
        request: The request to forward.
        request_id: Request id that the caller sent.
        arrived_at: Loop time of its arrival.
        route: Its route.
        service: Name of the service that it is sent to.
        account: Name of the client account; empty on an open route.
        priority: Importance by which it is shed.
        deadline: Loop time by which the caller needs the answer.
        root_hash: Hash of its root request, 0 <= hash < 1.
        parent_id: Id of the request that it was made for; empty if unknown.
        is_retry: Whether the next attempt is a retry, or the run that makes
            the call is one.
        ended_runs: Runs of targets that ended while they ran it.
        attempts: Results of its attempts, for the log.
        account_regions: Regions that the client account allows; empty for
            all.
    """

    request: message.Request
    request_id: str
    arrived_at: float
    route: call_rules.RouteRule
    service: str
    account: str
    priority: running_calls.Priority
    deadline: float
    root_hash: float
    parent_id: str = ''
    is_retry: bool = False
    ended_runs: tuple[str, ...] = ()
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    account_regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The refusal of a call.

    Args:
        outcome: The verdict.
        account: Name of the client account; empty if it was not determined.
        inputs: Values that the decision was based on, for the log.
    """

    outcome: verdict.NotRun
    account: str = ''
    inputs: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


class Quota(typing.Protocol):
    """Enforces the rates of client accounts."""

    def describe(
        self, account: call_rules.AccountRule
    ) -> dict[str, typing.Any]:
        """Return the values that its decisions depend on, for the log."""

    async def admit(
        self, account: call_rules.AccountRule, importance: int
    ) -> quota.Refused | None:
        """Charge one call to an account; return the refusal, if any.

        Args:
            account: The account.
            importance: Importance of the call's route, 0 the highest.
        """


class Forward(typing.Protocol):
    """Sends a call to an upstream."""

    async def __call__(self, call: IncomingCall) -> verdict.Verdict:
        """Forward a call and return the verdict."""


class Frontend:
    """Checks calls that enter the system at this node and forwards them.

    Args:
        dialect: Header format of callers.
        service: Name of the service of this node's target.
        get_table: Returns the active rules, or None if there are none.
        fresh: Tells how long ago the rules were confirmed to be current.
        quotas: Enforces the rates of client accounts.
        forward: Sends calls to an upstream.
        log: Records the outcome of each call.
        boot_clock: Returns the seconds of a monotonic clock that keeps
            running while the host is suspended.
        source: Random number generator, for service choice and jitter.
    """

    def __init__(
        self,
        dialect: ports.Dialect,
        *,
        service: str,
        get_table: call_rules.GetRuleTable,
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
        self._service_choice = call_rules.WeightedRoundRobin()
        self._loop = asyncio.get_running_loop()

    def may_overlap(self, request: message.Request) -> bool:
        """Tell whether a call may run at the same time as others.

        Calls of routes that may safely run twice may. The rules may change
        before the call is accepted, which then follows the new ones.
        """
        table = self._get_table()
        if table is None:
            return False
        head = self._dialect.read_head(request.headers)
        route = table.find_route(head.hostname, request.path)
        return route is not None and route.idempotent

    async def handle(self, request: message.Request) -> verdict.Response:
        """Answer one call; its time limit counts from its receipt."""
        try:
            outcome = await self._run(request)
        except Exception as error:
            events.log(events.REQUEST_FAILED, traceback=traceback.format_exc())
            outcome = verdict.MayHaveRun(
                verdict.Reason.INTERNAL, type(error).__name__
            )
        return self._dialect.render(outcome)

    async def _run(self, request: message.Request) -> verdict.Verdict:
        arrived_at = request.received_at
        if arrived_at is None:
            arrived_at = self._loop.time()
        call = await self._accept(request, arrived_at)
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
                'digest': identity.compute_digest(
                    call.request, call.account
                ).hex(),
                'parent': call.parent_id,
                'route': call.route.name,
                'importance': call.priority.importance,
                'left_ms': round((call.deadline - now) * 1000.0),
                'attempts': [
                    _describe_attempt(attempt) for attempt in call.attempts
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
        self, request: message.Request, arrived_at: float
    ) -> IncomingCall | Refusal:
        """Check a request and return the call to forward, or a refusal."""
        table = self._get_table()
        if table is None:
            return Refusal(self._refuse_stale())
        head = self._dialect.read_head(request.headers)
        route = table.find_route(head.hostname, request.path)
        if route is None:
            return Refusal(self._refuse_unknown(verdict.Reason.NO_ROUTE))
        account = self._authenticate(head.key, table, route)
        if isinstance(account, verdict.NotRun):
            return Refusal(account)
        timeout = head.timeout
        if isinstance(timeout, deadline.InvalidTimeout):
            return Refusal(
                verdict.NotRun(
                    verdict.Reason.BAD_REQUEST, detail=timeout.detail
                )
            )
        call_timeout_s = route.timeout_s
        if isinstance(timeout, deadline.RequestedTimeout):
            call_timeout_s = min(call_timeout_s, timeout.seconds)
        expires_at = arrived_at + min(call_timeout_s, MAX_TIMEOUT_S)
        if self._loop.time() >= expires_at:
            # It waited behind others of its connection.
            return Refusal(verdict.NotRun(verdict.Reason.DEADLINE))
        if account is not None:
            refused = await self._quotas.admit(account, int(route.importance))
            if refused is not None:
                return self._refuse_over_rate(account, route, refused)
        return self._build_incoming_call(
            request, head.request_id, route, account, arrived_at, expires_at
        )

    def _build_incoming_call(
        self,
        request: message.Request,
        request_id: str,
        route: call_rules.RouteRule,
        account: call_rules.AccountRule | None,
        arrived_at: float,
        expires_at: float,
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
            arrived_at=arrived_at,
            route=route,
            service=self._service_choice.choose(route, self._random.random()),
            account=name,
            priority=running_calls.Priority(
                int(importance), int(route.importance)
            ),
            deadline=expires_at,
            root_hash=self._find_root_hash(request_id),
            parent_id=self._dialect.find_parent_id(request_id),
            account_regions=(
                frozenset() if account is None else account.regions
            ),
        )

    def _find_root_hash(self, request_id: str) -> float:
        root_id = self._dialect.find_root_id(request_id)
        if not root_id:
            return self._random.random()
        return root_hash.compute_root_hash(root_id)

    def _authenticate(
        self,
        key: bytes | None,
        table: call_rules.RuleTable,
        route: call_rules.RouteRule,
    ) -> call_rules.AccountRule | verdict.NotRun | None:
        """Return the client account, or None where no key is needed."""
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
        """Refuse a call that the rules do not allow.

        While the rules may be out of date, the refusal says so instead.
        """
        if not self._fresh.is_fresh(self._boot_clock()):
            return self._refuse_stale()
        return verdict.NotRun(reason)

    def _refuse_stale(self) -> verdict.NotRun:
        delay_s = STALE_RETRY_S * (1.0 + self._random.random())
        return verdict.NotRun(
            verdict.Reason.NO_CONFIGURATION, retry_after_s=delay_s
        )


def _describe_attempt(attempt: Attempt) -> dict[str, typing.Any]:
    fields: dict[str, typing.Any] = {
        'node': attempt.node_id,
        'outcome': attempt.outcome,
        'ms': round(attempt.latency_s * 1000.0, 1),
        'load': attempt.load,
    }
    if attempt.times is not None:
        fields['wait_ms'] = round(attempt.times.wait_s * 1000.0, 1)
        fields['service_ms'] = round(attempt.times.service_s * 1000.0, 1)
    return fields
