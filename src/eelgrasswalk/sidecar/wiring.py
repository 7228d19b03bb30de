"""Composition root of the sidecar node."""

import dataclasses
import time

from .. import clock
from .. import verdict
from ..controllers import account_quota
from ..controllers import account_quota_messages
from ..controllers import check_ins
from ..controllers import cold_target
from ..controllers import control_router
from ..controllers import directory
from ..controllers import reaper
from ..controllers import relay
from ..controllers import target_probe
from ..filters import admit
from ..filters import call_homes
from ..filters import deliveries
from ..filters import forward
from ..filters import front
from ..filters import gate
from ..filters import isolation
from ..filters import peer_calls
from ..filters import transmit
from ..policy import attempts
from ..policy import retry_budget
from ..policy import root_share
from ..policy import running_calls
from ..policy import suspects
from ..policy import target_lifecycle
from ..policy.capacity import slot_queue
from ..policy.placement import spread
from ..transport import acceptor
from ..transport import budget
from ..transport import dialler
from ..transport import http_client
from ..transport import link
from . import policy_settings
from . import wiring_control

# The old rate stays in use for this long after a lower one has to be in force:
# the lower rate is binding only a whole quota window later, and calls that
# began under the old one are still in transit.
RATE_DECREASE_GRACE_S = 1.0
RETAINED_ANSWER_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class CallPath:
    """Components that calls pass through.

    Args:
        front: Handles requests from callers.
        gate: Admits and delivers calls to the target.
        peer_calls: Bounds what calls of other nodes make this one hold.
        admitter: Queue of calls for the target.
        pool: Connections to the target.
        dialler: Links that this node opens.
        acceptor: Links that other nodes open.
        check_ins: Handles check-ins of the target.
        cold_target: Asks the target whether it is cold.
        reaper: Removes the entries of unreachable nodes.
        directory: Known nodes and the load balancer.
        call_retry_budget: Bounds the retries of this node.
        quotas: Enforces the rates of client accounts.
    """

    front: front.Frontend
    gate: gate.Gate
    peer_calls: peer_calls.PeerCalls
    admitter: admit.Admitter[slot_queue.SlotQueue]
    pool: http_client.TargetPool
    dialler: dialler.Dialler
    acceptor: acceptor.Acceptor
    check_ins: check_ins.CheckInKeeper
    cold_target: cold_target.ColdTargetKeeper
    reaper: reaper.Reaper
    directory: directory.Directory[spread.LoadAwareBalancer]
    call_retry_budget: retry_budget.RetryBudget
    quotas: account_quota.AccountQuota

    def find_address(self, node_id: str) -> control_router.Address | None:
        """Return where a node accepts links, or None when it is unknown."""
        return self.directory.find_address(node_id)


def apply_settings(
    control_plane: wiring_control.ControlPlane, call_path: CallPath | None
) -> None:
    """Apply the settings that can change while the node runs.

    Args:
        control_plane: Holds the settings to apply.
        call_path: Components that calls pass through; None before they are
            built.
    """
    bounds = control_plane.config.bounds
    control_plane.fresh.limit_s = (
        bounds.withdraw_s - wiring_control.FRESHNESS_MARGIN_S
    )
    control_plane.confirmation.refresh_policy = (
        policy_settings.build_refresh_policy(
            control_plane.fresh.limit_s, apply_s=bounds.apply_s
        )
    )
    memory_bytes = control_plane.config.memory_bytes
    control_plane.bodies.limit = int(
        memory_bytes * wiring_control.BODY_MEMORY_SHARE
    )
    control_plane.bodies.extra = int(
        memory_bytes * wiring_control.EXTRA_BODY_MEMORY_SHARE
    )
    control_plane.clients.bounds = wiring_control.build_client_bounds(
        control_plane.config
    )
    control_plane.homes.set_regions(control_plane.config.regions)
    if call_path is not None:
        call_path.peer_calls.memory.limit = int(
            memory_bytes * wiring_control.PEER_MEMORY_SHARE
        )
        call_path.gate.drain_s = bounds.drain_s
        call_path.call_retry_budget.bounds = (
            policy_settings.build_retry_bounds(bounds)
        )
        call_path.quotas.slack = policy_settings.build_quota_slack(bounds)
        apply_cold_settings(control_plane, call_path.gate)


def apply_cold_settings(
    control_plane: wiring_control.ControlPlane, target_gate: gate.Gate
) -> None:
    """Apply the limits on the calls to cold targets of the service."""
    config = control_plane.config
    target_gate.coldness.change_settings(
        policy_settings.build_cold_settings(
            config.bounds, control_plane.find_service()
        )
    )


def build_call_path(
    control_plane: wiring_control.ControlPlane,
    *,
    incarnation: int,
    secret: bytes,
) -> CallPath:
    """Build the components that calls pass through.

    Args:
        control_plane: Components that the call path uses.
        incarnation: Number of this process's incarnation; greater than those
            of earlier processes of the node.
        secret: Secret that the nodes of the mesh share.

    Returns:
        The components, not started.
    """
    config = control_plane.config
    identity = link.Identity(config.node_id, incarnation)
    pool = http_client.TargetPool(
        config.target.host,
        config.target.port,
        connections=1,
        bodies=control_plane.bodies,
    )
    admitter = _build_admitter(control_plane)
    running = running_calls.RunningCalls()
    shares = root_share.RootShares(root_share.ShareSettings())
    call_retry_budget = retry_budget.RetryBudget(
        policy_settings.build_retry_bounds(config.bounds)
    )
    target_gate = gate.Gate(
        control_plane.platform.dialect,
        pool,
        admitter,
        control_plane.bodies,
        running,
        shares,
        isolate=lambda calls: _build_isolation(control_plane, calls),
        get_retry_use=lambda: call_retry_budget.compute_nested_use(
            time.monotonic(),
            len(control_plane.roster.roster),
            is_tracked=running.is_tracked,
        ),
        log=control_plane.log,
        service=config.service,
        drain_s=config.bounds.drain_s,
    )
    link_dialler = dialler.Dialler(
        identity,
        secret=secret,
        bodies=control_plane.bodies,
        on_control=control_plane.router.receive,
    )
    quotas = _build_quotas(control_plane, link_dialler)
    probe = _build_probe(control_plane, pool, target_gate)
    forwarder = forward.Forwarder(
        transmitter=transmit.Transmitter(
            node_id=config.node_id,
            addresses=control_plane.directory,
            links=link_dialler,
            runner=target_gate,
        ),
        balancer=control_plane.directory.balancer,
        running=running,
        shares=shares,
        budget=call_retry_budget,
        count_nodes=lambda: len(control_plane.roster.roster),
        source=control_plane.random_source,
        find_homes=call_homes.CallHomes(
            control_plane.homes, control_plane.rules.get_table
        ).find,
    )
    held_calls = peer_calls.PeerCalls(
        target_gate,
        budget.ByteBudget(
            int(config.memory_bytes * wiring_control.PEER_MEMORY_SHARE)
        ),
    )
    call_path = CallPath(
        front=_build_front(control_plane, forwarder, quotas),
        gate=target_gate,
        peer_calls=held_calls,
        admitter=admitter,
        pool=pool,
        dialler=link_dialler,
        acceptor=_build_acceptor(control_plane, identity, secret, held_calls),
        check_ins=check_ins.CheckInKeeper(
            control_plane.platform.check_in_format,
            target_lifecycle.TargetLifecycle(),
            control_plane.roster,
            target_gate,
            probe,
            clock=time.monotonic,
        ),
        cold_target=cold_target.ColdTargetKeeper(
            target_gate.coldness, probe, control_plane.roster
        ),
        reaper=reaper.Reaper(
            control_plane.roster,
            link_dialler,
            count_nodes=lambda: len(control_plane.roster.roster),
            source=control_plane.random_source,
        ),
        directory=control_plane.directory,
        call_retry_budget=call_retry_budget,
        quotas=quotas,
    )
    control_plane.quarantine.listener = target_gate.isolation
    control_plane.evacuations.on_own_lifted = target_gate.assume_cold
    control_plane.evacuations.on_lifted = lambda data_centres: _assume_cold(
        control_plane, data_centres
    )
    control_plane.evacuations.set_gate(target_gate)
    target_gate.on_leaving = call_path.check_ins.note_leaving
    control_plane.router.links = call_path
    apply_cold_settings(control_plane, target_gate)
    return call_path


def _assume_cold(
    control_plane: wiring_control.ControlPlane, data_centres: frozenset[str]
) -> None:
    """Take the targets of some data centres for cold after an evacuation."""
    table = control_plane.rules.get_table()
    services = {} if table is None else table.services
    now = time.monotonic()
    for entry in control_plane.roster.roster.list_entries():
        service = services.get(entry.service)
        if service is None or not service.cold_per_s:
            continue
        if entry.data_centre in data_centres:
            control_plane.directory.balancer.assume_cold(
                (entry.node_id,), now + service.cold_start_s
            )


def _build_probe(
    control_plane: wiring_control.ControlPlane,
    pool: http_client.TargetPool,
    target_gate: gate.Gate,
) -> target_probe.TargetProbe:
    def get_path() -> str:
        service = control_plane.find_service()
        return '' if service is None else service.health_path

    return target_probe.TargetProbe(
        pool,
        control_plane.platform.dialect,
        get_path=get_path,
        loads=target_gate.loads,
    )


def _build_admitter(
    control_plane: wiring_control.ControlPlane,
) -> admit.Admitter[slot_queue.SlotQueue]:
    policy = slot_queue.SlotQueue(slot_queue.SlotSettings(), slots=1)
    return admit.Admitter(
        policy,
        source=control_plane.random_source,
        retry_elsewhere=frozenset(
            (
                verdict.Reason.LEAVING,
                verdict.Reason.EVACUATED,
                verdict.Reason.OVERLOAD,
            )
        ),
    )


def _build_isolation(
    control_plane: wiring_control.ControlPlane, running: deliveries.Deliveries
) -> isolation.Isolation:
    config = control_plane.config
    return isolation.Isolation(
        node_id=config.node_id,
        known=suspects.Suspects(suspects.SuspectSettings()),
        confined=control_plane.confined,
        running=running,
        list_upstreams=lambda: (
            isolation.Upstream(entry.node_id, entry.run_id, entry.data_centre)
            for entry in control_plane.roster.roster.list_entries()
            if entry.service == config.service
            and entry.is_usable
            and entry.data_centre not in control_plane.evacuations.evacuated
        ),
        reporter=control_plane.quarantine,
    )


def _build_front(
    control_plane: wiring_control.ControlPlane,
    forwarder: forward.Forwarder,
    quotas: account_quota.AccountQuota,
) -> front.Frontend:
    config = control_plane.config
    return front.Frontend(
        control_plane.platform.dialect,
        service=config.service,
        get_table=control_plane.rules.get_table,
        fresh=control_plane.fresh,
        quotas=quotas,
        forward=forwarder.send,
        log=control_plane.log,
        boot_clock=clock.read_boot_time,
        source=control_plane.random_source,
    )


def _build_quotas(
    control_plane: wiring_control.ControlPlane, link_dialler: dialler.Dialler
) -> account_quota.AccountQuota:
    bounds = control_plane.config.bounds
    quotas = account_quota.AccountQuota(
        control_plane.config.node_id,
        list_owners=control_plane.roster.list_owners,
        count_nodes=lambda: len(control_plane.roster.roster),
        get_table=control_plane.rules.get_table,
        send=control_plane.router.send,
        relay=control_plane.confirmation,
        is_dead=link_dialler.is_refused,
        slack=policy_settings.build_quota_slack(bounds),
        lower_after_s=bounds.apply_s + RATE_DECREASE_GRACE_S,
        is_known=control_plane.roster.find_previous() is not None,
        source=control_plane.random_source,
    )
    control_plane.router.register(
        account_quota_messages.TOPIC_ASK, quotas.receive_ask
    )
    control_plane.router.register(
        account_quota_messages.TOPIC_GRANT, quotas.receive_grant
    )
    control_plane.roster.on_change = lambda: _notify_nodes_changed(
        control_plane.relay, quotas
    )
    return quotas


def _notify_nodes_changed(
    node_relay: relay.Relay, quotas: account_quota.AccountQuota
) -> None:
    node_relay.note_nodes()
    quotas.note_nodes()


def _build_acceptor(
    control_plane: wiring_control.ControlPlane,
    identity: link.Identity,
    secret: bytes,
    held_calls: peer_calls.PeerCalls,
) -> acceptor.Acceptor:
    return acceptor.Acceptor(
        identity,
        secret=secret,
        runner=held_calls,
        backlog=held_calls.memory,
        bodies=control_plane.bodies,
        table=attempts.AttemptTable(
            max_answer_bytes=int(
                control_plane.config.memory_bytes * RETAINED_ANSWER_SHARE
            )
        ),
        on_control=control_plane.router.receive,
    )
