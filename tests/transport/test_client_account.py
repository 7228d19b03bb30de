"""What clients make a process hold is counted, and given back."""

import asyncio
import contextlib
import dataclasses
import gc
import unittest
import unittest.mock
import weakref

from eelgrasswalk import verdict
from eelgrasswalk.policy import client_load
from eelgrasswalk.transport import budget
from eelgrasswalk.transport import client_account
from eelgrasswalk.transport import http_server
from eelgrasswalk.transport import message
from eelgrasswalk.transport import server_connection

BOUNDS = client_load.Bounds(held_bytes=400_000, connections=40)
BODY_BYTES = 20_000
LINES = b''.join(b'h%d:\r\n' % each for each in range(200))
HALF = b'POST /slow HTTP/1.1\r\ncontent-length: 60000\r\n\r\n'
EXPECT = b'\r\nexpect: 100-continue\r\n\r\n'


class AccountTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.bodies = budget.ByteBudget(10_000_000)
        self.account = client_account.ClientAccount(BOUNDS, self.bodies)
        self.release = asyncio.Event()
        self.running = 0
        self.server = http_server.HttpServer(
            self.handle,
            limits=http_server.Limits(headers=256, header_bytes=16_384),
            bodies=self.bodies,
            account=self.account,
        )
        self.address = await self.server.start('127.0.0.1', 0)
        self.addAsyncCleanup(self.server.stop)
        self.writers: list[asyncio.StreamWriter] = []
        self.addAsyncCleanup(self.close_clients)

    async def handle(self, request: message.Request) -> verdict.Response:
        if request.target == '/slow':
            self.running += 1
            await self.release.wait()
        return verdict.Response(200, (), b'answer')

    async def close_clients(self) -> None:
        self.release.set()
        for writer in self.writers:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()

    async def send(self, data: bytes) -> asyncio.StreamReader:
        reader, writer = await asyncio.open_connection(*self.address)
        self.writers.append(writer)
        writer.write(data)
        with contextlib.suppress(OSError):
            await writer.drain()
        return reader

    async def wait_until(self, number: int) -> None:
        """Wait until so many connections are counted."""
        async with asyncio.timeout(10):
            while self.account.connections != number:
                await asyncio.sleep(0)


class AccountTest(AccountTestCase):
    async def test_nothing_stays_counted(self) -> None:
        for data in (
            b'GET / HTTP/1.1\r\n\r\n',
            b'GET / HTTP/1.1\r\n\r\n' * 100,
            b'GET / HTTP/1.1\r\n' + LINES + b'\r\n',
            b'GET / HTTP/1.1\r\n' + LINES * 2 + b'\r\n',
            HALF + b'x' * BODY_BYTES,
            b'GET /slow HTTP/1.1\r\n\r\n' * 3,
            b'no request\r\n\r\n',
        ):
            with self.subTest(data[:60]):
                await self.send(data)
                await self.wait_until(1)
                self.writers.pop().close()
                await self.wait_until(0)
                self.assertEqual(0, self.account.used)
                self.assertEqual(0, self.bodies.used)

    async def test_kept_connection_holds_nothing_between_requests(
        self,
    ) -> None:
        reader = await self.send(b'')
        for _ in range(3):
            self.writers[0].write(
                b'POST / HTTP/1.1\r\ncontent-length: 20000\r\n\r\n'
                + b'x' * BODY_BYTES
            )
            await reader.readuntil(b'answer')
            self.assertEqual(client_load.CONNECTION_BYTES, self.account.used)

    async def test_bodies_half_sent_do_not_exceed_the_limit(self) -> None:
        for _ in range(100):
            await self.send(HALF + b'x' * BODY_BYTES)
        reader = await self.send(b'GET / HTTP/1.1\r\n\r\n')
        answer = await reader.readline()
        self.assertIn(b' 200 ', answer)
        self.assertLessEqual(self.account.used, BOUNDS.held_bytes)
        self.assertGreater(self.account.shed, 0)

    async def test_running_requests_are_not_closed(self) -> None:
        running = [
            await self.send(b'GET /slow HTTP/1.1\r\n\r\n') for _ in range(10)
        ]
        for _ in range(100):
            await self.send(HALF + b'x' * BODY_BYTES)
        self.assertGreater(self.account.shed, 0)
        self.release.set()
        for reader in running:
            self.assertIn(b' 200 ', await reader.readline())

    async def test_large_requests_are_refused_as_not_run(self) -> None:
        call = b'GET /slow HTTP/1.1\r\n' + LINES + b'\r\n'
        readers = [await self.send(call) for _ in range(30)]
        reader = await self.send(b'GET / HTTP/1.1\r\n\r\n')
        self.assertIn(b' 200 ', await reader.readline())
        self.release.set()
        statuses = [(await each.readline())[9:12] for each in readers]
        self.assertEqual(self.running, statuses.count(b'200'))
        self.assertGreater(statuses.count(b'503'), 0)
        self.assertEqual(statuses.count(b'503'), self.account.refused_requests)

    async def test_new_connection_takes_the_place_of_an_idle_one(
        self,
    ) -> None:
        for _ in range(3 * BOUNDS.connections):
            await self.send(b'')
        reader = await self.send(b'GET / HTTP/1.1\r\n\r\n')
        self.assertIn(b' 200 ', await reader.readline())
        self.assertLessEqual(self.account.connections, BOUNDS.connections)

    async def test_connections_are_refused_while_all_run_requests(
        self,
    ) -> None:
        self.account.bounds = dataclasses.replace(BOUNDS, held_bytes=10**7)
        for _ in range(BOUNDS.connections):
            await self.send(b'GET /slow HTTP/1.1\r\n\r\n')
        async with asyncio.timeout(10):
            while self.running < BOUNDS.connections:
                await asyncio.sleep(0)
        reader = await self.send(b'')
        with contextlib.suppress(ConnectionError):
            self.assertEqual(b'', await reader.read())
        self.assertEqual(1, self.account.refused)
        self.assertEqual(0, self.account.shed)


class FreedTest(AccountTestCase):
    """Guards against bytes kept until the garbage collector runs.

    A refusal referred to the frame that had read the request, with up to
    256 kB of received bytes.
    """

    async def test_connections_are_freed_without_the_collector(self) -> None:
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        for data in (
            b'GET / HTTP/1.1\r\n\r\n',
            b'GET / HTTP/1.1\r\n' + LINES,
            b'GET / HTTP/1.1\r\n' + LINES * 2 + b'\r\n',
            b'GET / HTTP/1.1\r\nlong: ' + b'x' * 20_000,
            HALF + b'x' * BODY_BYTES,
        ):
            with self.subTest(data[:60]):
                await self.send(data)
                await self.wait_until(1)
                (connection,) = self.server.connections
                reference = weakref.ref(connection)
                del connection
                self.writers.pop().close()
                await self.wait_until(0)
                async with asyncio.timeout(10):
                    while self.server.connections:
                        await asyncio.sleep(0)
                for _ in range(10):
                    await asyncio.sleep(0)
                self.assertIsNone(reference())


class FakeHolder:
    def __init__(self, held_bytes: int) -> None:
        self.charged = 0
        self.held_bytes = held_bytes
        self.held_body_bytes = 0
        self.is_shed = False

    def measure_age(self, now: float) -> float | None:
        return 1.0

    def shed(self) -> None:
        self.is_shed = True


class StaleCountTest(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_is_closed_if_counting_again_makes_room(
        self,
    ) -> None:
        # Callers read answers without notice, so the count may be too high.
        account = client_account.ClientAccount(
            BOUNDS, budget.ByteBudget(10_000_000)
        )
        holders = [FakeHolder(38_000) for _ in range(10)]
        for holder in holders:
            account.open(holder, spare=0)
        for holder in holders:
            holder.held_bytes = 10_000
        self.assertTrue(account.admits(30_000))
        self.assertEqual(0, sum(holder.is_shed for holder in holders))
        self.assertEqual(0, account.shed)


class UnreadLastAnswerTest(AccountTestCase):
    """A caller that never reads its last answer must not stay for good.

    The transport closes only once the answer was sent, and does not tell of a
    short rest.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.transport = unittest.mock.Mock(spec=asyncio.Transport)
        self.transport.get_write_buffer_size.return_value = 50_000
        self.transport.get_extra_info.return_value = None
        self.connection = server_connection.ServerConnection(
            self.server, asyncio.get_running_loop()
        )
        self.connection.connection_made(self.transport)
        self.addCleanup(self.connection.connection_lost, None)
        self.connection.close()

    async def test_it_may_be_closed_for_what_it_holds(self) -> None:
        now = asyncio.get_running_loop().time()
        self.assertIsNotNone(self.connection.measure_age(now))

    async def test_it_is_closed_after_a_time(self) -> None:
        now = asyncio.get_running_loop().time()
        limit_s = self.server.limits.request_timeout_s
        self.connection.check_timeouts(now + limit_s / 2.0)
        self.transport.abort.assert_not_called()
        self.connection.check_timeouts(now + limit_s + 1.0)
        self.transport.abort.assert_called_once_with()


class LongAnswerTest(AccountTestCase):
    """A few callers beside one that reads a long answer are no crowd.

    Its request has run, so closing loses an answer that can't be had again.
    """

    LENGTH = 30_000_000

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.bodies.limit = 40_000_000
        # Each change is to be followed by a comparison.
        patch = unittest.mock.patch.object(
            client_account, 'SCAN_INTERVAL_S', 0.0
        )
        patch.start()
        self.addCleanup(patch.stop)

    async def handle(self, request: message.Request) -> verdict.Response:
        response = verdict.Response(200, (), bytes(self.LENGTH))
        self.bodies.reserve_anyway(self.LENGTH)
        self.bodies.hold(response, self.LENGTH)
        return response

    async def begin(self) -> asyncio.StreamReader:
        """Ask for a long answer, and begin bodies on other connections."""
        reader = await self.send(b'POST /long HTTP/1.1\r\n\r\n')
        await reader.readuntil(b'\r\n\r\n')
        for _ in range(client_load.MIN_CROWD):
            other = await self.send(HALF.replace(b'\r\n\r\n', EXPECT) + b'x')
            await other.readuntil(b'\r\n\r\n')
        return reader

    async def test_caller_that_reads_is_not_closed(self) -> None:
        # A busy machine may delay the caller.
        with unittest.mock.patch.object(
            server_connection, 'READ_GRACE_S', 60.0
        ):
            reader = await self.begin()
            await reader.readexactly(self.LENGTH)
        self.assertEqual(0, self.account.shed)

    async def test_caller_that_reads_nothing_is_closed(self) -> None:
        with unittest.mock.patch.multiple(
            server_connection, READ_GRACE_S=0.0, MIN_READ_BYTES_S=10**12
        ):
            reader = await self.begin()
            with self.assertRaises(
                (asyncio.IncompleteReadError, ConnectionError)
            ):
                await reader.readexactly(self.LENGTH)
        self.assertEqual(1, self.account.shed)

    async def test_idle_connections_beside_it_are_no_crowd(self) -> None:
        """A single slow caller is served when there is no crowd."""
        with unittest.mock.patch.multiple(
            server_connection, READ_GRACE_S=0.0, MIN_READ_BYTES_S=10**12
        ):
            reader = await self.send(b'POST /long HTTP/1.1\r\n\r\n')
            await reader.readuntil(b'\r\n\r\n')
            for _ in range(client_load.MIN_CROWD):
                await self.send(b'')
            await reader.readexactly(self.LENGTH)
        self.assertEqual(0, self.account.shed)
