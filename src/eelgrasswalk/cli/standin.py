"""Stand-ins for tests and the demo: target, platform and faults."""

import asyncio
import collections.abc
import dataclasses
import json
import signal

import anyio
import click
import uvloop

from ..standins import asgi
from ..standins import platform as platforms
from ..standins import serving
from ..standins import steering
from ..standins import target as targets


def parse_address(text: str) -> tuple[str, int]:
    """Split host:port.

    Raises:
        click.BadParameter: The port is no number.
    """
    host, _, port = text.rpartition(':')
    if not port.isdigit():
        raise click.BadParameter(f'{text!r} is not host:port')
    return host, int(port)


def announce(addresses: collections.abc.Sequence[str], **more: str) -> None:
    """Print the one line that says the stand-in is ready."""
    line = {'ready': True, 'addresses': list(addresses), **more}
    click.echo(json.dumps(line))


async def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


@click.group()
def main() -> None:
    """Run a stand-in for tests and the demo."""


@main.command()
@click.option('--listen', multiple=True, default=('127.0.0.1:0',))
@click.option('--node', multiple=True, help='Node of each target, in order.')
@click.option('--slots', default=100, show_default=True)
@click.option('--queue', type=int, help='Requests that may wait for a slot.')
@click.option('--ms', default=0.0, help='Service time in milliseconds.')
@click.option('--bytes', 'answer_bytes', default=0, help='Answer length.')
@click.option('--jitter', default=0.0, help='Varying share of --ms.')
@click.option('--ledger/--no-ledger', default=True)
@click.option('--seed', default=0)
def target(
    listen: tuple[str, ...],
    node: tuple[str, ...],
    slots: int,
    queue: int | None,
    ms: float,
    answer_bytes: int,
    jitter: float,
    ledger: bool,
    seed: int,
) -> None:
    """Run targets, one for each --listen."""
    behaviour = targets.Behaviour(
        slots=slots,
        queue=queue,
        service_ms=ms,
        answer_bytes=answer_bytes,
        jitter=jitter,
        ledger=ledger,
    )
    nodes = [*node, *[''] * (len(listen) - len(node))]
    pairs = list(zip(listen, nodes, strict=False))
    uvloop.run(run_targets(pairs, behaviour, seed))


async def run_targets(
    pairs: collections.abc.Sequence[tuple[str, str]],
    behaviour: targets.Behaviour,
    seed: int,
) -> None:
    """Serve targets until a signal comes."""
    addresses = []
    for index, (listen, node) in enumerate(pairs):
        one = targets.Target(
            dataclasses.replace(behaviour, node=node),
            seed=seed + index,
        )
        host, port = parse_address(listen)
        _, one.name = await serving.start_server(one.handle, host, port)
        addresses.append(one.name)
    announce(addresses)
    await wait_for_stop()


@main.command()
@click.option('--listen', default='127.0.0.1:0', show_default=True)
@click.option('--writes-per-s', default=400.0, show_default=True)
@click.option('--reads-per-s', default=2000.0, show_default=True)
@click.option('--seed', default=0)
def platform(
    listen: str, writes_per_s: float, reads_per_s: float, seed: int
) -> None:
    """Run the platform's table service and object store."""
    behaviour = platforms.Behaviour(
        writes_per_s=writes_per_s, reads_per_s=reads_per_s
    )
    standin = platforms.PlatformStandin(behaviour, seed=seed)
    listener = asgi.bind_socket(*parse_address(listen))
    announce([asgi.get_address(listener)])
    uvloop.run(asgi.serve(standin.make_application(), listener, wait_for_stop))


@main.command()
@click.option('--control', default='127.0.0.1:0', show_default=True)
@click.option('--tcp', multiple=True, help='Address that a route leads to.')
@click.option('--udp', multiple=True, help='Address that a route leads to.')
@click.option('--seed', default=0)
def faults(
    control: str, tcp: tuple[str, ...], udp: tuple[str, ...], seed: int
) -> None:
    """Run a proxy that injects faults, steered over HTTP."""
    routes = [('tcp', each) for each in tcp] + [('udp', each) for each in udp]
    uvloop.run(run_faults(control, routes, seed))


async def run_faults(
    control: str,
    routes: collections.abc.Sequence[tuple[str, str]],
    seed: int,
) -> None:
    """Proxy until a signal comes."""
    async with anyio.create_task_group() as group:
        proxy = steering.Steering(group, seed=seed)
        addresses = []
        for kind, upstream in routes:
            state = await proxy.add(
                kind, parse_address(upstream), ('127.0.0.1', 0)
            )
            addresses.append(state.listen)
        _, address = await serving.start_server(
            proxy.handle, *parse_address(control)
        )
        announce(addresses, control=address)
        await wait_for_stop()
        group.cancel_scope.cancel()


if __name__ == '__main__':
    main()
