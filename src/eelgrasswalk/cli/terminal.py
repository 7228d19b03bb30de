"""What all operators' commands share: session, output and exit codes."""

import collections.abc
import contextlib
import dataclasses
import enum
import functools
import getpass
import json
import pathlib
import socket
import sys
import typing

import anyio
import click

from ..controllers import audit
from ..document import loading
from ..document import model
from ..document import problem
from ..operations import connections
from ..operations import revisions

MAX_FILE_BYTES = 8_388_608
REPLACEMENT = '\N{REPLACEMENT CHARACTER}'


class ExitCode(enum.IntEnum):
    """Exit codes of the operators' commands."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    PLATFORM_UNAVAILABLE = 5
    OUTCOME_UNKNOWN = 6
    NOT_IN_FORCE = 7
    NODE_UNREACHABLE = 8
    AUDIT_BROKEN = 9
    DIFFERENT = 10
    ROUTE_UNKNOWN = 11
    KEY_UNKNOWN = 12
    KEY_MISSING = 13
    NODE_TOO_OLD = 14
    NODE_NOT_READY = 15


class Output(enum.Enum):
    """Form of the output."""

    TEXT = 'text'
    JSON = 'json'


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Options and connections of one command.

    Args:
        connections: Opens what the command talks to.
        platform: Address of the platform; empty where not given.
        node: Administration address of a node; empty where not given.
        operator: Name of the operator.
        output: Form of the output.
    """

    connections: connections.Connections
    platform: str = ''
    node: str = ''
    operator: str = ''
    output: Output = Output.TEXT

    def open_revisions(
        self,
    ) -> contextlib.AbstractAsyncContextManager[revisions.Revisions]:
        """Open the accepted versions, or fail with the remedy."""
        if not self.platform:
            raise Failure(
                ExitCode.USAGE,
                'No platform is named. '
                'Give --platform URL or set EELGRASSWALK_PLATFORM.',
            )
        return self.connections.open_revisions(self.platform)

    def require_node(self) -> str:
        """Return the node's address, or fail with the remedy."""
        if not self.node:
            raise Failure(
                ExitCode.USAGE,
                'No node is named. Give --node IP:PORT of any node or set '
                'EELGRASSWALK_NODE.',
            )
        return self.node

    def make_author(self) -> audit.Author:
        """Return who makes a change, and from where."""
        operator = self.operator or getpass.getuser()
        return audit.Author(operator, socket.gethostname(), 'eelgrasswalk')

    def emit(
        self,
        data: collections.abc.Mapping[str, typing.Any],
        lines: collections.abc.Iterable[str],
    ) -> None:
        """Print a result as one JSON object or as lines."""
        if self.output is Output.JSON:
            click.echo(json.dumps(data, ensure_ascii=True, sort_keys=True))
            return
        for line in lines:
            click.echo(clean_text(line))

    def tell(self, line: str) -> None:
        """Print progress to standard error."""
        click.echo(clean_text(line), err=True)


class Failure(click.ClickException):
    """A command that ends with an exit code and a message."""

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code

    @property
    def exit_code(self) -> int:  # type: ignore[override]
        """The exit code as click wants it."""
        return int(self.code)

    def format_message(self) -> str:
        """Return the message without characters that steer a terminal."""
        return clean_text(self.message)


class Group(click.Group):
    """A group whose failures are JSON too where that was asked for."""

    def invoke(self, ctx: click.Context) -> typing.Any:
        """Run the command and print a failure's JSON object."""
        try:
            return super().invoke(ctx)
        except Failure as failure:
            session = ctx.obj
            if session.output is Output.JSON:
                outcome = failure.code.name.lower()
                data = {'outcome': outcome, 'message': failure.message}
                session.emit(data, ())
            raise


P = typing.ParamSpec('P')


def run_async(
    function: collections.abc.Callable[
        P, collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
) -> collections.abc.Callable[P, None]:
    """Make a synchronous command of an asynchronous function."""

    @functools.wraps(function)
    def run(*args: P.args, **kwargs: P.kwargs) -> None:
        anyio.run(functools.partial(function, *args, **kwargs))

    return run


def clean_text(text: str) -> str:
    """Return the text without characters that steer a terminal."""
    return ''.join(
        char if char.isprintable() or char in '\n\t' else REPLACEMENT
        for char in text
    )


def read_document(session: Session, path: str) -> model.Document:
    """Read a document file, or fail with every problem of it.

    Args:
        session: The command's session.
        path: Path of the file; `-` for standard input.
    """
    outcome = load_file(path)
    if isinstance(outcome, loading.Invalid):
        report_invalid(session, outcome)
    for warning in outcome.warnings:
        session.tell(f'warning: {format_problem(path, warning)}')
    return outcome.document


def load_file(path: str) -> loading.Outcome:
    """Load a document file; `-` is standard input."""
    return loading.load_document(_read_file(path), source=path)


def report_invalid(
    session: Session, outcome: loading.Invalid
) -> typing.NoReturn:
    """Print every problem and end the command."""
    lines = [
        format_problem(outcome.source, found) for found in outcome.problems
    ]
    data = {
        'outcome': 'invalid',
        'problems': export_problems(outcome.problems),
        'warnings': export_problems(outcome.warnings),
    }
    session.emit(data, lines)
    count = len(outcome.problems)
    session.tell(
        f'{outcome.source}: {count} problem{"s" if count > 1 else ""}; '
        'mend them and validate again.'
    )
    raise click.exceptions.Exit(int(ExitCode.INVALID))


def format_problem(source: str, found: problem.Problem) -> str:
    """Return a problem as one line that editors can follow."""
    return f'{source}:{found.line}: {found.path}: {found.message}'


def export_problems(
    problems: collections.abc.Iterable[problem.Problem],
) -> list[dict[str, typing.Any]]:
    """Return problems as plain data."""
    return [dataclasses.asdict(found) for found in problems]


async def read_head(session: Session) -> revisions.Revision | None:
    """Read the accepted version, or fail; None where there is none yet."""
    async with session.open_revisions() as store:
        return take_head(await store.read_head())


def take_head(outcome: revisions.ReadOutcome) -> revisions.Revision | None:
    """Return the accepted version that was read, or fail."""
    if isinstance(outcome, revisions.Unavailable):
        raise make_unavailable(outcome.detail)
    if isinstance(outcome, revisions.Damaged):
        raise make_damaged(outcome.detail)
    if isinstance(outcome, revisions.Missing):
        return None
    return outcome.revision


def make_unavailable(detail: str) -> Failure:
    """Return the failure for a platform that does not answer."""
    return Failure(
        ExitCode.PLATFORM_UNAVAILABLE,
        f'The platform did not answer ({detail}); nothing was changed. '
        'Nodes go on with the version in force. Try again later.',
    )


def make_damaged(detail: str) -> Failure:
    """Return the failure for a store whose content cannot be right."""
    return Failure(
        ExitCode.AUDIT_BROKEN,
        f'The store was damaged or altered: {detail}. Compare with a copy of '
        'the digests kept elsewhere, and find out who can write to the store.',
    )


def _read_file(path: str) -> bytes:
    if path == '-':
        return sys.stdin.buffer.read(MAX_FILE_BYTES)
    try:
        with pathlib.Path(path).open('rb') as stream:
            return stream.read(MAX_FILE_BYTES)
    except OSError as error:
        raise Failure(
            ExitCode.USAGE,
            f'{path} cannot be read: {error.strerror}. Name a document file; '
            "'eelgrasswalk init' makes one.",
        ) from error
