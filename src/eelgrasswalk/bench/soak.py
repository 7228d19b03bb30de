"""Soaks nodes on the platform in faults and checks every promise.

Real processes are stopped, killed, frozen and told to reload, while the store
fails or comes back from a copy, targets name limits, leave or refuse calls,
some requests crash their targets, and routes are added. Clients use their open
connections until the process is gone. Further kinds of faults are named by
soak_faults.SIGNALS.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import math
import pathlib
import random
import signal
import tempfile
import time
import typing

import click

from ..standins import app
from ..standins import deployment
from ..standins import rows
from ..transport import http_client
from . import report
from . import soak_checks
from . import soak_faults
from . import soak_fleet
from . import soak_signals

CALLS_PER_S = 25.0
CONNECTIONS = 6
DEADLINE_MS = 3000
DEADLY_INTERVAL_S = 0.15
MAX_ANSWER_BYTES = 100_000
COPY_INTERVAL_S = 1.0
COPIES = 12
MIN_LIMIT_PER_S = 1.0
MAX_LIMIT_PER_S = 4.0
RESTART_PAUSE_S = 0.3
SETTLE_S = 4.0
NODES = 6
SECONDS = 30.0
QUICK_SECONDS = 15.0
FAULTS_PER_S = 0.7


class Soak:
    """One soak.

    Args:
        fleet: The processes, started.
        faults: What happens.
        source: Random number generator for the calls.
        calls_per_s: Mean number of calls per second at each node.
    """

    def __init__(
        self,
        fleet: soak_fleet.Fleet,
        faults: list[soak_faults.Fault],
        source: random.Random,
        *,
        calls_per_s: float,
    ) -> None:
        self.record = soak_checks.Record()
        self._fleet = fleet
        self._faults = faults
        self._random = source
        self._calls_per_s = calls_per_s
        self._ids = itertools.count()
        self._copies: collections.deque[rows.Copy] = collections.deque(
            maxlen=COPIES
        )
        self._is_store_faulty = False
        self._signals = soak_signals.Signals(
            fleet,
            self.record,
            source,
            soak_signals.Acts(
                self._fail_store,
                self._disturb_node,
                lambda: self._is_store_faulty,
            ),
        )

    async def run(self, seconds: float) -> None:
        """Send calls and let the faults happen."""
        started_at = time.monotonic()
        self._take_copy()
        signals: list[asyncio.Task[None]] = []
        async with asyncio.TaskGroup() as group:
            copying = group.create_task(self._copy())
            stalls = group.create_task(self._signals.watch_stalls())
            reviving = group.create_task(self._fleet.revive_targets())
            clients = [
                group.create_task(self._send_calls(node))
                for node in self._fleet.nodes
            ]
            for fault in self._faults:
                pause_s = started_at + fault.at - time.monotonic()
                await asyncio.sleep(max(0.0, pause_s))
                task = group.create_task(self._begin(fault))
                if fault.kind in soak_faults.SIGNALS:
                    signals.append(task)
            left_s = started_at + seconds - time.monotonic()
            await asyncio.sleep(max(0.0, left_s) + SETTLE_S)
            # An evacuation that is late still needs calls to be checked.
            await asyncio.gather(*signals)
            for task in (copying, stalls, reviving, *clients):
                task.cancel()
        self._collect_runs()

    # Calls

    async def _send_calls(self, node: soak_fleet.Node) -> None:
        pool = http_client.TargetPool(
            '127.0.0.1', node.ports[0], connections=CONNECTIONS
        )
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._call(node, pool))
                await asyncio.sleep(
                    self._random.expovariate(self._calls_per_s)
                )

    async def _call(
        self, node: soak_fleet.Node, pool: http_client.TargetPool
    ) -> None:
        unsafe = self._random.random() < 0.4
        service = self._random.choice(soak_fleet.SERVICES)
        path = f'/{service}/{"unsafe" if unsafe else "safe"}/'
        if self._fleet.routes and self._random.random() < 0.3:
            unsafe = False
            path = self._random.choice(self._fleet.routes)
        await self._send(node, pool, path, unsafe=unsafe)

    async def _send(
        self,
        node: soak_fleet.Node,
        pool: http_client.TargetPool,
        path: str,
        *,
        unsafe: bool,
    ) -> None:
        request_id = f'{node.index}-{next(self._ids)}'
        request = deployment.build_call(
            'POST' if unsafe else 'GET',
            path,
            request_id=request_id,
            deadline_ms=DEADLINE_MS,
        )
        sent_at = time.monotonic()
        outcome = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DEADLINE_MS / 1000.0 + 1.0):
                outcome = await pool.send(
                    request, max_answer_bytes=MAX_ANSWER_BYTES
                )
        call = soak_checks.Call(
            request_id=request_id,
            node=node.index,
            path=path,
            unsafe=unsafe,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=0,
            is_own=False,
            has_answer=False,
        )
        if isinstance(outcome, http_client.Received):
            call = soak_signals.read_answer(call, outcome.response)
        self.record.calls.append(call)

    async def _send_deadly(self, fault: soak_faults.Fault) -> None:
        """Send a request that crashes its targets, at any node."""
        unsafe = fault.figure < 0.5
        service = soak_fleet.SERVICES[fault.node % len(soak_fleet.SERVICES)]
        kind = 'unsafe' if unsafe else 'safe'
        path = f'/{service}/{kind}/deadly-{next(self._ids)}'
        for node in self._fleet.nodes:
            node.app.behaviour.deadly_paths |= {path}
        ends_at = time.monotonic() + fault.duration_s
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ends_at:
                node = self._random.choice(self._fleet.nodes)
                group.create_task(self._send_alone(node, path, unsafe=unsafe))
                await asyncio.sleep(DEADLY_INTERVAL_S)

    async def _send_alone(
        self, node: soak_fleet.Node, path: str, *, unsafe: bool
    ) -> None:
        pool = http_client.TargetPool(
            '127.0.0.1', node.ports[0], connections=1
        )
        try:
            await self._send(node, pool, path, unsafe=unsafe)
        finally:
            await pool.close()

    def _collect_runs(self) -> None:
        for node in self._fleet.nodes:
            self.record.crashes += [
                soak_checks.Span(crash.path, crash.at)
                for crash in node.app.crashes
            ]
            for arrival in node.app.arrivals:
                self.record.runs.append(_build_run(arrival, node))
        self._signals.collect_cold()

    # The store

    async def _copy(self) -> None:
        while True:
            await asyncio.sleep(COPY_INTERVAL_S)
            self._take_copy()

    def _take_copy(self) -> None:
        self._copies.append(self._fleet.store.copy())

    async def _fail_store(self, fault: soak_faults.Fault) -> None:
        if self._is_store_faulty:
            return
        self._is_store_faulty = True
        store = self._fleet.store
        started_at = time.monotonic()
        store.faults.silent = fault.kind == 'store-silent'
        store.faults.status = 0 if store.faults.silent else 503
        await asyncio.sleep(fault.duration_s)
        if fault.kind == 'store-restored':
            copies = list(self._copies)
            store.restore(copies[int(fault.figure * len(copies))])
            self._copies.clear()
            self._fleet.publish()
            self._signals.repair()
            self._take_copy()
        store.faults.silent = False
        store.faults.status = 0
        self._is_store_faulty = False
        self.record.store_faults.append(
            soak_checks.Span('store', started_at, time.monotonic())
        )

    # Nodes and targets

    async def _begin(self, fault: soak_faults.Fault) -> None:
        node = self._fleet.nodes[fault.node]
        if fault.kind in soak_faults.SIGNALS:
            await self._signals.begin(fault)
        elif fault.kind.startswith('store'):
            await self._fail_store(fault)
        elif fault.kind == 'route':
            prefix = self._fleet.add_route()
            self.record.routes.append(
                soak_checks.Span(prefix, time.monotonic())
            )
        elif fault.kind == 'deadly':
            await self._send_deadly(fault)
        elif fault.kind == 'departure':
            await self._depart(node, fault)
        elif fault.kind == 'reload':
            node.signal(signal.SIGHUP)
        elif fault.kind in ('stop', 'kill', 'freeze'):
            await self._disturb(node, fault)
        elif not node.app.is_leaving:
            await self._change_target(node.app, fault)

    async def _depart(
        self, node: soak_fleet.Node, fault: soak_faults.Fault
    ) -> None:
        """Let a target deregister beside other faults, and serve on."""
        target = node.app
        if target.is_leaving or target.is_down:
            return
        target_id = target.target_id
        async with asyncio.TaskGroup() as group:
            if fault.figure < soak_faults.STORE_FAILS_BELOW:
                kind = 'store-silent'
                if fault.figure < soak_faults.STORE_FAILS_BELOW / 2:
                    kind = 'store-restored'
                outage = dataclasses.replace(
                    fault, kind=kind, duration_s=fault.duration_s / 2.0
                )
                group.create_task(self._fail_store(outage))
                await asyncio.sleep(0.1)
            if await target.depart(node.ports[2]):
                self.record.departures.append(
                    soak_checks.Span(target_id, time.monotonic())
                )
            if fault.figure < soak_faults.NODE_ENDS_BELOW:
                end = dataclasses.replace(fault, kind='kill')
                group.create_task(self._disturb(node, end))
            await asyncio.sleep(soak_checks.DRAIN_S + fault.duration_s)
        if target.target_id == target_id and not target.is_down:
            target.restart(soak_fleet.build_next_id(target_id))

    async def _disturb_node(self, fault: soak_faults.Fault) -> None:
        await self._disturb(self._fleet.nodes[fault.node], fault)

    async def _disturb(
        self, node: soak_fleet.Node, fault: soak_faults.Fault
    ) -> None:
        if node.is_busy:
            return
        node.is_busy = True
        started_at = time.monotonic()
        if fault.kind == 'freeze':
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration_s / 2.0)
            node.signal(signal.SIGCONT)
        else:
            is_stop = fault.kind == 'stop'
            node.signal(signal.SIGTERM if is_stop else signal.SIGKILL)
            await node.wait_ended(soak_fleet.STOP_TIMEOUT_S)
            await asyncio.sleep(RESTART_PAUSE_S)
            node.start()
            # Its start counts as well.
            await asyncio.sleep(RESTART_PAUSE_S)
        node.is_busy = False
        self.record.node_faults.append(
            soak_checks.Span(str(node.index), started_at, time.monotonic())
        )

    async def _change_target(
        self, target: app.AppStandin, fault: soak_faults.Fault
    ) -> None:
        behaviour = target.behaviour
        if fault.kind == 'shed':
            behaviour.shed = True
            await asyncio.sleep(fault.duration_s / 4.0)
            behaviour.shed = False
        elif fault.kind == 'leaving':
            behaviour.leaving = True
            await asyncio.sleep(soak_checks.DRAIN_S + fault.duration_s)
            target.restart(soak_fleet.build_next_id(target.target_id))
        elif behaviour.calls_per_s is None:
            span = MAX_LIMIT_PER_S - MIN_LIMIT_PER_S
            limit = round(MIN_LIMIT_PER_S + fault.figure * span, 2)
            behaviour.calls_per_s = limit
            started_at = time.monotonic()
            target_id = target.target_id
            await asyncio.sleep(
                soak_checks.STABLE_S
                + soak_checks.LIMIT_WINDOW_S
                + fault.duration_s
            )
            behaviour.calls_per_s = None
            self.record.limits.append(
                soak_checks.Span(
                    target_id, started_at, time.monotonic(), limit
                )
            )


def _build_run(arrival: app.Arrival, gate: soak_fleet.Node) -> soak_checks.Run:
    node, _, _ = arrival.request_id.partition('-')
    return soak_checks.Run(
        request_id=arrival.request_id,
        target_id=arrival.target_id,
        node=int(node),
        at=arrival.at,
        was_run=arrival.was_run,
        path=arrival.path,
        gate=gate.index,
        data_centre=gate.data_centre,
        is_fenced=arrival.is_fenced,
        invalid_at=gate.app.invalid_answers.get(arrival.request_id, math.inf),
    )


async def run_soak(
    seed: int,
    *,
    nodes: int,
    seconds: float,
    folder: pathlib.Path,
    calls_per_s: float = CALLS_PER_S,
    faults_per_s: float = FAULTS_PER_S,
    signals: tuple[str, ...] = soak_faults.SIGNALS_IN_FORCE,
) -> tuple[soak_checks.Record, list[soak_faults.Fault]]:
    """Run one soak and return what was seen, and what happened.

    Args:
        seed: Seed of the faults.
        nodes: Number of nodes.
        seconds: Length in seconds, without the start.
        folder: Where settings and logs are written.
        calls_per_s: Mean number of calls per second at each node.
        faults_per_s: Mean number of faults per second.
        signals: Which of soak_faults.SIGNALS happen as well.
    """
    faults = soak_faults.draw_faults(
        seed, nodes=nodes, seconds=seconds, per_s=faults_per_s
    )
    faults += soak_faults.draw_apart(seed, nodes=nodes, seconds=seconds)
    faults += soak_faults.draw_signals(
        seed, nodes=nodes, seconds=seconds, kinds=signals
    )
    faults.sort(key=lambda fault: fault.at)
    fleet = soak_fleet.Fleet(
        folder,
        nodes=nodes,
        cold='cold' in signals,
        reports_load='load' in signals,
    )
    try:
        await fleet.start()
        soak = Soak(
            fleet, faults, random.Random(seed), calls_per_s=calls_per_s
        )
        await soak.run(seconds)
    finally:
        await fleet.stop()
    return soak.record, faults


@click.command('soak')
@click.option('--seed', type=int, default=1, help='First seed.')
@click.option('--seeds', type=int, default=1, help='Number of seeds.')
@click.option('--nodes', type=int, default=NODES, help='Number of nodes.')
@click.option(
    '--calls',
    type=float,
    default=CALLS_PER_S,
    help='Calls per second at each node.',
)
@click.option('--seconds', type=float, default=None, help='Of each seed.')
@click.option('--quick', is_flag=True, help='Run for a shorter time.')
@click.option(
    '--signal',
    'signals',
    multiple=True,
    type=click.Choice(soak_faults.SIGNALS),
    default=soak_faults.SIGNALS_IN_FORCE,
    help='Further kind of faults; may be given several times.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print one line.')
def command(
    seed: int,
    seeds: int,
    nodes: int,
    calls: float,
    seconds: float | None,
    quick: bool,
    signals: tuple[str, ...],
    as_json: bool,
) -> None:
    """Soak nodes on the platform in faults and check every promise."""
    run = report.start_run('soak', seed=seed)
    length_s = seconds or (QUICK_SECONDS if quick else SECONDS)
    violations: list[dict[str, typing.Any]] = []
    happened: collections.Counter[str] = collections.Counter()
    requests = 0
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as folder:
            record, faults = asyncio.run(
                run_soak(
                    number,
                    nodes=nodes,
                    seconds=length_s,
                    folder=pathlib.Path(folder),
                    calls_per_s=calls,
                    signals=signals,
                )
            )
        found = soak_checks.check_all(record)
        statuses = collections.Counter(call.status for call in record.calls)
        click.echo(
            f'seed {number}: {len(found)} violations, {dict(statuses)}',
            err=True,
        )
        requests += len(record.calls)
        happened.update(fault.kind for fault in faults)
        violations += [
            {'seed': number, **dataclasses.asdict(item)} for item in found
        ]
    report.print_result(
        run,
        {
            'nodes': nodes,
            'seeds': seeds,
            'requests': requests,
            'faults': dict(happened),
            'violations': violations,
        },
        as_json=as_json,
    )
