"""A small installation on loopback: machines, their nodes and the store."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import typing
import urllib.request

from . import client
from . import record
from . import store
from . import upstream

ROOT = pathlib.Path(__file__).parents[2]
COMMAND = ('python3', 'deploy/sidecar.py')
START_LIMIT_S = 20.0
POLL_S = 0.05
# Bounds of the users' site files.
BOUNDS: dict[str, typing.Any] = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'stability_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'rollback_slack_ms': 250,
    'max_skew_ms': 5000,
    'strict_revoke': True,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 49,
    'quota_window_s': 5,
    'quota_overage': 0.1,
    'quota_slack': 20,
    'recovery_s': 15,
}


class CannotRunError(Exception):
    """The case could not be run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Ports, which are the same on all machines.

    Args:
        outbound: For clients.
        inbound: For calls of other machines; not used by the project.
        ready: For the platform's questions.
        control: For check-ins.
        app: Of the upstream.
        internal: First of those between nodes.
    """

    outbound: int
    inbound: int
    ready: int
    control: int
    app: int
    internal: int


class Machine:
    """One machine: its settings and its node's process.

    Args:
        name: Id of the node.
        ip: Its address.
        service: Service of its upstream.
        zone: Its zone.
        ports: Ports of all machines.
        folder: Where its files are.
        store_port: Port of the store, at 127.0.0.1.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        *,
        service: str,
        zone: str,
        ports: Ports,
        folder: pathlib.Path,
        store_port: int,
    ) -> None:
        self.name = name
        self.ip = ip
        self.ports = ports
        self.process: subprocess.Popen[bytes] | None = None
        self._is_closed = False
        self._zone = zone
        self._store_port = store_port
        self._settings = folder / f'{name}.json'
        self._log = folder / f'{name}.log'
        self.write_settings(service)

    def write_settings(self, service: str) -> None:
        """Write the settings file.

        Args:
            service: Service of the machine's upstream.
        """
        ports = self.ports
        fields = {
            'node_id': self.name,
            'role': 'my-sidecar',
            'machine_class': 'sidecar',
            'serves': ['sidecar'],
            'ip': self.ip,
            'zone': self._zone,
            'region': 'great-lakes',
            'zones': {'cleveland': 'great-lakes', 'toledo': 'great-lakes'},
            'listen': {
                'inbound': f'{self.ip}:{ports.inbound}',
                'outbound': f'{self.ip}:{ports.outbound}',
                'ready': f'{self.ip}:{ports.ready}',
                'control': f'{self.ip}:{ports.control}',
            },
            'internal_ports': [ports.internal, ports.internal + 1],
            'seeds': [],
            'bootstrap': True,
            'limits': {'memory_mb': 300, 'max_fds': 4100},
            'heartbeat_ms': 1500,
            'bounds': BOUNDS,
            'app_addr': f'{self.ip}:{ports.app}',
            'service': service,
            'platform': {
                'address': f'127.0.0.1:{self._store_port}',
                'form': 'table',
            },
        }
        written = self._settings.with_suffix('.new')
        written.write_text(json.dumps(fields))
        written.replace(self._settings)

    def start(self) -> None:
        """Start the node's process as the deploy file says."""
        if self._is_closed:
            return
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['EELGRASSWALK_NODE_FILE'] = str(self._settings)
        with self._log.open('ab') as output:
            self.process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def close(self) -> None:
        """End the process, and start none again."""
        self._is_closed = True
        self.kill()

    def read_log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text() if self._log.exists() else ''

    def connect(self, *, receive_bytes: int = 0) -> client.Connection:
        """Return a connection of a client on this machine, not opened."""
        return client.Connection(
            self.ip, self.ports.outbound, receive_bytes=receive_bytes
        )

    def build_upstream(
        self, target_id: str, service: str, **options: typing.Any
    ) -> upstream.Upstream:
        """Return an upstream on this machine, not started."""
        return upstream.Upstream(
            target_id,
            service,
            host=self.ip,
            port=self.ports.app,
            control_port=self.ports.control,
            **options,
        )


class Installation:
    """Machines, their nodes, the platform's store and the operator.

    Args:
        records: Where to write what happens.
        services: Service of each machine's upstream.
        names: Ids of the nodes; numbers by default.
        zones: Zones of the machines, in turn.
    """

    def __init__(
        self,
        records: record.Record,
        services: typing.Sequence[str],
        *,
        names: typing.Sequence[str] = (),
        zones: typing.Sequence[str] = ('cleveland', 'toledo'),
    ) -> None:
        self.record = records
        self.store = store.Store()
        self.machines: list[Machine] = []
        self.upstreams: list[upstream.Upstream] = []
        self._services = services
        self._zones = zones
        self._names = names or [
            f'sidecar-{index + 1}' for index in range(len(services))
        ]
        self._folder = tempfile.TemporaryDirectory(prefix='review-')

    async def start(self, config: bytes, **options: typing.Any) -> None:
        """Start everything, and wait until every machine is ready.

        Args:
            config: The first config.
            options: Options of the upstreams.
        """
        store_port = await self.store.start()
        self.store.put('op', 'config', config)
        ports = _find_ports(len(self._services))
        for index, service in enumerate(self._services):
            machine = Machine(
                self._names[index],
                _build_ip(index),
                service=service,
                zone=self._zones[index % len(self._zones)],
                ports=ports,
                folder=pathlib.Path(self._folder.name),
                store_port=store_port,
            )
            self.machines.append(machine)
            app = machine.build_upstream(f'i-{index + 1}', service, **options)
            self.upstreams.append(app)
            machine.start()
        for app in self.upstreams:
            await app.start()
        for machine in self.machines:
            await self.wait_ready(machine)
        await self._wait_known()
        # Machines are in touch from stability_ms on.
        await asyncio.sleep(BOUNDS['stability_ms'] / 1000.0)
        self.record.write('the installation is ready and in touch')

    async def wait_ready(self, machine: Machine) -> None:
        """Wait until a machine's node says that it is ready."""
        await self._wait(
            lambda: _is_answered(machine.ip, machine.ports.ready),
            f'{machine.name} is not ready',
        )

    async def _wait_known(self) -> None:
        wanted = f'eelgrasswalk_usable_targets {len(self.machines)}.0'
        for machine in self.machines:
            await self._wait(
                lambda machine=machine: (
                    wanted
                    in _read(
                        machine.ip, machine.ports.internal + 1, '/metrics'
                    )
                ),
                f'{machine.name} does not know every upstream',
            )

    async def _wait(
        self, check: typing.Callable[[], bool], detail: str
    ) -> None:
        ends_at = time.monotonic() + START_LIMIT_S
        while not await asyncio.to_thread(check):
            if time.monotonic() > ends_at:
                raise CannotRunError(detail)
            await asyncio.sleep(POLL_S)

    async def stop(self) -> None:
        """End every process and every stand-in."""
        for machine in self.machines:
            machine.close()
        for app in self.upstreams:
            with contextlib.suppress(OSError):
                await app.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await self.store.stop()
        self._folder.cleanup()


def build_config(
    version: int,
    services: typing.Sequence[str],
    *,
    rate: float = 0.0,
    burst: float = 0.0,
    timeout_ms: int = 5000,
) -> bytes:
    """Return a config with a safe and an unsafe route for each service."""
    rules = [
        {
            'name': f'{service}-{kind}',
            'kind': kind,
            'target_latency_ms': min(1200, timeout_ms),
            'priority': 1,
            'auth_exempt': False,
            'match': {'prefix': f'/{service}/{kind}/'},
            'action': {
                'service': service,
                'timeout_ms': timeout_ms,
                'max_attempts': 2,
            },
        }
        for service in services
        for kind in ('safe', 'unsafe')
    ]
    fields = {
        'version': version,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {
                'name': 'lake',
                'api_keys': [client.KEY],
                'priority': 1,
                'rate_per_s': rate,
                'burst': burst,
            }
        ],
        'listeners': [{'hostname': client.HOST, 'rule_set': rules}],
        'clusters': [
            {
                'name': service,
                'health_path': '/health',
                'max_connections': 322,
            }
            for service in services
        ],
    }
    return json.dumps(fields).encode()


def _build_ip(index: int) -> str:
    return f'127.0.0.{11 + index}'


def _find_ports(count: int) -> Ports:
    """Return ports that are free on all machines."""
    for _ in range(100):
        with contextlib.ExitStack() as stack:
            probe = stack.enter_context(socket.socket())
            probe.bind((_build_ip(0), 0))
            first = probe.getsockname()[1]
            probe.close()
            wanted = range(first, first + 7)
            try:
                for index in range(count):
                    for port in wanted:
                        held = stack.enter_context(socket.socket())
                        held.bind((_build_ip(index), port))
            except (OSError, OverflowError):
                continue
            return Ports(*wanted[:6])
    raise CannotRunError('no free ports')


def _read(host: str, port: int, path: str) -> str:
    try:
        with urllib.request.urlopen(
            f'http://{host}:{port}{path}', timeout=1.0
        ) as answer:
            return str(answer.read().decode())
    except OSError:
        return ''


def _is_answered(host: str, port: int) -> bool:
    return _read(host, port, '/-/readiness') != ''
