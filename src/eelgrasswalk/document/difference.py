"""The difference in meaning between two documents."""

import collections.abc
import dataclasses
import enum
import typing

from . import model

_UNITS = {
    'rate': '/s',
    'total_rate': '/s',
    'deadline_s': ' s',
    'body_bytes': ' bytes',
    'max_request_bytes': ' bytes',
    'max_answer_bytes': ' bytes',
}


class Part(enum.Enum):
    """The part of the document that a change is about."""

    DOCUMENT = 'document'
    LIMITS = 'limits'
    ACCOUNT = 'account'
    SERVICE = 'service'
    ROUTE = 'route'


@dataclasses.dataclass(frozen=True, slots=True)
class Added:
    """A named item that is new.

    Args:
        part: What it is.
        name: Its name.
        summary: Its values on one line.
    """

    part: Part
    name: str
    summary: str


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """A named item that is gone."""

    part: Part
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """A field with another value.

    Args:
        part: The part that has the field.
        name: Name of the item; empty for the document and its limits.
        field: Name of the field.
        old: The value before, as text.
        new: The value after, as text with its unit.
    """

    part: Part
    name: str
    field: str
    old: str
    new: str


class KeyAction(enum.Enum):
    """What became of a key."""

    CREATED = 'created'
    WITHDRAWN = 'withdrawn'
    REPLACED = 'replaced'
    RELABELLED = 'relabelled'


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChanged:
    """A key of an account that changed.

    Args:
        account: Name of the account.
        label: Label of the key.
        action: What became of it.
        new_label: Its label after, where that is another.
    """

    account: str
    label: str
    action: KeyAction
    new_label: str = ''


Change: typing.TypeAlias = Added | Removed | Changed | KeyChanged
_Item: typing.TypeAlias = model.ClientAccount | model.Service | model.Route


def compare_documents(
    old: model.Document | None, new: model.Document
) -> tuple[Change, ...]:
    """Return what changed, in the order of the document.

    Args:
        old: The document before; None for the first.
        new: The document after.
    """
    if old is None:
        old = model.Document(new.schema, new.mesh, (), (), ())
    return (
        *_compare_fields(Part.DOCUMENT, '', old, new),
        *_compare_fields(Part.LIMITS, '', old.limits, new.limits),
        *_compare_items(Part.ACCOUNT, old.accounts, new.accounts),
        *_compare_items(Part.SERVICE, old.services, new.services),
        *_compare_items(Part.ROUTE, old.routes, new.routes),
    )


def describe_change(change: Change) -> str:
    """Return the change as one line for operators."""
    match change:
        case Added():
            return f'{change.part.value} {change.name}: added: ' + (
                change.summary
            )
        case Removed():
            return f'{change.part.value} {change.name}: removed'
        case KeyChanged():
            return _describe_key(change)
        case Changed():
            subject = f'{change.part.value} {change.name}'.rstrip()
            return f'{subject}: {change.field} {change.old} -> {change.new}'


def describe_changes(
    changes: collections.abc.Iterable[Change],
) -> tuple[str, ...]:
    """Return the changes as lines for operators."""
    return tuple(describe_change(change) for change in changes)


def _describe_key(change: KeyChanged) -> str:
    text = f"account {change.account}: key '{change.label}' "
    if change.action is KeyAction.RELABELLED:
        return f"{text}relabelled '{change.new_label}'"
    return f'{text}{change.action.value}'


def _compare_items(
    part: Part,
    old: collections.abc.Sequence[_Item],
    new: collections.abc.Sequence[_Item],
) -> collections.abc.Iterator[Change]:
    before = {item.name: item for item in old}
    after = {item.name: item for item in new}
    for name in before:
        if name not in after:
            yield Removed(part, name)
    for name, item in after.items():
        if name not in before:
            yield Added(part, name, _summarize_item(item))
            continue
        yield from _compare_fields(part, name, before[name], item)
        yield from _compare_keys(before[name], item)


def _compare_fields(
    part: Part, name: str, old: typing.Any, new: typing.Any
) -> collections.abc.Iterator[Change]:
    for field in _list_plain_fields(new):
        before = getattr(old, field)
        after = getattr(new, field)
        if before != after:
            yield Changed(
                part,
                name,
                field,
                _show_value(field, before, with_unit=False),
                _show_value(field, after),
            )


def _list_plain_fields(value: typing.Any) -> list[str]:
    nested = ('keys', 'accounts', 'services', 'routes', 'limits')
    names = [field.name for field in dataclasses.fields(value)]
    return [name for name in names if name not in nested]


def _show_value(
    field: str, value: typing.Any, *, with_unit: bool = True
) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, model.Importance):
        return value.name.lower()
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, tuple):
        joined = ' '.join(value)
        return str(joined or 'all')
    text = f'{value:.12g}' if isinstance(value, float) else str(value)
    return text + (_UNITS.get(field, '') if with_unit else '')


def _summarize_item(item: _Item) -> str:
    defaults = {
        field.name: field.default for field in dataclasses.fields(item)
    }
    parts = []
    for field in _list_plain_fields(item):
        value = getattr(item, field)
        if field != 'name' and value != defaults[field]:
            parts.append(f'{field} {_show_value(field, value)}')
    if isinstance(item, model.ClientAccount):
        labels = ', '.join(f"'{key.label}'" for key in item.keys)
        parts.append(f'keys {labels or "none"}')
    return ', '.join(parts)


def _compare_keys(
    old: _Item, new: _Item
) -> collections.abc.Iterator[KeyChanged]:
    if not isinstance(old, model.ClientAccount):
        return
    if not isinstance(new, model.ClientAccount):
        return
    before = {key.label: key.digest for key in old.keys}
    after = {key.label: key.digest for key in new.keys}
    fresh = {
        digest: label for label, digest in after.items() if label not in before
    }
    renamed = set()
    for label, digest in before.items():
        if label in after and after[label] != digest:
            yield KeyChanged(new.name, label, KeyAction.REPLACED)
        elif label not in after and digest in fresh:
            renamed.add(fresh[digest])
            yield KeyChanged(
                new.name, label, KeyAction.RELABELLED, fresh[digest]
            )
        elif label not in after:
            yield KeyChanged(new.name, label, KeyAction.WITHDRAWN)
    for label in after:
        if label not in before and label not in renamed:
            yield KeyChanged(new.name, label, KeyAction.CREATED)
