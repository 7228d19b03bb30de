"""Targets whose answers never end, and the memory of processes."""

import asyncio
import contextlib
import pathlib
import re
import typing

from eelgrasswalk.standins import app

PART_BYTES = 262_144
_HEAD = b'HTTP/1.1 200 OK\r\nattempt-id: %b\r\nresponse-stamp: s\r\n'


def _build_chunks(size: int) -> bytes:
    """Return about PART_BYTES of chunks with bodies of a size."""
    chunk = b'%x\r\n%b\r\n' % (size, b'x' * size)
    return chunk * max(1, PART_BYTES // len(chunk))


# The head of an answer with its last field, and what follows without end.
KINDS: typing.Final[dict[str, tuple[bytes, bytes]]] = {
    'unframed': (b'\r\n', b'x' * PART_BYTES),
    'long': (b'content-length: 900000000000\r\n\r\n', b'x' * PART_BYTES),
    'chunks': (
        b'transfer-encoding: chunked\r\n\r\n',
        _build_chunks(65_536),
    ),
    'small chunks': (
        b'transfer-encoding: chunked\r\n\r\n',
        _build_chunks(40),
    ),
    'single bytes': (
        b'transfer-encoding: chunked\r\n\r\n',
        _build_chunks(1),
    ),
    'foreign answers': (
        b'content-length: 60000\r\n\r\n' + b'x' * 60_000,
        b'HTTP/1.1 200 OK\r\nattempt-id: another\r\n'
        b'content-length: 60000\r\n\r\n' + b'x' * 60_000,
    ),
    'head': (b'x-endless: ', b'x' * PART_BYTES),
    'fields': (b'', b'x-field: x\r\n' * 20_000),
    'interim answers': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 8_000),
    'extension': (
        b'transfer-encoding: chunked\r\n\r\n5;a=',
        b'x' * PART_BYTES,
    ),
    'trailers': (
        b'transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n',
        b'x-trailer: x\r\n' * 18_000,
    ),
}


class FloodStandin(app.AppStandin):
    """Answers calls below `/flood/` without end, and others as usual.

    Attributes:
        kind: What its endless answers consist of.
    """

    def __init__(self, target_id: str, service: str) -> None:
        super().__init__(target_id, service, slots=64)
        self.kind = 'chunks'
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> int:
        """Listen on loopback, and return the port."""
        self._listener = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        self.port = self._listener.sockets[0].getsockname()[1]
        return self.port

    async def stop(self) -> None:
        """Close every connection."""
        assert self._listener is not None
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()
        while self._writers:
            await asyncio.sleep(0.01)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    await self._serve_one(reader, writer)
        finally:
            writer.transport.abort()
            await asyncio.sleep(0)
            self._writers.discard(writer)

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        path = head.split(b' ', 2)[1]
        fields = dict(
            line.lower().split(b': ', 1)
            for line in head.split(b'\r\n')[1:]
            if b': ' in line
        )
        await reader.readexactly(int(fields.get(b'content-length', b'0')))
        request_id = fields.get(b'attempt-id', b'')
        if b'/flood/' in path:
            await self._flood(writer, request_id)
        body = b'answer'
        writer.write(
            _HEAD % request_id
            + b'instance-id: %b\r\n' % self.target_id.encode()
            + b'content-length: %d\r\n\r\n' % len(body)
            + body
        )
        await writer.drain()

    async def _flood(
        self, writer: asyncio.StreamWriter, request_id: bytes
    ) -> None:
        first, endless = KINDS[self.kind]
        head = _HEAD % request_id
        if self.kind == 'foreign answers':
            head = _HEAD % b'another'
        writer.write(head + first)
        while True:
            writer.write(endless)
            await writer.drain()
            # Writes that are taken at once let nothing else run.
            await asyncio.sleep(0)


def read_peak_mb(pid: int) -> float:
    """Return the peak of a process's resident memory, in MB."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    (line,) = re.findall(r'^VmHWM:\s+(\d+) kB$', status, re.MULTILINE)
    return int(line) / 1024
