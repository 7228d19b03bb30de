"""Tests of the gate of a target that is or may be cold."""

import asyncio
import time
import unittest
import unittest.mock

from eelgrasswalk import clock
from eelgrasswalk import events
from eelgrasswalk import verdict
from eelgrasswalk.filters import admit
from eelgrasswalk.filters import coldness
from eelgrasswalk.filters import gate
from eelgrasswalk.policy import root_share
from eelgrasswalk.policy import running_calls
from eelgrasswalk.policy.capacity import cold_start
from eelgrasswalk.transport import dialler
from eelgrasswalk.transport import http_client
from tests.filters import test_gate

SETTINGS = cold_start.ColdSettings(
    per_s=5.5, start_s=20.0, overage=1.5, slack=8.0
)


class Clock:
    """Stands for the monotonic and the boot clock.

    It is behind the event loop's clock, by which deadlines are given.
    """

    def __init__(self) -> None:
        self.now = time.monotonic() - 1000.0
        self.suspended_s = 0.0

    def monotonic(self) -> float:
        return self.now

    def read_boot_time(self) -> float:
        return self.now + self.suspended_s


class ColdGateTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = Clock()
        for module, name, replacement in (
            (coldness, 'time', self.clock),
            (admit, 'time', self.clock),
            (gate, 'time', self.clock),
            (clock, 'read_boot_time', self.clock.read_boot_time),
        ):
            patcher = unittest.mock.patch.object(module, name, replacement)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.pool = unittest.mock.Mock(spec=http_client.TargetPool)
        self.pool.send = unittest.mock.AsyncMock(side_effect=self.send)
        self.outcome: http_client.Outcome = http_client.Received(
            test_gate.RESPONSE
        )
        self.sent = 0
        self.connected = asyncio.Event()
        self.connected.set()
        self.gate = test_gate.build_gate(
            self.pool,
            running=running_calls.RunningCalls(),
            shares=root_share.RootShares(root_share.ShareSettings()),
        )
        self.coldness = self.gate.coldness
        self.addCleanup(self.coldness.stop)
        self.unsettled = 0
        self.coldness.on_unsettled = self.count_unsettled
        # As a gate of a process that has been running for long.
        self.clock.now += 100.0
        self.coldness.change_settings(SETTINGS)

    def count_unsettled(self) -> None:
        self.unsettled += 1

    async def send(
        self, *args: object, **options: object
    ) -> http_client.Outcome:
        await self.connected.wait()
        may_send = options['may_send']
        assert callable(may_send)
        if not may_send():
            return http_client.NotSent('withheld', is_withheld=True)
        self.sent += 1
        return self.outcome

    def set_run(self, number: int, target_id: str = '') -> None:
        target_id = target_id or f'i-{number}'
        self.gate.set_target(target_id, 100, run_id=f'{target_id}@{number}')

    def confirm_warm(self) -> None:
        self.coldness.confirm(0.0, asked_at=self.clock.now)

    async def make_warm(self) -> None:
        """Bring about a target that is warm and gets calls."""
        self.set_run(2)
        self.confirm_warm()
        await self.run_calls(1)
        self.sent = 0
        self.unsettled = 0

    async def run_calls(self, count: int) -> list[dialler.Reply]:
        return [
            await self.gate.run(test_gate.build_call()) for _ in range(count)
        ]

    async def test_new_target_gets_no_more_than_the_limit(self) -> None:
        self.set_run(2)
        replies = await self.run_calls(50)
        self.assertEqual(8, self.sent)
        refused = replies[-1].outcome
        assert isinstance(refused, verdict.NotRun)
        self.assertIs(verdict.Reason.OVERLOAD, refused.reason)
        feedback = replies[-1].feedback
        assert feedback is not None
        self.assertEqual(coldness.UNSETTLED_COLD_S, feedback.cold_s)
        self.assertEqual(1, self.unsettled)
        self.assertEqual(42, self.coldness.refused)

    async def test_target_that_says_it_is_warm_is_not_limited(self) -> None:
        self.set_run(2)
        self.confirm_warm()
        replies = await self.run_calls(50)
        self.assertEqual(50, self.sent)
        feedback = replies[-1].feedback
        assert feedback is not None
        self.assertEqual(0.0, feedback.cold_s)

    async def test_callers_learn_how_long_the_target_remains_cold(
        self,
    ) -> None:
        self.set_run(2)
        self.coldness.confirm(7.0, asked_at=self.clock.now)
        (reply,) = await self.run_calls(1)
        assert reply.feedback is not None
        self.assertAlmostEqual(7.0, reply.feedback.cold_s)

    async def test_announced_coldness_limits_a_busy_target(self) -> None:
        await self.make_warm()
        await self.run_calls(50)
        self.gate.announce_cold('i-2@2', 9.0)
        await self.run_calls(50)
        self.assertEqual(50, self.sent)
        self.clock.now += 1.1
        await self.run_calls(50)
        self.assertEqual(58, self.sent)

    async def test_other_run_announces_and_ends_no_coldness(self) -> None:
        """A check-in of an earlier run at the address may be late."""
        await self.make_warm()
        self.gate.announce_cold('i-1@1', 9.0)
        self.assertFalse(self.coldness.is_cold)
        self.gate.announce_cold('i-2@2', 9.0)
        self.gate.announce_cold('i-1@1', 0.0)
        self.gate.announce_cold('i-2@2', 0.0)
        self.assertTrue(self.coldness.is_cold)

    async def test_malformed_coldness_is_ignored_and_counted(self) -> None:
        await self.make_warm()
        self.gate.announce_cold('i-2@2', None)
        self.assertFalse(self.coldness.is_cold)
        self.assertEqual(1, self.coldness.malformed)

    async def test_known_run_that_is_set_again_stays_warm(self) -> None:
        await self.make_warm()
        self.set_run(2)
        self.assertFalse(self.coldness.is_cold)

    async def test_new_run_of_the_same_id_may_have_had_calls(self) -> None:
        """Calls carry only the id, so they reached the new run as well."""
        await self.make_warm()
        self.set_run(3, target_id='i-2')
        await self.run_calls(20)
        self.assertEqual(0, self.sent)

    async def test_lifted_evacuation_makes_the_target_doubtful(self) -> None:
        await self.make_warm()
        self.clock.now += 1.2
        self.gate.assume_cold()
        await self.run_calls(50)
        self.assertEqual(8, self.sent)
        self.assertEqual(1, self.unsettled)

    async def test_lifted_evacuation_without_a_target(self) -> None:
        self.coldness.target_id = ''
        self.gate.assume_cold()
        self.assertFalse(self.coldness.is_cold)

    async def test_calls_after_a_pause_are_limited(self) -> None:
        """This node may not have heard of an evacuation."""
        await self.make_warm()
        self.clock.now += 1.5
        await self.run_calls(50)
        self.assertEqual(8, self.sent)
        self.assertEqual(1, self.unsettled)

    async def test_suspended_process_does_not_know_its_target(self) -> None:
        await self.make_warm()
        self.clock.suspended_s += 0.6
        self.clock.now += 1.1
        await self.run_calls(50)
        self.assertEqual(8, self.sent)

    async def test_short_suspension_changes_nothing(self) -> None:
        await self.make_warm()
        self.clock.suspended_s += 0.4
        await self.run_calls(50)
        self.assertEqual(50, self.sent)

    async def test_refused_connection_makes_the_target_doubtful(self) -> None:
        """It may start again under the same id."""
        await self.make_warm()
        self.outcome = http_client.NotSent('refused', is_refusal=True)
        await self.run_calls(1)
        self.assertTrue(self.coldness.is_unsettled)

    async def test_crash_makes_the_target_doubtful(self) -> None:
        await self.make_warm()
        self.outcome = http_client.Broken(verdict.Reason.TARGET_LOST, '')
        self.pool.is_refused.return_value = True
        await self.run_calls(1)
        self.assertTrue(self.coldness.is_unsettled)

    async def test_withheld_call_is_no_failure_of_the_target(self) -> None:
        await self.make_warm()
        self.connected.clear()
        calls = [
            asyncio.create_task(self.gate.run(test_gate.build_call()))
            for _ in range(30)
        ]
        while self.pool.send.call_count < 31:
            await asyncio.sleep(0)
        self.clock.now += 1.2
        self.gate.assume_cold()
        self.connected.set()
        replies = await asyncio.gather(*calls)
        self.assertEqual(8, self.sent)
        refused = [
            reply
            for reply in replies
            if isinstance(reply.outcome, verdict.NotRun)
        ]
        self.assertEqual(22, len(refused))
        for reply in refused:
            assert isinstance(reply.outcome, verdict.NotRun)
            self.assertTrue(reply.outcome.retry_elsewhere)
            assert reply.feedback is not None
            self.assertEqual(0.0, reply.feedback.failing)

    async def test_begin_and_end_are_logged_with_their_sources(self) -> None:
        with self.assertLogs('eelgrasswalk', 'INFO') as logged:
            self.set_run(2)
            self.confirm_warm()
            self.gate.announce_cold('i-2@2', 5.0)
            self.clock.now += 6.0
            self.coldness.refresh()
        self.assertEqual(
            [
                (events.TARGET_COLD.number, 'new target'),
                (events.TARGET_WARM.number, 'health check'),
                (events.TARGET_COLD.number, 'check-in'),
                (events.TARGET_WARM.number, 'expired'),
            ],
            [
                (record.__dict__['event'], record.__dict__['source'])
                for record in logged.records
            ],
        )

    async def test_service_without_cold_targets_is_not_limited(self) -> None:
        """Nothing may change, and no health check may be sent."""
        self.coldness.change_settings(None)
        self.set_run(2)
        self.gate.announce_cold('i-2@2', 9.0)
        self.clock.now += 30.0
        self.gate.assume_cold()
        replies = await self.run_calls(50)
        self.assertEqual(50, self.sent)
        self.assertEqual(0, self.unsettled)
        assert replies[-1].feedback is not None
        self.assertEqual(0.0, replies[-1].feedback.cold_s)

    async def test_new_limits_do_not_suspect_a_target_known_for_long(
        self,
    ) -> None:
        self.coldness.change_settings(None)
        self.set_run(2)
        self.clock.now += 30.0
        self.coldness.change_settings(SETTINGS)
        self.assertFalse(self.coldness.is_cold)
