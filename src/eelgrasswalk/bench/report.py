"""What every experiment prints: one JSON object, with its conditions."""

import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import time
import typing

import click

_ROOT = pathlib.Path(__file__).resolve().parents[3]


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of an experiment.

    Args:
        bench: Name of the experiment.
        seed: Seed of its random numbers.
        commit: Commit that was measured; empty outside a checkout.
        load_average: Load average of the machine before the start.
        started_at: Monotonic time in seconds.
    """

    bench: str
    seed: int
    commit: str
    load_average: float
    started_at: float


def start_run(bench: str, *, seed: int) -> Run:
    """Note the conditions before an experiment."""
    return Run(
        bench=bench,
        seed=seed,
        commit=_read_commit(),
        load_average=round(os.getloadavg()[0], 2),
        started_at=time.monotonic(),
    )


def print_result(
    run: Run, fields: typing.Mapping[str, typing.Any], *, as_json: bool
) -> None:
    """Print the result, with --json as one line at the end."""
    result = {
        'bench': run.bench,
        'seed': run.seed,
        'commit': run.commit,
        'seconds': round(time.monotonic() - run.started_at, 1),
        'machine': {
            'cores': os.cpu_count(),
            'load_average': run.load_average,
        },
        **fields,
    }
    click.echo(json.dumps(result, indent=None if as_json else 2))


def report_progress(text: str) -> None:
    """Print a line of progress to standard error."""
    print(text, file=sys.stderr, flush=True)


def _read_commit() -> str:
    try:
        done = subprocess.run(
            ['git', 'rev-parse', '--short', 'HEAD'],
            cwd=_ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
    except (OSError, subprocess.CalledProcessError):
        return ''
    return done.stdout.strip()
