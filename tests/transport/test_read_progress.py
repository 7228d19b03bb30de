"""Tests of following what a peer has taken of what was written."""

import asyncio
import socket
import typing
import unittest

from eelgrasswalk.transport import read_progress
from tests.transport import fakes


class SocketTransport(fakes.FakeTransport):
    """Writes to a socket at once, and holds nothing itself."""

    def __init__(self, near: socket.socket) -> None:
        super().__init__()
        self._near = near

    def get_write_buffer_size(self) -> int:
        return 0

    def write(self, data: typing.Any) -> None:
        self._near.sendall(data)

    def get_extra_info(self, name: str, default: typing.Any = None) -> object:
        return self._near if name == 'socket' else default


class ReadProgressTest(unittest.TestCase):
    def setUp(self) -> None:
        with socket.create_server(('127.0.0.1', 0)) as server:
            self.far = socket.create_connection(server.getsockname()[:2])
            self.near, _ = server.accept()
        self.addCleanup(self.far.close)
        self.addCleanup(self.near.close)
        self.transport = SocketTransport(self.near)
        self.progress = read_progress.ReadProgress(0.0)

    def write(self, length: int) -> None:
        self.transport.write(bytes(length))
        self.progress.written += length

    def test_rate_is_of_the_time_between_observations(self) -> None:
        transport = fakes.FakeTransport()
        transport.written += bytes(1_000)
        self.progress.written = 1_000
        self.progress.observe(transport, 1.0)
        self.assertIsNone(self.progress.bytes_per_s)
        self.assertEqual(0.0, self.progress.at)
        del transport.written[:500]
        self.progress.observe(transport, 3.0)
        self.assertEqual(250.0, self.progress.bytes_per_s)
        self.assertEqual(3.0, self.progress.at)

    def test_peer_that_takes_nothing(self) -> None:
        """What the kernel has taken of it is no progress."""
        self.far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.near.setblocking(False)
        with self.assertRaises(BlockingIOError):
            while True:
                self.progress.written += self.near.send(bytes(65_536))
        for now in (1.0, 2.0, 3.0):
            self.progress.observe(self.transport, now)
        self.assertEqual(0.0, self.progress.bytes_per_s)
        self.assertLess(self.progress.at, 2.0)

    def test_transport_without_a_socket(self) -> None:
        self.progress.written = 10
        self.progress.observe(asyncio.Transport.__new__(_Bare), 1.0)
        self.assertEqual(1.0, self.progress.at)


class _Bare(asyncio.Transport):
    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, name: str, default: typing.Any = None) -> object:
        return default
