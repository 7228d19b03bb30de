"""Requests tokens from the owners of client accounts, and grants them."""

import asyncio
import collections
import collections.abc
import dataclasses
import random
import time
import typing

import msgspec

from .. import events
from ..policy import account_rates
from ..policy import call_rules
from ..policy import quota
from ..policy import token_bucket
from . import account_quota_messages as messages

# An owner answers within a round trip; after this time, it is considered
# unreachable.
ANSWER_TIMEOUT_S = 0.15
# Time for which fallback buckets are used before an owner that did not answer
# is requested again.
FALLBACK_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaView:
    """What a node can tell of an account's rate without taking a token.

    Args:
        rate: Calls per second in force; 0 for no limit.
        burst: Calls that may arrive at once.
        owner: Node that grants the account's tokens; None if unknown.
        tokens: Tokens at this node; None if this node cannot tell.
        detail: Why it cannot tell; empty if it can.
    """

    rate: float
    burst: float
    owner: str | None
    tokens: float | None
    detail: str


class SendControl(typing.Protocol):
    """Sends a controller's message to a node."""

    def __call__(self, node_id: str, topic: str, payload: bytes) -> None:
        """Send one message."""


class Relay(typing.Protocol):
    """Passes confirmations of the rules on with each message."""

    def get_confirmed(self) -> tuple[int, float]:
        """Return the version in force, and when it was the newest."""

    def receive_confirmed(self, version: int, store_s: float) -> None:
        """Handle the version that another node has confirmed."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    """A call that waits for a token."""

    importance: int
    future: asyncio.Future[quota.Refused | None]


@dataclasses.dataclass(slots=True)
class _Requests:
    """Calls of one account that wait for tokens, and the open request.

    Args:
        waiting: Calls that wait.
        asked: Number of them that the open request covers.
        number: Number of that request.
        timer: Ends the wait for its answer.
        fallback_until: Until when the fallback bucket is used.
    """

    waiting: collections.deque[_Waiting]
    asked: int = 0
    number: int = 0
    timer: asyncio.TimerHandle | None = None
    fallback_until: float = 0.0


class AccountQuota:
    """Charges calls to client accounts.

    Args:
        node_id: This node.
        list_owners: Returns the nodes that may own accounts.
        count_nodes: Returns how many nodes there are.
        get_table: Returns the rules in force, or None.
        send: Sends messages to other nodes.
        relay: Confirmations of the rules, which messages carry both ways.
        slack: Tolerated excess over the rates.
        is_dead: Returns whether a node is known not to run.
        lower_after_s: Seconds after which a lower limit applies.
        is_known: Whether other nodes list this one already, as after a
            restart.
        source: Random number generator, for jitter.
        clock: Monotonic seconds.

    Attributes:
        slack: As above; may be replaced.
    """

    def __init__(
        self,
        node_id: str,
        *,
        list_owners: typing.Callable[[], typing.Sequence[str]],
        count_nodes: typing.Callable[[], int],
        get_table: call_rules.GetRuleTable,
        send: SendControl,
        relay: Relay,
        is_dead: typing.Callable[[str], bool],
        slack: account_rates.Slack,
        lower_after_s: float,
        is_known: bool = False,
        source: random.Random,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._node_id = node_id
        self._list_owners = list_owners
        self._count_nodes = count_nodes
        self._get_table = get_table
        self._send = send
        self._relay = relay
        self._is_dead = is_dead
        self.slack = slack
        self._random = source
        self._clock = clock
        self._owned = account_rates.OwnedAccounts(clock())
        self._lower = account_rates.DelayedReductions(lower_after_s)
        self._fallback = account_rates.FallbackBuckets()
        self._requests: dict[str, _Requests] = {}
        self._owners: dict[str, str] = {}
        self._node_ids: tuple[str, ...] = ()
        self._is_listed = is_known
        self._loop = asyncio.get_running_loop()

    def note_nodes(self) -> None:
        """Choose the owners again if the nodes have changed."""
        node_ids = tuple(self._list_owners())
        if node_ids == self._node_ids:
            return
        self._node_ids = node_ids
        self._owners.clear()
        was_listed, self._is_listed = (
            self._is_listed,
            self._node_id in node_ids,
        )
        self._owned.change_owners(
            lambda account: self._find_owner(account) == self._node_id,
            self._clock(),
            has_joined=self._is_listed and not was_listed,
        )

    def change_rules(self, table: call_rules.RuleTable) -> None:
        """Begin with the limits of a new version of the rules."""
        now = self._clock()
        accounts = table.accounts
        self._lower.change_limits(
            {
                account.name: account_rates.RateLimit(
                    account.rate, account.burst
                )
                for account in accounts.values()
                if account.rate > 0.0
            },
            now,
        )
        self._owned.keep_only(accounts, now, unused_s=self.slack.window_s)
        self._fallback.keep_only(accounts)
        for name in self._owners.keys() - accounts.keys():
            del self._owners[name]
        for name, requests in list(self._requests.items()):
            if name not in accounts and not requests.waiting:
                del self._requests[name]

    async def admit(
        self, account: call_rules.AccountRule, importance: int
    ) -> quota.Refused | None:
        """Charge one call, or refuse it.

        Args:
            account: The account.
            importance: Importance of the call among those of the account, 0
                the highest.
        """
        if account.rate <= 0.0:
            return None
        owner = self._find_owner(account.name)
        if owner is None or owner == self._node_id:
            wanted = token_bucket.count_by_importance([importance])
            return self._build_refusal(self._grant(account, wanted))
        return await self._ask(account, importance, owner)

    def describe(
        self, account: call_rules.AccountRule
    ) -> dict[str, typing.Any]:
        """Return the values that decide on an account's calls, for the log."""
        requests = self._requests.get(account.name)
        is_silent = (
            requests is not None and self._clock() < requests.fallback_until
        )
        return {
            'rate': account.rate,
            'burst': account.burst,
            'owner': self._find_owner(account.name),
            'owner_is_silent': is_silent,
        }

    def read(self, account: call_rules.AccountRule) -> QuotaView:
        """Return what is known of an account's rate; nothing is changed."""
        if account.rate <= 0.0:
            return QuotaView(0.0, account.burst, None, None, 'no limit')
        now = self._clock()
        limit = self._lower.find_limit(
            account.name,
            account_rates.RateLimit(account.rate, account.burst),
            now,
        )
        owner = self._owners.get(account.name)
        if owner is None:
            owner = account_rates.choose_owner(
                account.name, self._list_owners()
            )
        tokens: float | None = None
        detail = ''
        requests = self._requests.get(account.name)
        if owner is None or owner == self._node_id:
            tokens = self._owned.peek(
                account.name, now, rate=limit.rate, burst=limit.burst
            )
            if tokens is None:
                detail = 'this node has granted no token of the account yet'
        elif requests is not None and now < requests.fallback_until:
            detail = f'{owner} grants the tokens and did not answer lately'
        else:
            detail = f'{owner} grants the tokens; ask that node'
        return QuotaView(limit.rate, limit.burst, owner, tokens, detail)

    def _find_owner(self, account: str) -> str | None:
        owner = self._owners.get(account)
        if owner is None:
            owner = account_rates.choose_owner(account, self._list_owners())
            if owner is not None:
                self._owners[account] = owner
        return owner

    def _grant(
        self,
        account: call_rules.AccountRule,
        wanted: collections.abc.Sequence[int],
    ) -> token_bucket.Grant:
        now = self._clock()
        limits = self._lower.find_limit(
            account.name,
            account_rates.RateLimit(account.rate, account.burst),
            now,
        )
        return self._owned.grant(
            account.name,
            wanted,
            now,
            rate=limits.rate,
            burst=limits.burst,
            slack=self.slack,
        )

    def _build_refusal(
        self, grant: token_bucket.Grant
    ) -> quota.Refused | None:
        """Return the refusal of a call, or None if it was granted a token."""
        if grant.tokens:
            return None
        # Jitter spreads the retries of callers that were refused together.
        return quota.Refused(grant.wait_s * (1.0 + self._random.random()))

    # Requests to owners

    async def _ask(
        self, account: call_rules.AccountRule, importance: int, owner: str
    ) -> quota.Refused | None:
        requests = self._requests.get(account.name)
        if requests is None:
            requests = self._requests[account.name] = _Requests(
                collections.deque()
            )
        if self._clock() < requests.fallback_until:
            return self._use_fallback(account, importance)
        future: asyncio.Future[quota.Refused | None] = (
            self._loop.create_future()
        )
        requests.waiting.append(_Waiting(importance, future))
        if not requests.asked:
            self._send_request(account.name, requests, owner)
        return await future

    def _send_request(
        self, account: str, requests: _Requests, owner: str
    ) -> None:
        requests.asked = len(requests.waiting)
        requests.number += 1
        requests.timer = self._loop.call_later(
            ANSWER_TIMEOUT_S, self._start_fallback, account, requests
        )
        version, store_s = self._relay.get_confirmed()
        request = messages.Request(
            account,
            requests.number,
            requests.asked,
            version,
            store_s,
            token_bucket.count_by_importance(
                waiting.importance for waiting in requests.waiting
            ),
        )
        self._send(owner, messages.TOPIC_ASK, msgspec.msgpack.encode(request))

    def receive_grant(self, node_id: str, payload: bytes) -> None:
        """Handle the grant of an owner."""
        grant = _decode(messages.GRANTS, node_id, payload)
        if grant is None:
            return
        self._relay.receive_confirmed(grant.version, grant.store_s)
        account = grant.account
        requests = self._requests.get(account)
        if requests is None or not requests.asked:
            return
        if requests.number != grant.number:
            return
        if grant.tokens < 0:
            # The node does not consider itself the owner.
            self._start_fallback(account, requests)
            return
        self._settle(requests, token_bucket.Grant(grant.tokens, grant.wait_s))
        self._fallback.reset(account)
        owner = self._find_owner(account)
        if requests.waiting and owner is not None:
            self._send_request(account, requests, owner)

    def _settle(self, requests: _Requests, grant: token_bucket.Grant) -> None:
        if requests.timer is not None:
            requests.timer.cancel()
        tokens = grant.tokens
        asked = min(requests.asked, len(requests.waiting))
        settled = [requests.waiting.popleft() for _ in range(asked)]
        settled.sort(key=lambda waiting: waiting.importance)
        for waiting in settled:
            future = waiting.future
            if future.done():
                continue
            if tokens:
                tokens -= 1
                future.set_result(None)
            else:
                refused = self._build_refusal(
                    token_bucket.Grant(0, grant.wait_s)
                )
                future.set_result(refused)
        requests.asked = 0

    def _start_fallback(self, account: str, requests: _Requests) -> None:
        """Use the fallback bucket for the waiting calls, and for a while."""
        if requests.timer is not None:
            requests.timer.cancel()
        requests.asked = 0
        requests.fallback_until = self._clock() + FALLBACK_S
        events.log(events.OWNER_SILENT, account=account)
        table = self._get_table()
        rule = None if table is None else table.accounts.get(account)
        while requests.waiting:
            waiting = requests.waiting.popleft()
            future = waiting.future
            if future.done():
                continue
            if rule is None:
                future.set_result(quota.Refused(FALLBACK_S))
            else:
                future.set_result(self._use_fallback(rule, waiting.importance))

    def _use_fallback(
        self, account: call_rules.AccountRule, importance: int
    ) -> quota.Refused | None:
        owner = self._find_owner(account.name)
        rate = account_rates.compute_fallback_rate(
            account.rate,
            nodes=self._count_nodes(),
            is_dead=owner is not None and self._is_dead(owner),
            slack=self.slack,
        )
        grant = self._fallback.take(
            account.name,
            importance,
            self._clock(),
            rate=rate,
            random_value=self._random.random(),
        )
        return self._build_refusal(grant)

    # Grants as an owner

    def receive_ask(self, node_id: str, payload: bytes) -> None:
        """Answer the request of a node for tokens."""
        request = _decode(messages.REQUESTS, node_id, payload)
        if request is None:
            return
        self._relay.receive_confirmed(request.version, request.store_s)
        account = request.account
        table = self._get_table()
        rule = None if table is None else table.accounts.get(account)
        if rule is None or self._find_owner(account) != self._node_id:
            grant = token_bucket.Grant(-1, 0.0)
        else:
            grant = self._grant(rule, request.list_wanted())
        message = messages.Grant(
            account,
            request.number,
            grant.tokens,
            grant.wait_s,
            *self._relay.get_confirmed(),
        )
        self._send(
            node_id, messages.TOPIC_GRANT, msgspec.msgpack.encode(message)
        )


def _decode(
    decoder: 'msgspec.msgpack.Decoder[messages.Message]',
    node_id: str,
    payload: bytes,
) -> messages.Message | None:
    """Return a node's message, or None if it cannot be decoded."""
    try:
        return decoder.decode(payload)
    except msgspec.DecodeError as error:
        events.log(events.NEWS_REJECTED, peer=node_id, detail=str(error))
        return None
