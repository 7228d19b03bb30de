"""YAML text to plain data that remembers its lines."""

import dataclasses
import json
import math
import typing

import yaml

from . import problem

MAX_BYTES = 4_194_304
MAX_DEPTH = 16
MAX_NODES = 400_000

_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


@dataclasses.dataclass(slots=True)
class Source:
    """Plain data, the lines it came from and the faults met on the way.

    Args:
        data: Mappings, lists and scalars.
        lines: The line of each path, from 1.
        problems: Faults of the text itself.
    """

    data: typing.Any = None
    lines: dict[problem.Path, int] = dataclasses.field(default_factory=dict)
    problems: list[problem.Problem] = dataclasses.field(default_factory=list)

    def find_line(self, path: problem.Path) -> int:
        """Return the line of the path, or of its nearest known parent."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 0)

    def name_path(self, path: problem.Path) -> str:
        """Return the path as operators read it, list items by name."""
        text = ''
        value = self.data
        for part in path:
            value = _step(value, part)
            if isinstance(part, str):
                text += f'.{part}' if text else part
            else:
                text += f'[{_name_item(value, part)}]'
        return text or 'document'

    def report(self, path: problem.Path, message: str) -> problem.Problem:
        """Return a problem at the path."""
        return problem.Problem(
            self.name_path(path), self.find_line(path), message
        )


class _TooLargeError(Exception):
    """The expanded document has too many nodes."""


def _step(value: typing.Any, part: str | int) -> typing.Any:
    try:
        return value[part]
    except (KeyError, IndexError, TypeError):
        return None


def _name_item(value: typing.Any, index: int) -> str:
    if isinstance(value, dict):
        name = value.get('name', value.get('label'))
        if isinstance(name, str) and 0 < len(name) <= 80:
            return name
    return str(index)


def read_source(text: bytes | str) -> Source:
    """Read YAML text safely and within bounds.

    Args:
        text: The text; bytes are UTF-8.

    Returns:
        The data with its lines; `problems` is empty when all was read.
    """
    source = Source()
    root = _compose_node(text)
    if isinstance(root, problem.Problem):
        source.problems.append(root)
        return source
    reader = _Reader(source)
    try:
        source.data = reader.read_node(root, ())
    except _TooLargeError:
        source.problems.append(
            problem.Problem(
                'document', 1, f'expands to more than {MAX_NODES} nodes.'
            )
        )
    source.problems.extend(reader.list_problems())
    return source


def read_json(text: bytes | str) -> typing.Any:
    """Return the data of a JSON object; None for all other text.

    Args:
        text: The text; bytes are UTF-8.
    """
    opening = '{' if isinstance(text, str) else b'{'
    if len(text) > MAX_BYTES or text[:1] != opening:
        return None
    try:
        return json.loads(
            text, object_pairs_hook=_join_pairs, parse_constant=_refuse
        )
    except (ValueError, RecursionError):
        return None


def _join_pairs(
    pairs: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    values = dict(pairs)
    if len(values) < len(pairs):
        raise ValueError('a name appears twice')
    return values


def _refuse(text: str) -> typing.NoReturn:
    raise ValueError(f'{text} is no finite number')


def _compose_node(text: bytes | str) -> yaml.Node | problem.Problem:
    """Return the root node, or a fault of size, text, syntax or depth."""
    raw = text.encode('utf-8', 'replace') if isinstance(text, str) else text
    if len(raw) > MAX_BYTES:
        return problem.Problem(
            'document', 0, f'is {len(raw)} bytes; {MAX_BYTES} are allowed.'
        )
    try:
        raw.decode('utf-8')
        fault = _find_fault(raw)
        root = None if fault else yaml.compose(raw, Loader=_LOADER)
    except UnicodeDecodeError as error:
        line = raw.count(b'\n', 0, error.start) + 1
        return problem.Problem('document', line, 'is not UTF-8 text.')
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 0
        message = f'is not YAML: {error.problem or error.context}.'
        return problem.Problem('document', line, message)
    except yaml.YAMLError:
        return problem.Problem('document', 0, 'has characters that YAML bars.')
    return fault or root or problem.Problem('document', 1, 'is empty.')


def _find_fault(raw: bytes) -> problem.Problem | None:
    depth = 0
    documents = 0
    for event in yaml.parse(raw, Loader=_LOADER):
        line = event.start_mark.line + 1 if event.start_mark else 0
        if isinstance(event, yaml.DocumentStartEvent):
            documents += 1
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        if isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > MAX_DEPTH:
            return problem.Problem(
                'document', line, f'is nested deeper than {MAX_DEPTH}.'
            )
        if documents > 1:
            return problem.Problem(
                'document', line, "has a second '---' part; one is allowed."
            )
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class _Fault:
    path: problem.Path
    line: int
    message: str


class _Reader:
    def __init__(self, source: Source) -> None:
        self._source = source
        self._constructor = yaml.constructor.SafeConstructor()
        self._nodes = 0
        self._faults: list[_Fault] = []

    def read_node(self, node: yaml.Node, path: problem.Path) -> typing.Any:
        self._nodes += 1
        if self._nodes > MAX_NODES:
            raise _TooLargeError
        self._source.lines.setdefault(path, node.start_mark.line + 1)
        if len(path) > MAX_DEPTH:
            self._report(path, f'is nested deeper than {MAX_DEPTH}.')
            return None
        if isinstance(node, yaml.MappingNode):
            return self._read_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [
                self.read_node(child, (*path, index))
                for index, child in enumerate(node.value)
            ]
        return self._read_scalar(node, path)

    def _read_mapping(
        self, node: yaml.MappingNode, path: problem.Path
    ) -> dict[str, typing.Any]:
        values: dict[str, typing.Any] = {}
        for key_node, value_node in node.value:
            line = key_node.start_mark.line + 1
            if not isinstance(key_node, yaml.ScalarNode):
                self._report(path, 'has a key that is not a name.', line)
                continue
            key = key_node.value
            if key in values:
                first = self._source.lines[(*path, key)]
                message = f'appears twice; the first is on line {first}.'
                self._report((*path, key), message, line)
                continue
            self._source.lines[(*path, key)] = line
            values[key] = self.read_node(value_node, (*path, key))
        return values

    def _read_scalar(self, node: yaml.Node, path: problem.Path) -> typing.Any:
        try:
            value = self._constructor.construct_object(node)
        except (yaml.YAMLError, ValueError, OverflowError, KeyError):
            self._report(path, 'is not a value that YAML defines safely.')
            return None
        if isinstance(value, float) and not math.isfinite(value):
            self._report(path, 'must be a finite number.')
            return None
        return value

    def _report(
        self, path: problem.Path, message: str, line: int | None = None
    ) -> None:
        at = self._source.find_line(path) if line is None else line
        self._faults.append(_Fault(path, at, message))

    def list_problems(self) -> list[problem.Problem]:
        """Return the faults, named by the data now that it is whole."""
        return [
            problem.Problem(
                self._source.name_path(fault.path), fault.line, fault.message
            )
            for fault in self._faults
        ]
