"""Commands on accepted versions: apply, rollback, show and history."""

import click

from ..controllers import audit
from ..document import loading
from ..document import model
from ..document import problem
from ..operations import revisions
from . import publishing
from . import terminal


@click.command('apply')
@click.argument('path')
@click.option(
    '--expect',
    type=click.IntRange(min=0),
    help='Version that the file was made from; any other is a conflict.',
)
@publishing.publishing_options
@click.pass_obj
@terminal.run_async
async def apply(
    session: terminal.Session,
    path: str,
    expect: int | None,
    note: str,
    yes: bool,
    wait: bool,
    timeout_s: float,
) -> None:
    """Publish a document file as the next version."""
    document = terminal.read_document(session, path)
    terms = publishing.Terms(note, yes, wait, timeout_s)
    async with session.open_revisions() as store:
        head = terminal.take_head(await store.read_head())
        version = head.version if head else 0
        if expect is not None and expect != version:
            raise publishing.make_conflict(head)
        await publishing.publish(session, store, document, head, terms)


@click.command('rollback')
@click.argument('version', type=click.IntRange(min=1))
@click.option(
    '--restore-keys',
    is_flag=True,
    help='Bring back keys that were withdrawn since.',
)
@publishing.publishing_options
@click.pass_obj
@terminal.run_async
async def rollback(
    session: terminal.Session,
    version: int,
    restore_keys: bool,
    note: str,
    yes: bool,
    wait: bool,
    timeout_s: float,
) -> None:
    """Publish the content of an old VERSION as a new version."""
    terms = publishing.Terms(
        note or f'rollback to {version}', yes, wait, timeout_s
    )
    async with session.open_revisions() as store:
        head = terminal.take_head(await store.read_head())
        old = await publishing.read_version(store, version)
        if head is not None and not restore_keys:
            check_revived_keys(head.document, old.document)
        await publishing.publish(session, store, old.document, head, terms)


def check_revived_keys(head: model.Document, old: model.Document) -> None:
    """Fail if a rollback would bring back keys that were withdrawn."""
    current = {key.digest for account in head.accounts for key in account.keys}
    revived = [
        f'{account.name}/{key.label}'
        for account in old.accounts
        for key in account.keys
        if key.digest not in current
    ]
    if revived:
        raise terminal.Failure(
            terminal.ExitCode.USAGE,
            'This would bring back keys that were withdrawn since: '
            f'{problem.list_names(revived)}. Give --restore-keys if that is '
            "meant; or take 'eelgrasswalk show VERSION', drop them, and "
            'apply.',
        )


@click.command('show')
@click.argument('version', default='head')
@click.pass_obj
@terminal.run_async
async def show(session: terminal.Session, version: str) -> None:
    """Print the document of a VERSION, or of the accepted one."""
    if version != 'head' and not version.isdecimal():
        raise terminal.Failure(
            terminal.ExitCode.USAGE,
            f"'{version}' is no version; give a number or 'head'.",
        )
    async with session.open_revisions() as store:
        if version == 'head':
            revision = publishing.require_head(await store.read_head())
        else:
            revision = await publishing.read_version(store, int(version))
    text = loading.format_document(revision.document)
    data = {
        'version': revision.version,
        'document': loading.export_document(revision.document),
        'entry': audit.export_entry(revision.entry),
    }
    session.emit(data, [text.rstrip('\n')])


@click.command('history')
@click.option('--limit', default=20, show_default=True, type=int)
@click.option('--verify', is_flag=True, help='Check the chain of digests.')
@click.pass_obj
@terminal.run_async
async def history(session: terminal.Session, limit: int, verify: bool) -> None:
    """Show who changed what, the latest first."""
    async with session.open_revisions() as store:
        # The head comes first: an entry that it has must then be listed.
        head = terminal.take_head(await store.read_head())
        outcome = await store.list_entries()
        if isinstance(outcome, revisions.Unavailable):
            raise terminal.make_unavailable(outcome.detail)
        if isinstance(outcome, revisions.Damaged):
            raise terminal.make_damaged(outcome.detail)
        if verify:
            latest = outcome.entries[-max(limit, 1) :]
            await verify_entries(session, store, outcome.entries, head, latest)
            return
    shown = list(reversed(outcome.entries))[: max(limit, 0)]
    lines = [line for entry in shown for line in format_entry(entry)]
    data = {'entries': [audit.export_entry(entry) for entry in shown]}
    session.emit(data, lines or ['No version was accepted yet.'])


async def verify_entries(
    session: terminal.Session,
    store: revisions.Revisions,
    entries: tuple[audit.Entry, ...],
    head: revisions.Revision | None,
    latest: tuple[audit.Entry, ...],
) -> None:
    """Check the chain, its end and the latest documents."""
    checked = audit.verify_chain(entries)
    last = entries[-1] if entries else None
    listed = last.version if last else 0
    if head is not None and listed < head.version:
        checked = audit.Broken(listed + 1, 'its entry is missing')
    for entry in latest if isinstance(checked, audit.Verified) else ():
        outcome = await store.read_version(entry.version)
        if isinstance(outcome, revisions.Unavailable):
            raise terminal.make_unavailable(outcome.detail)
        if isinstance(outcome, revisions.Damaged):
            checked = audit.Broken(entry.version, outcome.detail)
            break
    if isinstance(checked, audit.Broken):
        raise terminal.make_damaged(
            f'at version {checked.version}, {checked.detail}'
        )
    data = {
        'outcome': 'verified',
        'entries': checked.entries,
        'digest': checked.digest,
    }
    lines = [
        f'{checked.entries} entries verified; last digest {checked.digest}.'
    ]
    session.emit(data, lines)


def format_entry(entry: audit.Entry) -> list[str]:
    """Return an audit entry as lines."""
    author = entry.author
    note = f' ({entry.note})' if entry.note else ''
    head = (
        f'version {entry.version}  {entry.time}  {author.operator} '
        f'from {author.origin} by {author.tool}{note}'
    )
    return [head, *(f'    {change}' for change in entry.changes)]


COMMANDS = (apply, rollback, show, history)
