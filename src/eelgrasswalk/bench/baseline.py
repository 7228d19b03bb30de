"""Baselines of the overload experiment as a process of their own.

Forwards by path to the upstreams of a service in turn, with retries at every
hop: `none` without limits, `static` with a fixed limit and queue for each
upstream.
"""

import asyncio
import dataclasses
import itertools
import json
import pathlib

import cattrs
import click
import uvloop

from ..standins import calling
from ..standins import serving

QUEUE_FACTOR = 2
TIMED_OUT = serving.Reply(504)
REFUSED = serving.Reply(503)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a baseline forwards.

    Args:
        services: Addresses of each service's targets.
        prefixes: Service by first part of the path.
        slots: Fixed limit of each service's upstreams; None for no limit.
        retries: Retries of every hop.
        timeout_s: Seconds that a hop waits for an answer.
    """

    services: dict[str, list[str]]
    prefixes: dict[str, str]
    slots: dict[str, int] | None
    retries: int
    timeout_s: float = 1.0


class Upstream:
    """One target with its limit."""

    def __init__(self, address: str, slots: int | None) -> None:
        self._caller = calling.Caller(address)
        self._slots = slots
        self._limit = asyncio.Semaphore(slots or 1)
        self._present = 0

    async def call(self, target: str) -> serving.Reply:
        """Forward a call, or refuse it when the queue is full."""
        if self._slots is None:
            return await self._caller.call('GET', target)
        if self._present >= (1 + QUEUE_FACTOR) * self._slots:
            return REFUSED
        self._present += 1
        try:
            async with self._limit:
                return await self._caller.call('GET', target)
        finally:
            self._present -= 1


class Forwarder:
    """Forwards calls."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._turns = {
            name: itertools.cycle(
                [
                    Upstream(each, plan.slots[name] if plan.slots else None)
                    for each in addresses
                ]
            )
            for name, addresses in plan.services.items()
        }

    async def handle(self, request: serving.Request) -> serving.Reply:
        """Forward one call with its retries."""
        target = request.target.decode()
        prefix = target.split('/')[1].split('?')[0]
        turns = self._turns[self._plan.prefixes[prefix]]
        reply = TIMED_OUT
        for _ in range(1 + self._plan.retries):
            reply = await self._try_once(next(turns), target)
            if reply.status < 500:
                break
        return serving.Reply(reply.status, reply.body)

    async def _try_once(
        self, upstream: Upstream, target: str
    ) -> serving.Reply:
        try:
            async with asyncio.timeout(self._plan.timeout_s):
                return await upstream.call(target)
        except (TimeoutError, calling.CallError, OSError):
            return TIMED_OUT


async def serve(plan: Plan, port: int) -> None:
    """Forward until the process is ended."""
    forwarder = Forwarder(plan)
    _, address = await serving.start_server(
        forwarder.handle, '127.0.0.1', port
    )
    click.echo(json.dumps({'ready': True, 'address': address}))
    await asyncio.get_running_loop().create_future()


def encode_plan(plan: Plan) -> str:
    """Return a plan as text for its process."""
    return json.dumps(dataclasses.asdict(plan))


@click.command()
@click.argument('path', type=click.Path(path_type=pathlib.Path))
@click.option('--port', type=int, required=True)
def main(path: pathlib.Path, port: int) -> None:
    """Forward by the plan in PATH."""
    plan = cattrs.structure(json.loads(path.read_text()), Plan)
    uvloop.run(serve(plan, port))


if __name__ == '__main__':
    main()
