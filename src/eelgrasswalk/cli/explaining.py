"""The command that explains a request from the nodes' logs."""

import collections.abc
import contextlib
import datetime as dt
import pathlib
import sys
import typing

import click

from ..operations import explanation
from ..operations import log_lines
from . import terminal

_HIDDEN = frozenset(('level', 'message', 'request', 'outcome', 'reason'))


@click.command('explain')
@click.argument('request_id', default='')
@click.argument('files', nargs=-1)
@click.option(
    '--summary',
    is_flag=True,
    help='Count how calls ended instead; REQUEST_ID is one more file then.',
)
@click.option('--since', default='', help='Time from which lines count.')
@click.option('--until', default='', help='Time before which lines count.')
@click.pass_obj
def explain(
    session: terminal.Session,
    request_id: str,
    files: tuple[str, ...],
    summary: bool,
    since: str,
    until: str,
) -> None:
    """Tell what became of REQUEST_ID, from the logs of nodes in FILES.

    FILES are what nodes wrote to standard output; without any, standard
    input is read. Times are like 2026-05-15T16:20:01.5+00:00.
    """
    if summary and request_id:
        files = (request_id, *files)
    if not summary and not request_id:
        raise terminal.Failure(
            terminal.ExitCode.USAGE,
            'No request is named. Give its id, or --summary.',
        )
    first = _read_time('--since', since, float('-inf'))
    last = _read_time('--until', until, float('inf'))
    skipped = log_lines.Skipped()
    lines = [
        line
        for line in _read_files(files, skipped)
        if line.lies_within(first, last)
    ]
    if skipped.lines:
        session.tell(f'{skipped.lines} lines are no log lines; passed over.')
    if summary:
        _print_summary(session, lines)
    else:
        _print_story(session, lines, request_id)


def _read_time(option: str, text: str, missing: float) -> float:
    if not text:
        return missing
    try:
        return dt.datetime.fromisoformat(text).timestamp()
    except ValueError as error:
        raise terminal.Failure(
            terminal.ExitCode.USAGE,
            f'{option} {text} is no time. Write it like '
            '2026-05-15T16:20:01+00:00.',
        ) from error


def _read_files(
    files: collections.abc.Sequence[str], skipped: log_lines.Skipped
) -> collections.abc.Iterator[log_lines.LogLine]:
    for path in files or ('-',):
        with _open(path) as stream:
            yield from log_lines.read_lines(stream, skipped)


def _open(path: str) -> contextlib.AbstractContextManager[typing.TextIO]:
    if path == '-':
        return contextlib.nullcontext(sys.stdin)
    try:
        return pathlib.Path(path).open(encoding='utf-8', errors='replace')
    except OSError as error:
        raise terminal.Failure(
            terminal.ExitCode.USAGE,
            f'{path} cannot be read: {error.strerror}. Name files with the '
            'standard output of nodes.',
        ) from error


# Summary


def _print_summary(
    session: terminal.Session,
    lines: collections.abc.Sequence[log_lines.LogLine],
) -> None:
    ranked = explanation.count_causes(lines).most_common()
    data = {
        'calls': [
            {
                'service': service,
                'account': account,
                'outcome': outcome,
                'reason': reason,
                'lines': count,
            }
            for (service, account, outcome, reason), count in ranked
        ]
    }
    rows = [
        f'{count:>8}  {outcome:<13} {reason:<18} {service:<16} {account}'
        for (service, account, outcome, reason), count in ranked
    ]
    head = f'{"lines":>8}  {"outcome":<13} {"reason":<18} {"service":<16} '
    session.emit(data, [head + 'account', *rows])


# Story


def _print_story(
    session: terminal.Session,
    lines: collections.abc.Sequence[log_lines.LogLine],
    request_id: str,
) -> None:
    story = explanation.tell_story(lines, request_id)
    if story is None:
        raise terminal.Failure(
            terminal.ExitCode.FAILED,
            f'No line tells of {request_id}. Nodes leave out lines when they '
            'have many; add the logs of all nodes, and look at the metrics.',
        )
    decisive = story.decisive
    data = {
        'request': story.request_id,
        'cause': story.cause,
        'decided_at': None if decisive is None else decisive.node_id,
        'clock_offsets_s': story.offsets,
        'omitted': story.omitted,
        'steps': [
            {
                'at': step.at,
                'node': step.line.node_id,
                'event': step.line.event,
                **step.line.fields,
            }
            for step in story.steps
        ],
    }
    session.emit(data, _format_story(story))


def _format_story(
    story: explanation.Story,
) -> collections.abc.Iterator[str]:
    yield f'request {story.request_id}'
    yield f'cause: {story.cause}'
    if story.decisive is not None:
        yield f'decided at: {story.decisive.node_id}'
    start = min(step.at for step in story.steps if not step.is_belief)
    for step in story.steps:
        yield _format_step(step, start)
    for node_id, offset in sorted(story.offsets.items()):
        if abs(offset) >= 0.1:
            yield f'clock of {node_id} is {offset:+.1f} s off; corrected'
    if story.omitted:
        yield f'{story.omitted} lines were left out about then'


def _format_step(step: explanation.Step, start: float) -> str:
    fields = step.line.fields
    rest = ' '.join(
        f'{name}={_format_value(value)}'
        for name, value in fields.items()
        if name not in _HIDDEN and value not in (None, '')
    )
    when = f'{(step.at - start) * 1000.0:+10.0f} ms  {step.line.node_id:<22}'
    if step.is_belief:
        message = fields.get('message', '')
        return f'{when} {step.line.event} {message} {rest}'.rstrip()
    indent = '  ' * step.depth
    outcome = f'{fields.get("outcome")} {fields.get("reason")}'
    return f'{when} {indent}{step.line.event} {outcome} {rest}'


def _format_value(value: typing.Any) -> str:
    if not isinstance(value, list):
        return str(value)
    return '[' + ', '.join(_format_attempt(item) for item in value) + ']'


def _format_attempt(attempt: dict[str, typing.Any]) -> str:
    return ' '.join(str(value) for value in attempt.values())


COMMANDS = (explain,)
