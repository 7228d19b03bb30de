"""The composition root of the node beside a target on a platform."""

import dataclasses
import random
import time

from .. import clock
from .. import ports
from .. import request_log
from .. import verdict
from ..controllers import account_quota
from ..controllers import check_ins
from ..controllers import confirmation
from ..controllers import control_router
from ..controllers import directory
from ..controllers import feed
from ..controllers import reaper
from ..controllers import relay
from ..controllers import roster as roster_keeper
from ..controllers import rules
from ..filters import admit
from ..filters import forward
from ..filters import front
from ..filters import gate
from ..filters import transmit
from ..policy import attempts
from ..policy import freshness
from ..policy import retry_budget
from ..policy import root_share
from ..policy import roster
from ..policy import running_calls
from ..policy import slot_queue
from ..policy import spread
from ..policy import target_life
from ..transport import acceptor
from ..transport import budget
from ..transport import dialler
from ..transport import http_client
from ..transport import link
from . import policy_settings
from . import settings

# Feeds answer after this long without a change. An answer may be lost without
# a word; until the store is asked again, confirmations find changes of rules.
RULES_WAIT_S = 8.0
ROSTER_WAIT_S = 20.0
ROSTER_GATHER_S = 0.5
PLACE_GATHER_S = 0.1
# Nodes that start together know each other after this long, about.
SETTLE_S = 1.0
# A confirmation counts this much shorter than a withdrawn key may work, for
# a store whose feed hides a change for a second, and for the way.
FRESH_MARGIN_S = 1.25
# An old limit counts for so long after a lower one has to be in force: it
# binds a whole window of the quota later, and calls that began under the old
# one are still on their way.
LOWER_GRACE_S = 1.0
BODY_MEMORY_SHARE = 0.3
RETAINED_ANSWER_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """The adapter's parts.

    Args:
        store: The platform's store.
        rule_source: Reads the operator's configuration.
        check_in_format: Reads what targets say of themselves.
        dialect: How callers and targets speak of calls.
    """

    store: ports.RowStore
    rule_source: ports.RuleSource
    check_in_format: ports.CheckInFormat
    dialect: ports.Dialect


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """What a node knows, before it has any links."""

    config: settings.SidecarSettings
    platform: Platform
    source: random.Random
    fresh: freshness.Freshness
    rules: rules.RuleKeeper
    rules_feed: feed.Feed
    confirmation: confirmation.Confirmation
    book: directory.Directory[spread.LoadAwareBalancer]
    roster: roster_keeper.RosterKeeper
    roster_feed: feed.Feed
    relay: relay.Relay
    router: control_router.ControlRouter
    bodies: budget.ByteBudget
    log: request_log.RequestLog


@dataclasses.dataclass(frozen=True, slots=True)
class Path:
    """The parts that calls pass through."""

    front: front.Frontend
    gate: gate.Gate
    admitter: admit.Admitter[slot_queue.SlotQueue]
    pool: http_client.TargetPool
    dialler: dialler.Dialler
    acceptor: acceptor.Acceptor
    check_ins: check_ins.CheckInKeeper
    reaper: reaper.Reaper
    book: directory.Directory[spread.LoadAwareBalancer]
    call_retry_budget: retry_budget.RetryBudget
    quotas: account_quota.AccountQuota

    def find_address(self, node_id: str) -> control_router.Address | None:
        """Return where a node accepts links, or None."""
        return self.book.find_address(node_id)


def build_state(
    config: settings.SidecarSettings,
    platform: Platform,
    log: request_log.RequestLog,
    *,
    apply_rules: rules.Apply,
) -> State:
    """Build what hears of rules and nodes."""
    source = random.Random()
    fresh = freshness.Freshness(config.bounds.withdraw_s - FRESH_MARGIN_S)
    keeper = rules.RuleKeeper(platform.rule_source, fresh, apply_rules)
    book = directory.Directory(
        spread.LoadAwareBalancer(
            spread.LoadAwareSettings(), data_centre=config.data_centre
        )
    )
    router = control_router.ControlRouter()
    nodes = roster_keeper.RosterKeeper(
        _build_entry(config), platform.store, book, router
    )
    router.register(roster_keeper.TOPIC, nodes.receive)
    router.register(roster_keeper.TOPIC_PASSED_ON, nodes.receive_passed_on)
    rules_feed = feed.Feed(
        platform.store,
        platform.rule_source.table,
        keeper,
        wait_s=RULES_WAIT_S,
        gather_s=0.0,
        clock=clock.read_boot_time,
        source=source,
        watches=False,
        keeps_rows=True,
    )
    roster_feed = feed.Feed(
        platform.store,
        roster_keeper.TABLE,
        nodes,
        wait_s=ROSTER_WAIT_S,
        gather_s=ROSTER_GATHER_S,
        clock=clock.read_boot_time,
        source=source,
        watches=False,
    )
    news = relay.Relay(
        config.node_id,
        {
            platform.rule_source.table: rules_feed,
            roster_keeper.TABLE: roster_feed,
        },
        list_nodes=nodes.list_lasting,
        send=router.send,
        source=source,
        settle_s=SETTLE_S,
        gather_s=PLACE_GATHER_S,
    )
    router.register(relay.TOPIC, news.receive)
    router.register(relay.TOPIC_ASK, news.receive_ask)
    nodes.list_neighbours = news.list_neighbours
    return State(
        config=config,
        platform=platform,
        source=source,
        fresh=fresh,
        rules=keeper,
        rules_feed=rules_feed,
        confirmation=confirmation.Confirmation(
            keeper=keeper,
            rules_feed=rules_feed,
            fresh=fresh,
            refresh_policy=policy_settings.build_refresh_policy(fresh.limit_s),
            get_place=lambda: news.place,
            ask_peers=lambda: news.ask(platform.rule_source.table),
            clock=clock.read_boot_time,
            source=source,
        ),
        book=book,
        roster=nodes,
        roster_feed=roster_feed,
        relay=news,
        router=router,
        bodies=budget.ByteBudget(int(config.memory_bytes * BODY_MEMORY_SHARE)),
        log=log,
    )


def apply_settings(state: State, path: Path | None) -> None:
    """Put the settings that may change while the node runs in force.

    Args:
        state: What the node knows; its settings are those to put in force.
        path: The parts that calls pass through; None before they are built.
    """
    bounds = state.config.bounds
    state.fresh.limit_s = bounds.withdraw_s - FRESH_MARGIN_S
    state.confirmation.refresh_policy = policy_settings.build_refresh_policy(
        state.fresh.limit_s
    )
    state.bodies.limit = int(state.config.memory_bytes * BODY_MEMORY_SHARE)
    if path is not None:
        path.gate.drain_s = bounds.drain_s
        path.call_retry_budget.bounds = policy_settings.build_retry_bounds(
            bounds
        )
        path.quotas.slack = policy_settings.build_quota_slack(bounds)


def build_path(state: State, *, incarnation: int, secret: bytes) -> Path:
    """Build what calls pass through."""
    config = state.config
    identity = link.Identity(config.node_id, incarnation)
    pool = http_client.TargetPool(
        config.target.host,
        config.target.port,
        connections=1,
        bodies=state.bodies,
    )
    admitter = _build_admitter(state)
    running = running_calls.RunningCalls()
    shares = root_share.RootShares(root_share.ShareSettings())
    guard = gate.Gate(
        state.platform.dialect,
        pool,
        admitter,
        state.bodies,
        running,
        shares,
        log=state.log,
        service=config.service,
        drain_s=config.bounds.drain_s,
    )
    links = dialler.Dialler(
        identity,
        secret=secret,
        bodies=state.bodies,
        on_control=state.router.receive,
    )
    quotas = _build_quotas(state, links)
    call_retry_budget = retry_budget.RetryBudget(
        policy_settings.build_retry_bounds(config.bounds)
    )
    forwarder = forward.Forwarder(
        transmitter=transmit.Transmitter(
            node_id=config.node_id,
            addresses=state.book,
            links=links,
            runner=guard,
        ),
        balancer=state.book.balancer,
        running=running,
        shares=shares,
        budget=call_retry_budget,
        count_nodes=lambda: len(state.roster.roster),
        source=state.source,
    )
    path = Path(
        front=_build_front(state, forwarder, quotas),
        gate=guard,
        admitter=admitter,
        pool=pool,
        dialler=links,
        acceptor=_build_acceptor(state, identity, secret, guard),
        check_ins=check_ins.CheckInKeeper(
            state.platform.check_in_format,
            target_life.TargetLifecycle(),
            state.roster,
            guard,
            clock=time.monotonic,
        ),
        reaper=reaper.Reaper(
            state.roster,
            links,
            count_nodes=lambda: len(state.roster.roster),
            source=state.source,
        ),
        book=state.book,
        call_retry_budget=call_retry_budget,
        quotas=quotas,
    )
    state.router.links = path
    return path


def _build_entry(config: settings.SidecarSettings) -> roster.Entry:
    return roster.Entry(
        node_id=config.node_id,
        incarnation=0,
        revision=0,
        service=config.service,
        data_centre=config.data_centre,
        host=config.links.host,
        port=config.links.port,
        state=roster.TargetState.ABSENT,
    )


def _build_admitter(
    state: State,
) -> admit.Admitter[slot_queue.SlotQueue]:
    policy = slot_queue.SlotQueue(slot_queue.SlotSettings(), slots=1)
    return admit.Admitter(
        policy,
        source=state.source,
        retry_elsewhere=frozenset(
            (verdict.Reason.LEAVING, verdict.Reason.OVERLOAD)
        ),
    )


def _build_front(
    state: State,
    forwarder: forward.Forwarder,
    quotas: account_quota.AccountQuota,
) -> front.Frontend:
    config = state.config
    return front.Frontend(
        state.platform.dialect,
        service=config.service,
        get_table=state.rules.get_table,
        fresh=state.fresh,
        quotas=quotas,
        forward=forwarder.send,
        log=state.log,
        boot_clock=clock.read_boot_time,
        source=state.source,
    )


def _build_quotas(
    state: State, links: dialler.Dialler
) -> account_quota.AccountQuota:
    bounds = state.config.bounds
    quotas = account_quota.AccountQuota(
        state.config.node_id,
        list_owners=state.roster.list_owners,
        count_nodes=lambda: len(state.roster.roster),
        get_table=state.rules.get_table,
        send=state.router.send,
        relay=state.confirmation,
        is_dead=links.is_refused,
        slack=policy_settings.build_quota_slack(bounds),
        lower_after_s=bounds.apply_s + LOWER_GRACE_S,
        source=state.source,
    )
    state.router.register(account_quota.TOPIC_ASK, quotas.receive_ask)
    state.router.register(account_quota.TOPIC_GRANT, quotas.receive_grant)
    state.roster.on_change = lambda: _note_nodes(state.relay, quotas)
    return quotas


def _note_nodes(news: relay.Relay, quotas: account_quota.AccountQuota) -> None:
    news.note_nodes()
    quotas.note_nodes()


def _build_acceptor(
    state: State, identity: link.Identity, secret: bytes, guard: gate.Gate
) -> acceptor.Acceptor:
    return acceptor.Acceptor(
        identity,
        secret=secret,
        runner=guard,
        bodies=state.bodies,
        table=attempts.AttemptTable(
            max_answer_bytes=int(
                state.config.memory_bytes * RETAINED_ANSWER_SHARE
            )
        ),
        on_control=state.router.receive,
    )
