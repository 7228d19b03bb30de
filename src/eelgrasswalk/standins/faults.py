"""A TCP and UDP proxy that delays, drops, cuts and goes silent.

A proxy has routes, each from an address that it listens on to one upstream
address. Forward is the direction towards the upstream address.
"""

import collections.abc
import contextlib
import dataclasses
import enum
import random
import socket
import struct
import time
import typing

import anyio
import anyio.abc

_CHUNK_BYTES = 65_536
_BUFFERED_CHUNKS = 64
_RESET = struct.pack('ii', 1, 0)

_Peer: typing.TypeAlias = tuple[str, int]
_Chunk: typing.TypeAlias = tuple[float, bytes]
_BROKEN = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    # What uvloop raises for a connection that it has closed already.
    AttributeError,
    RuntimeError,
    ValueError,
)


class Direction(enum.Enum):
    """Where bytes go."""

    FORWARD = 'forward'
    BACKWARD = 'backward'
    BOTH = 'both'

    def covers(self, other: 'Direction') -> bool:
        """Tell whether this direction includes another."""
        return self is Direction.BOTH or self is other


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """A fault on a route; the first rule that matches is applied.

    Args:
        direction: Where it is applied.
        peers: Clients of the route it is applied to, as host or host:port;
            empty for all.
        delay_s: Seconds that bytes take.
        jitter_s: Most seconds more, drawn anew for each chunk or datagram.
        drop_ratio: Share of datagrams dropped.
        swallow: Whether everything vanishes, on new connections too.
    """

    direction: Direction = Direction.BOTH
    peers: tuple[str, ...] = ()
    delay_s: float = 0.0
    jitter_s: float = 0.0
    drop_ratio: float = 0.0
    swallow: bool = False

    def matches(self, direction: Direction, peer: _Peer) -> bool:
        """Tell whether the rule is applied to a client's bytes."""
        if not self.direction.covers(direction):
            return False
        host, port = peer
        names = (host, f'{host}:{port}')
        return not self.peers or any(name in self.peers for name in names)


_NO_FAULT = Rule()


class Faults:
    """The rules of one route and its random numbers."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self.rules: tuple[Rule, ...] = ()
        self.refuse = False

    def find_rule(self, direction: Direction, peer: _Peer) -> Rule:
        """Return the rule for a client's bytes."""
        for rule in self.rules:
            if rule.matches(direction, peer):
                return rule
        return _NO_FAULT

    def draw_delay(self, rule: Rule) -> float:
        """Return the seconds that one chunk or datagram takes."""
        if rule.jitter_s <= 0:
            return rule.delay_s
        return rule.delay_s + self._random.uniform(0, rule.jitter_s)

    def drops(self, rule: Rule) -> bool:
        """Tell whether one datagram is dropped."""
        return rule.swallow or self._random.random() < rule.drop_ratio


class Link:
    """One proxied TCP connection."""

    def __init__(
        self,
        faults: Faults,
        client: anyio.abc.SocketStream,
        upstream: anyio.abc.SocketStream,
    ) -> None:
        self._faults = faults
        self._client = client
        self._upstream = upstream
        self._peer = _read_peer(client)
        self._silent: set[Direction] = set()

    async def run(self) -> None:
        """Pass bytes until both ends have finished or one is broken."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._pass, Direction.FORWARD)
            group.start_soon(self._pass, Direction.BACKWARD)

    def silence(self, direction: Direction) -> None:
        """Swallow all that comes, for good."""
        for each in (Direction.FORWARD, Direction.BACKWARD):
            if direction.covers(each):
                self._silent.add(each)

    async def cut(self) -> None:
        """Reset both ends."""
        for stream in (self._client, self._upstream):
            await reset(stream)

    async def _pass(self, direction: Direction) -> None:
        source, sink = self._client, self._upstream
        if direction is Direction.BACKWARD:
            source, sink = sink, source
        enter, leave = anyio.create_memory_object_stream[_Chunk](
            _BUFFERED_CHUNKS
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._receive, source, enter, direction)
            group.start_soon(self._send, sink, leave, direction)

    async def _receive(
        self,
        source: anyio.abc.SocketStream,
        enter: anyio.abc.ObjectSendStream[_Chunk],
        direction: Direction,
    ) -> None:
        due = 0.0
        async with enter:
            while True:
                try:
                    data = await source.receive(_CHUNK_BYTES)
                except anyio.EndOfStream:
                    return
                except _BROKEN:
                    await self._break(direction)
                    return
                rule = self._faults.find_rule(direction, self._peer)
                delay = self._faults.draw_delay(rule)
                due = max(due, time.monotonic() + delay)
                if not self._swallows(direction):
                    await enter.send((due, data))

    async def _send(
        self,
        sink: anyio.abc.SocketStream,
        leave: anyio.abc.ObjectReceiveStream[_Chunk],
        direction: Direction,
    ) -> None:
        async for due, data in leave:
            await anyio.sleep(max(0.0, due - time.monotonic()))
            if self._swallows(direction):
                continue
            try:
                await sink.send(data)
            except _BROKEN:
                await self._break(direction)
        if not self._swallows(direction):
            with contextlib.suppress(*_BROKEN):
                await sink.send_eof()

    async def _break(self, direction: Direction) -> None:
        if not self._swallows(direction):
            await self.cut()

    def _swallows(self, direction: Direction) -> bool:
        if direction in self._silent:
            return True
        return self._faults.find_rule(direction, self._peer).swallow


class TcpRoute:
    """Proxies TCP connections."""

    kind = 'tcp'

    def __init__(self, upstream: _Peer, *, seed: int = 0) -> None:
        self.upstream = upstream
        self.faults = Faults(seed)
        self.address: _Peer = ('', 0)
        self._links: set[Link] = set()

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._links)

    async def run(
        self,
        listen: _Peer,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen and proxy until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=listen[0], local_port=listen[1], backlog=1024
        )
        async with listener:
            attribute = anyio.abc.SocketAttribute.local_address
            self.address = _make_peer(listener.extra(attribute))
            task_status.started()
            await listener.serve(self._accept)

    async def cut(self) -> None:
        """Reset all open connections."""
        for link in tuple(self._links):
            await link.cut()

    def silence(self, direction: Direction) -> None:
        """Make all open connections silent for good; new ones work."""
        for link in self._links:
            link.silence(direction)

    async def _accept(self, client: anyio.abc.SocketStream) -> None:
        if self.faults.refuse:
            await reset(client)
            return
        try:
            upstream = await anyio.connect_tcp(*self.upstream)
        except OSError:
            await reset(client)
            return
        try:
            async with client, upstream:
                await self._relay(client, upstream)
        except* _BROKEN:
            pass
        except* anyio.TypedAttributeLookupError:
            # The client had gone before its address was read.
            pass

    async def _relay(
        self, client: anyio.abc.SocketStream, upstream: anyio.abc.SocketStream
    ) -> None:
        link = Link(self.faults, client, upstream)
        self._links.add(link)
        try:
            await link.run()
        finally:
            self._links.discard(link)


class UdpRoute:
    """Proxies UDP datagrams; each client gets a socket of its own."""

    kind = 'udp'

    def __init__(self, upstream: _Peer, *, seed: int = 0) -> None:
        self.upstream = upstream
        self.faults = Faults(seed)
        self.address: _Peer = ('', 0)
        self._sockets: dict[_Peer, anyio.abc.ConnectedUDPSocket] = {}

    @property
    def open_count(self) -> int:
        """Number of clients seen."""
        return len(self._sockets)

    async def run(
        self,
        listen: _Peer,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen and proxy until cancelled."""
        async with (
            await anyio.create_udp_socket(
                socket.AF_INET, local_host=listen[0], local_port=listen[1]
            ) as entrance,
            anyio.create_task_group() as group,
        ):
            attribute = anyio.abc.SocketAttribute.local_address
            self.address = _make_peer(entrance.extra(attribute))
            task_status.started()
            async for data, peer in entrance:
                exit_ = await self._get_socket(peer, entrance, group)
                self._schedule(
                    group, exit_.send, data, peer, Direction.FORWARD
                )

    async def cut(self) -> None:
        """Forget all clients."""
        sockets = tuple(self._sockets.values())
        self._sockets.clear()
        for each in sockets:
            await each.aclose()

    def silence(self, direction: Direction) -> None:
        """Swallow all datagrams of the direction."""
        rule = Rule(direction=direction, swallow=True)
        self.faults.rules = (rule, *self.faults.rules)

    async def _get_socket(
        self,
        peer: _Peer,
        entrance: anyio.abc.UDPSocket,
        group: anyio.abc.TaskGroup,
    ) -> anyio.abc.ConnectedUDPSocket:
        found = self._sockets.get(peer)
        if found is None:
            found = await anyio.create_connected_udp_socket(*self.upstream)
            self._sockets[peer] = found
            group.start_soon(self._return, found, peer, entrance, group)
        return found

    async def _return(
        self,
        source: anyio.abc.ConnectedUDPSocket,
        peer: _Peer,
        entrance: anyio.abc.UDPSocket,
        group: anyio.abc.TaskGroup,
    ) -> None:
        async def answer(data: bytes) -> None:
            await entrance.sendto(data, *peer)

        while self._sockets.get(peer) is source:
            try:
                data = await source.receive()
            except _BROKEN:
                continue
            self._schedule(group, answer, data, peer, Direction.BACKWARD)

    def _schedule(
        self,
        group: anyio.abc.TaskGroup,
        send: collections.abc.Callable[
            [bytes], collections.abc.Awaitable[None]
        ],
        data: bytes,
        peer: _Peer,
        direction: Direction,
    ) -> None:
        rule = self.faults.find_rule(direction, peer)
        if self.faults.drops(rule):
            return
        delay = self.faults.draw_delay(rule)
        group.start_soon(_send_later, send, data, delay)


Route: typing.TypeAlias = TcpRoute | UdpRoute


async def reset(stream: anyio.abc.SocketStream) -> None:
    """Close a connection with a reset."""
    attribute = anyio.abc.SocketAttribute.raw_socket
    with contextlib.suppress(*_BROKEN):
        raw = stream.extra(attribute)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    with contextlib.suppress(*_BROKEN):
        await anyio.aclose_forcefully(stream)


async def _send_later(
    send: collections.abc.Callable[[bytes], collections.abc.Awaitable[None]],
    data: bytes,
    delay: float,
) -> None:
    if delay > 0:
        await anyio.sleep(delay)
    with contextlib.suppress(*_BROKEN):
        await send(data)


def _read_peer(stream: anyio.abc.SocketStream) -> _Peer:
    return _make_peer(stream.extra(anyio.abc.SocketAttribute.remote_address))


def _make_peer(address: tuple[str, int] | str) -> _Peer:
    host, port = address[0], address[1]
    return str(host), int(port)
