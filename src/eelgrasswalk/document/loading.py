"""Loading, checking and writing of documents."""

import dataclasses
import json
import typing

import cattrs
import yaml

from . import checks
from . import model
from . import nodes
from . import problem
from . import structure


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """The text is a valid document.

    Args:
        document: The document.
        warnings: What is allowed and probably not meant.
    """

    document: model.Document
    warnings: tuple[problem.Problem, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The text is not a valid document.

    Args:
        source: Name of the text.
        problems: Every fault, by line.
        warnings: What is allowed and probably not meant.
    """

    source: str
    problems: tuple[problem.Problem, ...]
    warnings: tuple[problem.Problem, ...] = ()


Outcome: typing.TypeAlias = Loaded | Invalid


def load_document(text: bytes | str, *, source: str) -> Outcome:
    """Load a document and report every fault at once.

    Args:
        text: YAML, of which JSON is a part.
        source: Name of the text for messages, such as its file name.

    Returns:
        The document, or every problem found.
    """
    quick = _load_canonical(text)
    if quick is not None:
        return quick
    read = nodes.read_source(text)
    if read.data is None and read.problems:
        return Invalid(source, tuple(read.problems))
    faults = structure.check_structure(read)
    data = read.data
    if faults or read.problems:
        data = structure.repair_data(read.data, faults)
    document = convert_data(data)
    findings = checks.check_document(document)
    warnings = _sort_problems(
        [
            read.report(found.path, found.message)
            for found in findings.warnings
            if not _is_broken(found.path, faults)
        ]
    )
    errors = [*read.problems, *faults.values()]
    errors += [
        read.report(found.path, found.message)
        for found in findings.errors
        if not _is_broken(found.path, faults)
    ]
    if errors:
        return Invalid(source, _sort_problems(errors), warnings)
    return Loaded(document, warnings)


def _load_canonical(text: bytes | str) -> Loaded | None:
    """Return the document of sound JSON; None for all other text.

    YAML's reader takes much longer, and lines matter for faults only.
    """
    data = nodes.read_json(text)
    if data is None:
        return None
    read = nodes.Source(data)
    if structure.check_structure(read):
        return None
    document = convert_data(data)
    findings = checks.check_document(document)
    if findings.errors:
        return None
    warnings = [
        read.report(found.path, found.message) for found in findings.warnings
    ]
    return Loaded(document, _sort_problems(warnings))


def convert_data(data: dict[str, typing.Any]) -> model.Document:
    """Return the document for plain data of sound structure."""
    return _CONVERTER.structure(data, model.Document)


def export_document(document: model.Document) -> dict[str, typing.Any]:
    """Return the document as plain data, every field written out."""
    data: dict[str, typing.Any] = _CONVERTER.unstructure(document)
    return data


def dump_document(document: model.Document) -> bytes:
    """Return the canonical form: compact JSON, every field written out."""
    data = export_document(document)
    text = json.dumps(data, ensure_ascii=False, separators=(',', ':'))
    return text.encode()


def format_document(document: model.Document) -> str:
    """Return the document as YAML for people."""
    text: str = yaml.safe_dump(
        export_document(document),
        allow_unicode=True,
        default_flow_style=False,
        sort_keys=False,
        width=4096,
    )
    return text


def _is_broken(
    path: problem.Path, faults: dict[problem.Path, problem.Problem]
) -> bool:
    return any(path[: len(at)] == at for at in faults)


def _sort_problems(
    problems: list[problem.Problem],
) -> tuple[problem.Problem, ...]:
    unique = dict.fromkeys(problems)
    return tuple(sorted(unique, key=lambda found: (found.line, found.path)))


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    converter.register_unstructure_hook(tuple, list)
    converter.register_structure_hook(
        model.Importance, lambda value, _: model.Importance[value.upper()]
    )
    converter.register_unstructure_hook(
        model.Importance, lambda value: value.name.lower()
    )
    return converter


_CONVERTER = _make_converter()
