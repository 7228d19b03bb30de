"""The composition root: builds a node from its settings."""

import dataclasses
import pathlib
import random
import time
import typing

from . import app
from . import counters
from . import events
from . import node
from . import settings
from . import wiring_controllers
from .controllers import control_router
from .controllers import directory
from .document import loading
from .filters import admit
from .filters import authentication
from .filters import child_calls
from .filters import context
from .filters import delivery
from .filters import dependency_levels
from .filters import dispatch
from .filters import entry
from .filters import filter_chain
from .filters import guard
from .filters import load_shedding
from .filters import quota
from .filters import route
from .filters import served_calls
from .filters import transmit
from .policy import admission
from .policy import attempts
from .policy import breaker
from .policy import levels
from .policy.placement import balance
from .transport import acceptor
from .transport import budget
from .transport import dialler
from .transport import http_client
from .transport import http_server
from .transport import link
from .transport import message

RETAINED_ANSWER_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Shared:
    """What several parts of a node need."""

    config: settings.Settings
    identity: link.Identity
    current: node.Current
    counts: counters.Counters
    bodies: budget.ByteBudget
    calls: served_calls.ServedCalls
    router: control_router.ControlRouter
    source: random.Random


def build_application(
    config: settings.Settings,
) -> tuple[app.Application, node.Node]:
    """Return a node and the application that runs it."""
    stops: list[typing.Callable[[], None]] = []
    built = build_node(config, on_stop_request=lambda: stops[0]())
    application = app.Application([built])
    stops.append(application.request_stop)
    return application, built


def build_node(
    config: settings.Settings,
    *,
    on_stop_request: typing.Callable[[], None],
) -> node.Node:
    """Build a node and its controllers."""
    shared = Shared(
        config=config,
        identity=link.Identity(config.node_id, time.time_ns()),
        current=node.Current(),
        counts=counters.Counters(),
        bodies=budget.ByteBudget(config.limits.body_memory_bytes),
        calls=served_calls.ServedCalls(),
        router=control_router.ControlRouter(),
        source=random.Random(),
    )
    book = directory.Directory(_build_balancer(config))
    controllers = _build_controllers(shared, book)
    parts = _build_parts(shared, book, controllers)
    shared.router.links = parts
    built = node.Node(config, parts, on_stop_request=on_stop_request)
    if controllers is not None:
        controllers.attach(built)
    if config.document:
        _apply_file(built, pathlib.Path(config.document))
    if config.members:
        parts.directory.replace(map(_build_static_peer, config.members))
    return built


def _list_removed_headers(config: settings.Settings) -> frozenset[bytes]:
    """Return the headers that cross no link and reach no target."""
    return frozenset((config.key_header.lower().encode(),))


def _build_balancer(config: settings.Settings) -> balance.Balancer:
    return balance.Balancer(
        balance.BalanceSettings(),
        data_centre=config.data_centre,
        node_id=config.node_id,
    )


def _build_controllers(
    shared: Shared, book: directory.Directory[balance.Balancer]
) -> wiring_controllers.Controllers | None:
    platform = shared.config.platform
    if platform is None:
        return None
    needs = wiring_controllers.Needs(
        config=shared.config,
        identity=shared.identity,
        book=book,
        send=shared.router.send,
        register=shared.router.register,
        source=shared.source,
    )
    return wiring_controllers.Controllers(needs, platform)


def _build_parts(
    shared: Shared,
    book: directory.Directory[balance.Balancer],
    controllers: wiring_controllers.Controllers | None,
) -> node.Parts:
    config = shared.config
    target = config.target.address
    pool = http_client.TargetPool(
        target.host, target.port, connections=1, bodies=shared.bodies
    )
    admitter = admit.Admitter(
        admission.Admission(admission.AdmissionSettings(), slots=1),
        source=shared.source,
    )
    level_table = levels.LevelTable()
    gate = guard.Guard(
        get_table=shared.current.get,
        admitter=admitter,
        deliverer=delivery.Deliverer(
            pool, removed_headers=_list_removed_headers(config)
        ),
        calls=shared.calls,
        bodies=shared.bodies,
        dependencies=dependency_levels.DependencyLevels(level_table),
        claims=controllers.claims if controllers else None,
    )
    links = dialler.Dialler(
        shared.identity,
        secret=config.mesh_secret.encode(),
        bodies=shared.bodies,
        on_control=shared.router.receive,
    )
    chain = _build_chain(shared, book, links, gate, level_table, controllers)
    return node.Parts(
        identity=shared.identity,
        current=shared.current,
        counts=shared.counts,
        bodies=shared.bodies,
        admitter=admitter,
        guard=gate,
        pool=pool,
        dialler=links,
        acceptor=_build_acceptor(shared, gate),
        directory=book,
        caller_listener=_build_listener(
            shared, filter_chain.Source.CALLER, chain
        ),
        target_listener=_build_listener(
            shared, filter_chain.Source.TARGET, chain
        ),
    )


def _build_chain(
    shared: Shared,
    book: directory.Directory[balance.Balancer],
    links: dialler.Dialler,
    gate: guard.Guard,
    level_table: levels.LevelTable,
    controllers: wiring_controllers.Controllers | None,
) -> filter_chain.Chain:
    dispatcher = dispatch.Dispatcher(
        transmitter=transmit.Transmitter(
            node_id=shared.config.node_id,
            addresses=book,
            links=links,
            runner=gate,
        ),
        balancer=book.balancer,
        level_table=level_table,
        retry_breaker=breaker.RetryBreaker(),
        source=shared.source,
        removed_headers=_list_removed_headers(shared.config),
    )
    allows_keys = controllers.allows_keys if controllers else lambda: True
    checks: tuple[filter_chain.Check, ...] = (
        authentication.AuthenticationCheck(
            shared.calls,
            key_header=shared.config.key_header,
            allows_keys=allows_keys,
        ),
        route.RouteCheck(),
        context.ContextCheck(shared.config.mesh_secret),
        child_calls.ChildCallCheck(),
        load_shedding.LoadSheddingCheck(level_table),
    )
    steps: list[filter_chain.Filter] = []
    if controllers is not None:
        steps.append(quota.QuotaFilter(controllers.quota))
    return filter_chain.Chain(checks, steps, dispatcher.send)


def _build_acceptor(shared: Shared, gate: guard.Guard) -> acceptor.Acceptor:
    limit = shared.config.limits.body_memory_bytes
    return acceptor.Acceptor(
        shared.identity,
        secret=shared.config.mesh_secret.encode(),
        runner=gate,
        bodies=shared.bodies,
        table=attempts.AttemptTable(
            max_answer_bytes=int(limit * RETAINED_ANSWER_SHARE)
        ),
        on_control=shared.router.receive,
    )


def _build_listener(
    shared: Shared, source: filter_chain.Source, chain: filter_chain.Chain
) -> http_server.HttpServer:
    handler = entry.Entry(
        source,
        chain,
        get_table=shared.current.get,
        counts=shared.counts,
    )
    limits = shared.config.limits
    return http_server.HttpServer(
        handler.handle,
        limits=http_server.Limits(
            body_bytes=limits.request_body_bytes,
            header_bytes=limits.header_bytes,
            headers=limits.headers,
        ),
        bodies=shared.bodies,
        # By method alone: the route is known only after the checks.
        may_overlap=message.has_safe_method,
    )


def _apply_file(built: node.Node, path: pathlib.Path) -> None:
    outcome = loading.load_document(path.read_bytes(), source=str(path))
    if isinstance(outcome, loading.Invalid):
        events.log(
            events.CONFIGURATION_REJECTED, problems=str(outcome.problems)
        )
        return
    built.apply_document(outcome.document, 0)


def _build_static_peer(member: settings.StaticMember) -> directory.Peer:
    return directory.Peer(
        node_id=member.node_id,
        host=member.node_id,
        service=member.service,
        data_centre=member.data_centre,
        state=directory.STATE_READY,
        links=dialler.Address(
            member.node_id, member.links.host, member.links.port
        ),
    )
