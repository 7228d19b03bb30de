"""Forms for accounts, keys, routes and importance."""

import collections.abc
import datetime as dt
import typing

import starlette.datastructures
import starlette.requests
import wtforms
import wtforms.csrf.session
import wtforms.validators
import wtforms.widgets

from ..document import model

Submission: typing.TypeAlias = starlette.datastructures.FormData

METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
IMPORTANCES = [
    (level.name.lower(), level.name.lower()) for level in model.Importance
]
ONCE_MODES = [(mode.value, mode.value) for mode in model.OnceMode]
FORM_LIFETIME = dt.timedelta(hours=8)

F = typing.TypeVar('F', bound='ConsoleForm')


def _require() -> wtforms.validators.InputRequired:
    return wtforms.validators.InputRequired('A value is needed.')


class ConsoleForm(wtforms.Form):
    """A form bound to the operator's session against forged requests."""

    class Meta:
        """WTForms' options of this form."""

        csrf = True
        csrf_class = wtforms.csrf.session.SessionCSRF
        csrf_time_limit = FORM_LIFETIME


class SignInForm(ConsoleForm):
    """Sign-in of an operator."""

    name = wtforms.StringField(
        'Name', [_require()], render_kw={'autocomplete': 'username'}
    )
    password = wtforms.PasswordField(
        'Password',
        [_require()],
        render_kw={'autocomplete': 'current-password'},
    )


class ChangeForm(ConsoleForm):
    """What every change carries besides its own fields."""

    base_version = wtforms.HiddenField()
    reviewed = wtforms.HiddenField()
    note = wtforms.StringField(
        'Reason',
        [wtforms.validators.Length(max=200)],
        description='Kept in the audit trail.',
    )


class AccountForm(ChangeForm):
    """A client account."""

    name = wtforms.StringField('Name', [_require()])
    rate = wtforms.FloatField(
        'Rate',
        [_require()],
        description='Requests a second, over all hosts together.',
    )
    burst = wtforms.IntegerField(
        'Burst',
        [_require()],
        description='Requests that may come at once.',
    )


class KeyForm(ChangeForm):
    """A key of an account."""

    label = wtforms.StringField(
        'Label', [_require()], description='Your name for the key.'
    )


class RouteForm(ChangeForm):
    """A route."""

    name = wtforms.StringField('Name', [_require()])
    service = wtforms.SelectField('Service')
    path_prefix = wtforms.StringField(
        'Path prefix',
        [_require()],
        description='Matches paths that begin with it; the longest wins.',
    )
    methods = wtforms.SelectMultipleField(
        'Methods',
        choices=[(method, method) for method in METHODS],
        description='None ticked matches all.',
        option_widget=wtforms.widgets.CheckboxInput(),
        widget=wtforms.widgets.ListWidget(prefix_label=False),
    )
    importance = wtforms.SelectField(
        'Importance',
        choices=IMPORTANCES,
        description='Critical requests are shed last.',
    )
    idempotent = wtforms.BooleanField(
        'Idempotent', description='Running it twice does no harm.'
    )
    open_to_all = wtforms.BooleanField(
        'Open to all', description='Runs without a key.'
    )
    once = wtforms.SelectField(
        'At most once',
        choices=ONCE_MODES,
        description='Refuse: refused while the store is down. Local: goes '
        "on with the node's own record.",
    )
    deadline_s = wtforms.FloatField(
        'Deadline', [_require()], description='Seconds.'
    )
    retry_allowance = wtforms.IntegerField(
        'Retry allowance',
        [_require()],
        description='Extra attempts for the whole call tree.',
    )
    max_request_bytes = wtforms.IntegerField(
        'Longest request', [_require()], description='Bytes.'
    )
    max_answer_bytes = wtforms.IntegerField(
        'Longest answer', [_require()], description='Bytes.'
    )


class RemovalForm(ChangeForm):
    """A confirmation without fields of its own."""


def make_importance_form(
    routes: collections.abc.Iterable[model.Route],
) -> type[ChangeForm]:
    """Return a form with one choice for each route."""
    fields = {
        f'route-{route.name}': wtforms.SelectField(
            route.name, choices=IMPORTANCES
        )
        for route in routes
    }
    return type('ImportanceForm', (ChangeForm,), fields)


def bind_form(
    form: type[F],
    request: starlette.requests.Request,
    submitted: Submission | None,
    values: collections.abc.Mapping[str, typing.Any] | None = None,
) -> F:
    """Return the form with what was submitted, or with present values.

    Args:
        form: The form's class.
        request: The request, whose session guards the form.
        submitted: What the operator sent; None to show present values.
        values: Present values.
    """
    meta = {
        'csrf_context': request.session,
        'csrf_secret': request.app.state.settings.session_secret.encode(),
    }
    return form(formdata=submitted, data=values, meta=meta)


def read_account(
    form: AccountForm, old: model.ClientAccount | None
) -> model.ClientAccount:
    """Return the account that the form describes."""
    return model.ClientAccount(
        name=old.name if old else form.name.data or '',
        rate=form.rate.data or 0.0,
        burst=form.burst.data or 0,
        keys=old.keys if old else (),
    )


def read_route(form: RouteForm, old: model.Route | None) -> model.Route:
    """Return the route that the form describes."""
    return model.Route(
        name=old.name if old else form.name.data or '',
        service=form.service.data,
        path_prefix=form.path_prefix.data or '',
        methods=tuple(form.methods.data or ()),
        importance=model.Importance[form.importance.data.upper()],
        idempotent=form.idempotent.data,
        open_to_all=form.open_to_all.data,
        deadline_s=form.deadline_s.data or 0.0,
        max_request_bytes=form.max_request_bytes.data or 0,
        max_answer_bytes=form.max_answer_bytes.data or 0,
        once=model.OnceMode(form.once.data),
        retry_allowance=form.retry_allowance.data or 0,
    )


def export_route(route: model.Route) -> dict[str, typing.Any]:
    """Return the values that a route's form shows."""
    return {
        'name': route.name,
        'service': route.service,
        'path_prefix': route.path_prefix,
        'methods': list(route.methods),
        'importance': route.importance.name.lower(),
        'idempotent': route.idempotent,
        'open_to_all': route.open_to_all,
        'once': route.once.value,
        'deadline_s': route.deadline_s,
        'retry_allowance': route.retry_allowance,
        'max_request_bytes': route.max_request_bytes,
        'max_answer_bytes': route.max_answer_bytes,
    }
