"""Commands on document files: init, validate, diff and schema."""

import json
import pathlib

import click

from ..document import difference
from ..document import loading
from ..document import model
from ..document import structure
from . import terminal

STARTER = """\
# A document of eelgrasswalk. Check it with `eelgrasswalk validate FILE`.
schema: 1
mesh: {mesh}

accounts:
  - name: first-account
    rate: 10        # requests a second, over all hosts together
    burst: 20       # requests that may come at once
    keys: []        # `eelgrasswalk key create` makes one

services:
  - name: catalogue
    slots: 10       # requests that one upstream runs at a time
    connections: 100

routes:
  - name: browse
    service: catalogue
    path_prefix: /
    methods: [GET]
    importance: normal
    idempotent: true
    deadline_s: 5
"""


@click.command('init')
@click.argument('path', default='mesh.yaml')
@click.option('--mesh', default='my-mesh', help='Name of the mesh.')
@click.pass_obj
def init(session: terminal.Session, path: str, mesh: str) -> None:
    """Write a small document to start from."""
    try:
        with pathlib.Path(path).open('x', encoding='utf-8') as stream:
            stream.write(STARTER.format(mesh=mesh))
    except FileExistsError as error:
        raise terminal.Failure(
            terminal.ExitCode.USAGE,
            f'{path} exists and is left alone; name another file.',
        ) from error
    except OSError as error:
        raise terminal.Failure(
            terminal.ExitCode.USAGE,
            f'{path} cannot be written: {error.strerror}.',
        ) from error
    session.emit(
        {'outcome': 'written', 'path': path},
        [f"Wrote {path}. Edit it, then run 'eelgrasswalk validate {path}'."],
    )


@click.command('validate')
@click.argument('path')
@click.option('--strict', is_flag=True, help='Fail on warnings too.')
@click.pass_obj
def validate(session: terminal.Session, path: str, strict: bool) -> None:
    """Check a document file and show every problem."""
    outcome = terminal.load_file(path)
    if not isinstance(outcome, loading.Loaded):
        terminal.report_invalid(session, outcome)
    document = outcome.document
    lines = [
        f'warning: {terminal.format_problem(path, warning)}'
        for warning in outcome.warnings
    ]
    lines.append(
        f'{path} is valid: {len(document.accounts)} accounts, '
        f'{len(document.services)} services, {len(document.routes)} routes.'
    )
    data = {
        'outcome': 'valid',
        'warnings': terminal.export_problems(outcome.warnings),
    }
    session.emit(data, lines)
    if strict and outcome.warnings:
        raise click.exceptions.Exit(int(terminal.ExitCode.INVALID))


@click.command('diff')
@click.argument('path')
@click.argument('other', required=False)
@click.option(
    '--exit-code', is_flag=True, help='Exit with 10 when they differ.'
)
@click.pass_obj
@terminal.run_async
async def diff(
    session: terminal.Session, path: str, other: str | None, exit_code: bool
) -> None:
    """Show what a document would change.

    PATH is compared with the accepted version, or PATH with OTHER.
    """
    document = terminal.read_document(session, path)
    version = None
    if other is not None:
        old: model.Document | None = document
        new = terminal.read_document(session, other)
    else:
        head = await terminal.read_head(session)
        old, new = head.document if head else None, document
        version = head.version if head else 0
    changes = difference.compare_documents(old, new)
    lines = difference.describe_changes(changes)
    data = {
        'outcome': 'different' if lines else 'same',
        'base_version': version,
        'changes': list(lines),
    }
    session.emit(data, lines or ['No change in meaning.'])
    if exit_code and lines:
        raise click.exceptions.Exit(int(terminal.ExitCode.DIFFERENT))


@click.command('schema')
def schema() -> None:
    """Print the JSON Schema of documents, for editors."""
    click.echo(json.dumps(structure.load_schema(), indent=2))


COMMANDS = (init, validate, diff, schema)
