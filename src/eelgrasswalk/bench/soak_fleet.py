"""The processes of a soak: nodes, their targets and the store."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import random
import signal
import subprocess
import time

from ..standins import app
from ..standins import deployment
from ..standins import rows
from . import mesh

SERVICES = ('front', 'back')
DATA_CENTRES = ('dc-0', 'dc-1', 'dc-2')
ZONES = {'dc-0': 'area-0', 'dc-1': 'area-0', 'dc-2': 'area-1'}
# Requests per second that a cold target tolerates, and for how many seconds.
COLD_PER_S = 5.5
COLD_START_S = 3.0
COLD_OVERAGE = 1.5
COLD_SLACK = 8.0
# A cold target crashes well above the bound.
COLD_CRASH_CALLS = 2.0 * (COLD_PER_S * COLD_OVERAGE + COLD_SLACK)
EVACUATE_S = 5.0
BOUNDS = {
    'grace_s': 6,
    'cold_overage': COLD_OVERAGE,
    'cold_slack': COLD_SLACK,
    'evacuate_ms': int(EVACUATE_S * 1000.0),
}
CHECK_IN_INTERVAL_S = 0.5
# Where targets turn cold, check-ins come as seldom as on the platform, and
# some are late, so that they do not show what the target's health shows.
COLD_CHECK_IN_INTERVAL_S = 1.5
LATE_RATIO = 0.2
MOST_LATE_S = 2.0
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
        data_centre: Where it is.
        process: The process; None while there is none.
        next_id: Id with which a crashed target begins again; empty for a new
            one.
        is_busy: Whether a fault replaces its process just now.
    """

    index: int
    app: app.AppStandin
    ports: list[int]
    settings: pathlib.Path
    log: pathlib.Path
    data_centre: str
    process: subprocess.Popen[bytes] | None = None
    next_id: str = ''
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
        cold: Whether targets are cold after they start.
        reports_load: Whether targets report their load.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        nodes: int,
        cold: bool = False,
        reports_load: bool = False,
    ) -> None:
        self.store = rows.RowsStandin()
        self.nodes: list[Node] = []
        self.config_version = 0
        self.routes: list[str] = []
        self.evacuated: set[str] = set()
        self.is_cold = cold
        self._reports_load = reports_load
        self._random = random.Random(0)
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
        options = {}
        if self.is_cold:
            options['cold_per_s'] = COLD_PER_S
            options['cold_start_s'] = COLD_START_S
        config = json.loads(
            deployment.build_config(self.config_version, SERVICES, **options)
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

    def set_evacuated(self, data_centre: str, evacuated: bool) -> None:
        """Write or remove the row that asks for an evacuation."""
        if evacuated:
            self.evacuated.add(data_centre)
            self.store.evacuate(data_centre)
        else:
            self.evacuated.discard(data_centre)
            self.store.lift(data_centre)

    def repair_evacuations(self) -> None:
        """Write and remove what a restored store has lost or brought back."""
        found = self.store.list_evacuated()
        for data_centre in sorted(found ^ self.evacuated):
            self.set_evacuated(data_centre, data_centre in self.evacuated)

    async def _build(self, index: int, store_port: int) -> Node:
        service = SERVICES[index % len(SERVICES)]
        target = app.AppStandin(f'i-{index}-0', service)
        target.behaviour.work_s = WORK_S
        target.behaviour.reports_load = self._reports_load
        if self.is_cold:
            target.behaviour.cold_start_s = COLD_START_S
            target.behaviour.cold_crash_calls = COLD_CRASH_CALLS
        await target.start()
        ports = mesh.find_sidecar_ports()
        data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
        settings = self._folder / f'n{index}.json'
        deployment.write_settings(
            settings,
            node_id=f'n{index}',
            service=service,
            data_centre=data_centre,
            ports=ports,
            target_port=target.port,
            store_port=store_port,
            bounds=BOUNDS,
            zones=ZONES,
        )
        log = self._folder / f'n{index}.log'
        return Node(index, target, ports, settings, log, data_centre)

    async def _check_in(self) -> None:
        interval_s = CHECK_IN_INTERVAL_S
        if self.is_cold:
            interval_s = COLD_CHECK_IN_INTERVAL_S
        async with asyncio.TaskGroup() as group:
            while True:
                for node in self.nodes:
                    group.create_task(self._check_in_one(node))
                await asyncio.sleep(interval_s)

    async def _check_in_one(self, node: Node) -> None:
        # A target that leaves says so in its answers, or departs; it says no
        # more that it is ready.
        if node.app.is_leaving or node.app.is_down:
            return
        late_s = 0.0
        if self.is_cold and self._random.random() < LATE_RATIO:
            late_s = self._random.uniform(0.0, MOST_LATE_S)
        await node.app.check_in(node.ports[2], late_s=late_s)

    async def revive_targets(self) -> None:
        """Start targets again that have crashed, some time later."""
        while True:
            await asyncio.sleep(DOWN_S)
            for node in self.nodes:
                app = node.app
                if app.is_down:
                    target_id = node.next_id or build_next_id(app.target_id)
                    node.next_id = ''
                    await app.recover(target_id)

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
