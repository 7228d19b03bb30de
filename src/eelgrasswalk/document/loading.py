"""Loading, checking and writing of documents."""

import dataclasses
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


def convert_data(data: dict[str, typing.Any]) -> model.Document:
    """Return the document for plain data of sound structure."""
    return _CONVERTER.structure(data, model.Document)


def export_document(document: model.Document) -> dict[str, typing.Any]:
    """Return the document as plain data, every field written out."""
    data: dict[str, typing.Any] = _CONVERTER.unstructure(document)
    return data


def dump_document(document: model.Document) -> bytes:
    """Return the canonical YAML of the document in UTF-8."""
    text: str = yaml.safe_dump(
        export_document(document),
        allow_unicode=True,
        default_flow_style=False,
        sort_keys=False,
        width=4096,
    )
    return text.encode()


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
