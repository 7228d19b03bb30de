"""The steps that every change takes: review, apply, conflict."""

import collections.abc
import dataclasses
import hashlib
import typing

import starlette.requests
import starlette.responses

from ..controllers import audit
from ..document import difference
from ..document import loading
from ..document import model
from ..operations import editing
from ..operations import revisions
from . import forms
from . import pages

Edit: typing.TypeAlias = collections.abc.Callable[
    [model.Document], editing.EditOutcome
]
Form: typing.TypeAlias = forms.ChangeForm


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change that an operator has on screen.

    Args:
        template: Template of the form's page.
        title: Title of the page.
        form: The form.
        edit: Makes the edit on the accepted document.
        done: Where to go when it is accepted.
        extra: More values for the template.
        secret: A new key to show once it is accepted.
    """

    template: str
    title: str
    form: Form
    edit: Edit
    done: str
    extra: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    secret: str = ''


class Prepare(typing.Protocol):
    """Builds the change that a page is for."""

    def __call__(
        self,
        request: starlette.requests.Request,
        head: revisions.Revision,
        submitted: forms.Submission | None,
    ) -> Change:
        """Return the change with what was submitted, or present values."""


def serve_change(prepare: Prepare) -> pages.Handler:
    """Return the handler of a change's page, for signed-in operators.

    Args:
        prepare: Builds the change on the accepted version.
    """

    @pages.require_operator
    async def handle(
        request: starlette.requests.Request,
    ) -> starlette.responses.Response:
        submitted = await pages.read_submission(request)
        async with request.app.state.open_revisions() as store:
            head = await pages.read_head(store)
            change = prepare(request, head, submitted)
            if submitted is None:
                return show_change(request, change, head)
            return await submit_change(request, change, head, store)

    return handle


def show_change(
    request: starlette.requests.Request,
    change: Change,
    head: revisions.Revision,
) -> starlette.responses.Response:
    """Show the form for the accepted version."""
    change.form.base_version.data = str(head.version)
    return render_change(request, change)


async def submit_change(
    request: starlette.requests.Request,
    change: Change,
    head: revisions.Revision,
    store: revisions.Revisions,
) -> starlette.responses.Response:
    """Take one step with a submitted form.

    The first submission shows what would change. A second one with the
    same outcome publishes it.
    """
    form = change.form
    if not form.validate():
        return render_change(request, change, status=422)
    if form.base_version.data != str(head.version):
        return show_conflict(request, change, head)
    edited = change.edit(head.document)
    if isinstance(edited, editing.Refused):
        return render_change(
            request, change, status=422, problems=[edited.message]
        )
    text = loading.dump_document(edited.document)
    checked = loading.load_document(text, source='form')
    if isinstance(checked, loading.Invalid):
        problems = [f'{p.path}: {p.message}' for p in checked.problems]
        return render_change(request, change, status=422, problems=problems)
    return await review_or_publish(request, change, head, store, checked)


async def review_or_publish(
    request: starlette.requests.Request,
    change: Change,
    head: revisions.Revision,
    store: revisions.Revisions,
    checked: loading.Loaded,
) -> starlette.responses.Response:
    """Show the changes, or publish them when they were shown before."""
    lines = difference.describe_changes(
        difference.compare_documents(head.document, checked.document)
    )
    if not lines:
        return render_change(
            request, change, problems=['Nothing would change.']
        )
    token = _digest_lines(lines)
    if change.form.reviewed.data != token:
        change.form.reviewed.data = token
        warnings = [f'{w.path}: {w.message}' for w in checked.warnings]
        return render_change(request, change, review=lines, warnings=warnings)
    outcome = await store.publish(
        checked.document,
        base=head,
        author=make_author(request),
        note=change.form.note.data or '',
    )
    return await answer_outcome(request, change, head, store, outcome)


async def answer_outcome(
    request: starlette.requests.Request,
    change: Change,
    head: revisions.Revision,
    store: revisions.Revisions,
    outcome: revisions.PublishOutcome,
) -> starlette.responses.Response:
    """Answer what became of a change."""
    match outcome:
        case revisions.Published():
            version = outcome.entry.version
            message = f'Version {version} is accepted.'
            if change.secret:
                return pages.render(
                    request,
                    'key.html',
                    title='New key',
                    secret=change.secret,
                    message=message,
                    done=change.done,
                )
            request.session['message'] = message
            return starlette.responses.RedirectResponse(change.done, 303)
        case revisions.Conflict():
            found = outcome.head or await _read_other(store, head)
            return show_conflict(request, change, found)
        case revisions.Unavailable():
            return render_change(
                request,
                change,
                status=503,
                problems=[
                    f'The platform did not answer ({outcome.detail}). '
                    'Nothing was changed; apply again later.'
                ],
            )
        case revisions.Damaged():
            return render_change(
                request, change, status=500, problems=[outcome.detail]
            )
        case revisions.Unknown():
            return pages.render(
                request,
                'unknown.html',
                status=502,
                title='Outcome unknown',
                detail=outcome.detail,
                secret=change.secret,
            )


async def _read_other(
    store: revisions.Revisions, head: revisions.Revision
) -> revisions.Revision:
    outcome = await store.read_head()
    return outcome.revision if isinstance(outcome, revisions.Found) else head


def show_conflict(
    request: starlette.requests.Request,
    change: Change,
    head: revisions.Revision,
) -> starlette.responses.Response:
    """Show the other operator's change and keep the form."""
    change.form.base_version.data = str(head.version)
    change.form.reviewed.data = ''
    return render_change(request, change, status=409, conflict=head.entry)


def render_change(
    request: starlette.requests.Request,
    change: Change,
    *,
    status: int = 200,
    **context: typing.Any,
) -> starlette.responses.Response:
    """Render the form's page."""
    return pages.render(
        request,
        change.template,
        status=status,
        title=change.title,
        form=change.form,
        **change.extra,
        **context,
    )


def make_author(request: starlette.requests.Request) -> audit.Author:
    """Return who makes the change, and from where."""
    origin = request.client.host if request.client else 'unknown'
    return audit.Author(request.session['operator'], origin, 'console')


def _digest_lines(lines: collections.abc.Iterable[str]) -> str:
    return hashlib.sha256('\n'.join(lines).encode()).hexdigest()
