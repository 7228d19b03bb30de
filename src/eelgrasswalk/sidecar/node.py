"""Life cycle of the sidecar node: start, reload and graceful shutdown."""

import asyncio
import contextlib
import dataclasses
import time
import typing

from .. import events
from .. import metrics_page
from .. import request_log
from .. import verdict
from ..policy import call_rules
from ..transport import http_server
from ..transport import message
from . import gauges
from . import settings
from . import wiring
from . import wiring_control

# Check-ins, questions of the platform and of operators are short.
_CONTROL_LIMITS = http_server.Limits(body_bytes=262_144)
# The platform probes readiness every second and takes a host out of rotation
# after two failures; it sends calls until then.
READINESS_PROPAGATION_S = 3.0
# Part of the grace period reserved for closing connections; calls may finish
# until it begins.
CLOSE_MARGIN_S = 0.9
# Time limit for closing links in agreement with peers; a partitioned peer
# never answers.
LINK_CLOSE_TIMEOUT_S = 0.3
# Maximum delay of a check-in that arrives while the node starts; it has to be
# acknowledged within 1 s.
CHECK_IN_WAIT_S = 0.8
# A starting node serves without the quarantined requests after this time: the
# store may answer for other tables alone.
QUARANTINE_WAIT_S = 1.0
# The same for the rules, which tell whether the data centre is evacuated.
RULES_WAIT_S = 1.0
# Connections of the platform, the target and operators that are accepted
# although callers use up the descriptors for clients.
SPARE_CONNECTIONS = 32
METRICS_PATH = '/metrics'
PLACEMENT_PATH = '/placement'
# Settings that can change while the node runs. The others are addresses, the
# identity of the node, or lengths of windows that have already begun.
_RELOADABLE = frozenset(('max_fds', 'memory_bytes', 'regions'))
_RELOADABLE_BOUNDS = frozenset(
    (
        'drain_s',
        'grace_s',
        'withdraw_s',
        'retry_ratio',
        'retry_slack',
        'quota_overage',
        'quota_slack',
        'cold_overage',
        'cold_slack',
    )
)
_NOT_READY = verdict.Response(503, (), b'')
_NOT_FOUND = verdict.Response(404, (), b'')
_METRICS_HEADERS = ((b'content-type', b'text/plain; version=0.0.4'),)
_READY = verdict.Response(200, (), b'ready\n')


@dataclasses.dataclass(frozen=True, slots=True)
class ReloadResult:
    """Result of reloading the settings.

    Args:
        applied: Names of the changed settings that are in force now.
        restart_required: Names of the changed settings that take effect only
            after a restart.
    """

    applied: tuple[str, ...]
    restart_required: tuple[str, ...]


class Sidecar:
    """A node that serves callers, its target's outgoing calls and its target.

    Args:
        config: Settings of the node.
        platform: Adapters to the platform.
        log: Logs and counts outcomes of calls.

    Attributes:
        config: The settings in force.
        call_path: Components that calls pass through; None until the node
            has learned of the other nodes.
        stopping: Whether a planned stop has begun.
    """

    def __init__(
        self,
        config: settings.SidecarSettings,
        platform: wiring_control.Platform,
        log: request_log.RequestLog,
    ) -> None:
        self.config = config
        self.call_path: wiring.CallPath | None = None
        self.stopping = False
        self._platform = platform
        self._control_plane = wiring_control.build_control_plane(
            config, platform, log, apply_rules=self._apply_rules
        )
        self._callers = http_server.HttpServer(
            self._handle_call,
            limits=http_server.Limits(headers=None),
            bodies=self._control_plane.bodies,
            may_overlap=self._may_overlap,
            account=self._control_plane.clients,
        )
        self._readiness = self._build_listener(self._handle_readiness)
        self._check_ins = self._build_listener(self._handle_check_in)
        self._admin = self._build_listener(self._handle_admin)
        self._listeners = (
            (self._readiness, config.readiness),
            (self._check_ins, config.check_ins),
            (self._callers, config.callers),
            (self._admin, config.admin),
        )
        self._metrics = metrics_page.MetricsPage(
            self._control_plane.log,
            lambda: gauges.read_gauges(self._control_plane, self.call_path),
            lambda: gauges.read_counters(self._control_plane, self.call_path),
        )
        self._join_task: asyncio.Task[None] | None = None
        self._call_path_started = asyncio.Event()

    def _build_listener(
        self, handler: http_server.Handler
    ) -> http_server.HttpServer:
        return http_server.HttpServer(
            handler,
            limits=_CONTROL_LIMITS,
            account=self._control_plane.clients,
            spare_connections=SPARE_CONNECTIONS,
        )

    async def start(self) -> None:
        """Start the listeners, then follow the rules and the other nodes.

        Returns before the call path is built; `is_ready` tells when callers
        may be sent to the node.
        """
        config = self.config
        for listener, address in self._listeners:
            await listener.start(address.host, address.port)
        events.log(
            events.NODE_STARTED,
            service=config.service,
            data_centre=config.data_centre,
            region=config.region,
            target=str(config.target),
            store=str(config.store),
            bounds=dataclasses.asdict(config.bounds),
        )
        await self._control_plane.rules_feed.start()
        await self._control_plane.roster_feed.start()
        await self._control_plane.quarantine_feed.start()
        await self._control_plane.quarantine.start()
        await self._control_plane.relay.start()
        await self._control_plane.confirmation.start()
        self._join_task = asyncio.get_running_loop().create_task(self._join())

    async def stop(self) -> None:
        """Announce the stop, drain running calls, then close everything.

        Calls that run for longer than the grace period allows are cut.
        """
        events.log(events.NODE_DRAINING)
        loop = asyncio.get_running_loop()
        drain_deadline = (
            loop.time() + self.config.bounds.grace_s - CLOSE_MARGIN_S
        )
        self.stopping = True
        self._callers.announce()
        if self._join_task is not None and not self._join_task.done():
            self._join_task.cancel()
        if self.call_path is not None:
            self._control_plane.roster.change(stopping=True)
        await asyncio.sleep(
            min(READINESS_PROPAGATION_S, drain_deadline - loop.time())
        )
        try:
            async with asyncio.timeout_at(drain_deadline):
                await self._finish_calls()
        except TimeoutError:
            events.log(events.DRAIN_TIMED_OUT)
            self._callers.end_running(
                self._platform.dialect.render(
                    verdict.MayHaveRun(verdict.Reason.LEAVING)
                )
            )
        await self._close()
        events.log(events.NODE_STOPPED)

    def reload(self, new_config: settings.SidecarSettings) -> ReloadResult:
        """Apply the changed settings that need no restart.

        Args:
            new_config: The settings as read again.

        Returns:
            Which changed settings are applied and which need a restart.
        """
        bounds = self.config.bounds
        fields = _list_changed(self.config, new_config) - {'bounds'}
        bound_fields = _list_changed(bounds, new_config.bounds)
        self.config = dataclasses.replace(
            self.config,
            bounds=_replace_fields(
                bounds, new_config.bounds, bound_fields & _RELOADABLE_BOUNDS
            ),
            **{
                name: getattr(new_config, name)
                for name in fields & _RELOADABLE
            },
        )
        self._control_plane = dataclasses.replace(
            self._control_plane, config=self.config
        )
        wiring.apply_settings(self._control_plane, self.call_path)
        applied = (fields & _RELOADABLE) | (bound_fields & _RELOADABLE_BOUNDS)
        return ReloadResult(
            tuple(sorted(applied)),
            tuple(sorted((fields | bound_fields) - applied)),
        )

    async def _join(self) -> None:
        """Learn of the other nodes, then build and start the call path."""
        control_plane = self._control_plane
        secret = await control_plane.secrets.fetch(
            bootstrap=self.config.bootstrap
        )
        await control_plane.roster_feed.filled.wait()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(QUARANTINE_WAIT_S):
                await control_plane.quarantine_feed.filled.wait()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RULES_WAIT_S):
                await control_plane.rules_feed.filled.wait()
        previous = control_plane.roster.find_previous()
        incarnation = time.time_ns()
        if previous is not None:
            # The wall clock may have been set back since.
            incarnation = max(incarnation, previous.incarnation + 1)
        call_path = wiring.build_call_path(
            control_plane, incarnation=incarnation, secret=secret
        )
        links = self.config.links
        await call_path.acceptor.start(links.host, links.port)
        self.call_path = call_path
        if control_plane.rules.table is not None:
            self._apply_rules(control_plane.rules.table)
        await control_plane.roster.start()
        await call_path.reaper.start()
        control_plane.roster.change(incarnation=incarnation)
        if previous is not None:
            call_path.check_ins.restore(previous)
        self._call_path_started.set()

    async def _finish_calls(self) -> None:
        if self.call_path is not None:
            self.call_path.gate.stop_accepting()
        await self._callers.drain()
        if self.call_path is not None:
            await self.call_path.acceptor.drain()

    async def _close(self) -> None:
        for listener, _ in self._listeners:
            for connection in list(listener.connections):
                connection.close()
        call_path = self.call_path
        if call_path is not None:
            await call_path.reaper.stop()
            await call_path.check_ins.stop()
            await call_path.cold_target.stop()
            call_path.gate.coldness.stop()
            await call_path.dialler.stop()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LINK_CLOSE_TIMEOUT_S):
                    await call_path.acceptor.stop()
            await call_path.pool.close()
            call_path.admitter.stop()
        await self._control_plane.secrets.stop()
        await self._control_plane.roster.stop()
        await self._control_plane.confirmation.stop()
        await self._control_plane.relay.stop()
        await self._control_plane.quarantine.stop()
        await self._control_plane.quarantine_feed.stop()
        await self._control_plane.rules_feed.stop()
        await self._control_plane.roster_feed.stop()

    def _apply_rules(self, table: call_rules.RuleTable) -> None:
        limits = table.rules.limits
        self._callers.limits = http_server.Limits(
            body_bytes=limits.body_bytes,
            header_bytes=limits.header_bytes,
            # The length of heads bounds them, and the account of clients what
            # many of them take.
            headers=None,
            request_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )
        if self.call_path is None:
            return
        self.call_path.quotas.change_rules(table)
        service = table.services.get(self.config.service)
        if service is not None:
            self.call_path.pool.connections = max(1, service.connections)
        wiring.apply_cold_settings(self._control_plane, self.call_path.gate)

    @property
    def is_ready(self) -> bool:
        """Whether the platform may send callers to this node."""
        return (
            self.call_path is not None
            and self._control_plane.rules.table is not None
            and not self.stopping
        )

    # Listeners

    async def _handle_call(self, request: message.Request) -> verdict.Response:
        if self.call_path is None:
            return self._platform.dialect.render(
                verdict.NotRun(
                    verdict.Reason.NO_CONFIGURATION, retry_after_s=0.5
                )
            )
        return await self.call_path.front.handle(request)

    def _may_overlap(self, request: message.Request) -> bool:
        return self.call_path is not None and self.call_path.front.may_overlap(
            request
        )

    async def _handle_readiness(
        self, request: message.Request
    ) -> verdict.Response:
        return _READY if self.is_ready else _NOT_READY

    async def _handle_check_in(
        self, request: message.Request
    ) -> verdict.Response:
        try:
            async with asyncio.timeout(CHECK_IN_WAIT_S):
                await self._call_path_started.wait()
        except TimeoutError:
            return _NOT_READY
        assert self.call_path is not None
        return await self.call_path.check_ins.handle(request)

    async def _handle_admin(
        self, request: message.Request
    ) -> verdict.Response:
        if request.path == PLACEMENT_PATH:
            # Imported here, as most nodes are never asked.
            from . import placement

            page = placement.PlacementPage(
                self._control_plane, self.call_path, stopping=self.stopping
            )
            return page.answer(request)
        if request.path != METRICS_PATH:
            return _NOT_FOUND
        return verdict.Response(200, _METRICS_HEADERS, self._metrics.render())


def _list_changed(old: typing.Any, new: typing.Any) -> frozenset[str]:
    """Return the names of the fields whose values differ."""
    return frozenset(
        field.name
        for field in dataclasses.fields(old)
        if getattr(old, field.name) != getattr(new, field.name)
    )


def _replace_fields(
    old: settings.Bounds,
    new: settings.Bounds,
    names: frozenset[str],
) -> settings.Bounds:
    return dataclasses.replace(
        old, **{name: getattr(new, name) for name in names}
    )
