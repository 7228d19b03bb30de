"""Tests of several requests at a time on one connection."""

import asyncio
import gc
import socket
import typing
import unittest
import unittest.mock

from eelgrasswalk import verdict
from eelgrasswalk.transport import budget
from eelgrasswalk.transport import http_server
from eelgrasswalk.transport import message
from eelgrasswalk.transport import response_head
from eelgrasswalk.transport import response_order
from eelgrasswalk.transport import server_connection
from tests.transport import fakes

LIMITS = http_server.Limits(body_bytes=1000, header_bytes=2000, headers=20)
CUT = verdict.Response(502, (), b'cut')
WAIT_S = 10.0


def get(name: str, *headers: str) -> bytes:
    lines = [f'GET /{name} HTTP/1.1', 'host: a', *headers, '', '']
    return '\r\n'.join(lines).encode()


def post(name: str, body: bytes = b'') -> bytes:
    head = f'POST /{name} HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}'
    return head.encode() + b'\r\n\r\n' + body


class Handler:
    """Holds each request until the test answers it."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.requests: dict[str, message.Request] = {}
        self._answers: dict[str, asyncio.Future[verdict.Response]] = {}

    async def handle(self, request: message.Request) -> verdict.Response:
        name = request.path[1:]
        self.started.append(name)
        self.requests[name] = request
        answer = asyncio.get_running_loop().create_future()
        self._answers[name] = answer
        try:
            return await answer
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise

    def answer(self, name: str, body: bytes | None = None) -> None:
        text = f'<{name}>'.encode() if body is None else body
        self._answers[name].set_result(verdict.Response(200, (), text))

    def give(self, name: str, response: verdict.Response) -> None:
        self._answers[name].set_result(response)

    def forget(self) -> None:
        """Hold none of the requests and answers."""
        self.requests.clear()
        self._answers.clear()

    def fail(self, name: str) -> None:
        self._answers[name].set_exception(ValueError(name))

    @property
    def running(self) -> list[str]:
        return [
            name
            for name in self.started
            if not self._answers[name].done() and name not in self.cancelled
        ]


class Caller(fakes.FakeTransport):
    """A transport whose other end is a socket that the test may close."""

    def __init__(self) -> None:
        super().__init__()
        self.near, self.far = socket.socketpair()

    def get_extra_info(self, name: str, default: typing.Any = None) -> object:
        return self.near if name == 'socket' else default

    def end(self) -> None:
        self.near.close()
        self.far.close()


async def settle() -> None:
    """Let every task run that can."""
    for _ in range(20):
        await asyncio.sleep(0)


class PipeliningTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.handler = Handler()
        self.memory = budget.ByteBudget(10_000_000)
        self.server = http_server.HttpServer(
            self.handler.handle,
            limits=LIMITS,
            bodies=self.memory,
            may_overlap=message.has_safe_method,
        )
        self.transport = Caller()
        self.addCleanup(self.transport.end)
        connection = self.server.build_protocol()
        assert isinstance(connection, server_connection.ServerConnection)
        self.connection = connection
        connection.connection_made(self.transport)
        self.addCleanup(self.lose)

    def lose(self) -> None:
        if self.connection in self.server.connections:
            self.connection.connection_lost(None)

    async def send(self, *requests: bytes) -> None:
        self.connection.data_received(b''.join(requests))
        await settle()

    async def answer(self, *names: str) -> None:
        for name in names:
            self.handler.answer(name)
            await settle()

    async def wait_for(self, is_true: typing.Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_S):
            while not is_true():
                await asyncio.sleep(0)

    @property
    def bodies(self) -> list[str]:
        """Bodies of the answers written, without their heads."""
        parts = bytes(self.transport.written).split(b'\r\n\r\n')[1:]
        return [part.partition(b'HTTP/1.1')[0].decode() for part in parts]

    @property
    def closes(self) -> int:
        return self.transport.written.count(b'connection: close')

    async def test_safe_requests_start_before_the_first_is_answered(
        self,
    ) -> None:
        names = list('abcdef')
        await self.send(*(get(name) for name in names))
        self.assertEqual(names, self.handler.started)
        self.assertEqual(b'', self.transport.written)
        self.assertEqual(0, self.transport.pauses)
        await self.answer('f', 'b', 'c', 'e')
        self.assertEqual([], self.bodies)
        await self.answer('a')
        self.assertEqual(['<a>', '<b>', '<c>'], self.bodies)
        await self.answer('d')
        self.assertEqual([f'<{name}>' for name in names], self.bodies)
        self.assertEqual(0, self.closes)

    async def test_requests_in_several_pieces_overlap(self) -> None:
        data = b''.join(get(name) for name in 'abc')
        for at in range(len(data)):
            self.connection.data_received(data[at : at + 1])
        await settle()
        self.assertEqual(list('abc'), self.handler.started)

    async def test_unsafe_request_waits_and_makes_others_wait(self) -> None:
        await self.send(get('a'), post('b'), get('c'), get('d'))
        self.assertEqual(['a'], self.handler.started)
        await self.answer('a')
        self.assertEqual(['a', 'b'], self.handler.started)
        self.assertEqual(['<a>'], self.bodies)
        await self.answer('b')
        self.assertEqual(list('abcd'), self.handler.started)
        await self.answer('d', 'c')
        self.assertEqual(['<a>', '<b>', '<c>', '<d>'], self.bodies)

    async def test_requests_that_may_not_overlap_run_one_by_one(self) -> None:
        """This is how listeners work that give no rule."""
        self.server.may_overlap = http_server.HttpServer(
            self.handler.handle, limits=LIMITS
        ).may_overlap
        connection = self.server.build_protocol()
        connection.connection_made(self.transport)
        self.connection.connection_lost(None)
        assert isinstance(connection, server_connection.ServerConnection)
        self.connection = connection
        await self.send(get('a'), get('b'))
        self.assertEqual(['a'], self.handler.started)
        await self.answer('a')
        self.assertEqual(['a', 'b'], self.handler.started)

    async def test_any_number_of_requests_is_answered(self) -> None:
        """Too many at once were refused with 400."""
        names = [f'r{number}' for number in range(200)]
        await self.send(*(get(name) for name in names))
        most = response_order.MAX_IN_PROGRESS
        self.assertEqual(names[:most], self.handler.started)
        self.assertFalse(self.transport.is_reading)
        while self.handler.running:
            # The last that runs ends first.
            await self.answer(self.handler.running[-1])
            self.assertLessEqual(
                len(self.handler.started) - len(self.bodies), most
            )
        self.assertEqual([f'<{name}>' for name in names], self.bodies)
        self.assertEqual(names, self.handler.started)
        self.assertTrue(self.transport.is_reading)
        self.assertNotIn(b' 400 ', self.transport.written)

    async def test_what_waits_unparsed_is_bounded_and_counted(self) -> None:
        """One read may bring many times what may be in progress."""
        names = [f'r{number}' for number in range(3000)]
        data = b''.join(get(name, 'x: ' + 'y' * 100) for name in names)
        await self.send(data)
        self.assertFalse(self.transport.is_reading)
        self.assertGreater(self.memory.used, len(data) * 3 // 4)
        ended = 0
        async with asyncio.timeout(WAIT_S):
            while ended < len(names):
                for name in self.handler.running:
                    self.handler.answer(name)
                    ended += 1
                await asyncio.sleep(0)
        await settle()
        self.assertEqual([f'<{name}>' for name in names], self.bodies)
        self.assertEqual(0, self.memory.used)
        await self.wait_for(lambda: self.transport.is_reading)

    async def test_answers_that_wait_are_bounded(self) -> None:
        large = bytes(response_order.MAX_HELD_BYTES // 4 + 1)
        await self.send(*(get(name) for name in 'abcde'))
        for name in 'bcde':
            self.handler.answer(name, large)
        await settle()
        self.assertTrue(self.transport.is_reading)
        await self.send(get('f'))
        self.assertEqual(list('abcde'), self.handler.started)
        self.assertFalse(self.transport.is_reading)
        await self.answer('a')
        await self.wait_for(lambda: 'f' in self.handler.started)
        self.assertTrue(self.transport.is_reading)
        await self.answer('f')
        await self.wait_for(lambda: self.transport.written.endswith(b'<f>'))
        self.assertEqual(4, self.transport.written.count(large))

    async def test_answers_wait_behind_a_large_one_that_is_read_slowly(
        self,
    ) -> None:
        large = bytes(3 * server_connection.PART_BYTES)
        await self.send(get('a'), get('b'), get('c'))
        self.connection.pause_writing()
        self.handler.answer('a', large)
        await self.answer('b')
        self.assertEqual(b'', self.transport.written)
        self.connection.resume_writing()
        self.connection.pause_writing()
        await settle()
        self.assertLess(
            len(self.transport.written), 2 * server_connection.PART_BYTES
        )
        # They go on meanwhile.
        await self.send(get('d'))
        self.assertEqual(list('abcd'), self.handler.started)
        self.connection.resume_writing()
        await settle()
        await self.answer('d', 'c')
        self.assertEqual(1, self.transport.written.count(large))
        self.assertEqual(['<b>', '<c>', '<d>'], self.bodies[1:])

    async def test_parts_of_a_large_answer_do_not_hold_the_whole(self) -> None:
        """A caller that leaves the last part unread kept all of it."""
        large = bytes(3 * server_connection.PART_BYTES)
        await self.send(get('a'))
        with unittest.mock.patch.object(self.transport, 'write') as write:
            self.handler.answer('a', large)
            await settle()
        parts = [call.args[0] for call in write.call_args_list]
        self.assertGreater(len(parts), 3)
        for part in parts:
            self.assertIsInstance(part, bytes)
            self.assertLessEqual(len(part), server_connection.PART_BYTES)

    async def test_written_answer_is_free_while_the_next_ones_wait(
        self,
    ) -> None:
        """The task that had written it kept it until it had written all."""
        large = verdict.Response(
            200, (), bytes(2 * server_connection.PART_BYTES)
        )
        self.memory.reserve_anyway(1_000)
        self.memory.hold(large, 1_000)
        await self.send(get('a'), get('b'), get('c'))
        self.connection.pause_writing()
        self.handler.give('a', large)
        del large
        await self.answer('b', 'c')
        self.handler.forget()
        while self.transport.written.count(b'HTTP/1.1') < 2:
            self.connection.resume_writing()
            self.connection.pause_writing()
            await settle()
        self.assertEqual(0, self.memory.used)

    async def test_small_answers_wait_for_a_caller_that_does_not_read(
        self,
    ) -> None:
        """Else its requests would fill the node with answers."""
        await self.send(get('a'), get('b'))
        self.connection.pause_writing()
        await self.answer('a', 'b')
        self.assertEqual(b'', self.transport.written)
        self.connection.resume_writing()
        await settle()
        self.assertEqual(['<a>', '<b>'], self.bodies)

    async def test_body_is_invited_when_those_before_are_answered(
        self,
    ) -> None:
        """The caller waited for it until the time limit of heads, for 408."""
        head, _, body = post('b', b'body').partition(b'\r\n\r\n')
        await self.send(get('a'), head + b'\r\nexpect: 100-continue\r\n\r\n')
        self.assertNotIn(b'100 Continue', self.transport.written)
        loop = asyncio.get_running_loop()
        self.server.check_timeouts(
            loop.time() + LIMITS.request_timeout_s + 1.0
        )
        await self.answer('a')
        self.assertTrue(
            self.transport.written.endswith(response_head.CONTINUE)
        )
        await self.send(body)
        await self.answer('b')
        self.assertEqual(1, self.transport.written.count(b'<b>'))
        self.assertNotIn(b' 408 ', self.transport.written)

    async def test_uninvited_body_is_taken_as_well(self) -> None:
        head, _, body = post('b', b'body').partition(b'\r\n\r\n')
        await self.send(
            get('a'), head + b'\r\nexpect: 100-continue\r\n\r\n' + body
        )
        await self.answer('a', 'b')
        self.assertNotIn(b'100 Continue', self.transport.written)
        self.assertEqual(['<a>', '<b>'], self.bodies)

    async def test_age_of_an_answer_is_the_time_that_it_will_wait(
        self,
    ) -> None:
        """Who reads least goes first when connections have to be closed."""
        await self.send(get('a'))
        self.connection.pause_writing()
        self.handler.answer('a', bytes(3 * server_connection.PART_BYTES))
        await settle()
        # The head, then a part.
        for _ in range(2):
            self.connection.resume_writing()
            self.connection.pause_writing()
            await settle()
        loop = asyncio.get_running_loop()
        ages = []
        for read in (0, 1_000, 100_000):
            del self.transport.written[:read]
            now = loop.time() + 10.0 * (len(ages) + 1)
            self.connection.check_timeouts(now)
            age_s = self.connection.measure_age(now)
            assert age_s is not None
            ages.append(age_s)
        # No rate is known yet at the first look.
        self.assertGreater(ages[0], 9.0)
        self.assertEqual(server_connection.MAX_WAIT_S, ages[1])
        self.assertLess(ages[2], ages[1])

    # Closing

    async def test_nothing_runs_behind_a_request_that_closes(self) -> None:
        await self.send(get('a'), get('b', 'connection: close'), get('c'))
        await self.send(get('d'))
        self.assertEqual(['a', 'b'], self.handler.started)
        await self.answer('b', 'a')
        self.assertEqual(['<a>', '<b>'], self.bodies)
        self.assertEqual(1, self.closes)
        self.assertNotIn(b' 400 ', self.transport.written)
        await self.send(get('e'))
        self.assertEqual(['a', 'b'], self.handler.started)

    async def test_answer_of_a_request_that_closes_is_not_reset(self) -> None:
        """What the caller sends behind it reset the connection.

        The answer was lost then if the caller had not read it yet.
        """
        for pieces in (
            (get('a', 'connection: close') + get('b'),),
            (get('a', 'connection: close'), get('b')),
        ):
            with self.subTest(pieces=len(pieces)):
                transport = fakes.FakeTransport()
                connection = self.server.build_protocol()
                connection.connection_made(transport)
                for piece in pieces:
                    connection.data_received(piece)
                await settle()
                await self.answer('a')
                self.assertFalse(transport.closed)
                connection.data_received(bytes(1000))
                self.assertFalse(transport.closed)
                connection.connection_lost(None)
        self.assertEqual(['a', 'a'], self.handler.started)

    async def test_request_that_closes_alone_closes_at_once(self) -> None:
        await self.send(get('a', 'connection: close'))
        await self.answer('a')
        self.assertTrue(self.transport.closed)

    async def test_requests_behind_an_unsafe_one_that_closes_are_not_run(
        self,
    ) -> None:
        await self.send(
            post('a'),
            b'POST /b HTTP/1.0\r\ncontent-length: 0\r\n\r\n',
            get('c'),
        )
        await self.answer('a')
        await self.answer('b')
        self.assertEqual(['a', 'b'], self.handler.started)
        self.assertEqual(1, self.closes)

    async def test_leaving_moves_the_close_to_the_last_started(self) -> None:
        await self.send(get('a'), get('b'), post('c'), get('d'))
        self.server.announce()
        await self.answer('b')
        self.assertEqual(b'', self.transport.written)
        await self.answer('a')
        self.assertEqual(['<a>', '<b>'], self.bodies)
        self.assertEqual(['a', 'b'], self.handler.started)
        first, _, second = self.transport.written.partition(b'<a>')
        self.assertNotIn(b'connection: close', first)
        self.assertIn(b'connection: close', second)
        await self.send(get('e'))
        self.assertEqual(['a', 'b'], self.handler.started)

    async def test_leaving_while_a_large_answer_is_written(self) -> None:
        large = bytes(3 * server_connection.PART_BYTES)
        await self.send(get('a'), post('b'))
        self.connection.pause_writing()
        self.handler.answer('a', large)
        await settle()
        self.connection.resume_writing()
        self.connection.pause_writing()
        await settle()
        self.server.announce()
        draining = asyncio.create_task(self.server.drain())
        await settle()
        self.assertFalse(draining.done())
        self.connection.resume_writing()
        await settle()
        self.assertEqual(['a'], self.handler.started)
        self.assertEqual(1, self.transport.written.count(large))
        self.lose()
        await draining

    async def test_drain_waits_for_every_started_request(self) -> None:
        await self.send(get('a'), get('b'), get('c'), post('d'))
        draining = asyncio.create_task(self.server.drain())
        await settle()
        for name in 'cab':
            self.assertFalse(draining.done())
            await self.answer(name)
        self.assertEqual(['<a>', '<b>', '<c>'], self.bodies)
        self.assertEqual(list('abc'), self.handler.started)
        self.assertEqual(1, self.closes)
        self.lose()
        await draining

    async def test_end_of_running_requests_keeps_the_order(self) -> None:
        """Answers that are known are not replaced."""
        await self.send(get('a'), get('b'), get('c'), post('d'))
        await self.answer('b')
        self.server.end_running(CUT)
        await settle()
        self.assertEqual(['cut', '<b>', 'cut'], self.bodies)
        self.assertEqual(['a', 'c'], self.handler.cancelled)
        self.assertEqual(1, self.closes)
        self.assertEqual(list('abc'), self.handler.started)

    async def test_end_of_running_requests_behind_a_large_answer(self) -> None:
        large = bytes(3 * server_connection.PART_BYTES)
        await self.send(get('a'), get('b'))
        self.connection.pause_writing()
        self.handler.answer('a', large)
        await settle()
        self.server.end_running(CUT)
        self.connection.resume_writing()
        await settle()
        self.assertEqual(1, self.transport.written.count(large))
        self.assertTrue(self.transport.written.endswith(b'\r\n\r\ncut'))

    async def test_failure_of_a_handler_is_answered_in_turn(self) -> None:
        await self.send(get('a'), get('b'), get('c'))
        self.handler.fail('b')
        await self.answer('c')
        self.assertEqual([], self.bodies)
        await self.answer('a')
        self.assertIn('ValueError', self.bodies[1])
        self.assertEqual('<c>', self.bodies[2])
        self.assertEqual(0, self.closes)

    async def test_bad_request_is_answered_after_those_before_it(self) -> None:
        await self.send(get('a'), post('b'), get('c'), b'nonsense\r\n\r\n')
        self.assertEqual(b'', self.transport.written)
        for name in 'abc':
            await self.answer(name)
        self.assertEqual(['<a>', '<b>', '<c>'], self.bodies[:3])
        self.assertEqual(1, self.transport.written.count(b'HTTP/1.1 400 '))
        self.assertEqual(1, self.closes)
        await self.send(get('d'))
        self.assertEqual(list('abc'), self.handler.started)

    async def test_lost_connection_ends_all_its_requests(self) -> None:
        await self.send(get('a'), get('b'), get('c'), post('d'))
        await self.answer('b')
        self.lose()
        await settle()
        self.assertEqual(['a', 'c'], self.handler.cancelled)
        self.assertEqual(list('abc'), self.handler.started)
        self.assertEqual(0, self.memory.used)

    async def test_lost_connection_frees_bodies_without_the_collector(
        self,
    ) -> None:
        """They filled the memory budget until the next full collection."""
        gc.disable()
        self.addCleanup(gc.enable)
        body = bytes(2 * budget.UNCOUNTED_BYTES)
        large = 3 * server_connection.PART_BYTES
        for is_answered in (False, True):
            server = http_server.HttpServer(
                self.handler.handle,
                limits=http_server.Limits(),
                bodies=self.memory,
            )
            connection = server.build_protocol()
            connection.connection_made(fakes.FakeTransport())
            connection.data_received(post('a', body) + post('b', body))
            await settle()
            connection.pause_writing()
            if is_answered:
                answer = verdict.Response(200, (), bytes(large))
                self.memory.reserve_anyway(large)
                self.memory.hold(answer, large)
                self.handler.give('a', answer)
                del answer
                await settle()
            self.assertGreater(self.memory.used, 2 * len(body))
            connection.connection_lost(None)
            await settle()
            self.handler.forget()
            with self.subTest(is_answered=is_answered):
                self.assertEqual(0, self.memory.used)

    async def test_caller_that_leaves_while_reading_is_paused_is_noticed(
        self,
    ) -> None:
        """A paused transport tells nothing, so the sweep looks."""
        now = asyncio.get_running_loop().time()
        await self.send(*(get(f'r{number}') for number in range(200)))
        self.assertFalse(self.transport.is_reading)
        self.server.check_timeouts(now)
        self.assertFalse(self.transport.closed)
        self.transport.far.sendall(b'unread')
        self.transport.far.close()
        self.server.check_timeouts(now)
        self.assertTrue(self.transport.closed)

    # Times

    async def test_waiting_and_running_requests_are_not_idle(self) -> None:
        now = asyncio.get_running_loop().time()
        late = now + 10 * LIMITS.idle_timeout_s
        await self.send(post('a'), get('b'))
        self.server.check_timeouts(late)
        self.assertFalse(self.transport.closed)
        await self.answer('a', 'b')
        self.server.check_timeouts(late)
        self.assertTrue(self.transport.closed)

    async def test_time_without_reading_is_not_the_callers(self) -> None:
        """A request that is half read may wait long for its rest."""
        loop = asyncio.get_running_loop()
        loop.set_debug(False)
        now = loop.time()
        names = [f'r{number}' for number in range(70)]
        with unittest.mock.patch.object(loop, 'time', lambda: now):
            half = get('half')
            await self.send(*(get(name) for name in names), half[:-2])
            now += 10 * LIMITS.request_timeout_s
            self.server.check_timeouts(now)
            while self.handler.running:
                await self.answer(self.handler.running[0])
            self.server.check_timeouts(now)
            self.assertNotIn(b' 408 ', self.transport.written)
            await self.send(half[-2:])
            self.assertEqual('half', self.handler.started[-1])
            await self.send(half[:-2])
            now += LIMITS.request_timeout_s + 1.0
            self.server.check_timeouts(now)
            self.assertNotIn(b' 408 ', self.transport.written)
            await self.answer('half')
        self.assertIn(b' 408 ', self.transport.written)

    async def test_caller_that_sends_on_without_reading_is_ended(self) -> None:
        """What is discarded after the last answer kept it open for good."""
        loop = asyncio.get_running_loop()
        loop.set_debug(False)
        now = loop.time()
        with unittest.mock.patch.object(loop, 'time', lambda: now):
            self.connection.pause_writing()
            await self.send(b'nonsense\r\n\r\n')
            for _ in range(2):
                self.server.check_timeouts(now)
                self.assertFalse(self.transport.closed)
                now += LIMITS.request_timeout_s / 2 + 1.0
                await self.send(b'x')
            self.server.check_timeouts(now)
        self.assertTrue(self.transport.closed)

    async def test_request_tells_when_it_was_received(self) -> None:
        loop = asyncio.get_running_loop()
        loop.set_debug(False)
        now = loop.time()
        with unittest.mock.patch.object(loop, 'time', lambda: now):
            await self.send(post('a'), get('b')[:-2])
            now += 1.0
            await self.send(get('b')[-2:])
            now += 1.0
            await self.answer('a')
        self.assertEqual(now - 2.0, self.handler.requests['a'].received_at)
        self.assertEqual(now - 1.0, self.handler.requests['b'].received_at)


class LoopbackTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.handler = Handler()
        self.server = http_server.HttpServer(
            self.handler.handle,
            limits=LIMITS,
            may_overlap=message.has_safe_method,
        )
        self.address = await self.server.start('127.0.0.1', 0)
        self.addAsyncCleanup(self.server.stop)

    async def wait_started(self, count: int) -> None:
        async with asyncio.timeout(WAIT_S):
            while len(self.handler.started) < count:
                await asyncio.sleep(0)

    async def test_six_requests_overlap_and_are_answered_in_order(
        self,
    ) -> None:
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(b''.join(get(name) for name in 'abcdef'))
        await self.wait_started(6)
        for name in 'fedcba':
            self.handler.answer(name)
        for name in 'abcdef':
            answer = await reader.readuntil(b'>')
            self.assertTrue(answer.endswith(f'<{name}>'.encode()), answer)
        writer.close()

    async def test_answers_before_a_close_arrive_though_more_was_sent(
        self,
    ) -> None:
        """Closing with bytes unread would reset the connection."""
        reader, writer = await asyncio.open_connection(*self.address)
        names = [f'r{number}' for number in range(5000)]
        writer.write(b''.join(get(name) for name in names))
        await self.wait_started(response_order.MAX_IN_PROGRESS)
        self.server.announce()
        started = self.handler.running
        for name in started:
            self.handler.answer(name, b'<' + bytes(100_000) + b'>')
        async with asyncio.timeout(WAIT_S):
            answers = await reader.read()
        self.assertEqual(len(started), answers.count(b'HTTP/1.1 200 '))
        self.assertEqual(1, answers.count(b'connection: close'))
        self.assertEqual(started, self.handler.started)
        writer.close()

    async def test_caller_that_leaves_ends_all_its_requests(self) -> None:
        _, writer = await asyncio.open_connection(*self.address)
        writer.write(b''.join(get(name) for name in 'abc'))
        await self.wait_started(3)
        writer.close()
        async with asyncio.timeout(WAIT_S):
            while len(self.handler.cancelled) < 3:
                await asyncio.sleep(0)
