"""Overload experiment: goodput, recovery and fairness under triggers."""

import collections.abc
import concurrent.futures
import dataclasses
import json
import pathlib
import typing

import click

from . import overload_load as load
from . import overload_report
from . import overload_scenario as scenario
from . import record

WORKERS = 4
REFERENCE_LOADS = (0.9, 1.0, 1.1)
REFERENCE = scenario.Scenario('reference')
QUICK_TIMING = scenario.Timing(2.0, 1.0, 3.0, 3.0)
QUICK_SCALE = 0.2
FULL_SCALE = 0.34


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One run.

    Args:
        plan: The mesh, scaled.
        policy: How it is protected.
        trigger: What happens.
        timing: When.
        base_rate: Root requests a second without trigger.
        seed: Seed of all random numbers.
    """

    plan: scenario.MeshPlan
    policy: scenario.Policy
    trigger: scenario.Scenario
    timing: scenario.Timing
    base_rate: float
    seed: int


def run_job(job: Job) -> load.Figures:
    """Run one load and return its figures."""
    made = load.Load(
        job.plan,
        job.policy,
        job.trigger,
        job.timing,
        base_rate=job.base_rate,
        seed=job.seed,
    )
    made.run()
    return load.measure(made, job.timing)


def make_jobs(
    meshes: collections.abc.Sequence[scenario.MeshPlan],
    timing: scenario.Timing,
    seed: int,
) -> list[Job]:
    """Return every mesh under every trigger and policy."""
    return [
        Job(
            plan,
            policy,
            trigger,
            timing,
            scenario.BASE_LOAD * plan.capacity,
            seed,
        )
        for plan in meshes
        for trigger in scenario.SCENARIOS
        for policy in scenario.POLICIES
    ]


def make_references(job: Job) -> list[Job]:
    """Return runs of the same targets, as slow, without overload."""
    trigger = job.trigger
    state = dataclasses.replace(
        REFERENCE, leaf_slowdown=trigger.leaf_slowdown, lying=trigger.lying
    )
    capacity = scenario.compute_capacity(job.plan, state)
    return [
        dataclasses.replace(
            job,
            policy=scenario.EELGRASSWALK,
            trigger=dataclasses.replace(
                state, surge=share * capacity / job.base_rate
            ),
        )
        for share in REFERENCE_LOADS
    ]


def describe(
    job: Job, figures: load.Figures, best: float
) -> dict[str, typing.Any]:
    """Return one scenario of the JSON object."""
    possible = min(best, figures.offered)
    goodput: float | None = figures.goodput / possible
    if job.trigger.leaf_fails:
        # No target of the deep service can answer, so there is no best.
        goodput = None
    return {
        'name': job.trigger.name,
        'mesh': job.plan.name,
        'policy': job.policy.name,
        'goodput_ratio': _round(goodput),
        'top_importance_ratio': _round(figures.answered_ratios[0]),
        'recovery_s': figures.recovery_s,
        'wasted_ratio': _round(figures.wasted_ratio),
        'amplification': _round(figures.amplification),
        'worst_account_ratio': _round(figures.worst_account_ratio),
        'wrongful_refusal_ratio': _round(figures.wrongful_refusal_ratio),
        'goodput': _round(figures.goodput),
        'best_goodput': _round(best),
        'offered_within_rate': _round(figures.offered),
        'answered_ratios': [_round(r) for r in figures.answered_ratios],
    }


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, 4)


@click.command('overload')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
@click.option('--quick', is_flag=True, help='Fit into 50 seconds.')
@click.option('--seed', default=3, show_default=True, help='Random seed.')
@click.option(
    '--mesh',
    type=click.Choice([plan.name for plan in scenario.MESHES]),
    help='Only this mesh.',
)
@click.option(
    '--report',
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    default='out/overload.html',
    show_default=True,
    help='HTML report to write.',
)
def command(
    as_json: bool,
    quick: bool,
    seed: int,
    mesh: str | None,
    report: pathlib.Path,
) -> None:
    """Run triggers of overload against the policy and two baselines."""
    recorder = record.Recorder('overload', seed)
    scale = QUICK_SCALE if quick else FULL_SCALE
    timing = QUICK_TIMING if quick else scenario.Timing()
    meshes = [
        scenario.scale_mesh(plan, scale)
        for plan in scenario.MESHES
        if mesh in (None, plan.name)
    ]
    jobs = make_jobs(meshes, timing, seed)
    references = {job: make_references(job) for job in jobs}
    unique = dict.fromkeys(
        [run for runs in references.values() for run in runs]
    )
    everything = [*jobs, *unique]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        results = dict(
            zip(everything, pool.map(run_job, everything), strict=True)
        )
    rows = []
    for job in jobs:
        best = max(results[run].goodput for run in references[job])
        rows.append(describe(job, results[job], best))
        click.echo(_format_row(rows[-1]), err=True)
    scaling = (
        f'In process, on simulated time: slots and connections times {scale}, '
        f'deep work {meshes[0].leaf.work_s} s, trigger {timing.trigger_s} s.'
    )
    runs = [
        (job.plan.name, job.trigger.name, job.policy.name, results[job])
        for job in jobs
    ]
    overload_report.write_report(report, rows, runs, scaling)
    if as_json:
        result = dataclasses.asdict(recorder.finish())
        result |= {
            'driver': 'in-process',
            'scaling': scaling,
            'report': str(report),
            'scenarios': rows,
        }
        click.echo(json.dumps(result))


def _format_row(row: dict[str, typing.Any]) -> str:
    return ' '.join(str(row[column]) for column in overload_report.COLUMNS)
