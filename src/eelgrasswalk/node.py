"""A node's life: start, planned stop, and what it says of itself."""

import asyncio
import dataclasses
import enum
import time
import typing

from . import admin
from . import app
from . import counters
from . import events
from . import metrics
from . import settings
from .controllers import control_router
from .controllers import directory
from .controllers import target_watch
from .document import model
from .filters import admit
from .filters import guard
from .policy import admission
from .policy import routing
from .policy.placement import balance
from .transport import acceptor
from .transport import budget
from .transport import dialler
from .transport import http_client
from .transport import http_server
from .transport import link


class State(enum.Enum):
    """What a node says about itself."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(slots=True)
class Current:
    """The configuration in force.

    Args:
        table: Prepared for look-up; None before the first version and
            while the node must not trust what it has.
    """

    table: routing.RoutingTable | None = None

    def get(self) -> routing.RoutingTable | None:
        """Return the configuration in force."""
        return self.table


class Controller(app.Part, typing.Protocol):
    """Keeps one kind of state up to date while the node runs."""

    def announce_ready(self) -> None:
        """Tell others that the node takes calls."""

    def announce_unready(self) -> None:
        """Tell others that the node takes no calls for now."""

    async def announce_stop(self) -> None:
        """Tell others that the node is leaving."""

    def describe(self) -> dict[str, typing.Any]:
        """Return what the status page shows of it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """What a node consists of; the composition root builds them."""

    identity: link.Identity
    current: Current
    counts: counters.Counters
    bodies: budget.ByteBudget
    admitter: admit.Admitter[admission.Admission]
    guard: guard.Guard
    pool: http_client.TargetPool
    dialler: dialler.Dialler
    acceptor: acceptor.Acceptor
    directory: directory.Directory[balance.Balancer]
    caller_listener: http_server.HttpServer
    target_listener: http_server.HttpServer

    def find_address(self, node_id: str) -> control_router.Address | None:
        """Return where a node accepts links, or None."""
        return self.directory.find_address(node_id)


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Where a started node listens, as `IP:port`."""

    callers: str
    target_calls: str
    links: str
    admin: str


class Node:
    """Entry for callers, exit for its target's calls, guard of its target.

    Args:
        config: Its settings.
        parts: Its parts.
        on_stop_request: Called when an operator asks for a planned stop.
    """

    def __init__(
        self,
        config: settings.Settings,
        parts: Parts,
        *,
        on_stop_request: typing.Callable[[], None],
    ) -> None:
        self.config = config
        self.parts = parts
        self.state = State.STARTING
        self.controllers: list[Controller] = []
        self.addresses: Addresses | None = None
        self.link_port = 0
        self.admin_port = 0
        self._on_stop_request = on_stop_request
        self._started: list[Controller] = []
        self._metrics = metrics.Metrics(
            config.node_id,
            parts.counts,
            self._list_gauges(),
            otlp_endpoint=config.otlp_endpoint,
        )
        self._watch = target_watch.TargetWatch(
            config.target,
            parts.admitter.policy,
            self,
            clock=time.monotonic,
        )
        address = config.listen.admin
        self._admin = admin.Admin(self, address.host, address.port)

    async def start(self) -> None:
        """Listen for links, then start the controllers, then take callers."""
        await self._admin.start()
        self.admin_port = self._admin.address[1]
        links = await self._listen_for_links()
        calls = await self._listen(
            self.parts.target_listener, self.config.listen.target_calls
        )
        for controller in self.controllers:
            await controller.start()
            self._started.append(controller)
        callers = await self._listen(
            self.parts.caller_listener, self.config.listen.callers
        )
        self.state = State.READY
        self.addresses = Addresses(
            callers=callers,
            target_calls=calls,
            links=links,
            admin='{}:{}'.format(*self._admin.address),
        )
        self._announce_ready()
        await self._watch.start()
        events.log(
            events.NODE_STARTED, incarnation=self.parts.identity.incarnation
        )

    async def stop(self) -> None:
        """Announce the stop, finish what runs, then close everything."""
        events.log(events.NODE_DRAINING)
        self.state = State.DRAINING
        await self._watch.stop()
        for controller in self._started:
            await controller.announce_stop()
        self.parts.caller_listener.announce()
        await asyncio.sleep(self.config.limits.announce_s)
        await self._finish_calls()
        for controller in reversed(self._started):
            await controller.stop()
        await self._close()
        events.log(events.NODE_STOPPED)

    def count_answers(self) -> int:
        """Return how many calls the target has answered."""
        return self.parts.guard.answered_count

    def set_usable(self, usable: bool) -> None:
        """Announce whether the target is to get calls."""
        if self.state is State.DRAINING:
            return
        self.state = State.READY if usable else State.STARTING
        if usable:
            self._announce_ready()
            return
        for controller in self._started:
            controller.announce_unready()

    def _announce_ready(self) -> None:
        for controller in self._started:
            controller.announce_ready()

    def apply_document(self, document: model.Document, version: int) -> None:
        """Put a configuration in force."""
        table = routing.RoutingTable(document, version=version)
        self.parts.current.table = table
        service = table.services.get(self.config.service)
        if service is not None:
            self.parts.admitter.policy.resize(service.slots)
            self.parts.pool.connections = service.connections
        events.log(events.CONFIGURATION_APPLIED, version=version)

    def describe(self) -> dict[str, typing.Any]:
        """Return the status as plain data."""
        parts = self.parts
        policy = parts.admitter.policy
        level = parts.admitter.policy.level(time.monotonic())
        status = {
            'node_id': self.config.node_id,
            'host': self.config.host or self.config.node_id,
            'data_centre': self.config.data_centre,
            'service': self.config.service,
            'state': self.state.value,
            'incarnation': parts.identity.incarnation,
            'config_version': self._get_version(),
            'members': [
                _describe_peer(peer) for peer in parts.directory.list_peers()
            ],
            'calls': parts.counts.summarize(),
            'quotas': {},
            'admission': {
                'in_flight': policy.in_flight,
                'queued': policy.queued,
                'limit': policy.limit,
                'level': dataclasses.asdict(level),
            },
            'links': {
                'dialled': parts.dialler.count_links(),
                'accepted': parts.acceptor.count_links(),
            },
            'body_bytes': parts.bodies.used,
        }
        for controller in self._started:
            status.update(controller.describe())
        return status

    def collect_metrics(self) -> dict[str, typing.Any]:
        """Return the metrics as plain data."""
        return self._metrics.collect()

    def request_stop(self) -> None:
        """Begin a planned stop."""
        self._on_stop_request()

    async def _finish_calls(self) -> None:
        parts = self.parts
        parts.guard.draining = True
        parts.admitter.drain()
        try:
            async with asyncio.timeout(self.config.limits.drain_s):
                await parts.caller_listener.drain()
                await parts.acceptor.drain()
                await parts.target_listener.drain()
        except TimeoutError:
            events.log(
                events.DRAIN_TIMED_OUT,
                running=parts.acceptor.count_running(),
            )

    async def _close(self) -> None:
        parts = self.parts
        await parts.caller_listener.stop()
        await parts.target_listener.stop()
        await parts.dialler.stop()
        await parts.acceptor.stop()
        await parts.pool.close()
        parts.admitter.stop()
        await self._admin.stop()
        self._metrics.stop()

    async def _listen_for_links(self) -> str:
        address = self.config.listen.links
        bound = await self.parts.acceptor.start(address.host, address.port)
        self.link_port = bound[1]
        return f'{bound[0]}:{bound[1]}'

    async def _listen(
        self, listener: http_server.HttpServer, address: settings.Address
    ) -> str:
        bound = await listener.start(address.host, address.port)
        return f'{bound[0]}:{bound[1]}'

    def _get_version(self) -> int:
        table = self.parts.current.table
        return 0 if table is None else table.version

    def _list_gauges(self) -> tuple[metrics.Gauge, ...]:
        parts = self.parts
        policy = parts.admitter.policy
        gauge = metrics.Gauge
        return (
            gauge(
                'eelgrasswalk.admission.in_flight',
                '{call}',
                'Calls that the target runs',
                lambda: policy.in_flight,
            ),
            gauge(
                'eelgrasswalk.admission.queued',
                '{call}',
                'Calls that wait for the target',
                lambda: policy.queued,
            ),
            gauge(
                'eelgrasswalk.admission.limit',
                '{call}',
                'Calls that the target may run at a time',
                lambda: policy.limit,
            ),
            gauge(
                'eelgrasswalk.admission.queue_delay',
                's',
                'Time that calls wait for the target',
                lambda: (
                    parts.admitter.policy.level(time.monotonic()).queue_delay_s
                ),
            ),
            gauge(
                'eelgrasswalk.links.open',
                '{link}',
                'Open links, dialled and accepted',
                lambda: (
                    parts.dialler.count_links() + parts.acceptor.count_links()
                ),
            ),
            gauge(
                'eelgrasswalk.bodies.held',
                'By',
                'Bytes of bodies held in memory',
                lambda: parts.bodies.used,
            ),
            gauge(
                'eelgrasswalk.configuration.version',
                '{version}',
                'Version of the configuration in force',
                self._get_version,
            ),
        )


def _describe_peer(peer: directory.Peer) -> dict[str, typing.Any]:
    return {
        'node_id': peer.node_id,
        'host': peer.host,
        'admin': peer.admin,
        'service': peer.service,
        'state': peer.state,
        'config_version': peer.config_version,
        'data_centre': peer.data_centre,
    }
