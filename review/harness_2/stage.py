"""Starts a small deployment: real nodes beside stand-ins, on loopback.

The store, the upstreams and the clients live in the process of the script;
each node is a process of its own, started with the command of the deploy file.
"""

import asyncio
import collections.abc
import dataclasses
import functools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

from eelgrasswalk import verdict
from eelgrasswalk.standins import app
from eelgrasswalk.standins import deployment
from eelgrasswalk.standins import rows
from eelgrasswalk.transport import message

ROOT = pathlib.Path(__file__).resolve().parents[2]
CHECK_IN_INTERVAL_S = 1.5
START_LIMIT_S = 25.0
# A little longer than `stability_ms`.
STABILITY_S = 3.2
PORTS = range(20_000, 30_000, 5)
# Exit statuses of a case.
HELD = 0
BROKEN = 1
NOT_RUN = 2
# As the example of the platform's settings has them.
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
    'budget_slack': 48,
    'quota_window_s': 5,
    'quota_overage': 0.1,
    'quota_slack': 20,
    'recovery_s': 15,
}
LIMITS: dict[str, typing.Any] = {
    'cpu_share': 0.86,
    'cores': 2,
    'memory_mb': 300,
    'max_fds': 4100,
    'link_mbps': 1000.0,
    'disk_mb': 0,
}


class NotRunError(Exception):
    """The case could not be brought to the point that it is about."""


class Upstream(app.AppStandin):
    """An upstream whose answers have a length that the request names.

    The last part of the path is the number of bytes of the answer's body.
    """

    zone = ''

    async def _call(
        self, port: int, name: str, fields: dict[str, typing.Any], *, of: str
    ) -> bool:
        """Call the node with all the fields that the pages list."""
        if name == 'heartbeat':
            fields = {**fields, 'zone': self.zone, 'version': 'v1'}
        return await super()._call(port, name, fields, of=of)

    async def handle(self, request: message.Request) -> verdict.Response:
        """Answer one request."""
        answer = await super().handle(request)
        last = request.path.rpartition('/')[2]
        if answer.status != 200 or not last.isdigit():
            return answer
        return verdict.Response(
            answer.status, answer.headers, build_body(int(last))
        )


@functools.lru_cache(maxsize=8)
def build_body(length: int) -> bytes:
    """Return a body in which every place can be told from the others."""
    line = b''.join(b'%09d\n' % number for number in range(length // 10 + 1))
    return line[:length]


@dataclasses.dataclass(slots=True)
class Node:
    """A node process and the upstream beside it."""

    node_id: str
    upstream: Upstream
    ports: list[int]
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    beats: bool = True

    @property
    def outbound(self) -> int:
        """Port for clients."""
        return self.ports[0]

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['EELGRASSWALK_NODE_FILE'] = str(self.settings)
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', 'deploy/sidecar.py'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def read_log(self) -> list[dict[str, typing.Any]]:
        """Return the lines that the process has written."""
        lines = self.log.read_text(errors='replace').splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]


class Stage:
    """A store, and nodes with their upstreams.

    Args:
        services: The service of each node's upstream.
        config: The first configuration.
        slots: Requests that each upstream runs at a time.
        memory_mb: Memory of each machine.
    """

    def __init__(
        self,
        services: collections.abc.Sequence[str],
        config: bytes,
        *,
        slots: int = 37,
        memory_mb: int = 300,
    ) -> None:
        self.store = rows.RowsStandin()
        self.nodes: list[Node] = []
        self.record: list[str] = []
        # Types of upstreams that are no stand-in of the project, by service.
        self.upstream_types: dict[str, type[Upstream]] = {}
        # Memory of machines that differ, by service, in MB.
        self.memory_of: dict[str, int] = {}
        self._services = services
        self._config = config
        self._slots = slots
        self._memory_mb = memory_mb
        self._folder = tempfile.TemporaryDirectory()
        self._upstreams: list[Upstream] = []
        self._beating: list[asyncio.Task[None]] = []
        self.started_at = time.monotonic()

    def note(self, text: str) -> None:
        """Add a line to the record."""
        line = f'{time.monotonic() - self.started_at:8.3f} {text}'
        self.record.append(line)
        print(line, flush=True)

    async def start(self) -> None:
        """Start everything and wait until the nodes serve all upstreams."""
        store_port = await self.store.start()
        self.store.put('op', 'config', self._config)
        folder = pathlib.Path(self._folder.name)
        for index, service in enumerate(self._services):
            build = self.upstream_types.get(service, Upstream)
            upstream = build(f'i-{index}', service, slots=self._slots)
            upstream.zone = f'zone-{index}'
            self._upstreams.append(upstream)
            await upstream.start()
            node_id = f'{service}-{index}'
            settings = folder / f'{node_id}.json'
            ports = find_ports()
            write_settings(
                settings,
                node_id=node_id,
                service=service,
                zone=f'zone-{index}',
                ports=ports,
                target_port=upstream.port,
                store_port=store_port,
                memory_mb=self.memory_of.get(service, self._memory_mb),
            )
            self.nodes.append(
                Node(
                    node_id,
                    upstream,
                    ports,
                    settings,
                    folder / f'{node_id}.log',
                )
            )
        for node in self.nodes:
            node.start()
            self._beating.append(asyncio.create_task(self._beat(node)))
        await self.wait_until_serving(self.nodes)
        self.note(f'{len(self.nodes)} nodes serve all services')
        # From now on the machines are in touch.
        await asyncio.sleep(STABILITY_S)

    async def wait_until_serving(
        self, nodes: collections.abc.Sequence[Node]
    ) -> None:
        """Wait until each node serves a request to every service."""
        try:
            async with asyncio.timeout(START_LIMIT_S):
                for node in nodes:
                    for service in sorted(set(self._services)):
                        while not await self._is_served(node, service):
                            await asyncio.sleep(0.1)
        except TimeoutError as error:
            raise NotRunError('the nodes do not serve') from error

    async def _is_served(self, node: Node, service: str) -> bool:
        head = build_request(
            'GET', f'/{service}/safe/1', f'w{time.monotonic_ns()}', 1000
        )
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', node.outbound
            )
        except OSError:
            return False
        try:
            writer.write(head)
            async with asyncio.timeout(2.0):
                line = await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return b' 200 ' in line

    async def _beat(self, node: Node) -> None:
        """Let the upstream check in like one on the platform."""
        pause_s = 0.1
        while True:
            if node.beats:
                is_known = await node.upstream.check_in(node.ports[2])
                pause_s = CHECK_IN_INTERVAL_S if is_known else 0.1
            await asyncio.sleep(pause_s)

    async def stop(self) -> None:
        """End all processes and stand-ins that were started."""
        for task in self._beating:
            task.cancel()
        for node in self.nodes:
            node.kill()
        for upstream in self._upstreams:
            await upstream.stop()
        await self.store.stop()
        self._folder.cleanup()


def write_settings(
    path: pathlib.Path,
    *,
    node_id: str,
    service: str,
    zone: str,
    ports: collections.abc.Sequence[int],
    target_port: int,
    store_port: int,
    memory_mb: int,
) -> None:
    """Write the settings file of a node as the platform does."""
    deployment.write_settings(
        path,
        node_id=node_id,
        service=service,
        data_centre=zone,
        ports=ports,
        target_port=target_port,
        store_port=store_port,
        bounds=BOUNDS,
    )
    fields = json.loads(path.read_text())
    fields['limits'] = {**LIMITS, 'memory_mb': memory_mb}
    path.write_text(json.dumps(fields))


def change_config(config: bytes, **fields: typing.Any) -> bytes:
    """Return a configuration with other fields at its top level."""
    return json.dumps({**json.loads(config), **fields}).encode()


def find_ports() -> list[int]:
    """Return five free ports that follow each other.

    They lie below those that the system gives to outgoing connections, which
    would otherwise take the port of a node while it is restarted.
    """
    source = random.SystemRandom()
    for _ in range(1000):
        first = source.randrange(PORTS.start, PORTS.stop, PORTS.step)
        ports = list(range(first, first + PORTS.step))
        if all(map(_is_free, ports)):
            return ports
    raise NotRunError('no free ports')


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as holder:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            holder.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


def build_request(
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    body: bytes = b'',
) -> bytes:
    """Return a request as a client sends it."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {deployment.HOST}',
        f'Attempt-Id: {request_id}',
        f'Request-Deadline: {deadline_ms}',
        f'Authorization: Bearer {deployment.KEY}',
    ]
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def is_troubled() -> bool:
    """Return whether the case shall bring its disruption about."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(
    folder: str, play: collections.abc.Callable[[], typing.Any]
) -> typing.NoReturn:
    """Play a case, write its record, and exit with its status.

    Args:
        folder: Folder of the case.
        play: Returns a coroutine; its result is the status and the lines.
    """
    try:
        status, lines = asyncio.run(_play_until_signal(play))
    except NotRunError as error:
        status, lines = NOT_RUN, [f'not run: {error}']
    except asyncio.CancelledError:
        # Everything that the script had started has ended.
        status, lines = NOT_RUN, ['not run: interrupted']
    if status == NOT_RUN:
        print(lines[-1])
    text = '\n'.join([*lines, f'exit status {status}', ''])
    (pathlib.Path(folder) / 'record.txt').write_text(text)
    sys.exit(status)


async def _play_until_signal(
    play: collections.abc.Callable[[], typing.Any],
) -> typing.Any:
    """Play a case; the first signal cancels it, and it cleans up."""
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    assert task is not None
    interrupted = False

    def interrupt() -> None:
        nonlocal interrupted
        if not interrupted:
            interrupted = True
            task.cancel()

    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(number, interrupt)
    return await play()
