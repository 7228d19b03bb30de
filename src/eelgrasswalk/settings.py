"""A node's settings, read from a YAML file."""

import dataclasses
import ipaddress
import pathlib
import typing

import cattrs
import cattrs.errors
import cattrs.gen

from . import address
from .document import nodes
from .document import problem

MIN_SECRET_LENGTH = 16


class SettingsError(Exception):
    """The settings cannot be used.

    Args:
        source: Name of the settings file.
        problems: Every fault, by line.
    """

    def __init__(
        self, source: str, problems: typing.Sequence[problem.Problem]
    ) -> None:
        self.problems = tuple(problems)
        lines = [
            f'{source}:{item.line}: {item.path}: {item.message}'
            for item in problems
        ]
        super().__init__('\n'.join(lines))


Address = address.Address
parse_address = address.parse_address

_ANY = Address('127.0.0.1', 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Listen:
    """Where the node listens.

    Args:
        callers: HTTP for callers.
        target_calls: HTTP for the target's own calls; loopback only.
        links: Links of other nodes.
        admin: HTTP for operators.
        gossip: UDP for membership.
    """

    callers: Address = _ANY
    target_calls: Address = _ANY
    links: Address = _ANY
    admin: Address = _ANY
    gossip: Address = _ANY


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The program beside the node.

    Args:
        address: Where it accepts HTTP.
        health_path: Answers 200 while the target is healthy; empty for none.
        load_path: Answers JSON with `in_flight` and `slots`; empty for none.
    """

    address: Address
    health_path: str = ''
    load_path: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """The platform's service.

    Args:
        url: Base URL of table and object store.
        reads_per_s: Most reads a second by this node.
        writes_per_s: Most rows a second that this node writes for leases,
            quotas and membership.
        claim_writes_per_s: Most rows a second that it writes for claims; a
            claimed request takes two.
    """

    url: str
    reads_per_s: float = 20.0
    writes_per_s: float = 10.0
    claim_writes_per_s: float = 40.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What the node accepts and holds.

    Args:
        request_body_bytes: Longest body of a request.
        header_bytes: Longest request line and headers together.
        headers: Most headers in a request.
        body_memory_bytes: Most bytes of bodies held at a time.
        announce_s: Seconds between announcing a planned stop and refusing
            new work.
        drain_s: Seconds that a planned stop waits for running calls.
    """

    request_body_bytes: int = 8_388_608
    header_bytes: int = 32_768
    headers: int = 128
    body_memory_bytes: int = 100_663_296
    announce_s: float = 2.0
    drain_s: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class StaticMember:
    """A node that is known without membership, for small fixed set-ups.

    Args:
        node_id: Its id.
        service: Its service.
        data_centre: Its data centre.
        links: Where it accepts links.
    """

    node_id: str
    service: str
    data_centre: str
    links: Address


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a node.

    Args:
        node_id: Unique id of the node.
        data_centre: Name of its data centre.
        service: Service of its target.
        host: Name of the host for operators; the node's id when empty.
        otlp_endpoint: Where metrics are sent by OTLP; empty for nowhere.
        mesh_secret: Shared by all nodes of the mesh.
        target: The program beside the node.
        listen: Where the node listens.
        advertised_links: Where other nodes reach `listen.links`, if they
            reach it by another port of the same IP address.
        platform: The platform's service; None only for a fixed set-up with
            `document` and `members`.
        seeds: Gossip addresses to join by when the platform is down.
        document: Path of a document for a fixed set-up.
        members: Nodes of a fixed set-up.
        key_header: Header that carries a caller's key.
        log_level: debug, info, warning or error.
        limits: What the node accepts and holds.
    """

    node_id: str
    data_centre: str
    service: str
    mesh_secret: str
    target: Target
    listen: Listen = Listen()
    advertised_links: Address | None = None
    platform: Platform | None = None
    seeds: tuple[Address, ...] = ()
    document: str = ''
    members: tuple[StaticMember, ...] = ()
    key_header: str = 'x-api-key'
    host: str = ''
    otlp_endpoint: str = ''
    log_level: str = 'info'
    limits: Limits = Limits()


def load_settings(path: pathlib.Path) -> Settings:
    """Read settings from a file.

    Raises:
        SettingsError: The file cannot be read or a value is not allowed.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        fault = problem.Problem('file', 0, f'cannot be read: {error}')
        raise SettingsError(str(path), [fault]) from error
    return parse_settings(text, source=str(path))


def parse_settings(text: bytes | str, *, source: str) -> Settings:
    """Read settings from YAML text.

    Raises:
        SettingsError: A value is missing, unknown or not allowed.
    """
    read = nodes.read_source(text)
    if read.problems:
        raise SettingsError(source, read.problems)
    try:
        settings = _CONVERTER.structure(read.data, Settings)
    except Exception as error:
        faults = [
            read.report(path, message)
            for path, message in _list_faults(error, ())
        ]
        raise SettingsError(source, faults) from error
    faults = [read.report(path, message) for path, message in _check(settings)]
    if faults:
        raise SettingsError(source, faults)
    return settings


def _check(
    settings: Settings,
) -> typing.Iterator[tuple[problem.Path, str]]:
    if len(settings.mesh_secret) < MIN_SECRET_LENGTH:
        yield (
            ('mesh_secret',),
            f'must have at least {MIN_SECRET_LENGTH} characters.',
        )
    if settings.log_level not in ('debug', 'info', 'warning', 'error'):
        yield (
            ('log_level',),
            'must be debug, info, warning or error, '
            f'not {settings.log_level!r}.',
        )
    host = settings.listen.target_calls.host
    if not ipaddress.ip_address(host).is_loopback:
        yield (
            ('listen', 'target_calls'),
            f'must be a loopback address such as 127.0.0.1:0, not {host}.',
        )
    if settings.platform is None and not settings.document:
        yield (
            ('platform',),
            'is missing; give the platform, or document and members for a '
            'fixed set-up.',
        )


def _list_faults(
    error: BaseException, path: problem.Path
) -> typing.Iterator[tuple[problem.Path, str]]:
    if isinstance(error, cattrs.errors.ClassValidationError):
        noted, loose = error.group_exceptions()
        for inner, note in noted:
            yield from _list_faults(inner, (*path, note.name))
        for inner in loose:
            yield from _list_faults(inner, path)
    elif isinstance(error, cattrs.errors.IterableValidationError):
        indexed, loose = error.group_exceptions()
        for inner, position in indexed:
            yield from _list_faults(inner, (*path, position.index))
        for inner in loose:
            yield from _list_faults(inner, path)
    elif isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        yield from _list_unknown(error, path)
    elif isinstance(error, KeyError):
        yield path, 'is missing.'
    else:
        yield path, f'is not allowed: {error}.'


def _list_unknown(
    error: cattrs.errors.ForbiddenExtraKeysError, path: problem.Path
) -> typing.Iterator[tuple[problem.Path, str]]:
    known = [field.name for field in dataclasses.fields(error.cl)]
    for name in sorted(error.extra_fields):
        allowed = problem.list_names(known)
        hint = problem.suggest_name(name, known)
        yield (*path, name), f'is not known; allowed here: {allowed}.{hint}'


def _build_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(
        Address, lambda value, _: parse_address(value)
    )
    for kind, name in ((str, 'text'), (int, 'a whole number')):
        converter.register_structure_hook(kind, _build_check(kind, name))
    converter.register_structure_hook(float, _take_number)
    return converter


def _build_check(
    kind: type, name: str
) -> typing.Callable[[typing.Any, typing.Any], typing.Any]:
    def take(value: typing.Any, _: typing.Any) -> typing.Any:
        if type(value) is not kind:
            raise ValueError(f'must be {name}, not {value!r}')
        return value

    return take


def _take_number(value: typing.Any, _: typing.Any) -> float:
    if type(value) not in (int, float):
        raise ValueError(f'must be a number, not {value!r}')
    return float(value)


_CONVERTER = _build_converter()
