"""Commands on keys of client accounts."""

import click

from ..document import model
from ..operations import editing
from . import publishing
from . import terminal


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
@publishing.publishing_options
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
        terms = publishing.Terms(note, yes, wait, timeout_s)
        async with session.open_revisions() as store:
            head = publishing.require_head(await store.read_head())
            edited = editing.add_key(head.document, account, made)
            document = publishing.take_edit(session, edited)
            await publishing.publish(
                session, store, document, head, terms, secret
            )
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
@publishing.publishing_options
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
    terms = publishing.Terms(note, yes, wait, timeout_s)
    async with session.open_revisions() as store:
        head = publishing.require_head(await store.read_head())
        edited = editing.withdraw_key(head.document, account, label)
        document = publishing.take_edit(session, edited)
        await publishing.publish(session, store, document, head, terms)


COMMANDS = (key,)
