"""Rendering, and what all pages for signed-in operators share."""

import collections.abc
import functools
import pathlib
import time
import typing

import starlette.exceptions
import starlette.requests
import starlette.responses
import starlette.templating

from ..operations import revisions
from . import forms

TEMPLATES = starlette.templating.Jinja2Templates(
    directory=pathlib.Path(__file__).parent / 'templates'
)

MAX_FIELDS = 20_000

Handler: typing.TypeAlias = collections.abc.Callable[
    [starlette.requests.Request],
    collections.abc.Awaitable[starlette.responses.Response],
]


class RemoveForm(forms.RemovalForm):
    """A button that removes or signs out, guarded like every form."""


def render(
    request: starlette.requests.Request,
    template: str,
    *,
    status: int = 200,
    **context: typing.Any,
) -> starlette.responses.Response:
    """Render a page with what all pages show."""
    operator = request.session.get('operator')
    shared = {
        'operator': operator,
        'message': request.session.pop('message', ''),
        'sign_out': forms.bind_form(RemoveForm, request, None),
    }
    return TEMPLATES.TemplateResponse(
        request, template, {**shared, **context}, status_code=status
    )


def require_operator(handler: Handler) -> Handler:
    """Send requests without a valid session to the sign-in page."""

    @functools.wraps(handler)
    async def handle(
        request: starlette.requests.Request,
    ) -> starlette.responses.Response:
        if is_signed_in(request):
            return await handler(request)
        request.session.clear()
        return starlette.responses.RedirectResponse('/sign-in', 303)

    return handle


def is_signed_in(request: starlette.requests.Request) -> bool:
    """Tell whether the session is of an operator in the settings."""
    settings = request.app.state.settings
    names = {operator.name for operator in settings.operators}
    signed_in_at = request.session.get('signed_in_at', 0)
    age = time.time() - signed_in_at
    fresh = 0 <= age < settings.session_lifetime_s
    return fresh and request.session.get('operator') in names


async def read_head(
    store: revisions.Revisions,
) -> revisions.Revision:
    """Read the accepted version, or answer why there is none."""
    outcome = await store.read_head()
    if isinstance(outcome, revisions.Unavailable):
        raise starlette.exceptions.HTTPException(
            503,
            f'The platform did not answer ({outcome.detail}). Nodes go on '
            'with the version in force; try again later.',
        )
    if isinstance(outcome, revisions.Damaged):
        raise starlette.exceptions.HTTPException(
            500, f'The store was damaged or altered: {outcome.detail}.'
        )
    if isinstance(outcome, revisions.Missing):
        raise starlette.exceptions.HTTPException(
            404,
            'No version was accepted yet. Publish the first with '
            "'eelgrasswalk apply FILE'.",
        )
    return outcome.revision


async def read_submission(
    request: starlette.requests.Request,
) -> forms.Submission | None:
    """Return the submitted fields, or None for a request to look."""
    if request.method != 'POST':
        return None
    return await request.form(max_files=0, max_fields=MAX_FIELDS)


def raise_missing(kind: str, name: str) -> typing.NoReturn:
    """Answer that there is no such item."""
    raise starlette.exceptions.HTTPException(
        404, f"There is no {kind} '{name}' in the accepted version."
    )
