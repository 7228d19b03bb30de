"""Checks plain data against the JSON Schema."""

import collections.abc
import functools
import importlib.resources
import json
import typing

import jsonschema

from . import nodes
from . import problem

SCHEMA_VERSION = 1
MAX_SHOWN = 60

_TEMPLATES: dict[str, dict[str, typing.Any]] = {
    'accounts': {'rate': 1.0, 'burst': 1},
    'services': {'slots': 1, 'connections': 1_000_000},
    'routes': {'service': '', 'path_prefix': '', 'idempotent': True},
}


@functools.cache
def load_schema() -> dict[str, typing.Any]:
    """Return the JSON Schema of the document."""
    package = importlib.resources.files(__package__)
    text = package.joinpath('schema.json').read_text('utf-8')
    schema: dict[str, typing.Any] = json.loads(text)
    return schema


@functools.cache
def _make_validator() -> jsonschema.Draft202012Validator:
    return jsonschema.Draft202012Validator(load_schema())


def check_structure(
    source: nodes.Source,
) -> dict[problem.Path, problem.Problem]:
    """Return every fault of structure by its path.

    Args:
        source: The data read.
    """
    found: dict[problem.Path, problem.Problem] = {}
    for error in _make_validator().iter_errors(source.data):
        path = tuple(error.absolute_path)
        for at, message in _describe(error, path):
            found.setdefault(at, source.report(at, message))
    return found


def _describe(
    error: jsonschema.ValidationError, path: problem.Path
) -> collections.abc.Iterator[tuple[problem.Path, str]]:
    schema = typing.cast('dict[str, typing.Any]', error.schema)
    value: typing.Any = error.instance
    if error.validator == 'additionalProperties':
        known = schema['properties']
        for name in value:
            if name not in known:
                yield (*path, name), _describe_unknown(name, known)
    elif error.validator == 'required':
        for name in schema['required']:
            if name not in value:
                wanted = _find_description(schema['properties'][name])
                yield (*path, name), f'is missing; give {wanted}.'
    elif error.validator == 'enum':
        yield path, _describe_choice(value, schema)
    else:
        shown = _show(value, path)
        wanted = schema.get('description', error.message)
        yield path, f'must be {wanted}{shown}.'


def _describe_unknown(name: str, known: collections.abc.Iterable[str]) -> str:
    allowed = problem.list_names(known)
    hint = problem.suggest_name(name, known)
    return f'is not known; allowed here: {allowed}.{hint}'


def _describe_choice(value: typing.Any, schema: dict[str, typing.Any]) -> str:
    choices = schema['enum']
    allowed = ', '.join(choices)
    hint = ''
    if isinstance(value, str):
        hint = problem.suggest_name(value.lower(), map(str.lower, choices))
    wanted = schema.get('description', 'one of these')
    shown = _show(value, ())
    return f'must be {wanted}: {allowed}{shown}.{hint}'


def _find_description(schema: dict[str, typing.Any]) -> str:
    reference = schema.get('$ref')
    if reference is not None:
        schema = load_schema()['$defs'][reference.rsplit('/', 1)[-1]]
    if 'enum' in schema:
        return f'one of {", ".join(schema["enum"])}'
    return str(schema.get('description', 'a value'))


def _show(value: typing.Any, path: problem.Path) -> str:
    # An operator may have pasted the key itself in place of its digest.
    if path and path[-1] == 'digest':
        return ''
    if isinstance(value, dict):
        return ', not a mapping'
    if isinstance(value, list):
        return ', not a list'
    text = json.dumps(value, ensure_ascii=False, default=str)
    if len(text) > MAX_SHOWN:
        text = text[:MAX_SHOWN] + '...'
    return f', not {text}'


def repair_data(
    data: typing.Any, broken: collections.abc.Collection[problem.Path]
) -> dict[str, typing.Any]:
    """Return data in which harmless values stand for the broken ones.

    With it the cross-checks can run over the sound parts of a document
    whose structure has faults, so that all faults show at once.

    Args:
        data: The data read.
        broken: Paths with faults.
    """
    top = data if isinstance(data, dict) else {}
    limits = top.get('limits')
    repaired: dict[str, typing.Any] = {
        'schema': SCHEMA_VERSION,
        'mesh': 'unknown',
        'limits': _drop_broken(limits, ('limits',), broken),
    }
    for section in _TEMPLATES:
        items = top.get(section)
        repaired[section] = [
            _repair_item(section, index, item, broken)
            for index, item in enumerate(
                items if isinstance(items, list) else []
            )
        ]
    return repaired


def _repair_item(
    section: str,
    index: int,
    item: typing.Any,
    broken: collections.abc.Collection[problem.Path],
) -> dict[str, typing.Any]:
    sound = _drop_broken(item, (section, index), broken)
    return {'name': f'#{index}', **_TEMPLATES[section], **sound}


def _drop_broken(
    item: typing.Any,
    path: problem.Path,
    broken: collections.abc.Collection[problem.Path],
) -> dict[str, typing.Any]:
    if not isinstance(item, dict):
        return {}
    bad = {at[len(path)] for at in broken if at[: len(path)] == path != at}
    return {name: value for name, value in item.items() if name not in bad}
