"""Overload with real processes: nodes, targets, and hard-retrying clients."""

import asyncio
import collections
import collections.abc
import concurrent.futures
import dataclasses
import json
import random
import time
import typing
import urllib.parse

from ..standins import calling
from . import baseline
from . import mesh
from . import overload_document as documents
from . import overload_load as load
from . import overload_scenario as scenario

UPSTREAMS = 2
STARTS = 4
LEAF_WORK_S = 0.04


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """The processes of one run.

    Args:
        entries: Addresses that take requests.
        targets: Addresses of the targets by service.
    """

    entries: tuple[str, ...]
    targets: dict[str, list[str]]


def scale_mesh(plan: scenario.MeshPlan, scale: float) -> scenario.MeshPlan:
    """Return a mesh with two upstreams a service and slower deep work."""
    small = scenario.scale_mesh(plan, scale)
    leaf = dataclasses.replace(small.leaf, work_s=LEAF_WORK_S)
    return dataclasses.replace(
        small,
        places=small.places[:UPSTREAMS],
        services=(*small.services[:-1], leaf),
    )


def start(
    running: mesh.Mesh, plan: scenario.MeshPlan, policy: scenario.Policy
) -> Running:
    """Start all processes of a run."""
    names = [
        service.name for service in plan.services for _ in range(UPSTREAMS)
    ]
    ports = mesh.find_free_ports(2 * len(names))
    links, calls = ports[: len(names)], ports[len(names) :]
    if policy != scenario.EELGRASSWALK:
        calls = [calls[0]] * len(names)
    addresses = _start_targets(running, plan, names, calls)
    targets: dict[str, list[str]] = collections.defaultdict(list)
    for name, address in zip(names, addresses, strict=True):
        targets[name].append(address)
    if policy != scenario.EELGRASSWALK:
        entry = _start_baseline(running, plan, policy, targets, calls[0])
        return Running((entry,), targets)
    document = running.write_file(
        'document.yaml', documents.build_document(plan)
    )
    members = [
        {
            'node_id': f'{name}-{index}',
            'service': name,
            'data_centre': plan.places[index % UPSTREAMS],
            'links': f'127.0.0.1:{port}',
        }
        for index, (name, port) in enumerate(zip(names, links, strict=True))
    ]
    settings = [
        {
            'node_id': member['node_id'],
            'data_centre': member['data_centre'],
            'service': member['service'],
            'mesh_secret': mesh.SECRET,
            'target': {'address': address, 'load_path': '/load'},
            'document': str(document),
            'members': members,
            'listen': {
                'links': member['links'],
                'target_calls': f'127.0.0.1:{port}',
            },
        }
        for member, address, port in zip(
            members, addresses, calls, strict=True
        )
    ]
    with concurrent.futures.ThreadPoolExecutor(STARTS) as pool:
        nodes = list(pool.map(running.start_node, settings))
    entries = tuple(node.ready['callers'] for node in nodes)
    return Running(entries, targets)


def _start_targets(
    running: mesh.Mesh,
    plan: scenario.MeshPlan,
    names: list[str],
    ports: list[int],
) -> list[str]:
    options = []
    for port in ports:
        options += ['--listen', '127.0.0.1:0', '--node', f'127.0.0.1:{port}']
    started = running.start_standin('target', *options)
    addresses: list[str] = started.ready['addresses']
    services = {service.name: service for service in plan.services}
    for name, address in zip(names, addresses, strict=True):
        slots = services[name].slots
        queue = services[name].connections - slots
        changes = {'slots': slots, 'queue': queue}
        asyncio.run(_control(address, 'POST', 'behave', changes))
    return addresses


def _start_baseline(
    running: mesh.Mesh,
    plan: scenario.MeshPlan,
    policy: scenario.Policy,
    targets: dict[str, list[str]],
    port: int,
) -> str:
    prefixes = {route.name: route.chain[0] for route in plan.routes}
    prefixes |= {
        documents.name_child(each.name): each.name for each in plan.services
    }
    slots = {each.name: each.slots for each in plan.services}
    made = baseline.Plan(
        dict(targets),
        prefixes,
        slots if policy.limited else None,
        policy.retries,
    )
    path = running.write_file('baseline.json', baseline.encode_plan(made))
    module = 'eelgrasswalk.bench.baseline'
    started = running.start(module, str(path), '--port', str(port))
    address: str = started.ready['address']
    return address


class MeshLoad:
    """Open-loop load on real processes.

    Args:
        plan: The mesh.
        running: Its processes.
        trigger: What happens while the trigger lasts.
        timing: When.
        base_rate: Root requests a second without trigger.
        seed: Seed of all random numbers.
    """

    def __init__(
        self,
        plan: scenario.MeshPlan,
        running: Running,
        trigger: scenario.Scenario,
        timing: scenario.Timing,
        *,
        base_rate: float,
        seed: int,
    ) -> None:
        self.requests: list[load.Request] = []
        self._plan = plan
        self._running = running
        self._trigger = trigger
        self._timing = timing
        self._base_rate = base_rate
        self._rng = random.Random(seed)
        self._callers = [calling.Caller(each) for each in running.entries]
        self._answered_by: dict[int, int] = {}
        self._roots = 0
        self._ledgers: dict[str, list[dict[str, typing.Any]]] = {}
        self._started_at = 0.0

    async def run(self) -> None:
        """Run the whole load and read the targets' ledgers."""
        for addresses in self._running.targets.values():
            for address in addresses:
                await _control(address, 'POST', 'ledger')
        self._started_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._pull_trigger())
            await self._send_all(group)
        for name, addresses in self._running.targets.items():
            self._ledgers[name] = []
            for address in addresses:
                reply = await _control(address, 'GET', 'ledger')
                self._ledgers[name].extend(reply)
        for caller in self._callers:
            caller.close()

    def compute_waste(self) -> float:
        """Return the share of target time spent on roots that failed.

        Only own work counts: a parent's time is that of its children.
        """
        useful = set(self._answered_by.values())
        work = {each.name: each.work_s for each in self._plan.services}
        total = wasted = 0.0
        for name, entries in self._ledgers.items():
            for entry in entries:
                spent_s = work[name]
                if name == self._plan.leaf.name and entry['end']:
                    spent_s = entry['end'] - entry['start']
                total += spent_s
                if _read_root(entry) not in useful:
                    wasted += spent_s
        return wasted / total if total else 0.0

    def compute_amplification(self) -> float | None:
        """Return the attempts at the leaf per root that reached it."""
        entries = self._ledgers[self._plan.leaf.name]
        roots = {_read_root(entry) for entry in entries}
        return len(entries) / len(roots) if roots else None

    def _now(self) -> float:
        return time.monotonic() - self._started_at

    async def _send_all(self, group: asyncio.TaskGroup) -> None:
        at = 0.0
        while at < self._timing.ends_at:
            at += self._rng.expovariate(self._compute_rate(at))
            delay_s = at - self._now()
            if delay_s > 0.0:
                await asyncio.sleep(delay_s)
            request = self._draw_request(at)
            self.requests.append(request)
            group.create_task(self._serve(request))

    def _compute_rate(self, at: float) -> float:
        timing = self._timing
        if timing.trigger_at <= at < timing.trigger_ends_at:
            return self._base_rate * self._trigger.surge
        return self._base_rate

    def _draw_request(self, at: float) -> load.Request:
        routes = self._plan.routes
        shares = self._plan.accounts
        return load.Request(
            self._rng.choices(routes, [each.share for each in routes])[0],
            self._rng.choices(range(len(shares)), shares)[0],
            self._rng.randrange(len(self._callers)),
            self._rng.random(),
            at,
            True,
        )

    async def _serve(self, request: load.Request) -> None:
        deadline = request.sent_at + load.REQUEST_DEADLINE_S
        while request.attempts <= load.CLIENT_RETRIES:
            request.attempts += 1
            if await self._attempt(request, deadline):
                return
            delay_s = self._rng.uniform(
                load.CLIENT_RETRY_MIN_S, load.CLIENT_RETRY_MAX_S
            )
            if self._now() + delay_s >= deadline:
                return
            await asyncio.sleep(delay_s)

    async def _attempt(self, request: load.Request, deadline: float) -> bool:
        self._roots += 1
        root = self._roots
        path = documents.build_path(self._plan, request.route, root)
        timeout_s = min(load.ATTEMPT_TIMEOUT_S, deadline - self._now())
        headers = (
            (
                b'x-api-key',
                documents.make_key(request.account).encode(),
            ),
            (b'eelgrasswalk-deadline', b'%.3f' % max(0.001, timeout_s)),
            (b'idempotency-key', b'%x' % id(request)),
        )
        caller = self._callers[request.entry]
        try:
            async with asyncio.timeout(timeout_s):
                reply = await caller.call('GET', path, headers=headers)
        except (TimeoutError, calling.CallError, OSError):
            return False
        if reply.status == 200:
            request.answered_at = self._now()
            self._answered_by[id(request)] = root
            return True
        request.refused = reply.status in (429, 503)
        return False

    async def _pull_trigger(self) -> None:
        await asyncio.sleep(self._timing.trigger_at)
        leaves = self._running.targets[self._plan.leaf.name]
        slow = self._trigger.leaf_slowdown
        for index, address in enumerate(leaves):
            changes: dict[str, typing.Any] = {'slow': slow}
            if self._trigger.lying and index == 0:
                changes['slow'] = slow * scenario.LYING_SLOWDOWN
                changes['load_claimed'] = 0
            if self._trigger.leaf_fails:
                changes['drop_ratio'] = 1.0
            await _control(address, 'POST', 'behave', changes)
        await asyncio.sleep(self._timing.trigger_ends_at - self._now())
        usual = {'slow': 1.0, 'load_claimed': None, 'drop_ratio': 0.0}
        for address in leaves:
            await _control(address, 'POST', 'behave', usual)


async def _control(
    address: str,
    method: str,
    name: str,
    content: dict[str, typing.Any] | None = None,
) -> typing.Any:
    caller = calling.Caller(address)
    body = b'' if content is None else json.dumps(content).encode()
    reply = await caller.call(method, f'/_standin/{name}', body=body)
    caller.close()
    return json.loads(reply.body)


def _read_root(entry: dict[str, typing.Any]) -> int:
    query = urllib.parse.urlsplit(entry['path']).query
    return int(urllib.parse.parse_qs(query)['root'][0])


def run_scenarios(
    plan: scenario.MeshPlan,
    policy: scenario.Policy,
    triggers: collections.abc.Sequence[scenario.Scenario],
    timing: scenario.Timing,
    *,
    base_rate: float,
    seed: int,
) -> list[load.Figures]:
    """Run scenarios one after another on the same processes."""
    found = []
    with mesh.Mesh() as processes:
        running = start(processes, plan, policy)
        for trigger in triggers:
            made = MeshLoad(
                plan, running, trigger, timing, base_rate=base_rate, seed=seed
            )
            asyncio.run(made.run())
            found.append(load.measure(made, timing))
    return found
