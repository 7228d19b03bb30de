"""Steering of the fault-injecting proxy over HTTP.

GET /routes lists the routes; POST /routes adds one. POST /routes/N/rules
sets a route's rules, /routes/N/cut resets its open connections,
/routes/N/silence makes them silent for good, /routes/N/refuse refuses new
ones and /routes/N/upstream changes where new ones go.
"""

import dataclasses
import json
import typing

import anyio.abc

from . import faults
from . import serving


@dataclasses.dataclass(frozen=True, slots=True)
class RouteState:
    """What the proxy tells about a route.

    Args:
        number: The route's number.
        kind: `tcp` or `udp`.
        listen: Address that it listens on.
        upstream: Address that it leads to.
        open: Open connections or clients.
    """

    number: int
    kind: str
    listen: str
    upstream: str
    open: int


class Steering:
    """Adds routes to a proxy and changes their faults."""

    def __init__(self, group: anyio.abc.TaskGroup, *, seed: int = 0) -> None:
        self._group = group
        self._seed = seed
        self._routes: list[faults.Route] = []

    async def add(
        self, kind: str, upstream: tuple[str, int], listen: tuple[str, int]
    ) -> RouteState:
        """Add a route.

        Args:
            kind: `tcp` or `udp`.
            upstream: Where it leads to.
            listen: Where it listens; port 0 for a free one.
        """
        number = len(self._routes)
        make = faults.UdpRoute if kind == 'udp' else faults.TcpRoute
        route = make(upstream, seed=self._seed + number)
        self._routes.append(route)
        await self._group.start(route.run, listen)
        return self._describe(number)

    async def handle(self, request: serving.Request) -> serving.Reply:
        """Answer one request."""
        try:
            return await self._dispatch(request)
        except (KeyError, IndexError, TypeError, ValueError) as error:
            return serving.make_json_reply({'error': repr(error)}, 400)

    async def _dispatch(self, request: serving.Request) -> serving.Reply:
        content = json.loads(request.body) if request.body else {}
        parts = request.target.decode().strip('/').split('/')
        if parts == ['routes'] and request.method == 'POST':
            state = await self.add(
                content['kind'],
                parse_address(content['upstream']),
                parse_address(content.get('listen', '127.0.0.1:0')),
            )
            return serving.make_json_reply(dataclasses.asdict(state))
        if parts == ['routes']:
            states = map(self._describe, range(len(self._routes)))
            return serving.make_json_reply(
                [dataclasses.asdict(state) for state in states]
            )
        _, number, action = parts
        await self._change(self._routes[int(number)], action, content)
        state = self._describe(int(number))
        return serving.make_json_reply(dataclasses.asdict(state))

    async def _change(
        self, route: faults.Route, action: str, content: typing.Any
    ) -> None:
        match action:
            case 'rules':
                rules = tuple(_make_rule(each) for each in content['rules'])
                route.faults.rules = rules
            case 'cut':
                await route.cut()
            case 'silence':
                name = content.get('direction', 'both')
                route.silence(faults.Direction(name))
            case 'refuse':
                route.faults.refuse = bool(content.get('refuse', True))
            case 'upstream':
                route.upstream = parse_address(content['upstream'])
            case _:
                raise ValueError(f'no such action: {action}')

    def _describe(self, number: int) -> RouteState:
        route = self._routes[number]
        return RouteState(
            number,
            route.kind,
            _format(route.address),
            _format(route.upstream),
            route.open_count,
        )


def parse_address(text: str) -> tuple[str, int]:
    """Split host:port.

    Raises:
        ValueError: The port is no number.
    """
    host, _, port = text.rpartition(':')
    return host, int(port)


def _make_rule(content: dict[str, typing.Any]) -> faults.Rule:
    fields = dict(content)
    fields['direction'] = faults.Direction(fields.get('direction', 'both'))
    fields['peers'] = tuple(fields.get('peers', ()))
    return faults.Rule(**fields)


def _format(address: tuple[str, int]) -> str:
    return f'{address[0]}:{address[1]}'
