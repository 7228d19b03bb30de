"""Replay of recorded traces against their stated outcomes."""

import dataclasses
import pathlib
import typing

import click

from . import admission_replay
from . import replayers
from . import report
from . import share_replay
from . import traces


class Replayer(typing.Protocol):
    """Drives one part of the policy."""

    def replay(self, trace: traces.Trace) -> traces.Measures:
        """Replay a trace and return its measures."""


REPLAYERS: dict[str, typing.Callable[[], Replayer]] = {
    'admission': admission_replay.AdmissionReplayer,
    'levels': replayers.LevelReplayer,
    'retries': replayers.RetryReplayer,
    'balance': replayers.BalanceReplayer,
    'share': share_replay.ShareReplayer,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What came of a directory of traces.

    Args:
        replayed: Traces replayed.
        outcomes: Stated outcomes checked.
        failures: Stated outcomes that did not come.
    """

    replayed: int
    outcomes: int
    failures: tuple[traces.Failure, ...]


def replay_trace(path: pathlib.Path) -> list[traces.Failure]:
    """Replay one trace and return the outcomes that did not come."""
    trace = traces.load_trace(path)
    measures = REPLAYERS[trace.subject]().replay(trace)
    return traces.check_outcomes(path.stem, trace, measures)


def replay_directory(directory: pathlib.Path) -> Report:
    """Replay all traces in a directory."""
    paths = sorted(directory.glob('*.yaml'))
    failures: list[traces.Failure] = []
    outcomes = 0
    for path in paths:
        outcomes += len(traces.load_trace(path).outcomes)
        failures.extend(replay_trace(path))
    return Report(len(paths), outcomes, tuple(failures))


@click.command('replay')
@click.option(
    '--traces',
    'directory',
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
    default='traces',
    show_default=True,
    help='Directory of the traces.',
)
@click.option('--quick', is_flag=True, help='Accepted; changes nothing.')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def command(directory: pathlib.Path, quick: bool, as_json: bool) -> None:
    """Replay recorded traces against their stated outcomes."""
    run = report.start_run('replay', seed=1)
    found = replay_directory(directory)
    for failure in found.failures:
        stated = failure.outcome
        click.echo(
            f'{failure.trace}: {stated.measure} is {failure.found}, '
            f'stated {_describe(stated)}',
            err=True,
        )
    failed = len(found.failures)
    click.echo(
        f'{found.replayed} traces, {found.outcomes} outcomes, {failed} failed',
        err=True,
    )
    fields = {
        'traces': found.replayed,
        'outcomes': found.outcomes,
        'failed': failed,
        'failures': [dataclasses.asdict(each) for each in found.failures],
    }
    report.print_result(run, fields, as_json=as_json)
    if failed or not found.replayed:
        raise SystemExit(1)


def _describe(outcome: traces.Outcome) -> str:
    if outcome.equals is not None:
        return str(outcome.equals)
    return f'{outcome.least} to {outcome.most}'
