"""Wiring of the components that follow the rules and the other nodes."""

import dataclasses
import random

from .. import clock
from .. import ports
from .. import request_log
from ..controllers import confirmation
from ..controllers import control_router
from ..controllers import directory
from ..controllers import evacuations
from ..controllers import feed
from ..controllers import mesh_secret
from ..controllers import quarantine as quarantine_keeper
from ..controllers import relay
from ..controllers import roster as roster_keeper
from ..controllers import rules
from ..policy import call_rules
from ..policy import client_load
from ..policy import freshness
from ..policy import quarantine
from ..policy import roster
from ..policy.placement import homes
from ..policy.placement import spread
from ..transport import budget
from ..transport import client_account
from . import policy_settings
from . import settings

# Long-poll time-outs of the feeds. An answer may be lost silently; until the
# next poll, changes of the rules are found by confirmations.
RULES_POLL_TIMEOUT_S = 8.0
ROSTER_POLL_TIMEOUT_S = 20.0
# Part of the time within which an evacuation is in force after which a root of
# the relay tree polls the store again. An answer of the store may be lost, and
# confirmations of peers say nothing of evacuations.
MAX_SILENCE_RATIO = 0.4
ROSTER_BATCH_DELAY_S = 0.5
PLACEMENT_DELAY_S = 0.1
# Approximate time until nodes that start together have discovered each other.
STARTUP_SETTLE_S = 1.0
# A confirmation expires this long before a withdrawn key must stop working,
# because the store's feed may hide a change for 1 s and its answer takes time.
FRESHNESS_MARGIN_S = 1.25
BODY_MEMORY_SHARE = 0.3
# What one long body may take beyond that: a machine of 200 MB holds one of the
# usual max_body_bytes, 67 MB.
EXTRA_BODY_MEMORY_SHARE = 0.15
# What clients may make the process hold beside the bodies above. A crowd that
# reads slowly took twice as much in resident memory as is counted.
CLIENT_MEMORY_SHARE = 0.2
# What calls of other nodes and their answers may take at the target's node.
PEER_MEMORY_SHARE = 0.1
# Descriptors that the platform reserves for files, and the part of the others
# that clients may use; the rest is for targets, links and the store.
FILE_DESCRIPTORS = 200
CLIENT_DESCRIPTOR_SHARE = 0.75
MIN_CLIENT_CONNECTIONS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Adapters to the platform.

    Args:
        store: Tables of rows shared by all nodes.
        rule_source: Decodes the operator's configuration.
        check_in_format: Decodes and acknowledges check-ins of targets.
        dialect: Translates between HTTP messages and calls or outcomes.
    """

    store: ports.RowStore
    rule_source: ports.RuleSource
    check_in_format: ports.CheckInFormat
    dialect: ports.Dialect


@dataclasses.dataclass(frozen=True, slots=True)
class ControlPlane:
    """Components that follow the rules and the other nodes.

    They are built before the node opens links, and shared with the call path.

    Args:
        config: Settings of the node.
        platform: Adapters to the platform.
        random_source: Random numbers for all components.
        fresh: How long ago the rules were confirmed to be the newest.
        rules: Applies new versions of the rules.
        rules_feed: Follows the table of the rules.
        confirmation: Has the rules confirmed by peers or by the store.
        directory: Known nodes and the load balancer.
        evacuations: Puts evacuations of data centres in force.
        homes: Finds the data centres in which calls may run.
        roster: Keeps the entries of all nodes, and writes this node's own.
        roster_feed: Follows the table of nodes.
        secrets: Keeps the secret of the mesh in the store.
        confined: Requests that are refused because they crash targets.
        quarantine: Shares them and the crashes with other nodes.
        quarantine_feed: Follows the table of quarantined requests.
        relay: Relays changes of the tables between nodes.
        router: Dispatches control messages by topic.
        bodies: Memory budget for request and answer bodies.
        clients: Account of what clients make the process hold.
        log: Logs and counts outcomes of calls.
    """

    config: settings.SidecarSettings
    platform: Platform
    random_source: random.Random
    fresh: freshness.Freshness
    rules: rules.RuleKeeper
    rules_feed: feed.Feed
    confirmation: confirmation.Confirmation
    directory: directory.Directory[spread.LoadAwareBalancer]
    evacuations: evacuations.Evacuations
    homes: homes.Homes
    roster: roster_keeper.RosterKeeper
    roster_feed: feed.Feed
    secrets: mesh_secret.SecretKeeper
    confined: quarantine.Quarantine
    quarantine: quarantine_keeper.QuarantineKeeper
    quarantine_feed: feed.Feed
    relay: relay.Relay
    router: control_router.ControlRouter
    bodies: budget.ByteBudget
    clients: client_account.ClientAccount
    log: request_log.RequestLog

    def find_service(self) -> call_rules.ServiceRule | None:
        """Return the rule of this node's service; None if there is none."""
        table = self.rules.get_table()
        return (
            None if table is None else table.services.get(self.config.service)
        )


def build_control_plane(
    config: settings.SidecarSettings,
    platform: Platform,
    log: request_log.RequestLog,
    *,
    apply_rules: rules.Apply,
) -> ControlPlane:
    """Build the components that follow the rules and the other nodes.

    Args:
        config: Settings of the node.
        platform: Adapters to the platform.
        log: Logs and counts outcomes of calls.
        apply_rules: Called with each new version of the rules.

    Returns:
        The components, not started.
    """
    random_source = random.Random()
    fresh = freshness.Freshness(config.bounds.withdraw_s - FRESHNESS_MARGIN_S)
    rule_keeper = rules.RuleKeeper(platform.rule_source, fresh, apply_rules)
    node_directory = directory.Directory(
        spread.LoadAwareBalancer(
            spread.LoadAwareSettings(), data_centre=config.data_centre
        )
    )
    node_evacuations = evacuations.Evacuations(
        config.data_centre, node_directory
    )
    rule_keeper.on_evacuated = node_evacuations.apply
    router = control_router.ControlRouter()
    node_roster = roster_keeper.RosterKeeper(
        _build_entry(config), platform.store, node_directory, router
    )
    router.register(roster_keeper.TOPIC, node_roster.receive)
    router.register(
        roster_keeper.TOPIC_PASSED_ON, node_roster.receive_passed_on
    )
    rules_feed = feed.Feed(
        platform.store,
        platform.rule_source.table,
        rule_keeper,
        wait_s=RULES_POLL_TIMEOUT_S,
        gather_s=0.0,
        clock=clock.read_boot_time,
        source=random_source,
        watches=False,
        keeps_rows=True,
        max_silence_s=MAX_SILENCE_RATIO * config.bounds.evacuate_s,
    )
    roster_feed = feed.Feed(
        platform.store,
        roster_keeper.TABLE,
        node_roster,
        wait_s=ROSTER_POLL_TIMEOUT_S,
        gather_s=ROSTER_BATCH_DELAY_S,
        clock=clock.read_boot_time,
        source=random_source,
        watches=False,
    )
    confined = quarantine.Quarantine()
    keeper = quarantine_keeper.QuarantineKeeper(
        node_id=config.node_id,
        service=config.service,
        confined=confined,
        store=platform.store,
        list_group=lambda: node_roster.list_group(config.service),
        send=router.send,
        source=random_source,
    )
    router.register(quarantine_keeper.TOPIC, keeper.receive)
    quarantine_feed = feed.Feed(
        platform.store,
        quarantine_keeper.TABLE,
        keeper,
        wait_s=ROSTER_POLL_TIMEOUT_S,
        gather_s=0.0,
        clock=clock.read_boot_time,
        source=random_source,
        watches=False,
        keeps_rows=True,
    )
    secret_keeper = mesh_secret.SecretKeeper(
        platform.store,
        count_nodes=lambda: len(node_roster.roster),
        source=random_source,
    )
    roster_feed.on_restored = secret_keeper.check_after_restore
    node_relay = relay.Relay(
        config.node_id,
        {
            platform.rule_source.table: rules_feed,
            roster_keeper.TABLE: roster_feed,
            quarantine_keeper.TABLE: quarantine_feed,
        },
        list_nodes=node_roster.list_available,
        send=router.send,
        source=random_source,
        settle_s=STARTUP_SETTLE_S,
        gather_s=PLACEMENT_DELAY_S,
    )
    bodies = budget.ByteBudget(
        int(config.memory_bytes * BODY_MEMORY_SHARE),
        extra=int(config.memory_bytes * EXTRA_BODY_MEMORY_SHARE),
    )
    router.register(relay.TOPIC, node_relay.receive)
    router.register(relay.TOPIC_ASK, node_relay.receive_ask)
    node_roster.list_neighbours = node_relay.list_neighbours
    return ControlPlane(
        config=config,
        platform=platform,
        random_source=random_source,
        fresh=fresh,
        rules=rule_keeper,
        rules_feed=rules_feed,
        confirmation=confirmation.Confirmation(
            keeper=rule_keeper,
            rules_feed=rules_feed,
            fresh=fresh,
            refresh_policy=policy_settings.build_refresh_policy(
                fresh.limit_s, apply_s=config.bounds.apply_s
            ),
            get_place=lambda: node_relay.place,
            ask_peers=lambda: node_relay.ask(platform.rule_source.table),
            clock=clock.read_boot_time,
            source=random_source,
        ),
        directory=node_directory,
        evacuations=node_evacuations,
        homes=homes.Homes(config.regions),
        roster=node_roster,
        roster_feed=roster_feed,
        secrets=secret_keeper,
        confined=confined,
        quarantine=keeper,
        quarantine_feed=quarantine_feed,
        relay=node_relay,
        router=router,
        bodies=bodies,
        clients=client_account.ClientAccount(
            build_client_bounds(config), bodies
        ),
        log=log,
    )


def build_client_bounds(
    config: settings.SidecarSettings,
) -> client_load.Bounds:
    """Return what clients may make the process hold."""
    descriptors = config.max_fds - FILE_DESCRIPTORS
    return client_load.Bounds(
        held_bytes=int(config.memory_bytes * CLIENT_MEMORY_SHARE),
        connections=max(
            MIN_CLIENT_CONNECTIONS, int(descriptors * CLIENT_DESCRIPTOR_SHARE)
        ),
    )


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
