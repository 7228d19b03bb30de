"""Edits of a document."""

import dataclasses
import hashlib
import secrets
import typing

from ..document import model
from ..document import problem

KEY_BYTES = 32
KEY_PREFIX = 'egw_'


@dataclasses.dataclass(frozen=True, slots=True)
class Edited:
    """The edit was made."""

    document: model.Document


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The edit cannot be made.

    Args:
        message: Why, and what would mend it.
    """

    message: str


EditOutcome: typing.TypeAlias = Edited | Refused


def generate_key() -> str:
    """Return a new random key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest_key(key: str) -> str:
    """Return the digest under which a document lists a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def add_key(
    document: model.Document, account: str, key: model.Key
) -> EditOutcome:
    """Add a key to an account.

    Args:
        document: The document.
        account: Name of the account.
        key: The key's label and digest.
    """
    found = find_account(document, account)
    if isinstance(found, Refused):
        return found
    if any(known.label == key.label for known in found.keys):
        return Refused(
            f"account {account} already has a key '{key.label}'; "
            'choose another label.'
        )
    changed = dataclasses.replace(found, keys=(*found.keys, key))
    return Edited(replace_account(document, changed))


def withdraw_key(
    document: model.Document, account: str, label: str
) -> EditOutcome:
    """Withdraw a key of an account.

    Args:
        document: The document.
        account: Name of the account.
        label: Label of the key.
    """
    found = find_account(document, account)
    if isinstance(found, Refused):
        return found
    kept = tuple(key for key in found.keys if key.label != label)
    if len(kept) == len(found.keys):
        labels = [key.label for key in found.keys]
        hint = problem.suggest_name(label, labels)
        return Refused(
            f"account {account} has no key '{label}'; "
            f'it has: {problem.list_names(labels) or "none"}.{hint}'
        )
    changed = dataclasses.replace(found, keys=kept)
    return Edited(replace_account(document, changed))


def find_account(
    document: model.Document, name: str
) -> model.ClientAccount | Refused:
    """Return the named account, or why there is none."""
    for account in document.accounts:
        if account.name == name:
            return account
    names = [account.name for account in document.accounts]
    hint = problem.suggest_name(name, names)
    return Refused(
        f"there is no account '{name}'; "
        f'known: {problem.list_names(names) or "none"}.{hint}'
    )


def replace_account(
    document: model.Document, changed: model.ClientAccount
) -> model.Document:
    """Return the document with the account of the same name replaced."""
    accounts = tuple(
        changed if account.name == changed.name else account
        for account in document.accounts
    )
    return dataclasses.replace(document, accounts=accounts)


def replace_route(
    document: model.Document, changed: model.Route
) -> model.Document:
    """Return the document with the route of the same name replaced."""
    routes = tuple(
        changed if route.name == changed.name else route
        for route in document.routes
    )
    return dataclasses.replace(document, routes=routes)
