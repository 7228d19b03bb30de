"""Commands on accepted versions: apply, rollback, show, history and key."""

import dataclasses
import typing

import click

from ..controllers import audit
from ..document import difference
from ..document import loading
from ..document import model
from ..operations import editing
from ..operations import revisions
from . import progress
from . import terminal

DEFAULT_WAIT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """How a change is published.

    Args:
        note: The operator's reason.
        yes: Whether to publish without asking.
        wait: Whether to wait until it is in force.
        timeout_s: Seconds to wait.
    """

    note: str
    yes: bool
    wait: bool
    timeout_s: float


def publishing_options(function: click.decorators.FC) -> click.decorators.FC:
    """Add the options of commands that publish a version."""
    for option in (
        click.option(
            '--timeout',
            'timeout_s',
            default=DEFAULT_WAIT_S,
            show_default=True,
            type=click.FloatRange(min=0),
            help='Seconds to wait.',
        ),
        click.option(
            '--wait', is_flag=True, help='Wait until in force everywhere.'
        ),
        click.option('--yes', '-y', is_flag=True, help='Do not ask.'),
        click.option('--note', default='', help='Reason, kept in the audit.'),
    ):
        function = option(function)
    return function


@click.command('apply')
@click.argument('path')
@click.option(
    '--expect',
    type=click.IntRange(min=0),
    help='Version that the file was made from; any other is a conflict.',
)
@publishing_options
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
    terms = Terms(note, yes, wait, timeout_s)
    async with session.open_revisions() as store:
        head = terminal.take_head(await store.read_head())
        version = head.version if head else 0
        if expect is not None and expect != version:
            raise make_conflict(head)
        await publish(session, store, document, head, terms)


@click.command('rollback')
@click.argument('version', type=click.IntRange(min=1))
@publishing_options
@click.pass_obj
@terminal.run_async
async def rollback(
    session: terminal.Session,
    version: int,
    note: str,
    yes: bool,
    wait: bool,
    timeout_s: float,
) -> None:
    """Publish the content of an old VERSION as a new version."""
    terms = Terms(note or f'rollback to {version}', yes, wait, timeout_s)
    async with session.open_revisions() as store:
        head = terminal.take_head(await store.read_head())
        old = await read_version(store, version)
        await publish(session, store, old.document, head, terms)


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
            revision = require_head(await store.read_head())
        else:
            revision = await read_version(store, int(version))
    text = loading.dump_document(revision.document).decode()
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
        outcome = await store.list_entries()
        if isinstance(outcome, revisions.Unavailable):
            raise terminal.make_unavailable(outcome.detail)
        head = terminal.take_head(await store.read_head())
        if verify:
            await verify_entries(session, store, outcome.entries, head)
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
) -> None:
    """Check the chain, its end and every document; print the verdict."""
    checked = audit.verify_chain(entries)
    last = entries[-1] if entries else None
    if isinstance(checked, audit.Verified) and head is not None:
        # A later version may have been accepted since the entries were read.
        missing = last is None or last.version < head.version
        if missing:
            checked = audit.Broken(head.version, 'its entry is missing')
    for entry in entries if isinstance(checked, audit.Verified) else ():
        outcome = await store.read_version(entry.version)
        if isinstance(outcome, revisions.Unavailable):
            raise terminal.make_unavailable(outcome.detail)
        if isinstance(outcome, revisions.Missing):
            checked = audit.Broken(entry.version, 'its document is missing')
            break
    if isinstance(checked, audit.Broken):
        raise terminal.Failure(
            terminal.ExitCode.AUDIT_BROKEN,
            f'The audit trail is broken at version {checked.version}: '
            f'{checked.detail}. Compare with a copy of the digests kept '
            'elsewhere, and find out who can write to the store.',
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


@click.group('key')
def key() -> None:
    """Create and withdraw keys of client accounts."""


@key.command('create')
@click.argument('account')
@click.option('--label', required=True, help="The operators' name for it.")
@click.option(
    '--print-only',
    is_flag=True,
    help='Publish nothing; print the key and the lines for the document.',
)
@publishing_options
@click.pass_obj
@terminal.run_async
async def create_key(
    session: terminal.Session,
    account: str,
    label: str,
    print_only: bool,
    note: str,
    yes: bool,
    wait: bool,
    timeout_s: float,
) -> None:
    """Make a key for ACCOUNT, publish its digest and print it once."""
    secret = editing.generate_key()
    made = model.Key(label, editing.digest_key(secret))
    if not print_only:
        terms = Terms(note, yes, wait, timeout_s)
        async with session.open_revisions() as store:
            head = require_head(await store.read_head())
            edited = editing.add_key(head.document, account, made)
            document = take_edit(session, edited)
            await publish(session, store, document, head, terms, secret)
        return
    data = {'key': secret, 'label': label, 'digest': made.digest}
    lines = [
        f'Key, shown only now: {secret}',
        f'Under account {account} in the document:',
        f'      - label: {label}',
        f'        digest: {made.digest}',
    ]
    session.emit(data, lines)


@key.command('withdraw')
@click.argument('account')
@click.argument('label')
@publishing_options
@click.pass_obj
@terminal.run_async
async def withdraw_key(
    session: terminal.Session,
    account: str,
    label: str,
    note: str,
    yes: bool,
    wait: bool,
    timeout_s: float,
) -> None:
    """Withdraw the key LABEL of ACCOUNT."""
    terms = Terms(note, yes, wait, timeout_s)
    async with session.open_revisions() as store:
        head = require_head(await store.read_head())
        edited = editing.withdraw_key(head.document, account, label)
        document = take_edit(session, edited)
        await publish(session, store, document, head, terms)


async def publish(
    session: terminal.Session,
    store: revisions.Revisions,
    document: model.Document,
    head: revisions.Revision | None,
    terms: Terms,
    secret: str = '',
) -> None:
    """Show the changes, ask, publish, and wait where that is asked for.

    Args:
        session: The command's session.
        store: The accepted versions.
        document: The new document.
        head: The accepted version that it was made from.
        terms: How to publish it.
        secret: A new key to print once it is accepted.
    """
    if terms.wait:
        session.require_node()
    old = head.document if head else None
    lines = difference.describe_changes(
        difference.compare_documents(old, document)
    )
    if not lines and head is not None:
        same = {'outcome': 'same', 'version': head.version, 'changes': []}
        session.emit(same, [f'Version {head.version} says the same already.'])
        return
    for line in lines:
        session.tell(line)
    if not terms.yes:
        click.confirm('Publish these changes?', abort=True, err=True)
    outcome = await store.publish(
        document, base=head, author=session.make_author(), note=terms.note
    )
    entry = take_published(outcome, head)
    data: dict[str, typing.Any] = {
        'outcome': 'accepted',
        'version': entry.version,
        'changes': list(lines),
    }
    text = [f'Version {entry.version} is accepted.']
    if secret:
        data['key'] = secret
        text.append(f'Key, shown only now: {secret}')
    failure = None
    try:
        if terms.wait:
            reached = await progress.wait_for_version(
                session, entry.version, terms.timeout_s
            )
            data['in_force'] = progress.export_progress(reached)
            text.append(progress.summarize_progress(reached))
    except terminal.Failure as error:
        failure = error
        data['outcome'] = error.code.name.lower()
        data['message'] = error.message
    finally:
        # A new key is printed whatever becomes of the wait.
        session.emit(data, text)
    if failure is not None:
        session.tell(f'Error: {failure.message}')
        raise click.exceptions.Exit(int(failure.code))


def take_published(
    outcome: revisions.PublishOutcome, head: revisions.Revision | None
) -> audit.Entry:
    """Return the entry of an accepted version, or fail."""
    match outcome:
        case revisions.Published():
            return outcome.entry
        case revisions.Conflict():
            raise make_conflict(outcome.head, head)
        case revisions.Unavailable():
            raise terminal.make_unavailable(outcome.detail)
        case revisions.Unknown():
            raise terminal.Failure(
                terminal.ExitCode.OUTCOME_UNKNOWN,
                f'The change may have been accepted ({outcome.detail}). '
                "Look with 'eelgrasswalk history' before you try again.",
            )


def make_conflict(
    head: revisions.Revision | None, base: revisions.Revision | None = None
) -> terminal.Failure:
    """Return the failure for a change that came second.

    Args:
        head: The version accepted now, as far as known.
        base: The version that the change was made from.
    """
    if head is None:
        text = 'Another version was accepted meanwhile.'
    else:
        author = head.entry.author
        changes = '; '.join(head.entry.changes) or 'no change in meaning'
        text = (
            f'Version {head.version} was accepted meanwhile, by '
            f'{author.operator} from {author.origin}: {changes}.'
        )
    return terminal.Failure(
        terminal.ExitCode.CONFLICT,
        f"{text} Nothing was changed. Look at it with 'eelgrasswalk diff', "
        'take it into your document and apply again.',
    )


def take_edit(
    session: terminal.Session, outcome: editing.EditOutcome
) -> model.Document:
    """Return an edited document that is valid, or fail."""
    if isinstance(outcome, editing.Refused):
        message = outcome.message[0].upper() + outcome.message[1:]
        raise terminal.Failure(terminal.ExitCode.USAGE, message)
    text = loading.dump_document(outcome.document)
    checked = loading.load_document(text, source='the edited document')
    if isinstance(checked, loading.Invalid):
        terminal.report_invalid(session, checked)
    return checked.document


def require_head(outcome: revisions.ReadOutcome) -> revisions.Revision:
    """Return the accepted version, or fail where there is none."""
    head = terminal.take_head(outcome)
    if head is None:
        raise terminal.Failure(
            terminal.ExitCode.USAGE,
            'No version was accepted yet. '
            "Publish the first with 'eelgrasswalk apply FILE'.",
        )
    return head


async def read_version(
    store: revisions.Revisions, version: int
) -> revisions.Revision:
    """Read an accepted version, or fail."""
    outcome = await store.read_version(version)
    if isinstance(outcome, revisions.Unavailable):
        raise terminal.make_unavailable(outcome.detail)
    if isinstance(outcome, revisions.Missing):
        raise terminal.Failure(
            terminal.ExitCode.USAGE,
            f'There is no version {version}. '
            "See 'eelgrasswalk history' for those that there are.",
        )
    return outcome.revision


def format_entry(entry: audit.Entry) -> list[str]:
    """Return an audit entry as lines."""
    author = entry.author
    note = f' ({entry.note})' if entry.note else ''
    head = (
        f'version {entry.version}  {entry.time}  {author.operator} '
        f'from {author.origin} by {author.tool}{note}'
    )
    return [head, *(f'    {change}' for change in entry.changes)]


COMMANDS = (apply, rollback, show, history, key)
