"""Time added to a call by one node and by two, against calling directly."""

import asyncio
import collections.abc
import dataclasses
import gc
import hashlib
import time
import typing

import click
import hdrh.histogram
import psutil
import uvloop
import yaml

from ..transport import http_client
from ..transport import message
from . import mesh
from . import report

TARGET_ADDED_P99_MS = 0.61
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
KEY = 'bench-key'
LARGE_BYTES = 20_000_000


@dataclasses.dataclass(slots=True)
class Path:
    """One way to the target, and how long its calls took.

    Args:
        name: Its name in the result.
        pool: Connections to its first hop.
        request: The request sent on it.
        histogram: Latencies in microseconds.
    """

    name: str
    pool: http_client.TargetPool
    request: message.Request
    histogram: typing.Any
    failures: int = 0

    async def call(self) -> None:
        """Send one request and note its latency."""
        start = time.perf_counter()
        outcome = await self.pool.send(
            self.request, max_answer_bytes=2 * LARGE_BYTES
        )
        elapsed_us = (time.perf_counter() - start) * 1e6
        if (
            isinstance(outcome, http_client.Received)
            and outcome.response.status == 200
        ):
            self.histogram.record_value(int(elapsed_us))
        else:
            self.failures += 1

    def summarize(self) -> dict[str, float | int]:
        """Return the percentiles in milliseconds."""
        return {
            'p50_ms': self._read_ms(50),
            'p90_ms': self._read_ms(90),
            'p99_ms': self._read_ms(99),
            'p999_ms': self._read_ms(99.9),
            'calls': self.histogram.get_total_count(),
            'failures': self.failures,
        }

    def _read_ms(self, percentile: float) -> float:
        value = float(self.histogram.get_value_at_percentile(percentile))
        return round(value / 1000, 3)


@dataclasses.dataclass(frozen=True, slots=True)
class Setup:
    """The running processes and the ways through them."""

    paths: tuple[Path, ...]
    small_beside: Path
    direct_small_beside: Path
    running: mesh.Mesh
    entry: str
    nodes: tuple[mesh.Process, ...]


def start_setup(running: mesh.Mesh) -> Setup:
    """Start a target and two nodes; both nodes stand before it."""
    target = running.start_standin('target', '--no-ledger')
    address = target.ready['addresses'][0]
    ports = mesh.find_free_ports(3)
    document = running.write_file('document.yaml', build_document())
    nodes = tuple(
        running.start_node(
            build_settings(index, ports, address, str(document))
        )
        for index in range(2)
    )
    forwarder = running.start(
        'eelgrasswalk.bench.forwarder',
        '--target',
        address,
        '--port',
        str(ports[2]),
    )
    entry = nodes[0].ready['callers']
    return Setup(
        paths=(
            build_path('direct', address, '/far/item'),
            build_path('one_node', entry, '/near/item'),
            build_path('two_nodes', entry, '/far/item'),
            build_path(
                'hypercorn_httpx', forwarder.ready['address'], '/far/item'
            ),
        ),
        small_beside=build_path('small', entry, '/far/item'),
        running=running,
        entry=entry,
        direct_small_beside=build_path('direct_small', address, '/far/item'),
        nodes=nodes,
    )


def build_document() -> str:
    """Return a document with a near and a far service."""
    names = ('near', 'far')
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    return yaml.safe_dump(
        {
            'schema': 1,
            'mesh': 'bench',
            'accounts': [
                {
                    'name': 'bench',
                    'rate': 100_000,
                    'burst': 100_000,
                    'keys': [{'label': 'bench', 'digest': digest}],
                }
            ],
            'services': [
                {'name': name, 'slots': 200, 'connections': 400}
                for name in names
            ],
            'routes': [
                {
                    'name': name,
                    'service': name,
                    'path_prefix': f'/{name}',
                    'idempotent': True,
                }
                for name in names
            ],
        }
    )


def build_settings(
    index: int, ports: collections.abc.Sequence[int], target: str, path: str
) -> dict[str, typing.Any]:
    """Return the settings of one of the two nodes."""
    names = ('near', 'far')
    return {
        'node_id': names[index],
        'data_centre': 'bench',
        'service': names[index],
        'mesh_secret': mesh.SECRET,
        'target': {'address': target},
        'document': path,
        'listen': {'links': f'127.0.0.1:{ports[index]}'},
        'members': [
            {
                'node_id': name,
                'service': name,
                'data_centre': 'bench',
                'links': f'127.0.0.1:{port}',
            }
            for name, port in zip(names, ports, strict=False)
        ],
    }


def build_path(name: str, address: str, target: str) -> Path:
    """Return a path to an address."""
    host, _, port = address.rpartition(':')
    return Path(
        name=name,
        pool=http_client.TargetPool(host, int(port), connections=64),
        request=message.Request(
            method='GET',
            target=target,
            headers=(
                (b'host', address.encode()),
                (b'x-api-key', KEY.encode()),
            ),
            body=b'',
        ),
        histogram=_build_histogram(),
    )


async def run_paced(
    paths: collections.abc.Sequence[Path], *, rate: float, seconds: float
) -> None:
    """Call the paths in turn, each at a rate, without waiting for answers."""
    loop = asyncio.get_running_loop()
    count = int(rate * seconds) * len(paths)
    interval = 1 / (rate * len(paths))
    start = loop.time()
    tasks = []
    for index in range(count):
        await asyncio.sleep(max(0.0, start + index * interval - loop.time()))
        tasks.append(loop.create_task(paths[index % len(paths)].call()))
    await asyncio.gather(*tasks)


async def run_saturated(
    path: Path, *, callers: int, seconds: float
) -> tuple[float, float]:
    """Call a path from many callers; return calls and seconds."""
    loop = asyncio.get_running_loop()
    start = loop.time()

    async def repeat() -> int:
        calls = 0
        while loop.time() < start + seconds:
            await path.call()
            calls += 1
        return calls

    counts = await asyncio.gather(*(repeat() for _ in range(callers)))
    return sum(counts), loop.time() - start


async def measure_beside_large(
    setup: Setup, seconds: float
) -> dict[str, typing.Any]:
    """Call the small paths in turn while large answers pass the nodes."""
    bulk = setup.running.start(
        'eelgrasswalk.bench.bulk',
        '--address',
        setup.entry,
        '--path',
        f'/far/item?bytes={LARGE_BYTES}',
        '--key',
        KEY,
    )
    small, direct = setup.small_beside, setup.direct_small_beside
    try:
        await run_paced([small, direct], rate=50, seconds=seconds)
    finally:
        bulk.kill()
    # The target serves the large answers too, so its own stalls are in both.
    return {
        'small_p99_ms_beside_large': small.summarize()['p99_ms'],
        'direct_small_p99_ms_beside_large': direct.summarize()['p99_ms'],
    }


async def measure(setup: Setup, *, quick: bool) -> dict[str, typing.Any]:
    """Run all parts and return the fields of the result."""
    gc.disable()
    seconds = 8.0 if quick else 60.0
    await run_paced(setup.paths, rate=100, seconds=1.0)
    for path in setup.paths:
        path.histogram.reset()
    report.report_progress('100 calls/s on every path, interleaved')
    await run_paced(setup.paths, rate=100, seconds=seconds)
    fields: dict[str, typing.Any] = {
        path.name: path.summarize() for path in setup.paths
    }
    direct, two = fields['direct'], fields['two_nodes']
    fields['added_p50_ms'] = round(two['p50_ms'] - direct['p50_ms'], 3)
    fields['added_p99_ms'] = round(two['p99_ms'] - direct['p99_ms'], 3)
    fields['target_added_p99_ms'] = TARGET_ADDED_P99_MS
    report.report_progress('saturation through two nodes')
    fields.update(await _measure_saturation(setup, seconds / 4))
    report.report_progress('small calls beside 20 MB answers')
    fields.update(await measure_beside_large(setup, seconds))
    return fields


async def _measure_saturation(
    setup: Setup, seconds: float
) -> dict[str, typing.Any]:
    processes = [psutil.Process(item.popen.pid) for item in setup.nodes]
    path = dataclasses.replace(
        setup.paths[2], histogram=_build_histogram(), failures=0
    )
    before = sum(_read_cpu_s(item) for item in processes)
    calls, elapsed = await run_saturated(path, callers=32, seconds=seconds)
    used = sum(_read_cpu_s(item) for item in processes) - before
    rss = [item.memory_info().rss for item in processes]
    return {
        'saturated': path.summarize() | {'calls_s': round(calls / elapsed)},
        'calls_per_core_s': round(calls / used) if used else None,
        'rss_mb': round(max(rss) / 1e6, 1),
    }


def _read_cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _build_histogram() -> typing.Any:
    return hdrh.histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@click.command()
@click.option('--json', 'as_json', is_flag=True)
@click.option('--quick', is_flag=True, help='Fit into 50 s.')
@click.option('--seed', default=0)
def command(as_json: bool, quick: bool, seed: int) -> None:
    """Measure the time that nodes add to a call."""
    run = report.start_run('latency', seed=seed)
    with mesh.Mesh() as running:
        setup = start_setup(running)
        fields = uvloop.run(measure(setup, quick=quick))
    report.print_result(run, fields, as_json=as_json)
