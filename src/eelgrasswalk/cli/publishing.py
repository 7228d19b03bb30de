"""The steps of every command that publishes a version."""

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
        case revisions.Damaged():
            raise terminal.make_damaged(outcome.detail)
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
    if isinstance(outcome, revisions.Damaged):
        raise terminal.make_damaged(outcome.detail)
    if isinstance(outcome, revisions.Missing):
        raise terminal.Failure(
            terminal.ExitCode.USAGE,
            f'There is no version {version}. '
            "See 'eelgrasswalk history' for those that there are.",
        )
    return outcome.revision
