"""Commands on requests that crash their targets."""

import collections.abc
import contextlib
import datetime as dt
import typing

import click

from ..operations import quarantine
from . import stores
from . import terminal


@click.group('quarantine')
def quarantine_group() -> None:
    """List and lift quarantines of requests that crash their targets.

    --platform is the address of the platform's store, IP:PORT.
    """


@quarantine_group.command('list')
@click.pass_obj
@terminal.run_async
async def list_quarantined(session: terminal.Session) -> None:
    """List the requests that are refused, by service."""
    async with stores.open_store(session) as store:
        with _report_errors():
            found = await quarantine.list_quarantined(store)
    session.emit(
        {'quarantined': [_export(each) for each in found]},
        [_format(each) for each in found] or ['No request is quarantined.'],
    )


@quarantine_group.command('lift')
@click.argument('digest')
@click.pass_obj
@terminal.run_async
async def lift_quarantine(session: terminal.Session, digest: str) -> None:
    """Let the request with DIGEST, or the first digits of it, run again."""
    async with stores.open_store(session) as store:
        with _report_errors():
            lifted = await quarantine.lift_quarantine(store, digest)
    session.emit({'lifted': _export(lifted)}, [f'Lifted: {_format(lifted)}'])


@contextlib.contextmanager
def _report_errors() -> collections.abc.Iterator[None]:
    try:
        yield
    except quarantine.UnknownDigestError as error:
        raise terminal.Failure(
            terminal.ExitCode.USAGE,
            f'{error}. `eelgrasswalk quarantine list` shows them.',
        ) from error
    except quarantine.StoreError as error:
        code = terminal.ExitCode.PLATFORM_UNAVAILABLE
        if error.is_in_doubt:
            code = terminal.ExitCode.OUTCOME_UNKNOWN
        raise terminal.Failure(
            code, f'The store did not answer: {error}. Try again.'
        ) from error


def _export(found: quarantine.Quarantined) -> dict[str, typing.Any]:
    record = found.record
    return {
        'service': found.service,
        'digest': record.digest.hex(),
        'method': record.subject.method,
        'path': record.subject.target,
        'account': record.subject.account,
        'crashes': record.crashes,
        'tries': record.tries,
        'since': _format_time(record.since_ms),
    }


def _format(found: quarantine.Quarantined) -> str:
    record = found.record
    return (
        f'{record.digest.hex()}  {found.service}  {record.subject.method} '
        f'{record.subject.target}  account {record.subject.account or "-"}, '
        f'{record.crashes} crashes, {record.tries} tries, '
        f'since {_format_time(record.since_ms)}'
    )


def _format_time(since_ms: int) -> str:
    # A time that another writer left may lie beyond what dates can hold.
    with contextlib.suppress(OverflowError, ValueError, OSError):
        moment = dt.datetime.fromtimestamp(since_ms / 1000.0, dt.UTC)
        return moment.isoformat(timespec='seconds')
    return str(since_ms)


COMMANDS = (quarantine_group,)
