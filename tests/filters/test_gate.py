"""Tests of the gate: refusals before delivery, and feedback on replies."""

import asyncio
import random
import unittest
import unittest.mock

from eelgrasswalk import clock
from eelgrasswalk import events
from eelgrasswalk import ports
from eelgrasswalk import request_log
from eelgrasswalk import verdict
from eelgrasswalk.filters import admit
from eelgrasswalk.filters import deliveries
from eelgrasswalk.filters import gate
from eelgrasswalk.filters import isolation
from eelgrasswalk.platform import dialect
from eelgrasswalk.policy import root_share
from eelgrasswalk.policy import running_calls
from eelgrasswalk.policy.capacity import slot_queue
from eelgrasswalk.transport import budget
from eelgrasswalk.transport import frames
from eelgrasswalk.transport import http_client
from eelgrasswalk.transport import message

RESPONSE = verdict.Response(200, ((b'response-stamp', b's'),), b'')


def build_answer(
    *, limit: bytes = b'', leaving: bool = False
) -> verdict.Response:
    headers = RESPONSE.headers
    if leaving:
        headers = (*headers, (b'server-leaving', b'1'))
    if limit:
        headers = (*headers, (b'server-limit', limit))
    return verdict.Response(200, headers, b'')


def build_call(
    *,
    depth: int = 0,
    root_hash: float = 0.9,
    request_id: bytes = b'a',
    may_wait: bool = True,
    notice: frames.TargetNotice | None = None,
) -> frames.Call:
    return frames.Call(
        attempt=bytes(16),
        route='browse',
        context=frames.Context('', 2, bytes(16), root_hash, 0.0, depth),
        remaining_s=5.0,
        allowance=0,
        idempotency_key='',
        request=message.Request(
            'GET', '/', ((b'attempt-id', request_id),), b''
        ),
        body_length=0,
        digest=0,
        objective_s=1.0,
        may_wait=may_wait,
        notice=notice,
    )


def build_isolation(calls: deliveries.Deliveries) -> isolation.Isolation:
    """Return one that lets every call pass, at a node without others."""
    built = unittest.mock.Mock(spec=isolation.Isolation)
    built.enter.return_value = isolation.Pass()
    return built


def build_gate(
    pool: http_client.TargetPool,
    *,
    running: running_calls.RunningCalls,
    shares: root_share.RootShares,
) -> gate.Gate:
    """Return a gate with a ready target of four slots."""
    built = gate.Gate(
        dialect.PlatformDialect(),
        pool,
        admit.Admitter(
            slot_queue.SlotQueue(slot_queue.SlotSettings(), slots=1),
            source=random.Random(1),
        ),
        budget.ByteBudget(1_000_000),
        running,
        shares,
        isolate=build_isolation,
        get_retry_use=lambda: 0.25,
        log=unittest.mock.Mock(spec=request_log.RequestLog),
        service='back',
        drain_s=2.0,
    )
    built.set_target('i-1', 4, run_id='i-1@1')
    return built


def build_loaded(
    load: bytes, *, target_id: bytes = b'i-1'
) -> http_client.Received:
    headers = ((b'instance-id', target_id), (b'server-load', load))
    return http_client.Received(
        verdict.Response(200, (*RESPONSE.headers, *headers), b'')
    )


class GateTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.shares = root_share.RootShares(
            root_share.ShareSettings(interval_s=0.0, min_calls=1)
        )
        self.running = running_calls.RunningCalls()
        self.pool = unittest.mock.Mock(spec=http_client.TargetPool)
        self.pool.send = unittest.mock.AsyncMock(
            return_value=http_client.Received(RESPONSE)
        )
        self.gate = build_gate(
            self.pool, running=self.running, shares=self.shares
        )

    def record_starved_calls(self) -> None:
        for _ in range(100):
            self.shares.observe(None, True, 0.0)
            self.shares.observe(None, True, 0.0)

    async def test_call_is_answered_by_the_target(self) -> None:
        reply = await self.gate.run(build_call())
        self.assertIsInstance(reply.outcome, verdict.Answered)

    async def test_new_root_is_refused_while_child_calls_starve(
        self,
    ) -> None:
        self.record_starved_calls()
        reply = await self.gate.run(build_call())
        assert isinstance(reply.outcome, verdict.NotRun)
        self.assertFalse(reply.outcome.retry_elsewhere)
        self.assertGreater(reply.outcome.retry_after_s or 0.0, 0.0)
        self.pool.send.assert_not_called()

    async def test_child_call_is_accepted_while_child_calls_starve(
        self,
    ) -> None:
        self.record_starved_calls()
        reply = await self.gate.run(build_call(depth=1))
        self.assertIsInstance(reply.outcome, verdict.Answered)

    async def test_feedback_reports_starved_calls(self) -> None:
        self.record_starved_calls()
        reply = await self.gate.run(build_call(depth=1))
        assert reply.feedback is not None
        self.assertEqual(1.0, reply.feedback.capacity_failure_ratio)

    async def test_feedback_reports_the_failure_rate_of_the_target(
        self,
    ) -> None:
        failed = verdict.Response(500, RESPONSE.headers, b'')
        self.pool.send.return_value = http_client.Received(failed)
        reply = await self.gate.run(build_call())
        assert reply.feedback is not None
        self.assertGreater(reply.feedback.failing, 0.0)

    async def test_target_gets_no_more_calls_than_the_limit_it_names(
        self,
    ) -> None:
        """Guards against the LIMIT incident of the day `capped`."""
        self.pool.send.return_value = http_client.Received(
            build_answer(limit=b'2')
        )
        for _ in range(60):
            await self.gate.run(build_call(may_wait=False))
        self.assertLessEqual(self.pool.send.call_count, 1.5 * 2 * 4 + 5)

    async def test_restarted_gate_keeps_to_the_limit_that_callers_know(
        self,
    ) -> None:
        """No answer has come since the restart, as the target is slow."""
        notice = frames.TargetNotice('i-1@1', 2.0)
        answered = asyncio.Event()

        async def wait(
            *args: object, **options: object
        ) -> http_client.Outcome:
            await answered.wait()
            return http_client.Received(RESPONSE)

        self.pool.send.side_effect = wait
        self.gate.set_target('i-1', 100, run_id='i-1@1')
        async with asyncio.TaskGroup() as group:
            for _ in range(60):
                group.create_task(
                    self.gate.run(build_call(may_wait=False, notice=notice))
                )
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            answered.set()
        self.assertLessEqual(self.pool.send.call_count, 1.5 * 2 * 4 + 5)

    async def test_limit_of_an_earlier_run_of_the_target_does_not_hold(
        self,
    ) -> None:
        self.gate.set_target('i-1', 4, run_id='i-1@2')
        for _ in range(20):
            reply = await self.gate.run(
                build_call(notice=frames.TargetNotice('i-1@1', 2.0))
            )
            self.assertIsInstance(reply.outcome, verdict.Answered)

    async def test_feedback_tells_the_limit_until_it_is_lifted(self) -> None:
        self.pool.send.return_value = http_client.Received(
            build_answer(limit=b'2')
        )
        reply = await self.gate.run(build_call())
        assert reply.feedback is not None
        self.assertEqual(
            frames.TargetNotice('i-1@1', 2.0), reply.feedback.notice
        )
        self.pool.send.return_value = http_client.Received(RESPONSE)
        reply = await self.gate.run(build_call())
        assert reply.feedback is not None
        self.assertIsNone(reply.feedback.notice)

    async def test_target_that_says_it_is_leaving_gets_no_late_call(
        self,
    ) -> None:
        """No check-in has told so; they may be late or lost."""
        self.pool.send.return_value = http_client.Received(
            build_answer(leaving=True)
        )
        told: list[str] = []
        self.gate.on_leaving = told.append
        now = clock.read_boot_time()
        with unittest.mock.patch.object(
            clock, 'read_boot_time', return_value=now
        ) as read:
            reply = await self.gate.run(build_call())
            self.assertEqual(['i-1'], told)
            assert reply.feedback is not None
            self.assertEqual(
                frames.TargetNotice('i-1@1', None, True), reply.feedback.notice
            )
            read.return_value = now + 2.0
            late = await self.gate.run(build_call())
        assert isinstance(late.outcome, verdict.NotRun)
        self.assertIs(verdict.Reason.LEAVING, late.outcome.reason)
        self.assertEqual(1, self.pool.send.call_count)

    async def test_late_answer_of_an_earlier_run_does_not_drain_the_next(
        self,
    ) -> None:
        told: list[str] = []
        self.gate.on_leaving = told.append

        async def restart(
            *args: object, **options: object
        ) -> http_client.Outcome:
            self.gate.set_target('i-2', 4, run_id='i-2@2')
            return http_client.Received(build_answer(leaving=True))

        self.pool.send.side_effect = restart
        await self.gate.run(build_call())
        self.assertEqual([], told)

    async def test_answer_reports_the_load_of_the_target(self) -> None:
        self.pool.send.return_value = build_loaded(b'1,2,4,150')
        await self.gate.run(build_call())
        known = self.gate.loads.find()
        assert known is not None
        self.assertEqual(ports.LoadReport(1, 2, 4, 1.5), known.report)

    async def test_feedback_tells_times_only_with_a_slowdown(self) -> None:
        """Callers must choose as before where targets state no slowdown."""
        for load, is_told in (
            (b'1,0,4', False),
            (b'1,0,4,100', True),
            (b'1,0,4,250', True),
        ):
            with self.subTest(load):
                self.pool.send.return_value = build_loaded(load)
                reply = await self.gate.run(build_call())
                assert reply.feedback is not None
                self.assertEqual(is_told, reply.feedback.service_s > 0.0)
                self.assertEqual(0.0, reply.feedback.wait_s)

    async def test_feedback_of_a_target_without_load_tells_no_times(
        self,
    ) -> None:
        reply = await self.gate.run(build_call())
        assert reply.feedback is not None
        self.assertEqual(0.0, reply.feedback.service_s)

    async def test_answer_without_a_load_is_no_flaw(self) -> None:
        await self.gate.run(build_call())
        self.assertIsNone(self.gate.loads.find())
        self.assertEqual([], self.count_ignored())

    async def test_load_that_cannot_be_right_is_counted(self) -> None:
        """One line for each run of the target, however many answers."""
        for load, cause in (
            (b'bad', 'malformed'),
            (b'5,0,4', 'over-slots'),
            (b'4,5000,4', 'more-than-sent'),
        ):
            with self.subTest(cause):
                self.pool.send.return_value = build_loaded(load)
                self.find_log().reset_mock()
                with self.assertLogs('eelgrasswalk') as logged:
                    events.log(events.NODE_STARTED)
                    for _ in range(3):
                        await self.gate.run(build_call())
                self.assertEqual([cause] * 3, self.count_ignored())
                self.assertLessEqual(len(logged.records), 2)
                self.assertIsNone(self.gate.loads.find())

    async def test_load_of_another_target_is_not_taken(self) -> None:
        self.pool.send.return_value = build_loaded(b'1,0,4', target_id=b'i-9')
        await self.gate.run(build_call())
        self.assertIsNone(self.gate.loads.find())

    async def test_late_answer_of_an_earlier_run_reports_no_load(
        self,
    ) -> None:
        async def restart(
            *args: object, **options: object
        ) -> http_client.Outcome:
            self.gate.set_target('i-1', 4, run_id='i-1@2')
            return build_loaded(b'1,0,4')

        self.pool.send.side_effect = restart
        await self.gate.run(build_call())
        self.assertIsNone(self.gate.loads.find())

    async def test_load_of_an_earlier_run_is_forgotten(self) -> None:
        self.pool.send.return_value = build_loaded(b'1,0,4')
        await self.gate.run(build_call())
        self.gate.set_target('i-1', 4, run_id='i-1@1')
        self.assertIsNotNone(self.gate.loads.find())
        self.gate.set_target('i-1', 4, run_id='i-1@2')
        self.assertIsNone(self.gate.loads.find())

    async def test_load_is_old_after_a_suspension(self) -> None:
        """The monotonic clock stands still while a host is suspended."""
        self.pool.send.return_value = build_loaded(b'1,0,4')
        now = clock.read_boot_time()
        with unittest.mock.patch.object(
            clock, 'read_boot_time', return_value=now
        ) as read:
            await self.gate.run(build_call())
            self.assertIsNotNone(self.gate.loads.find())
            read.return_value = now + 1.5
            self.assertIsNone(self.gate.loads.find())
            self.assertEqual(1.5, self.gate.loads.measure_age())

    async def test_target_goes_on_with_calls_that_nobody_waits_for(
        self,
    ) -> None:
        """It then runs more than the gate waits for, and says so rightly."""
        self.gate.set_target('i-1', 100, run_id='i-1@1')
        self.pool.send.return_value = http_client.Broken(
            verdict.Reason.DEADLINE, 'late'
        )
        for _ in range(40):
            await self.gate.run(build_call())
        self.pool.send.return_value = build_loaded(b'41,0,100')
        await self.gate.run(build_call())
        self.assertIsNotNone(self.gate.loads.find())
        self.assertEqual([], self.count_ignored())

    async def test_invalid_answer_counts_as_a_failure_of_the_target(
        self,
    ) -> None:
        self.pool.send.return_value = http_client.Broken(
            verdict.Reason.ANSWER_INCOMPLETE, 'invalid status'
        )
        self.pool.is_refused.return_value = False
        reply = await self.gate.run(build_call())
        assert reply.feedback is not None
        self.assertGreater(reply.feedback.failing, 0.0)

    def find_log(self) -> unittest.mock.Mock:
        log = self.gate._log._log
        assert isinstance(log, unittest.mock.Mock)
        return log

    def count_ignored(self) -> list[str]:
        calls = self.find_log().count_ignored_load.call_args_list
        return [call.args[0] for call in calls]

    async def test_crash_names_the_calls_that_ran(self) -> None:
        broken = http_client.Broken(verdict.Reason.TARGET_LOST, 'closed')
        self.pool.send.return_value = broken
        self.pool.is_refused.return_value = True
        with self.assertLogs('eelgrasswalk') as logged:
            reply = await self.gate.run(build_call())
        assert isinstance(reply.outcome, verdict.MayHaveRun)
        self.assertIs(verdict.Reason.TARGET_CRASHED, reply.outcome.reason)
        (record,) = logged.records
        self.assertEqual('i-1@1', record.__dict__['target'])
        self.assertEqual(1, len(record.__dict__['digests']))

    async def test_caller_learns_which_run_of_the_target_ended(self) -> None:
        broken = http_client.Broken(verdict.Reason.TARGET_LOST, 'closed')
        self.pool.send.return_value = broken
        self.pool.is_refused.return_value = True
        reply = await self.gate.run(build_call())
        assert reply.feedback is not None
        self.assertEqual('i-1@1', reply.feedback.ended_run)

    async def test_announced_end_of_a_target_accuses_nobody(self) -> None:
        broken = http_client.Broken(verdict.Reason.TARGET_LOST, 'closed')
        self.pool.send.return_value = broken
        self.pool.is_refused.return_value = True
        self.gate.start_draining()
        await self.gate.run(build_call())
        self.find_isolation().handle_crash.assert_not_called()

    async def test_target_that_is_back_at_once_has_crashed_as_well(
        self,
    ) -> None:
        """It accepts connections again before the lost call is judged."""
        broken = http_client.Broken(verdict.Reason.TARGET_LOST, 'closed')
        self.pool.send.return_value = broken
        self.pool.is_refused.return_value = False
        await self.gate.run(build_call())
        self.gate.set_target('i-2', 4, run_id='i-2@2')
        (crash,) = self.find_isolation().handle_crash.call_args_list
        self.assertEqual('i-1@1', crash.args[0])

    async def test_call_that_nobody_waits_for_may_have_caused_a_crash(
        self,
    ) -> None:
        """Targets go on with what they have begun when its caller leaves."""
        self.pool.send.side_effect = asyncio.CancelledError
        with self.assertRaises(asyncio.CancelledError):
            await self.gate.run(build_call())
        self.pool.send.side_effect = None
        self.pool.send.return_value = http_client.NotSent(
            'refused', is_refusal=True
        )
        await self.gate.run(build_call(request_id=b'b'))
        (crash,) = self.find_isolation().handle_crash.call_args_list
        self.assertEqual(1, len(crash.args[1]))

    async def test_suspect_is_directed_to_the_node_that_may_run_it(
        self,
    ) -> None:
        refusal = verdict.NotRun(verdict.Reason.ISOLATED, retry_elsewhere=True)
        self.find_isolation().enter.return_value = isolation.Refused(
            refusal, run_at='node-b'
        )
        reply = await self.gate.run(build_call())
        self.assertEqual(refusal, reply.outcome)
        assert reply.feedback is not None
        self.assertEqual('node-b', reply.feedback.run_at)
        self.pool.send.assert_not_called()

    def find_isolation(self) -> unittest.mock.Mock:
        built = self.gate.isolation
        assert isinstance(built, unittest.mock.Mock)
        return built

    async def test_lost_connection_is_no_crash(self) -> None:
        broken = http_client.Broken(verdict.Reason.TARGET_LOST, 'closed')
        self.pool.send.return_value = broken
        self.pool.is_refused.return_value = False
        reply = await self.gate.run(build_call())
        assert isinstance(reply.outcome, verdict.MayHaveRun)
        self.assertIs(verdict.Reason.TARGET_LOST, reply.outcome.reason)

    async def test_stopping_node_takes_no_call_that_it_may_have_to_cut(
        self,
    ) -> None:
        self.gate.stop_accepting()
        reply = await self.gate.run(build_call())
        assert isinstance(reply.outcome, verdict.NotRun)
        self.assertIs(verdict.Reason.LEAVING, reply.outcome.reason)
        self.assertTrue(reply.outcome.retry_elsewhere)
        self.pool.send.assert_not_called()

    async def test_failure_due_to_a_child_call_is_not_counted(
        self,
    ) -> None:
        failed = verdict.Response(500, RESPONSE.headers, b'')

        async def fail(
            *args: object, **options: object
        ) -> http_client.Outcome:
            self.running.record_failed_call('a')
            return http_client.Received(failed)

        self.pool.send.side_effect = fail
        reply = await self.gate.run(build_call())
        assert reply.feedback is not None
        self.assertEqual(0.0, reply.feedback.failing)
