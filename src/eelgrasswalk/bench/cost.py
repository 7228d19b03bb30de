"""What a call and an idle node cost, by stage of a call's path."""

import asyncio
import dataclasses
import itertools
import json
import os
import pathlib
import sys
import tempfile
import typing

import click
import uvloop

from ..standins import app
from ..standins import deployment
from ..standins import rows
from ..transport import http_client
from . import mesh
from . import report

SERVICES = ('front', 'back')
IN_FLIGHT = 8
# Calls a second; accounts without a limit are not asked for.
UNBOUNDED = 1_000_000
START_LIMIT_S = 20.0
POLL_S = 0.05
BODY = b'x' * 400
_SOURCE = pathlib.Path(__file__).resolve().parents[2]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """How much is measured.

    Args:
        calls: Calls of each of the two measurements.
        idle_s: Seconds without calls.
    """

    calls: int
    idle_s: float


class Worker:
    """The process with both nodes.

    Args:
        process: The process.
    """

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process

    async def ask(self, command: str) -> dict[str, typing.Any]:
        """Send one command and return its answer."""
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._process.stdin.write(command.encode() + b'\n')
        line = await self._process.stdout.readline()
        answer = json.loads(line)
        assert isinstance(answer, dict)
        return answer

    async def stop(self) -> None:
        """End the process."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()


class Bed:
    """A store, two applications and the nodes beside them.

    Args:
        folder: Where settings files are written.
        source: The source tree that is measured.
    """

    def __init__(self, folder: pathlib.Path, source: pathlib.Path) -> None:
        self._folder = folder
        self._source = source
        self._store = rows.RowsStandin()
        self._apps = [
            app.AppStandin(f'i-{index}', service, slots=100)
            for index, service in enumerate(SERVICES)
        ]
        self._ports: list[list[int]] = []
        self._numbers = itertools.count()
        self._pool: http_client.TargetPool | None = None

    async def start(self) -> Worker:
        """Start everything, and return when calls are served."""
        port = await self._store.start()
        config = deployment.build_config(
            1, SERVICES, rate=UNBOUNDED, burst=UNBOUNDED
        )
        self._store.put('op', 'config', config)
        paths = [
            await self._prepare(index, port) for index in range(len(SERVICES))
        ]
        self._pool = http_client.TargetPool(
            '127.0.0.1', self._ports[0][0], connections=IN_FLIGHT
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'eelgrasswalk.bench.cost_worker',
            *map(str, paths),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ, 'PYTHONPATH': str(self._source)},
        )
        worker = Worker(process)
        async with asyncio.timeout(START_LIMIT_S):
            while not await self._is_served():
                await asyncio.sleep(POLL_S)
        return worker

    async def stop(self) -> None:
        """End the stand-ins."""
        if self._pool is not None:
            await self._pool.close()
        for each in self._apps:
            await each.stop()
        await self._store.stop()

    async def _prepare(self, index: int, store_port: int) -> pathlib.Path:
        ports = mesh.find_sidecar_ports()
        self._ports.append(ports)
        service = SERVICES[index]
        path = self._folder / f'{service}.json'
        deployment.write_settings(
            path,
            node_id=f'{service}-{index}',
            service=service,
            data_centre='here',
            ports=ports,
            target_port=await self._apps[index].start(),
            store_port=store_port,
            bounds={},
        )
        return path

    async def _is_served(self) -> bool:
        try:
            for each, ports in zip(self._apps, self._ports, strict=True):
                if not await each.check_in(ports[2]):
                    return False
            return await self.call()
        except OSError:
            return False

    async def call(self) -> bool:
        """Send one call to the other node's target."""
        assert self._pool is not None
        request = deployment.build_call(
            'POST',
            '/back/safe/item?page=1',
            request_id=f'{next(self._numbers):016x}',
            body=BODY,
        )
        outcome = await self._pool.send(request, max_answer_bytes=100_000)
        return (
            isinstance(outcome, http_client.Received)
            and outcome.response.status == 200
        )

    async def send(self, calls: int) -> int:
        """Send calls, some at a time, and return how many were answered."""
        left = itertools.repeat(None, calls)
        answered = 0

        async def run() -> None:
            nonlocal answered
            for _ in left:
                is_answered = await self.call()
                answered += is_answered

        async with asyncio.TaskGroup() as group:
            for _ in range(IN_FLIGHT):
                group.create_task(run())
        for each in self._apps:
            each.arrivals.clear()
        return answered


async def measure(plan: Plan, source: pathlib.Path) -> dict[str, typing.Any]:
    """Return the figures of one source tree."""
    with tempfile.TemporaryDirectory() as folder:
        bed = Bed(pathlib.Path(folder), source)
        worker = await bed.start()
        try:
            return await _measure(plan, bed, worker)
        finally:
            await worker.stop()
            await bed.stop()


async def _measure(
    plan: Plan, bed: Bed, worker: Worker
) -> dict[str, typing.Any]:
    await bed.send(plan.calls // 4)
    before = await worker.ask('usage')
    answered = await bed.send(plan.calls)
    after = await worker.ask('usage')
    cpu_us = (after['cpu_s'] - before['cpu_s']) * 1e6 / plan.calls
    await worker.ask('profile')
    await bed.send(plan.calls)
    stages = await worker.ask('stages')
    rested = await worker.ask('usage')
    await asyncio.sleep(plan.idle_s)
    idle = await worker.ask('usage')
    idle_s = (idle['cpu_s'] - rested['cpu_s']) / len(SERVICES)
    return {
        'stages': list_stages(stages, calls=plan.calls, call_cpu_us=cpu_us),
        'call_cpu_us': round(cpu_us, 1),
        'calls': plan.calls,
        'answered': answered,
        'function_calls': round(
            sum(stage['calls'] for stage in stages.values()) / plan.calls, 1
        ),
        'tasks': (after['tasks'] - before['tasks']) / plan.calls,
        'timers': (after['timers'] - before['timers']) / plan.calls,
        'idle_core_ratio': round(idle_s / plan.idle_s, 5),
    }


def list_stages(
    stages: dict[str, dict[str, float]], *, calls: int, call_cpu_us: float
) -> list[dict[str, typing.Any]]:
    """Return the stages of a call, the dearest first.

    Counting function calls slows them down, so the time of a stage is its
    part of the time that was measured without that.

    Args:
        stages: Seconds and function calls of each stage, while counted.
        calls: How many calls there were.
        call_cpu_us: Processor time of a call without counting.
    """
    total_s = sum(stage['seconds'] for stage in stages.values()) or 1.0
    found = [
        {
            'name': name,
            'cpu_us': round(call_cpu_us * stage['seconds'] / total_s, 1),
            'calls': round(stage['calls'] / calls, 1),
            'tasks': None,
            'timers': None,
            'bytes': None,
        }
        for name, stage in stages.items()
    ]
    return sorted(found, key=lambda stage: -stage['cpu_us'])


@click.command()
@click.option('--json', 'as_json', is_flag=True, help='One line of JSON.')
@click.option('--quick', is_flag=True, help='A few seconds.')
@click.option(
    '--tree',
    type=click.Path(exists=True, path_type=pathlib.Path),
    help='Measure this checkout as well, one after the other.',
)
def command(as_json: bool, quick: bool, tree: pathlib.Path | None) -> None:
    """Measure processor time and function calls of a call."""
    run = report.start_run('cost', seed=0)
    plan = Plan(2_000, 2.0) if quick else Plan(10_000, 10.0)
    fields = uvloop.run(measure(plan, _SOURCE))
    if tree is not None:
        fields['before'] = uvloop.run(measure(plan, tree / 'src'))
    report.print_result(run, fields, as_json=as_json)
