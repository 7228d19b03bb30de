"""Tests of links: bodies, doubt after a lost link, fencing, silence."""

import asyncio
import contextlib
import secrets
import unittest
import unittest.mock

from eelgrasswalk import verdict
from eelgrasswalk.policy import attempts
from eelgrasswalk.transport import acceptor
from eelgrasswalk.transport import bodies
from eelgrasswalk.transport import budget
from eelgrasswalk.transport import dialler
from eelgrasswalk.transport import frames
from eelgrasswalk.transport import link
from eelgrasswalk.transport import liveness
from eelgrasswalk.transport import message
from tests.transport import fakes
from tests.transport import valve

SECRET = b'secret of the tests'
WAIT_S = 20.0
MEMORY = 8_000_000


class Runner:
    """Runs attempts: echoes the body, after the gate has opened."""

    def __init__(self) -> None:
        self.runs: list[bytes] = []
        self.remaining_s: list[float] = []
        # Counts the answers as those of a target; None for no count.
        self.memory: budget.ByteBudget | None = None
        self.started = asyncio.Event()
        self.gate = asyncio.Event()
        self.gate.set()
        self.cancelled = asyncio.Event()

    async def run(self, call: frames.Call) -> dialler.Reply:
        self.runs.append(call.attempt)
        self.remaining_s.append(call.remaining_s)
        self.started.set()
        try:
            await self.gate.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        response = verdict.Response(200, (), call.request.body)
        if self.memory is not None:
            response = verdict.Response(200, (), bytes(call.body_length))
            self.memory.reserve_anyway(call.body_length)
            self.memory.hold(response, call.body_length)
        return dialler.Reply(verdict.Answered(response), None)


def ignore_control(node_id: str, topic: str, payload: bytes) -> None:
    pass


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.runner = Runner()
        self.received: list[str] = []
        self.acceptor_bodies = budget.ByteBudget(MEMORY)
        self.acceptor = self.build_acceptor(incarnation=1)
        host, port = await self.acceptor.start('127.0.0.1', 0)
        self.far_address = (host, port)
        self.valve = valve.Valve(host, port)
        self.address = dialler.Address('up', *await self.valve.start())
        self.dialler = self.build_dialler(SECRET)
        self.addAsyncCleanup(self.acceptor.stop)
        self.addAsyncCleanup(self.valve.stop)
        self.addAsyncCleanup(self.dialler.stop)

    def build_acceptor(self, *, incarnation: int) -> acceptor.Acceptor:
        return acceptor.Acceptor(
            link.Identity('up', incarnation),
            secret=SECRET,
            runner=self.runner,
            bodies=self.acceptor_bodies,
            table=attempts.AttemptTable(max_answer_bytes=10_000_000),
            on_control=lambda node_id, topic, payload: self.received.append(
                topic
            ),
        )

    def build_dialler(self, secret: bytes) -> dialler.Dialler:
        return dialler.Dialler(
            link.Identity('down', 1),
            secret=secret,
            bodies=budget.ByteBudget(MEMORY),
            on_control=ignore_control,
        )

    def build_call(self, body: bytes = b'x') -> frames.Call:
        return frames.Call(
            attempt=secrets.token_bytes(16),
            route='r',
            context=frames.Context('a', 0, bytes(16), 0.5, 0.0, 0),
            remaining_s=WAIT_S,
            allowance=0,
            idempotency_key='',
            request=message.Request('POST', '/x', (), body),
            body_length=len(body),
            digest=bodies.compute_digest(body),
        )

    def start_call(
        self, call: frames.Call, *, retriable: bool = False
    ) -> asyncio.Task[dialler.Reply]:
        deadline = asyncio.get_running_loop().time() + WAIT_S
        return asyncio.create_task(
            self.dialler.call(
                self.address, call, deadline=deadline, retriable=retriable
            )
        )

    def get_body(self, reply: dialler.Reply) -> bytes:
        assert isinstance(reply.outcome, verdict.Answered), reply
        return reply.outcome.response.body

    async def test_large_bodies_arrive_whole_both_ways(self) -> None:
        body = secrets.token_bytes(3_000_000)
        reply = await self.start_call(self.build_call(body))
        self.assertEqual(body, self.get_body(reply))

    async def test_body_that_can_never_be_held_is_refused_at_once(
        self,
    ) -> None:
        reply = await self.start_call(self.build_call(bytes(MEMORY + 1)))
        assert isinstance(reply.outcome, verdict.NotRun), reply
        self.assertIs(verdict.Reason.BODY_TOO_LARGE, reply.outcome.reason)
        self.assertEqual([], self.runner.runs)

    async def test_messages_that_follow_each_other_need_one_link(
        self,
    ) -> None:
        """The second came while the link was dialled, and was dropped."""
        for topic in ('first', 'second', 'third'):
            self.dialler.send_control(self.address, topic, b'')
        await self.start_call(self.build_call())
        self.assertEqual(['first', 'second', 'third'], self.received)

    async def test_messages_that_wait_for_a_link_are_bounded(self) -> None:
        for number in range(2 * dialler.MAX_UNSENT):
            self.dialler.send_control(self.address, str(number), b'')
        await self.start_call(self.build_call())
        self.assertEqual(dialler.MAX_UNSENT, len(self.received))
        self.assertEqual(str(2 * dialler.MAX_UNSENT - 1), self.received[-1])

    async def test_crossed_answers_reach_their_own_callers(self) -> None:
        bodies = [b'%d' % index * 40_000 for index in range(8)]
        tasks = [self.start_call(self.build_call(body)) for body in bodies]
        replies = await asyncio.gather(*tasks)
        self.assertEqual(bodies, [self.get_body(reply) for reply in replies])

    async def test_running_attempt_survives_a_cut(self) -> None:
        self.runner.gate.clear()
        task = self.start_call(self.build_call())
        await self.runner.started.wait()
        self.valve.cut()
        self.runner.gate.set()
        self.assertEqual(b'x', self.get_body(await task))
        self.assertEqual(1, len(self.runner.runs))

    async def test_answer_lost_on_a_silent_link_is_fetched(self) -> None:
        await self.start_call(self.build_call())
        self.valve.swallow_back = True
        task = self.start_call(self.build_call(b'y'))
        while len(self.runner.runs) < 2:
            await asyncio.sleep(0)
        while len(self.valve.pairs) < 2:
            # The silent link is abandoned; the next one may speak again.
            await asyncio.sleep(0.01)
        self.valve.swallow_back = False
        self.assertEqual(b'y', self.get_body(await task))
        self.assertEqual(2, len(self.runner.runs))

    async def test_idle_link_that_went_silent_is_abandoned(self) -> None:
        with unittest.mock.patch.object(link, 'IDLE_PROBE_S', 0.1):
            await self.start_call(self.build_call())
            self.assertEqual(1, self.dialler.count_links())
            self.valve.swallow_back = True
            async with asyncio.timeout(WAIT_S):
                while self.dialler.count_links():
                    await asyncio.sleep(0.01)
            self.valve.swallow_back = False
            reply = await self.start_call(self.build_call(b'y'))
        self.assertEqual(b'y', self.get_body(reply))

    async def fall_silent(self) -> None:
        """Open a link, and wait until it is left for silence."""
        with unittest.mock.patch.object(link, 'IDLE_PROBE_S', 0.1):
            await self.start_call(self.build_call())
            self.valve.swallow_back = True
            async with asyncio.timeout(WAIT_S):
                while self.dialler.count_links():
                    await asyncio.sleep(0.01)

    async def test_link_that_went_silent_is_no_failure_by_itself(
        self,
    ) -> None:
        """Something between the two may have lost track of it."""
        await self.fall_silent()
        self.assertEqual([], self.dialler.list_failing(0.0))

    async def test_host_that_went_silent_fails_since_the_first_probe(
        self,
    ) -> None:
        await self.fall_silent()
        with unittest.mock.patch.object(dialler, 'DIAL_TIMEOUT_S', 0.1):
            await self.start_call(self.build_call(), retriable=True)
        # The dial alone took a tenth of a second.
        failing = self.dialler.list_failing(link.SILENCE_S)
        self.assertEqual(['up'], failing)

    async def test_host_that_refuses_has_time_to_start_its_process(
        self,
    ) -> None:
        await self.valve.stop()
        await self.start_call(self.build_call(), retriable=True)
        self.assertEqual([], self.dialler.list_failing(0.0))
        self.assertTrue(self.dialler.is_refused('up'))

    async def test_attempt_that_never_arrived_is_fenced(self) -> None:
        await self.start_call(self.build_call())
        self.valve.hold_forth = True
        task = self.start_call(self.build_call(b'y'))
        while not self.valve.pairs[0].held:
            await asyncio.sleep(0)
        self.valve.hold_forth = False
        self.valve.cut()
        reply = await task
        self.assertIsInstance(reply.outcome, verdict.NotRun)
        self.assertIs(verdict.Reason.FENCED, reply.outcome.reason)
        self.valve.release()
        await self.start_call(self.build_call(b'z'))
        self.assertEqual(2, len(self.runner.runs))

    async def test_changed_incarnation_leaves_doubt(self) -> None:
        self.runner.gate.clear()
        task = self.start_call(self.build_call())
        await self.runner.started.wait()
        successor = self.build_acceptor(incarnation=2)
        self.valve.far_address = await successor.start('127.0.0.1', 0)
        self.addAsyncCleanup(successor.stop)
        self.valve.cut()
        reply = await task
        self.assertEqual(
            verdict.MayHaveRun(
                verdict.Reason.LINK_LOST, 'the upstream was restarted'
            ),
            reply.outcome,
        )
        self.assertEqual(1, len(self.runner.runs))

    async def test_dead_peer_leaves_doubt_before_the_deadline(self) -> None:
        for retriable in (True, False):
            with self.subTest(retriable=retriable):
                self.runner.started.clear()
                self.runner.gate.clear()
                task = self.start_call(self.build_call(), retriable=retriable)
                await self.runner.started.wait()
                self.valve.far_address = ('127.0.0.1', 1)
                self.valve.cut()
                reply = await task
                assert isinstance(reply.outcome, verdict.MayHaveRun), reply
                self.assertIs(verdict.Reason.LINK_LOST, reply.outcome.reason)
                self.valve.far_address = self.far_address

    async def test_caller_that_leaves_cancels_the_attempt(self) -> None:
        self.runner.gate.clear()
        task = self.start_call(self.build_call())
        await self.runner.started.wait()
        task.cancel()
        await asyncio.wait_for(self.runner.cancelled.wait(), WAIT_S)

    async def test_attempt_cancelled_as_it_arrives_is_forgotten(self) -> None:
        """Its task is cancelled before its first step."""
        await self.start_call(self.build_call())
        source = next(iter(self.acceptor._links))
        call = self.build_call()
        self.acceptor.on_message(source, call)
        self.acceptor.on_message(source, frames.Cancel(call.attempt))
        async with asyncio.timeout(WAIT_S):
            await self.acceptor.drain()
        self.assertEqual(0, self.acceptor.count_running())
        self.assertEqual(1, len(self.runner.runs))

    async def test_long_answer_whose_caller_leaves_is_released(self) -> None:
        """The nodes would refuse every call once the budget is used up."""
        body = bytes(3_000_000)
        for turns in range(40):
            task = self.start_call(self.build_call(body))
            runs = len(self.runner.runs)
            while len(self.runner.runs) == runs:
                await asyncio.sleep(0)
            for _ in range(turns):
                await asyncio.sleep(0)
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self.wait_until_released()

    async def test_long_answer_that_nobody_awaits_any_more(self) -> None:
        """A call that ended in doubt cancels nothing at its target's node.

        Its answer stayed there for as long as the link was open.
        """
        self.runner.gate.clear()
        task = self.start_call(self.build_call(bytes(3_000_000)))
        async with asyncio.timeout(WAIT_S):
            await self.runner.started.wait()
        (peer,) = self.dialler._peers.values()
        (pending,) = peer._pending.values()
        peer._fail_as_unknown(pending, 'the link was lost')
        await task
        self.runner.gate.set()
        await self.wait_until_sent()
        await self.wait_until_released()

    async def test_cancel_that_crosses_the_end_of_its_attempt(self) -> None:
        await self.start_call(self.build_call())
        source = next(iter(self.acceptor._links))
        call = self.build_call(bytes(3_000_000))
        self.acceptor.on_message(source, call)
        (task,) = self.acceptor._peers['down'].tasks.values()
        while not task.done():
            await asyncio.sleep(0)
        # The callback of the task has not run yet.
        self.acceptor.on_message(source, frames.Cancel(call.attempt))
        await asyncio.sleep(0.05)
        await self.wait_until_sent()

    async def wait_until_sent(self) -> None:
        """Wait until the target's node has nothing left to send."""
        async with asyncio.timeout(WAIT_S):
            while (
                self.acceptor.count_running()
                or not self.acceptor._links
                or any(len(each._outbox) for each in self.acceptor._links)
            ):
                await asyncio.sleep(0.02)

    async def test_call_refused_before_its_body_has_arrived(self) -> None:
        """Its node would hold the rest for as long as the link is open."""
        reply = await self.start_call(self.build_call(bytes(MEMORY + 1)))
        self.assertIsInstance(reply.outcome, verdict.NotRun)
        for opened in self.acceptor._links:
            self.assertEqual(0, len(opened._outbox))
        (peer,) = self.dialler._peers.values()
        assert peer._link is not None
        self.assertEqual(0, len(peer._link._outbox))

    async def test_answer_counts_until_it_was_sent(self) -> None:
        """The target's node held far more than its budget allowed."""
        length = 3_000_000
        await self.dialler.bodies.reserve(MEMORY)
        self.runner.memory = self.acceptor_bodies
        task = self.start_call(self.build_call(bytes(length)))
        async with asyncio.timeout(WAIT_S):
            while not any(
                len(opened._outbox) for opened in self.acceptor._links
            ):
                await asyncio.sleep(0.01)
        self.acceptor._table.purge(1e9)
        self.assertGreaterEqual(self.acceptor_bodies.used, length)
        self.dialler.bodies.release(MEMORY)
        self.assertEqual(length, len(self.get_body(await task)))

    async def test_time_that_a_body_takes_is_not_left_to_its_call(
        self,
    ) -> None:
        call = self.build_call(bytes(MEMORY // 2))
        await self.acceptor_bodies.reserve(MEMORY)
        task = self.start_call(call)
        await asyncio.sleep(0.2)
        self.acceptor_bodies.release(MEMORY)
        await task
        (remaining_s,) = self.runner.remaining_s
        self.assertLess(remaining_s, call.remaining_s - 0.15)

    async def wait_until_released(self) -> None:
        """Wait until neither side holds any body."""
        async with asyncio.timeout(WAIT_S):
            while self.dialler.bodies.used or self.acceptor_bodies.used:
                # Answers are kept until they have been acknowledged.
                await asyncio.sleep(0.02)

    async def test_link_lost_before_the_first_call_is_no_doubt(self) -> None:
        dial = unittest.mock.AsyncMock(return_value=True)
        with unittest.mock.patch.object(dialler._Peer, '_dial', dial):
            async with asyncio.timeout(WAIT_S / 2):
                reply = await self.start_call(self.build_call())
        assert isinstance(reply.outcome, verdict.NotRun), reply
        self.assertIs(verdict.Reason.NO_UPSTREAM, reply.outcome.reason)

    async def test_call_does_not_wait_for_a_dial_that_hangs(self) -> None:
        """Nothing was sent, so the call may go to another upstream."""
        self.valve.swallow_back = True
        with (
            unittest.mock.patch.object(dialler, 'DIAL_TIMEOUT_S', 2 * WAIT_S),
            unittest.mock.patch.object(dialler, 'MAX_DIAL_WAIT_S', 0.05),
            unittest.mock.patch.object(link, 'HANDSHAKE_TIMEOUT_S', WAIT_S),
        ):
            async with asyncio.timeout(WAIT_S / 2):
                reply = await self.start_call(self.build_call())
        assert isinstance(reply.outcome, verdict.NotRun), reply
        self.assertIs(verdict.Reason.NO_UPSTREAM, reply.outcome.reason)
        self.assertTrue(reply.outcome.retry_elsewhere)
        self.assertEqual([], self.runner.runs)

    async def test_wrong_secret_opens_no_link(self) -> None:
        self.dialler = self.build_dialler(b'another secret')
        reply = await self.start_call(self.build_call())
        self.assertIsInstance(reply.outcome, verdict.NotRun)
        self.assertIs(verdict.Reason.NO_UPSTREAM, reply.outcome.reason)
        self.assertEqual([], self.runner.runs)

    async def test_stranger_cannot_send_long_messages(self) -> None:
        """Nodes hold what a connection sends before it proves the secret."""
        reader, writer = await asyncio.open_connection(*self.far_address)
        self.addCleanup(writer.close)
        writer.write(frames.MAX_MESSAGE_BYTES.to_bytes(4, 'big'))
        async with asyncio.timeout(link.HANDSHAKE_TIMEOUT_S / 2):
            with contextlib.suppress(ConnectionError):
                await reader.read()

    async def test_planned_stop_leaves_no_doubt(self) -> None:
        self.runner.gate.clear()
        task = self.start_call(self.build_call())
        await self.runner.started.wait()
        stopping = asyncio.create_task(self.acceptor.stop())
        await asyncio.sleep(0)
        self.runner.gate.set()
        self.assertEqual(b'x', self.get_body(await task))
        await stopping
        self.assertEqual(0, self.acceptor.count_links())

    async def test_deadline_ends_a_call_that_never_ends(self) -> None:
        self.runner.gate.clear()
        loop = asyncio.get_running_loop()
        reply = await self.dialler.call(
            self.address, self.build_call(), deadline=loop.time() + 0.2
        )
        self.assertEqual(
            verdict.MayHaveRun(verdict.Reason.DEADLINE), reply.outcome
        )
        await asyncio.wait_for(self.runner.cancelled.wait(), WAIT_S)


class OutboxTest(unittest.TestCase):
    """Messages of a link whose socket takes no more for a while."""

    def setUp(self) -> None:
        self.sent: list[frames.Message] = []
        self.is_writable = False
        self.memory = budget.ByteBudget(MEMORY)
        self.outbox = bodies.Outbox(
            self.sent.append, lambda: self.is_writable, self.memory
        )

    def build_answer(self, length: int) -> frames.Answer:
        body = bytes(length)
        return frames.Answer(
            attempt=secrets.token_bytes(16),
            feedback=frames.SILENT_FEEDBACK,
            response=verdict.Response(200, (), body),
            body_length=length,
            digest=bodies.compute_digest(body),
        )

    def test_answers_wait_in_order_and_count(self) -> None:
        """Any number of them was written to the transport."""
        answers = [self.build_answer(length) for length in (1_000, 2_000)]
        for answer in answers:
            self.assertTrue(self.outbox.queue(answer))
        self.assertEqual(3_000, self.memory.used)
        self.is_writable = True
        self.outbox.pump()
        self.assertEqual(answers, self.sent)
        self.assertEqual(0, self.memory.used)

    def test_none_overtakes_those_that_wait(self) -> None:
        self.outbox.queue(self.build_answer(1))
        self.is_writable = True
        self.assertTrue(self.outbox.queue(self.build_answer(1)))

    def test_answer_that_nobody_waits_for_is_dropped(self) -> None:
        answer = self.build_answer(1_000)
        self.outbox.queue(answer)
        self.outbox.drop(answer.attempt)
        self.assertEqual(0, self.memory.used)
        self.is_writable = True
        self.outbox.pump()
        self.assertEqual([], self.sent)

    def test_lost_link_holds_nothing(self) -> None:
        self.outbox.queue(self.build_answer(1_000))
        self.outbox.clear()
        self.assertEqual(0, self.memory.used)
        self.assertEqual(0, len(self.outbox))

    def test_closing_link_sends_what_waits(self) -> None:
        answer = self.build_answer(1_000)
        self.outbox.queue(answer)
        self.outbox.flush()
        self.assertEqual([answer], self.sent)


class ClosedLinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_message_on_a_link_that_the_peer_has_ended(self) -> None:
        """Nodes that stop together end their links at the same moment."""
        ended = link.Link(
            unittest.mock.Mock(),
            link.Identity('n1', 1),
            secret=b'secret',
            memory=budget.ByteBudget(1000),
            watch=liveness.Watch(),
            dialled=False,
        )
        ended.connection_made(fakes.FakeTransport())
        ended.eof_received()
        ended.send(frames.Goodbye())
        ended.connection_lost(None)
