"""Measures what control costs whole nodes that serve no calls."""

import asyncio
import collections.abc
import concurrent.futures
import dataclasses
import pathlib
import statistics
import time
import typing

import httpx
import psutil

from ..controllers import audit
from ..document import loading
from ..document import model
from ..operations import connections
from ..operations import revisions
from . import control_members
from . import mesh
from . import report

EXAMPLE = pathlib.Path(__file__).resolve().parents[3] / 'examples'
SERVICES = ('catalogue', 'orders', 'installs', 'inventory')
STATUS_PATH = '/_eelgrasswalk/status'
STARTS_AT_ONCE = 4
JOIN_LIMIT_S = 60.0
FORCE_LIMIT_S = 30.0
POLL_S = 0.05
AUTHOR = audit.Author('bench', '127.0.0.1', 'eelgrasswalk-bench')


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What one node has used up to now.

    Args:
        at: Monotonic time in seconds.
        cpu_s: Processor time.
        rss_mb: Resident memory.
        control_bytes: Bytes of control in and out.
        reads: Reads of the platform.
        writes: Rows written to the platform.
    """

    at: float
    cpu_s: float
    rss_mb: float
    control_bytes: float
    reads: int
    writes: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformUse:
    """What all nodes together ask of the platform in quiet times.

    Args:
        nodes: Size of the mesh.
        reads_s: Reads a second.
        writes_s: Rows written a second.
    """

    nodes: int
    reads_s: float
    writes_s: float


class Nodes:
    """A mesh of node processes on a stand-in of the platform.

    Args:
        running: Owns the processes.
        count: How many nodes.
    """

    def __init__(self, running: mesh.Mesh, count: int) -> None:
        self._running = running
        self._count = count
        self._processes: list[mesh.Process] = []
        self._platform = ''

    def start(self) -> None:
        """Start the stand-ins, publish a document and start all nodes."""
        platform = self._running.start_standin('platform')
        self._platform = platform.ready['addresses'][0]
        asyncio.run(self._publish_first())
        ports = mesh.find_free_ports(2 * self._count)
        calls, gossip = ports[: self._count], ports[self._count :]
        options: list[str] = []
        for port in calls:
            options += [
                *('--listen', '127.0.0.1:0'),
                *('--node', f'127.0.0.1:{port}'),
            ]
        targets = self._running.start_standin('target', *options)
        settings = [
            self._build_settings(
                index,
                target=targets.ready['addresses'][index],
                calls=calls[index],
                gossip=gossip[index],
                seed=gossip[0],
            )
            for index in range(self._count)
        ]
        with concurrent.futures.ThreadPoolExecutor(STARTS_AT_ONCE) as pool:
            self._processes = list(
                pool.map(self._running.start_node, settings)
            )

    async def measure(
        self, seconds: float, *, settle_s: float
    ) -> tuple[control_members.Point, PlatformUse]:
        """Measure quiet times, then the spread of a new configuration."""
        async with httpx.AsyncClient(trust_env=False) as client:
            await self._wait_until_joined(client)
            await asyncio.sleep(settle_s)
            before = await self._sample_all(client)
            await asyncio.sleep(seconds)
            after = await self._sample_all(client)
            in_force_s = await self._spread_version(client)
        pairs = list(zip(before, after, strict=True))
        point = control_members.Point(
            nodes=self._count,
            kind='process',
            cpu_core_ratio=round(_average_rate(pairs, 'cpu_s'), 5),
            rss_mb=round(statistics.fmean(item.rss_mb for item in after), 1),
            bytes_s=round(_average_rate(pairs, 'control_bytes'), 1),
            config_in_force_s=in_force_s,
        )
        use = PlatformUse(
            nodes=self._count,
            reads_s=round(_average_rate(pairs, 'reads') * self._count, 3),
            writes_s=round(_average_rate(pairs, 'writes') * self._count, 3),
        )
        return point, use

    def _build_settings(
        self, index: int, *, target: str, calls: int, gossip: int, seed: int
    ) -> dict[str, typing.Any]:
        centres = control_members.DATA_CENTRES
        return {
            'node_id': f'host-{index:03}',
            'data_centre': centres[index % len(centres)],
            'service': SERVICES[index % len(SERVICES)],
            'mesh_secret': mesh.SECRET,
            'target': {'address': target},
            'platform': {'url': f'http://{self._platform}'},
            'seeds': [f'127.0.0.1:{seed}'],
            'log_level': 'warning',
            'listen': {
                'target_calls': f'127.0.0.1:{calls}',
                'gossip': f'127.0.0.1:{gossip}',
            },
        }

    async def _wait_until_joined(self, client: httpx.AsyncClient) -> None:
        async with asyncio.timeout(JOIN_LIMIT_S):
            while any(
                status['membership']['present'] < self._count
                for status in await self._ask_all(client)
            ):
                await asyncio.sleep(POLL_S)

    async def _ask_all(
        self, client: httpx.AsyncClient
    ) -> list[dict[str, typing.Any]]:
        answers = await asyncio.gather(
            *(
                client.get(f'http://{item.ready["admin"]}{STATUS_PATH}')
                for item in self._processes
            )
        )
        return [answer.json() for answer in answers]

    async def _sample_all(self, client: httpx.AsyncClient) -> list[Sample]:
        statuses = await self._ask_all(client)
        return [
            read_sample(process.popen.pid, status)
            for process, status in zip(self._processes, statuses, strict=True)
        ]

    async def _publish_first(self) -> None:
        source = EXAMPLE / 'lakeshore.yaml'
        outcome = loading.load_document(
            source.read_bytes(), source=str(source)
        )
        if not isinstance(outcome, loading.Loaded):
            raise RuntimeError('the example document is not valid')
        opener = connections.HttpConnections()
        async with opener.open_revisions(self._platform) as opened:
            await _publish(opened, outcome.document, None)

    async def _spread_version(self, client: httpx.AsyncClient) -> float:
        """Return the seconds from acceptance until in force on all nodes."""
        opener = connections.HttpConnections()
        async with opener.open_revisions(self._platform) as opened:
            head = await opened.read_head()
            if not isinstance(head, revisions.Found):
                raise RuntimeError('the platform has no configuration')
            base = head.revision
            changed = change_rate(base.document)
            await _publish(opened, changed, base)
        started = time.monotonic()
        wanted = base.version + 1
        async with asyncio.timeout(FORCE_LIMIT_S):
            while any(
                status['config_version'] < wanted
                for status in await self._ask_all(client)
            ):
                await asyncio.sleep(POLL_S)
        return round(time.monotonic() - started, 3)


async def _publish(
    opened: revisions.Revisions,
    document: model.Document,
    base: revisions.Revision | None,
) -> None:
    outcome = await opened.publish(document, base=base, author=AUTHOR)
    if not isinstance(outcome, revisions.Published):
        raise RuntimeError(f'the document was not accepted: {outcome}')


def change_rate(document: model.Document) -> model.Document:
    """Return the document with one account's rate changed."""
    first, *others = document.accounts
    changed = dataclasses.replace(first, rate=first.rate + 1)
    return dataclasses.replace(document, accounts=(changed, *others))


def read_sample(
    pid: int, status: collections.abc.Mapping[str, typing.Any]
) -> Sample:
    """Return what a node has used.

    Its TCP connections carry nothing but control when there are no calls.
    They are counted by the characters that the process read and wrote;
    datagrams are not among those.

    Args:
        pid: The process.
        status: What the node says of itself.
    """
    process = psutil.Process(pid)
    times = process.cpu_times()
    streams = process.io_counters()
    traffic = status['membership']
    datagrams = traffic['datagrams_in'] + traffic['datagrams_out']
    payload = traffic['bytes_in'] + traffic['bytes_out']
    headers = control_members.DATAGRAM_HEADER_BYTES * datagrams
    return Sample(
        at=time.monotonic(),
        cpu_s=times.user + times.system,
        rss_mb=process.memory_info().rss / 1e6,
        control_bytes=payload
        + headers
        + streams.read_chars
        + streams.write_chars,
        reads=status['platform']['reads'],
        writes=status['platform']['writes'],
    )


def _average_rate(
    pairs: collections.abc.Sequence[tuple[Sample, Sample]], name: str
) -> float:
    return statistics.fmean(
        (getattr(after, name) - getattr(before, name)) / (after.at - before.at)
        for before, after in pairs
    )


def measure_nodes(
    sizes: collections.abc.Sequence[int],
    *,
    seconds: float,
    settle_s: float = control_members.SETTLE_S,
) -> tuple[list[control_members.Point], list[PlatformUse]]:
    """Measure nodes as processes in meshes of several sizes.

    Args:
        sizes: Sizes of the mesh.
        seconds: How long each is measured.
        settle_s: Seconds of quiet before each measurement.

    Returns:
        The points, and the use of the platform at each.
    """
    points = []
    uses = []
    for size in sizes:
        with mesh.Mesh() as running:
            nodes = Nodes(running, size)
            nodes.start()
            point, use = asyncio.run(nodes.measure(seconds, settle_s=settle_s))
        report.report_progress(f'{point} {use}')
        points.append(point)
        uses.append(use)
    return points, uses
