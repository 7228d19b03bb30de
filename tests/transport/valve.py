"""A TCP relay whose connections can be cut, held and swallowed."""

import asyncio
import dataclasses


@dataclasses.dataclass(slots=True)
class Pair:
    """One relayed connection."""

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    held: bytearray = dataclasses.field(default_factory=bytearray)


class Valve:
    """Relays connections to an address until told otherwise.

    Setting `hold_forth` keeps the bytes towards the far side back on every
    connection; `swallow_back` loses the bytes towards the near side.
    """

    def __init__(self, host: str, port: int) -> None:
        self.far_address = (host, port)
        self.pairs: list[Pair] = []
        self.hold_forth = False
        self.swallow_back = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> tuple[str, int]:
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        address = self._server.sockets[0].getsockname()
        return address[0], address[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self.cut()
        for task in self._tasks:
            task.cancel()

    def cut(self) -> None:
        """Close the near side of every connection; keep the far side."""
        for pair in self.pairs:
            pair.near.transport.abort()

    def release(self) -> None:
        """Send on what was held back, also of connections that were cut."""
        self.hold_forth = False
        for pair in self.pairs:
            if not pair.far.is_closing():
                pair.far.write(bytes(pair.held))
            pair.held.clear()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self.far_address
            )
        except OSError:
            writer.transport.abort()
            return
        pair = Pair(writer, far_writer)
        self.pairs.append(pair)
        for relay in (
            self._relay_forth(reader, pair),
            self._relay_back(far_reader, pair),
        ):
            task = asyncio.create_task(relay)
            self._tasks.add(task)

    async def _relay_forth(
        self, reader: asyncio.StreamReader, pair: Pair
    ) -> None:
        while data := await self._read(reader):
            if self.hold_forth or pair.held:
                pair.held += data
            else:
                pair.far.write(data)

    async def _relay_back(
        self, reader: asyncio.StreamReader, pair: Pair
    ) -> None:
        while data := await self._read(reader):
            if not self.swallow_back:
                pair.near.write(data)
        pair.near.close()

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        try:
            return await reader.read(65_536)
        except ConnectionError:
            return b''
