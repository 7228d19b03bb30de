"""The processes of a soak: nodes, their targets and the store."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import signal
import subprocess
import time

from ..standins import app
from ..standins import deployment
from ..standins import rows
from . import mesh

SERVICES = ('front', 'back')
BOUNDS = {'grace_s': 6}
CHECK_IN_INTERVAL_S = 0.5
STOP_TIMEOUT_S = 7.0
START_TIMEOUT_S = 90.0
WORK_S = 0.05
# Longest time for which a crashed target is down.
DOWN_S = 1.0


class StartError(Exception):
    """The nodes were not ready in time."""


@dataclasses.dataclass(slots=True)
class Node:
    """A node process and the target beside it.

    Args:
        index: Its number.
        app: The target.
        ports: Callers, readiness, check-ins, links and metrics.
        settings: Path of its settings.
        log: Path of its standard output.
        process: The process; None while there is none.
        is_busy: Whether a fault replaces its process just now.
    """

    index: int
    app: app.AppStandin
    ports: list[int]
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    is_busy: bool = False

    def start(self) -> None:
        """Start the process."""
        self.process = mesh.start_sidecar(self.settings, log=self.log)

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_ended(self, timeout_s: float) -> None:
        """Wait until the process has ended; kill it after a time."""
        assert self.process is not None
        ends_at = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < ends_at:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Fleet:
    """Starts and stops the processes.

    Args:
        folder: Where settings and logs are written.
        nodes: Number of nodes.
    """

    def __init__(self, folder: pathlib.Path, *, nodes: int) -> None:
        self.store = rows.RowsStandin()
        self.nodes: list[Node] = []
        self.config_version = 0
        self.routes: list[str] = []
        self._folder = folder
        self._count = nodes
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start everything and wait until every node is ready.

        Raises:
            StartError: The nodes were not ready in time.
        """
        store_port = await self.store.start()
        self.publish()
        for index in range(self._count):
            self.nodes.append(await self._build(index, store_port))
        self._beats = asyncio.create_task(self._check_in())
        for node in self.nodes:
            node.start()
        ends_at = time.monotonic() + START_TIMEOUT_S
        while not all([await self._is_ready(node) for node in self.nodes]):
            if time.monotonic() > ends_at:
                raise StartError(f'not ready within {START_TIMEOUT_S:.0f} s')
            await asyncio.sleep(0.1)
        for node in self.nodes:
            fields = json.loads(node.settings.read_text())
            node.settings.write_text(
                json.dumps({**fields, 'bootstrap': False})
            )

    async def stop(self) -> None:
        """End every process that was started."""
        if self._beats is not None:
            self._beats.cancel()
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
            await node.app.stop()
        await self.store.stop()

    def publish(self) -> None:
        """Write the newest configuration to the store."""
        config = json.loads(
            deployment.build_config(self.config_version, SERVICES)
        )
        rules = config['listeners'][0]['rule_set']
        rules += [
            {**rules[0], 'name': prefix, 'match': {'prefix': prefix}}
            for prefix in self.routes
        ]
        self.store.put('op', 'config', json.dumps(config).encode())

    def add_route(self) -> str:
        """Add a route to the configuration and return its prefix."""
        self.config_version += 1
        prefix = f'/added-{self.config_version}/'
        self.routes.append(prefix)
        self.publish()
        return prefix

    async def _build(self, index: int, store_port: int) -> Node:
        service = SERVICES[index % len(SERVICES)]
        target = app.AppStandin(f'i-{index}-0', service)
        target.behaviour.work_s = WORK_S
        await target.start()
        ports = mesh.find_sidecar_ports()
        settings = self._folder / f'n{index}.json'
        deployment.write_settings(
            settings,
            node_id=f'n{index}',
            service=service,
            data_centre=f'dc-{index % 3}',
            ports=ports,
            target_port=target.port,
            store_port=store_port,
            bounds=BOUNDS,
        )
        log = self._folder / f'n{index}.log'
        return Node(index, target, ports, settings, log)

    async def _check_in(self) -> None:
        while True:
            await asyncio.gather(
                *(self._check_in_one(node) for node in self.nodes)
            )
            await asyncio.sleep(CHECK_IN_INTERVAL_S)

    async def _check_in_one(self, node: Node) -> None:
        # A target that leaves says so in its answers, or departs; it says no
        # more that it is ready.
        if not (node.app.is_leaving or node.app.is_down):
            await node.app.check_in(node.ports[2])

    async def revive_targets(self) -> None:
        """Start targets again that have crashed, some time later."""
        while True:
            await asyncio.sleep(DOWN_S)
            for node in self.nodes:
                app = node.app
                if app.is_down:
                    await app.recover(build_next_id(app.target_id))

    async def _is_ready(self, node: Node) -> bool:
        with contextlib.suppress(OSError, EOFError):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', node.ports[1]
            )
            writer.write(b'GET /-/readiness HTTP/1.1\r\nhost: n\r\n\r\n')
            line = await reader.readline()
            writer.close()
            return b' 200 ' in line
        return False


def build_next_id(target_id: str) -> str:
    """Return the id of a target's next run."""
    name, _, run = target_id.rpartition('-')
    return f'{name}-{int(run) + 1}'
