"""The command that explains where a request would go."""

import collections.abc
import dataclasses
import pathlib
import sys
import typing

import click

from ..operations import fleet
from ..operations import placement
from . import nodes
from . import terminal

MAX_KEY_BYTES = 4096
_CODES = {
    'unknown_route': terminal.ExitCode.ROUTE_UNKNOWN,
    'unknown_key': terminal.ExitCode.KEY_UNKNOWN,
    'missing_key': terminal.ExitCode.KEY_MISSING,
    'not_ready': terminal.ExitCode.NODE_NOT_READY,
    'bad_question': terminal.ExitCode.USAGE,
}


@click.command('explain-placement')
@click.argument('addresses', metavar='NODE...', nargs=-1, required=True)
@click.option('--host', required=True, help='Host name of the request.')
@click.option('--path', required=True, help='Path of the request.')
@click.option(
    '--method', default='GET', show_default=True, help='Method of the request.'
)
@click.option(
    '--key-file',
    default='',
    help='File with the API key; - for standard input.',
)
@click.option('--json', 'as_json', is_flag=True, help='Like --output json.')
@click.pass_context
def explain_placement(
    context: click.Context,
    addresses: tuple[str, ...],
    host: str,
    path: str,
    method: str,
    key_file: str,
    as_json: bool,
) -> None:
    """Explain where a request would go now, as each NODE sees it.

    NODE is the metrics address of a node, IP:PORT. The request is not sent,
    and asking changes nothing.
    """
    session: terminal.Session = context.obj
    if as_json:
        session = dataclasses.replace(session, output=terminal.Output.JSON)
        context.find_root().obj = session
    if not path.startswith('/'):
        raise terminal.Failure(
            terminal.ExitCode.USAGE, f"--path {path} must begin with '/'."
        )
    question = placement.Question(host, path, method, _read_key(key_file))
    _ask_all(session, addresses, question)


@terminal.run_async
async def _ask_all(
    session: terminal.Session,
    addresses: collections.abc.Sequence[str],
    question: placement.Question,
) -> None:
    async with session.connections.open_fleet() as client:
        answers = [
            await placement.ask(client, address, question)
            for address in addresses
        ]
    explained = [a for a in answers if isinstance(a, placement.Explained)]
    failures = [
        _build_failure(answer)
        for answer in answers
        if not isinstance(answer, placement.Explained)
    ]
    if explained:
        session.emit(
            {'nodes': [answer.explanation for answer in explained]},
            _format_all(explained),
        )
    if not failures:
        return
    for failure in failures[1:]:
        session.tell(f'Error: {failure.message}')
    if explained:
        # The result on standard output must stay one JSON object.
        session.tell(f'Error: {failures[0].message}')
        raise click.exceptions.Exit(failures[0].exit_code)
    raise failures[0]


def _read_key(path: str) -> str:
    """Return the key in a file; empty without a file."""
    if not path:
        return ''
    try:
        if path == '-':
            content = sys.stdin.buffer.read(MAX_KEY_BYTES)
        else:
            with pathlib.Path(path).open('rb') as stream:
                content = stream.read(MAX_KEY_BYTES)
        key = content.decode('ascii').strip()
    except OSError as error:
        raise terminal.Failure(
            terminal.ExitCode.USAGE,
            f'{path} cannot be read: {error.strerror}. Name a file that holds '
            'one API key.',
        ) from error
    except UnicodeDecodeError:
        key = ''
    if not key or not key.isprintable() or len(content) >= MAX_KEY_BYTES:
        raise terminal.Failure(
            terminal.ExitCode.USAGE,
            f'{path} holds no API key. Name a file that holds one API key.',
        )
    return key


def _build_failure(
    answer: placement.Rejected | placement.TooOld | fleet.Unreachable,
) -> terminal.Failure:
    if isinstance(answer, fleet.Unreachable):
        return terminal.Failure(
            terminal.ExitCode.NODE_UNREACHABLE,
            f'{answer.address} did not answer: {answer.detail}. Give the '
            'metrics address of a node, or see whether it runs.',
        )
    if isinstance(answer, placement.TooOld):
        return terminal.Failure(
            terminal.ExitCode.NODE_TOO_OLD,
            f'{answer.address} does not know this question. Ask a node of '
            'the same version as this command.',
        )
    return terminal.Failure(
        _CODES.get(answer.error, terminal.ExitCode.FAILED),
        f'{answer.address}: {answer.detail or answer.error}',
    )


# Text


def _format_all(
    answers: collections.abc.Sequence[placement.Explained],
) -> collections.abc.Iterator[str]:
    for index, answer in enumerate(answers):
        if index:
            yield ''
        yield from _format_explanation(answer.explanation)


def _format_explanation(
    data: dict[str, typing.Any],
) -> collections.abc.Iterator[str]:
    rules = data['rules']
    yield f'As {data["node_id"]} in {data["data_centre"]} sees it:'
    yield f'  rules: version {rules["version"]}, {_format_age(rules["age_s"])}'
    if not rules['is_fresh']:
        yield '  The rules may be out of date; requests with keys are refused.'
    account = data['account'] or 'none needed'
    yield f'  route: {data["route"]}, account: {account}'
    yield (
        f'  importance: {data["importance"]}, time limit: '
        f'{data["timeout_s"]:g} s, upstreams at most: {data["max_upstreams"]}'
        f', idempotent: {"yes" if data["is_idempotent"] else "no"}'
    )
    if data['rate'] is not None:
        yield f'  rate: {_format_rate(data["rate"])}'
    homes = data['homes']
    yield f'  homes: {"all" if homes is None else ", ".join(homes) or "none"}'
    if data['evacuated']:
        yield f'  evacuated: {", ".join(data["evacuated"])}'
    for service in data['services']:
        yield from _format_service(service)
    if data['omitted_services']:
        yield f'  and {data["omitted_services"]} more services'


def _format_rate(rate: dict[str, typing.Any]) -> str:
    if not rate['rate']:
        return 'no limit'
    text = f'{rate["rate"]:g}/s, burst {rate["burst"]:g}'
    if rate['is_near'] is None:
        return f'{text}; tokens unknown: {rate["detail"]}'
    near = 'used up' if rate['is_near'] else 'not used up'
    return f'{text}; {near}, tokens {_format_figure(rate["tokens"])}'


def _format_service(
    data: dict[str, typing.Any],
) -> collections.abc.Iterator[str]:
    yield ''
    yield (
        f'{data["service"]}: {data["share"]:.0%} of the calls, expected time '
        f'{_format_figure(data["expected_cost_s"], " s")}'
    )
    yield f'  {data["compared"]}'
    yield f'  quarantine: {_format_quarantine(data["quarantine"])}'
    own = data['own_target']
    if own is not None:
        names: tuple[str, ...] = (
            'running',
            'queued',
            'limit',
            'load',
            'service_s',
        )
        names += ('cold_left_s', 'slowdown')
        figures = (f'{name} {_format_figure(own[name])}' for name in names)
        yield f'  own target: {", ".join(figures)}'
    if data['candidates']:
        yield ''
        rows = [_format_candidate(item) for item in data['candidates']]
        head: tuple[str, ...] = (
            'NODE',
            'DATA CENTRE',
            'COST',
            'LOAD',
            'REPORTED',
            'IN FLIGHT',
        )
        head += ('LATENCY', 'WAIT', 'SLOWNESS', 'FAILURES', 'COLD')
        head += ('UNREACHABLE', 'LEFT OUT')
        for line in nodes.format_table([head, *rows]):
            yield f'  {line}'
    for item in data['absent']:
        yield (
            f'  {item["node_id"]} in {item["data_centre"]}: left out, '
            f'{item["exclusion"]} ({item["state"]})'
        )
    if data['omitted']:
        yield f'  and {data["omitted"]} more'
    for rule, count in sorted(data['omitted_by_rule'].items()):
        yield f'  left out as {rule}: {count} in all'


def _format_quarantine(data: dict[str, typing.Any]) -> str:
    if not data['is_known']:
        return 'unknown here; ask a node of the service'
    return (
        f'{data["standing"]} without a body; {data["records"]} records of '
        'this method, path and account'
    )


def _format_candidate(data: dict[str, typing.Any]) -> tuple[str, ...]:
    exclusion = data['exclusion'] or '-'
    return (
        data['node_id'],
        data['data_centre'],
        f'{data["cost"]:.2f}' + (' stalled' if data['is_stalled'] else ''),
        f'{data["estimated_load"]["value"]:.2f}',
        *(
            _format_figure(data[name])
            for name in (
                'load',
                'in_flight',
                'latency_ratio',
                'wait_s',
                'slowness',
                'failure_rate',
                'cold_left_s',
                'unreachable_left_s',
            )
        ),
        exclusion,
    )


def _format_figure(figure: dict[str, typing.Any], unit: str = '') -> str:
    if figure['value'] is None:
        return 'unknown'
    return f'{figure["value"]:.3g}{unit} ({_format_age(figure["age_s"])})'


def _format_age(age_s: float | None) -> str:
    return 'age unknown' if age_s is None else f'{age_s:.1f} s old'


COMMANDS = (explain_placement,)
