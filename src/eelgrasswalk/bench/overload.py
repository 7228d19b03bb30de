"""Overload experiment: goodput, recovery and fairness under triggers."""

import collections.abc
import concurrent.futures
import dataclasses
import pathlib
import typing

import click

from . import overload_load as load
from . import overload_mesh
from . import overload_report
from . import overload_scenario as scenario
from . import report

WORKERS = 4
REFERENCE = scenario.Scenario('reference')
PROCESS_SCENARIOS = ('surge', 'deep-slow', 'lying-target', 'leaf-failed')
IN_PROCESS = 'in-process'
PROCESSES = 'processes'


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """How long and how large the runs are.

    Args:
        scale: Share of the slots and connections in process.
        timing: When things happen in process.
        reference_loads: Loads of the reference runs, as shares of what
            the deep service can serve.
        baseline_meshes: Meshes whose baselines run in process.
        process_scale: Share of the slots and connections with processes.
        process_timing: When things happen with processes.
        process_scenarios: Scenarios that run with processes.
        process_policies: Policies that run with processes.
        process_meshes: Meshes that run with processes.
    """

    scale: float
    timing: scenario.Timing
    reference_loads: tuple[float, ...]
    baseline_meshes: tuple[str, ...]
    process_scale: float
    process_timing: scenario.Timing
    process_scenarios: tuple[str, ...]
    process_policies: tuple[scenario.Policy, ...]
    process_meshes: tuple[str, ...]


QUICK = Size(
    0.2,
    scenario.Timing(1.5, 0.5, 2.5, 2.0),
    (1.0,),
    ('lakeshore',),
    0.2,
    scenario.Timing(2.0, 1.0, 3.0, 2.5),
    ('surge',),
    (scenario.EELGRASSWALK,),
    ('lakeshore',),
)
FULL = Size(
    0.34,
    scenario.Timing(),
    (0.9, 1.0, 1.1),
    tuple(plan.name for plan in scenario.MESHES),
    0.34,
    scenario.Timing(3.0, 2.0, 6.0, 4.0),
    PROCESS_SCENARIOS,
    scenario.POLICIES,
    tuple(plan.name for plan in scenario.MESHES),
)


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


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What came of one run.

    Args:
        job: The run.
        driver: What it ran on.
        figures: Its figures.
        best: Best goodput of the same targets without overload, a second.
    """

    job: Job
    driver: str
    figures: load.Figures
    best: float


def run_job(job: Job) -> load.Figures:
    """Run one load in process and return its figures."""
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


def make_reference(job: Job, share: float) -> scenario.Scenario:
    """Return the same targets, as slow, at a share of their capacity."""
    trigger = job.trigger
    capacity = scenario.compute_capacity(job.plan, trigger)
    return dataclasses.replace(
        REFERENCE,
        leaf_slowdown=trigger.leaf_slowdown,
        lying=trigger.lying,
        surge=share * capacity / job.base_rate,
    )


def run_in_process(
    plans: collections.abc.Sequence[scenario.MeshPlan],
    size: Size,
    seed: int,
) -> list[Result]:
    """Run every scenario and policy on simulated time."""
    jobs = [
        Job(
            plan,
            policy,
            trigger,
            size.timing,
            scenario.BASE_LOAD * plan.capacity,
            seed,
        )
        for plan in (scenario.scale_mesh(each, size.scale) for each in plans)
        for trigger in scenario.SCENARIOS
        for policy in scenario.POLICIES
        if plan.name in size.baseline_meshes or policy == scenario.EELGRASSWALK
    ]
    references = {
        job: [
            dataclasses.replace(
                job,
                policy=scenario.EELGRASSWALK,
                trigger=make_reference(job, share),
            )
            for share in size.reference_loads
        ]
        for job in jobs
    }
    everything = dict.fromkeys(jobs)
    for runs in references.values():
        everything |= dict.fromkeys(runs)
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        found = dict(
            zip(everything, pool.map(run_job, everything), strict=True)
        )
    return [
        Result(
            job,
            IN_PROCESS,
            found[job],
            max(found[run].goodput for run in references[job]),
        )
        for job in jobs
    ]


def run_with_processes(
    plan: scenario.MeshPlan, size: Size, seed: int
) -> list[Result]:
    """Run scenarios on nodes, targets and baselines as processes."""
    scaled = overload_mesh.scale_mesh(plan, size.process_scale)
    base_rate = scenario.BASE_LOAD * scaled.capacity
    triggers = [
        each
        for each in scenario.SCENARIOS
        if each.name in size.process_scenarios
    ]
    jobs = [
        Job(
            scaled,
            scenario.EELGRASSWALK,
            trigger,
            size.process_timing,
            base_rate,
            seed,
        )
        for trigger in triggers
    ]
    best: dict[scenario.Scenario, float] = {}
    results = []
    for policy in size.process_policies:
        references = [make_reference(job, 1.0) for job in jobs]
        missing = [each for each in references if each not in best]
        runs = [*dict.fromkeys(missing), *triggers]
        found = overload_mesh.run_scenarios(
            scaled,
            policy,
            runs,
            size.process_timing,
            base_rate=base_rate,
            seed=seed,
        )
        figures = dict(zip(runs, found, strict=True))
        best |= {each: figures[each].goodput for each in missing}
        for job, reference in zip(jobs, references, strict=True):
            done = dataclasses.replace(job, policy=policy)
            results.append(
                Result(done, PROCESSES, figures[job.trigger], best[reference])
            )
    return results


def describe(result: Result) -> dict[str, typing.Any]:
    """Return one scenario of the JSON object."""
    job, figures = result.job, result.figures
    possible = min(result.best, figures.offered)
    goodput: float | None = None
    if possible and not job.trigger.leaf_fails:
        # With the deep service failed, nothing could be answered.
        goodput = figures.goodput / possible
    return {
        'name': job.trigger.name,
        'mesh': job.plan.name,
        'policy': job.policy.name,
        'driver': result.driver,
        'goodput_ratio': _round(goodput),
        'top_importance_ratio': _round(figures.answered_ratios[0]),
        'recovery_s': figures.recovery_s,
        'wasted_ratio': _round(figures.wasted_ratio),
        'amplification': _round(figures.amplification),
        'worst_account_ratio': _round(figures.worst_account_ratio),
        'wrongful_refusal_ratio': _round(figures.wrongful_refusal_ratio),
        'goodput': _round(figures.goodput),
        'best_goodput': _round(result.best),
        'offered_within_rate': _round(figures.offered),
        'answered_ratios': [_round(r) for r in figures.answered_ratios],
    }


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, 4)


@click.command('overload')
@click.option('--json', 'as_json', is_flag=True, help='Print one line.')
@click.option('--quick', is_flag=True, help='Fit into 50 seconds.')
@click.option('--seed', default=3, show_default=True, help='Random seed.')
@click.option(
    '--mesh',
    type=click.Choice([plan.name for plan in scenario.MESHES]),
    help='Only this mesh.',
)
@click.option(
    '--driver',
    type=click.Choice([IN_PROCESS, PROCESSES]),
    help='Only this driver.',
)
@click.option(
    '--report',
    'path',
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
    driver: str | None,
    path: pathlib.Path,
) -> None:
    """Run triggers of overload against the policy and two baselines."""
    run = report.start_run('overload', seed=seed)
    size = QUICK if quick else FULL
    plans = [each for each in scenario.MESHES if mesh in (None, each.name)]
    results: list[Result] = []
    if driver in (None, IN_PROCESS):
        results += run_in_process(plans, size, seed)
    for plan in plans:
        wanted = plan.name in size.process_meshes
        if wanted and driver in (None, PROCESSES):
            results += run_with_processes(plan, size, seed)
    rows = [describe(result) for result in results]
    for row in rows:
        report.report_progress(overload_report.format_row(row))
    scaling = _describe_scaling(size)
    overload_report.write_report(
        path,
        rows,
        [
            (
                f'{result.job.plan.name}, {result.driver}',
                result.job.trigger.name,
                result.job.policy.name,
                result.figures,
            )
            for result in results
        ],
        scaling,
    )
    report.print_result(
        run,
        {'scaling': scaling, 'report': str(path), 'scenarios': rows},
        as_json=as_json,
    )


def _describe_scaling(size: Size) -> str:
    return (
        f'In process, on simulated time: 4 upstreams a service, slots and '
        f'connections times {size.scale}, deep work 40 ms, trigger '
        f'{size.timing.trigger_s:g} s. With processes on one machine: '
        f'{overload_mesh.UPSTREAMS} upstreams a service, slots and '
        f'connections times {size.process_scale}, deep work '
        f'{overload_mesh.LEAF_WORK_S * 1000:g} ms, trigger '
        f'{size.process_timing.trigger_s:g} s. Base load '
        f'{scenario.BASE_LOAD:.0%} of what the deep service can serve.'
    )
