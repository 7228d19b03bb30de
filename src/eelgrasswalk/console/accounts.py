"""Pages of client accounts and their keys."""

import dataclasses

import starlette.requests
import starlette.responses

from ..document import model
from ..operations import editing
from ..operations import revisions
from . import changes
from . import forms
from . import pages

LIST = '/accounts'


@pages.require_operator
async def list_accounts(
    request: starlette.requests.Request,
) -> starlette.responses.Response:
    """Show all accounts."""
    async with request.app.state.open_revisions() as store:
        head = await pages.read_head(store)
    return pages.render(
        request, 'accounts.html', title='Client accounts', head=head
    )


@changes.serve_change
def edit_account(
    request: starlette.requests.Request,
    head: revisions.Revision,
    submitted: forms.Submission | None,
) -> changes.Change:
    """Edit one account."""
    name = request.path_params['name']
    account = find_account(head.document, name)
    values = {'name': name, 'rate': account.rate, 'burst': account.burst}
    form = forms.bind_form(forms.AccountForm, request, submitted, values)
    form.name.render_kw = {'readonly': True}

    def edit(document: model.Document) -> editing.EditOutcome:
        old = find_account(document, name)
        changed = forms.read_account(form, old)
        return editing.Edited(editing.replace_account(document, changed))

    return changes.Change(
        'account.html',
        f'Account {name}',
        form,
        edit,
        LIST,
        {'account': account},
    )


@changes.serve_change
def add_account(
    request: starlette.requests.Request,
    head: revisions.Revision,
    submitted: forms.Submission | None,
) -> changes.Change:
    """Add an account."""
    form = forms.bind_form(forms.AccountForm, request, submitted)

    def edit(document: model.Document) -> editing.EditOutcome:
        made = forms.read_account(form, None)
        accounts = (*document.accounts, made)
        return editing.Edited(dataclasses.replace(document, accounts=accounts))

    return changes.Change('account.html', 'New account', form, edit, LIST)


@changes.serve_change
def remove_account(
    request: starlette.requests.Request,
    head: revisions.Revision,
    submitted: forms.Submission | None,
) -> changes.Change:
    """Remove an account and all its keys."""
    name = request.path_params['name']
    find_account(head.document, name)
    form = forms.bind_form(forms.RemovalForm, request, submitted)

    def edit(document: model.Document) -> editing.EditOutcome:
        kept = tuple(a for a in document.accounts if a.name != name)
        return editing.Edited(dataclasses.replace(document, accounts=kept))

    return changes.Change(
        'confirm.html',
        f'Remove account {name}',
        form,
        edit,
        LIST,
        {'question': f'Remove account {name} and withdraw its keys?'},
    )


@changes.serve_change
def add_key(
    request: starlette.requests.Request,
    head: revisions.Revision,
    submitted: forms.Submission | None,
) -> changes.Change:
    """Create a key of an account; the key is shown once."""
    name = request.path_params['name']
    find_account(head.document, name)
    form = forms.bind_form(forms.KeyForm, request, submitted)
    secret = editing.generate_key()

    def edit(document: model.Document) -> editing.EditOutcome:
        digest = editing.digest_key(secret)
        made = model.Key(form.label.data or '', digest)
        return editing.add_key(document, name, made)

    return changes.Change(
        'confirm.html',
        f'New key for {name}',
        form,
        edit,
        f'{LIST}/{name}',
        secret=secret,
    )


@changes.serve_change
def withdraw_key(
    request: starlette.requests.Request,
    head: revisions.Revision,
    submitted: forms.Submission | None,
) -> changes.Change:
    """Withdraw a key of an account."""
    name = request.path_params['name']
    label = request.query_params.get('label', '')
    find_account(head.document, name)
    form = forms.bind_form(forms.RemovalForm, request, submitted)

    def edit(document: model.Document) -> editing.EditOutcome:
        return editing.withdraw_key(document, name, label)

    return changes.Change(
        'confirm.html',
        f'Withdraw a key of {name}',
        form,
        edit,
        f'{LIST}/{name}',
        {'question': f"Withdraw key '{label}' of account {name}?"},
    )


def find_account(document: model.Document, name: str) -> model.ClientAccount:
    """Return the named account, or answer that there is none."""
    found = editing.find_account(document, name)
    if isinstance(found, editing.Refused):
        pages.raise_missing('account', name)
    return found
