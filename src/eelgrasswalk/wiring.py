"""The composition root: builds a node from its settings."""

import asyncio
import dataclasses
import pathlib
import random
import time
import typing

from . import app
from . import counters
from . import events
from . import settings
from .controllers import static_members
from .document import loading
from .document import model
from .filters import admit
from .filters import adopt
from .filters import context
from .filters import deliver
from .filters import dispatch
from .filters import entry
from .filters import exchange
from .filters import guard
from .filters import identify
from .filters import route
from .filters import served
from .filters import shed
from .policy import admission
from .policy import attempts
from .policy import balance
from .policy import breaker
from .policy import levels
from .policy import routing
from .transport import acceptor
from .transport import budget
from .transport import dialler
from .transport import http_client
from .transport import http_server
from .transport import link

RETAINED_ANSWER_SHARE = 0.25


@dataclasses.dataclass(slots=True)
class Current:
    """The configuration in force.

    Args:
        table: Prepared for look-up; None before the first version.
    """

    table: routing.RoutingTable | None = None

    def get(self) -> routing.RoutingTable | None:
        """Return the configuration in force."""
        return self.table


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Where a started node listens."""

    callers: tuple[str, int]
    target_calls: tuple[str, int]
    links: tuple[str, int]


class Node:
    """One node: entry for callers, and guard of its target.

    Args:
        config: Its settings.
    """

    def __init__(self, config: settings.Settings) -> None:
        self.config = config
        self.addresses: Addresses | None = None
        self.current = Current()
        self.counts = counters.Counters()
        self.bodies = budget.ByteBudget(config.limits.body_memory_bytes)
        self.identity = link.Identity(config.node_id, time.time_ns())
        self._random = random.Random()
        self._secret = config.mesh_secret.encode()
        self._calls = served.ServedCalls()
        self._build_guard()
        self._build_links()
        self._build_entries()

    async def start(self) -> None:
        """Listen, and take the configuration of a fixed set-up."""
        listen = self.config.listen
        if self.config.document:
            self._load_document(pathlib.Path(self.config.document))
        self.addresses = Addresses(
            links=await self.acceptor.start(
                listen.links.host, listen.links.port
            ),
            target_calls=await self.target_listener.start(
                listen.target_calls.host, listen.target_calls.port
            ),
            callers=await self.caller_listener.start(
                listen.callers.host, listen.callers.port
            ),
        )
        events.log(events.NODE_STARTED, incarnation=self.identity.incarnation)

    async def stop(self) -> None:
        """Take no new work, finish what runs, then close everything."""
        events.log(events.NODE_DRAINING)
        self.guard.leaving = True
        self.admitter.drain()
        try:
            async with asyncio.timeout(self.config.limits.drain_s):
                await self.caller_listener.drain()
                await self.acceptor.drain()
                await self.target_listener.drain()
        except TimeoutError:
            pass
        await self.caller_listener.stop()
        await self.target_listener.stop()
        await self.dialler.stop()
        await self.acceptor.stop()
        await self.pool.close()
        self.admitter.stop()
        events.log(events.NODE_STOPPED)

    def apply_document(self, document: model.Document, version: int) -> None:
        """Put a configuration in force."""
        self.current.table = routing.RoutingTable(document, version=version)
        service = self.current.table.services.get(self.config.service)
        if service is not None:
            self.admitter.policy.resize(service.slots)
            self.pool.connections = service.connections
        events.log(events.CONFIGURATION_APPLIED, version=version)

    def apply_members(
        self, upstreams: typing.Mapping[str, typing.Sequence[balance.Upstream]]
    ) -> None:
        """Set the upstreams of each service."""
        now = asyncio.get_running_loop().time()
        for service, found in upstreams.items():
            self.balancer.replace(service, found, now)

    def _build_guard(self) -> None:
        target = self.config.target.address
        self.pool = http_client.TargetPool(
            target.host, target.port, connections=1
        )
        self.admitter = admit.Admitter(
            admission.Admission(admission.AdmissionSettings(), slots=1),
            source=self._random,
        )
        self.guard = guard.Guard(
            get_table=self.current.get,
            admitter=self.admitter,
            deliverer=deliver.Deliverer(
                self.pool,
                removed_headers=frozenset((self.config.key_header.encode(),)),
            ),
            calls=self._calls,
            bodies=self.bodies,
        )

    def _build_links(self) -> None:
        self.dialler = dialler.Dialler(
            self.identity,
            secret=self._secret,
            bodies=self.bodies,
            on_control=self._receive_control,
        )
        limit = self.config.limits.body_memory_bytes
        self.acceptor = acceptor.Acceptor(
            self.identity,
            secret=self._secret,
            runner=self.guard,
            bodies=self.bodies,
            table=attempts.AttemptTable(
                max_answer_bytes=int(limit * RETAINED_ANSWER_SHARE)
            ),
            on_control=self._receive_control,
        )

    def _build_entries(self) -> None:
        self.members = static_members.StaticMembers(self.config.members)
        self.balancer = balance.Balancer(
            balance.BalanceSettings(),
            data_centre=self.config.data_centre,
            node_id=self.config.node_id,
        )
        self.apply_members(self.members.list_upstreams())
        level_table = levels.LevelTable()
        dispatcher = dispatch.Dispatcher(
            node_id=self.config.node_id,
            book=self.members,
            links=self.dialler,
            runner=self.guard,
            balancer=self.balancer,
            level_table=level_table,
            storm=breaker.StormBreaker(),
            source=self._random,
        )
        checks: tuple[exchange.Check, ...] = (
            identify.IdentifyCheck(
                self._calls, key_header=self.config.key_header
            ),
            route.RouteCheck(),
            context.ContextCheck(),
            adopt.AdoptCheck(),
            shed.ShedCheck(level_table),
        )
        chain = exchange.Chain(checks, (), dispatcher.send)
        self.caller_listener = self._build_listener(
            exchange.Source.CALLER, chain
        )
        self.target_listener = self._build_listener(
            exchange.Source.TARGET, chain
        )

    def _build_listener(
        self, source: exchange.Source, chain: exchange.Chain
    ) -> http_server.HttpServer:
        handler = entry.Entry(
            source, chain, get_table=self.current.get, counts=self.counts
        )
        limits = self.config.limits
        return http_server.HttpServer(
            handler.handle,
            limits=http_server.Limits(
                body_bytes=limits.request_body_bytes,
                header_bytes=limits.header_bytes,
                headers=limits.headers,
            ),
        )

    def _load_document(self, path: pathlib.Path) -> None:
        outcome = loading.load_document(path.read_bytes(), source=str(path))
        if isinstance(outcome, loading.Loaded):
            self.apply_document(outcome.document, 0)
        else:
            events.log(
                events.CONFIGURATION_REJECTED, problems=str(outcome.problems)
            )

    def _receive_control(
        self, node_id: str, topic: str, payload: bytes
    ) -> None:
        pass


def build_application(node: Node) -> app.Application:
    """Return the application that runs a node."""
    return app.Application([node])
