"""A network in memory, on a loop whose time a test controls.

Nothing is delivered and no time passes unless the test says so, so that every
order of deliveries, cuts, restarts and timeouts can be tried.
"""

import asyncio
import collections
import collections.abc
import selectors
import typing

SETTLING_ROUNDS = 10


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop that never sleeps; its time is moved by hand."""

    def __init__(self) -> None:
        super().__init__(_Selector())
        self.now = 1000.0

    def time(self) -> float:
        return self.now


class _Selector(selectors.SelectSelector):
    """Looks for events and does not wait for any."""

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        return super().select(0)


async def settle() -> None:
    """Let everything that is ready have its turn."""
    for _ in range(SETTLING_ROUNDS):
        await asyncio.sleep(0)


class Transport(asyncio.Transport):
    """One end of a connection in memory."""

    def __init__(self, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self.protocol = protocol
        self.outgoing: collections.deque[bytes] = collections.deque()
        self.is_lost = False
        self.has_ended = False

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        pass

    def write(self, data: typing.Any) -> None:
        if not self.has_ended:
            self.outgoing.append(bytes(data))

    def close(self) -> None:
        self.has_ended = True
        asyncio.get_running_loop().call_soon(self.lose)

    def abort(self) -> None:
        self.outgoing.clear()
        self.close()

    def lose(self) -> None:
        """Tell the protocol once that the connection is gone."""
        self.has_ended = True
        if not self.is_lost:
            self.is_lost = True
            self.protocol.connection_lost(None)


class Pair:
    """A connection: the end that opened it and the one that accepted it."""

    def __init__(self, near: Transport, far: Transport) -> None:
        self.near = near
        self.far = far

    def deliver_forward(self) -> bool:
        """Deliver what the near end has sent; return whether it was any."""
        return _deliver(self.near, self.far)

    def deliver_back(self) -> bool:
        """Deliver what the far end has sent; return whether it was any."""
        return _deliver(self.far, self.near)

    def cut(self, *, keep: bool) -> None:
        """Lose the connection.

        Args:
            keep: Whether what is on its way forward arrives later.
        """
        self.near.lose()
        self.far.outgoing.clear()
        if not keep:
            self.near.outgoing.clear()
            self.far.lose()


def _deliver(sender: Transport, receiver: Transport) -> bool:
    had_any = False
    while sender.outgoing:
        data = sender.outgoing.popleft()
        if not receiver.has_ended:
            had_any = True
            receiver.protocol.data_received(data)
    if sender.has_ended and not receiver.is_lost:
        had_any = True
        receiver.lose()
    return had_any


Accept: typing.TypeAlias = collections.abc.Callable[[], asyncio.Protocol]


class Network:
    """Hosts by port, and the connections between them."""

    def __init__(self) -> None:
        self.hosts: dict[int, Accept] = {}
        self.pairs: list[Pair] = []

    async def connect(
        self,
        factory: collections.abc.Callable[[], asyncio.Protocol],
        host: str,
        port: int,
    ) -> tuple[Transport, asyncio.Protocol]:
        """Stand in for the loop's create_connection."""
        accept = self.hosts.get(port)
        if accept is None:
            raise ConnectionRefusedError
        near, far = Transport(factory()), Transport(accept())
        self.pairs.append(Pair(near, far))
        far.protocol.connection_made(far)
        near.protocol.connection_made(near)
        return near, near.protocol

    async def flow(self) -> None:
        """Deliver everything both ways until nothing is on its way."""
        moved = True
        while moved:
            moved = False
            for pair in list(self.pairs):
                moved |= pair.deliver_forward()
                await settle()
                moved |= pair.deliver_back()
                await settle()
