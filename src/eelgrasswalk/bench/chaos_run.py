"""Runs a mesh through a schedule of faults and gathers what it left."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import itertools
import time
import typing
import urllib.parse

import httpx

from ..controllers import audit
from . import chaos_document
from . import chaos_faults
from . import chaos_load
from . import chaos_records as records
from . import chaos_schedule as schedule
from . import faulty

SAMPLE_S = 0.25
STATUS_TIMEOUT_S = 1.0
IN_FORCE_S = 10.0
STATUS_PATH = '/_eelgrasswalk/status'

MakePace: typing.TypeAlias = collections.abc.Callable[
    [chaos_load.ChaosLoad], chaos_faults.Pace
]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a run does.

    Args:
        seed: Seed of its random numbers.
        nodes: Nodes in the mesh.
        steps: The faults in order.
        make_pace: Makes the pace of the schedule.
    """

    seed: int
    nodes: int
    steps: tuple[schedule.Step, ...]
    make_pace: MakePace


def run(plan: Plan) -> records.Evidence:
    """Run a plan and return what it left behind."""
    names = itertools.cycle(chaos_document.SERVICES)
    services = list(itertools.islice(names, plan.nodes))
    with contextlib.ExitStack() as stack:
        subject = faulty.start_mesh(stack, services)
        return asyncio.run(_run(subject, plan))


async def _run(subject: faulty.FaultyMesh, plan: Plan) -> records.Evidence:
    evidence = records.Evidence(
        rate=chaos_document.GREEDY_RATE,
        burst=chaos_document.GREEDY_BURST,
        allowance=chaos_document.RETRY_ALLOWANCE,
    )
    operators = chaos_document.Operators(subject.platform)
    await operators.publish_first()
    await asyncio.to_thread(_watch_for_keys, subject)
    await _wait_for_version(subject, 1)
    entries = chaos_load.Entries()
    for index, node in enumerate(subject.nodes):
        entries.add(index, node.ready['callers'])
    load = chaos_load.ChaosLoad(entries, seed=plan.seed)
    disturber = chaos_faults.Disturber(
        subject,
        load,
        entries,
        operators,
        plan.make_pace(load),
        evidence,
        seed=plan.seed,
    )
    sampler = asyncio.create_task(_sample(subject, evidence))
    load.start()
    await disturber.run(plan.steps)
    await load.stop()
    evidence.attempts = load.attempts
    await _read_log(operators, evidence)
    evidence.lagging = await _wait_for_version(subject, evidence.accepted[-1])
    sampler.cancel()
    runs = await asyncio.to_thread(subject.read_ledgers)
    evidence.runs = [_read_run(each) for each in runs]
    return evidence


def _watch_for_keys(subject: faulty.FaultyMesh) -> None:
    secrets = [
        chaos_document.STEADY_KEY,
        chaos_document.GREEDY_KEY,
        *chaos_document.list_keys(),
    ]
    for index in range(len(subject.targets)):
        subject.behave(index, secrets=secrets)


async def _read_log(
    operators: chaos_document.Operators, evidence: records.Evidence
) -> None:
    entries = await operators.list_entries()
    evidence.accepted = [entry.version for entry in entries]
    verified = audit.verify_chain(entries)
    evidence.is_chain_whole = isinstance(verified, audit.Verified)


async def _wait_for_version(
    subject: faulty.FaultyMesh, version: int
) -> list[int]:
    """Wait until nodes have a version; return those that lag too long."""
    end = time.monotonic() + IN_FORCE_S
    lagging = list(range(len(subject.nodes)))
    async with httpx.AsyncClient(timeout=STATUS_TIMEOUT_S) as client:
        while lagging and time.monotonic() < end:
            asked = [_read_version(client, subject, i) for i in lagging]
            versions = await asyncio.gather(*asked)
            lagging = [
                index
                for index, found in zip(lagging, versions, strict=True)
                if found < version
            ]
            await asyncio.sleep(SAMPLE_S if lagging else 0)
    return lagging


async def _sample(
    subject: faulty.FaultyMesh, evidence: records.Evidence
) -> None:
    """Ask every node for its version again and again."""
    async with (
        httpx.AsyncClient(timeout=STATUS_TIMEOUT_S) as client,
        asyncio.TaskGroup() as group,
    ):
        for index in range(len(subject.nodes)):
            group.create_task(_sample_one(client, subject, evidence, index))


async def _sample_one(
    client: httpx.AsyncClient,
    subject: faulty.FaultyMesh,
    evidence: records.Evidence,
    index: int,
) -> None:
    while True:
        asked_at = time.monotonic()
        version = await _read_version(client, subject, index)
        evidence.samples.append(records.Sample(index, asked_at, version))
        await asyncio.sleep(SAMPLE_S)


async def _read_version(
    client: httpx.AsyncClient, subject: faulty.FaultyMesh, index: int
) -> int:
    address = subject.nodes[index].ready['admin']
    try:
        answer = await client.get(f'http://{address}{STATUS_PATH}')
        version: int = answer.json()['config_version']
    except httpx.HTTPError:
        return 0
    return version


def _read_run(entry: dict[str, typing.Any]) -> records.Run:
    parts = urllib.parse.urlsplit(entry['path'])
    roots = urllib.parse.parse_qs(parts.query).get('root', [''])
    return records.Run(
        request=entry['request'],
        booking=entry['booking'],
        root=roots[0],
        path=parts.path,
        start=entry['start'],
        has_key=entry['has_key'],
    )
