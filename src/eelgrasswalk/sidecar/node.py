"""The life of a node beside a target on a platform."""

import asyncio
import contextlib
import dataclasses
import time
import typing

from .. import clock
from .. import events
from .. import metrics_page
from .. import request_log
from .. import verdict
from ..controllers import mesh_secret
from ..policy import call_rules
from ..transport import http_server
from ..transport import message
from . import settings
from . import wiring

MAX_HEADERS = 256
# The platform asks each second and takes a host out after two misses; calls
# come until then.
LEAVE_S = 3.0
# Left of the grace period for closing down; calls may be finished until then.
CLOSE_MARGIN_S = 0.9
# Parting from peers takes at most this; one that is cut off never answers.
PART_LIMIT_S = 0.3
# A check-in that comes while the node starts is held for so long; it has to
# be acknowledged within a second.
BUILD_WAIT_S = 0.8
METRICS_PATH = '/metrics'
# Settings that may change while the node runs; the others say where it
# listens and what it is, or set the length of windows that are under way.
_LIVE = frozenset(('memory_bytes',))
_LIVE_BOUNDS = frozenset(
    (
        'drain_s',
        'grace_s',
        'withdraw_s',
        'retry_ratio',
        'retry_slack',
        'quota_overage',
        'quota_slack',
    )
)
_NOT_READY = verdict.Response(503, (), b'')
_NOT_FOUND = verdict.Response(404, (), b'')
_TEXT = ((b'content-type', b'text/plain; version=0.0.4'),)
_READY = verdict.Response(200, (), b'ready\n')


@dataclasses.dataclass(frozen=True, slots=True)
class Reloaded:
    """What became of settings that were read again.

    Args:
        applied: Names of those that are in force now.
        after_restart: Names of those that count after the next start.
    """

    applied: tuple[str, ...]
    after_restart: tuple[str, ...]


class Sidecar:
    """Entry for callers, exit for its target's calls, gate of its target.

    Args:
        config: Its settings.
        platform: The adapter's parts.
        log: Takes what became of calls.
    """

    def __init__(
        self,
        config: settings.SidecarSettings,
        platform: wiring.Platform,
        log: request_log.RequestLog,
    ) -> None:
        self.config = config
        self.path: wiring.Path | None = None
        self.stopping = False
        self._platform = platform
        self._state = wiring.build_state(
            config, platform, log, apply_rules=self._apply_rules
        )
        self._callers = http_server.HttpServer(
            self._handle_call,
            limits=http_server.Limits(headers=MAX_HEADERS),
            bodies=self._state.bodies,
        )
        self._readiness = http_server.HttpServer(
            self._handle_readiness, limits=http_server.Limits()
        )
        self._check_ins = http_server.HttpServer(
            self._handle_check_in, limits=http_server.Limits()
        )
        self._admin = http_server.HttpServer(
            self._handle_admin, limits=http_server.Limits()
        )
        self._listeners = (
            (self._readiness, config.readiness),
            (self._check_ins, config.check_ins),
            (self._callers, config.callers),
            (self._admin, config.admin),
        )
        self._metrics = metrics_page.MetricsPage(
            self._state.log, self._read_gauges
        )
        self._starting: asyncio.Task[None] | None = None
        self._built = asyncio.Event()

    async def start(self) -> None:
        """Listen, then learn of rules and nodes and take calls."""
        config = self.config
        for listener, address in self._listeners:
            await listener.start(address.host, address.port)
        events.log(
            events.NODE_STARTED,
            service=config.service,
            data_centre=config.data_centre,
            target=str(config.target),
            store=str(config.store),
            bounds=dataclasses.asdict(config.bounds),
        )
        await self._state.rules_feed.start()
        await self._state.roster_feed.start()
        await self._state.relay.start()
        await self._state.confirmation.start()
        self._starting = asyncio.get_running_loop().create_task(self._join())

    async def stop(self) -> None:
        """Announce the stop, finish what runs, then close everything."""
        events.log(events.NODE_DRAINING)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self.config.bounds.grace_s - CLOSE_MARGIN_S
        self.stopping = True
        self._callers.announce()
        if self._starting is not None and not self._starting.done():
            self._starting.cancel()
        if self.path is not None:
            self._state.roster.change(stopping=True)
        await asyncio.sleep(min(LEAVE_S, ends_at - loop.time()))
        try:
            async with asyncio.timeout_at(ends_at):
                await self._finish_calls()
        except TimeoutError:
            events.log(events.DRAIN_TIMED_OUT)
        await self._close()
        events.log(events.NODE_STOPPED)

    def reload(self, found: settings.SidecarSettings) -> Reloaded:
        """Put what may change while the node runs in force.

        Args:
            found: The settings as they are now.
        """
        bounds = self.config.bounds
        fields = _list_changed(self.config, found) - {'bounds'}
        bound_fields = _list_changed(bounds, found.bounds)
        self.config = dataclasses.replace(
            self.config,
            bounds=_replace_fields(
                bounds, found.bounds, bound_fields & _LIVE_BOUNDS
            ),
            **{name: getattr(found, name) for name in fields & _LIVE},
        )
        self._state = dataclasses.replace(self._state, config=self.config)
        wiring.apply_settings(self._state, self.path)
        live = (fields & _LIVE) | (bound_fields & _LIVE_BOUNDS)
        return Reloaded(
            tuple(sorted(live)),
            tuple(sorted((fields | bound_fields) - live)),
        )

    async def _join(self) -> None:
        """Learn of the other nodes, then build what calls pass through."""
        state = self._state
        secret = await mesh_secret.fetch_secret(self._platform.store)
        await state.roster_feed.filled.wait()
        previous = state.roster.find_previous()
        incarnation = time.time_ns()
        if previous is not None:
            # The time of day may have gone back since.
            incarnation = max(incarnation, previous.incarnation + 1)
        path = wiring.build_path(state, incarnation=incarnation, secret=secret)
        links = self.config.links
        await path.acceptor.start(links.host, links.port)
        self.path = path
        if state.rules.table is not None:
            self._apply_rules(state.rules.table)
        await state.roster.start()
        await path.reaper.start()
        state.roster.change(incarnation=incarnation)
        if previous is not None:
            path.check_ins.restore(previous)
        self._built.set()

    async def _finish_calls(self) -> None:
        await self._callers.drain()
        if self.path is not None:
            await self.path.acceptor.drain()

    async def _close(self) -> None:
        for listener, _ in self._listeners:
            for connection in list(listener.connections):
                connection.close()
        path = self.path
        if path is not None:
            await path.reaper.stop()
            await path.dialler.stop()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PART_LIMIT_S):
                    await path.acceptor.stop()
            await path.pool.close()
            path.admitter.stop()
        await self._state.roster.stop()
        await self._state.confirmation.stop()
        await self._state.relay.stop()
        await self._state.rules_feed.stop()
        await self._state.roster_feed.stop()

    def _apply_rules(self, table: call_rules.RuleTable) -> None:
        limits = table.rules.limits
        self._callers.limits = http_server.Limits(
            body_bytes=limits.body_bytes,
            header_bytes=limits.header_bytes,
            headers=MAX_HEADERS,
            request_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )
        service = table.services.get(self.config.service)
        if self.path is not None and service is not None:
            self.path.pool.connections = max(1, service.connections)

    @property
    def is_ready(self) -> bool:
        """Whether callers may come."""
        return (
            self.path is not None
            and self._state.rules.table is not None
            and not self.stopping
        )

    # Listeners

    async def _handle_call(self, request: message.Request) -> verdict.Response:
        if self.path is None:
            return self._platform.dialect.render(
                verdict.NotRun(
                    verdict.Reason.NO_CONFIGURATION, retry_after_s=0.5
                )
            )
        return await self.path.front.handle(request)

    async def _handle_readiness(
        self, request: message.Request
    ) -> verdict.Response:
        return _READY if self.is_ready else _NOT_READY

    async def _handle_check_in(
        self, request: message.Request
    ) -> verdict.Response:
        try:
            async with asyncio.timeout(BUILD_WAIT_S):
                await self._built.wait()
        except TimeoutError:
            return _NOT_READY
        assert self.path is not None
        return await self.path.check_ins.handle(request)

    async def _handle_admin(
        self, request: message.Request
    ) -> verdict.Response:
        if request.path != METRICS_PATH:
            return _NOT_FOUND
        return verdict.Response(200, _TEXT, self._metrics.render())

    def _read_gauges(self) -> metrics_page.Gauges:
        state = self._state
        gauges: metrics_page.Gauges = {
            'eelgrasswalk_rules_age_seconds': (
                'Seconds since the rules were the newest for certain',
                state.fresh.get_age(clock.read_boot_time()),
            ),
            'eelgrasswalk_nodes': (
                'Nodes that this node knows',
                len(state.roster.roster),
            ),
            'eelgrasswalk_usable_targets': (
                'Targets that calls may be sent to',
                sum(
                    entry.is_usable
                    for entry in state.roster.roster.list_entries()
                ),
            ),
            'eelgrasswalk_body_bytes': (
                'Bytes of bodies held',
                state.bodies.used,
            ),
        }
        if self.path is not None:
            policy = self.path.admitter.policy
            gauges |= {
                'eelgrasswalk_target_running': (
                    'Calls that the target runs',
                    policy.in_flight,
                ),
                'eelgrasswalk_target_queued': (
                    'Calls that wait for the target',
                    policy.queued,
                ),
                'eelgrasswalk_target_limit': (
                    'Calls that the target may run at a time',
                    policy.limit,
                ),
                'eelgrasswalk_links_dialled': (
                    'Links to other nodes that are open',
                    self.path.dialler.count_links(),
                ),
            }
        return gauges


def _list_changed(old: typing.Any, new: typing.Any) -> frozenset[str]:
    """Return the names of the fields in which two data classes differ."""
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
