"""Tests of asking the target whether it is cold, and of telling others."""

import asyncio
import random
import typing
import unittest
import unittest.mock

from eelgrasswalk.controllers import cold_target
from eelgrasswalk.controllers import roster as roster_keeper
from eelgrasswalk.controllers import target_probe
from eelgrasswalk.filters import admit
from eelgrasswalk.filters import coldness
from eelgrasswalk.policy import roster
from eelgrasswalk.policy.capacity import cold_start
from eelgrasswalk.policy.capacity import slot_queue
from tests.controllers import fake_store
from tests.controllers import test_roster

SETTINGS = cold_start.ColdSettings(
    per_s=5.5, start_s=20.0, overage=1.5, slack=8.0
)
WARM = target_probe.HealthReport(is_healthy=True)


class Probe:
    """Responds as the test wants; without a response by default."""

    def __init__(self) -> None:
        self.asked = 0
        self.reports: list[target_probe.HealthReport | None] = []
        self.before_response: typing.Callable[[], None] = fake_nothing

    async def ask(self, target_id: str) -> target_probe.HealthReport | None:
        self.asked += 1
        self.before_response()
        return self.reports.pop(0) if self.reports else None


def fake_nothing() -> None:
    pass


class ColdTargetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.now = 1000.0
        self.pauses: list[float] = []
        patcher = unittest.mock.patch.object(
            coldness,
            'time',
            unittest.mock.Mock(monotonic=lambda: self.now),
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        self.probe = Probe()
        self.roster = roster_keeper.RosterKeeper(
            test_roster.OWN,
            fake_store.FakeStore(),
            test_roster.Book(),
            test_roster.News(),
        )
        self.policy = cold_start.ColdStart(SETTINGS)
        self.coldness = coldness.Coldness(
            admit.Admitter(
                slot_queue.SlotQueue(
                    slot_queue.SlotSettings(), slots=100, cold=self.policy
                ),
                source=random.Random(1),
            )
        )
        self.addCleanup(self.coldness.stop)
        self.keeper = cold_target.ColdTargetKeeper(
            self.coldness,
            self.probe,
            self.roster,
            clock=lambda: self.now,
            sleep=self.sleep,
        )
        self.addAsyncCleanup(self.keeper.stop)

    async def sleep(self, seconds: float) -> None:
        self.pauses.append(seconds)
        self.now += seconds
        await asyncio.sleep(0)

    async def set_target(self) -> None:
        """Set the target as the keeper of check-ins does."""
        self.coldness.set_target('i-1')
        self.roster.change(state=roster.TargetState.READY, target_id='i-1')
        await self.finish()

    async def finish(self) -> None:
        """Let the health checks end, of which there are a few dozen."""
        for _ in range(200):
            await asyncio.sleep(0)

    async def test_new_target_is_asked_once(self) -> None:
        self.probe.reports = [WARM]
        await self.set_target()
        self.assertFalse(self.coldness.is_cold)
        self.assertEqual(1, self.probe.asked)
        self.assertEqual(0.0, self.roster.own.cold_s)

    async def test_entry_tells_how_long_the_target_remains_cold(
        self,
    ) -> None:
        self.probe.reports = [target_probe.HealthReport(True, False, 6.01)]
        await self.set_target()
        self.assertAlmostEqual(6.1, self.roster.own.cold_s)
        self.now += 2.0
        self.roster.change(slots=9)
        self.assertAlmostEqual(4.1, self.roster.own.cold_s)

    async def test_silent_target_is_asked_with_growing_pauses(self) -> None:
        """A target in trouble is not loaded with health checks as well."""
        await self.set_target()
        self.assertFalse(self.coldness.is_cold)
        self.assertEqual(cold_target.FIRST_PAUSE_S, self.pauses[0])
        self.assertEqual(sorted(self.pauses), self.pauses)
        self.assertEqual(cold_target.MAX_PAUSE_S, max(self.pauses))
        self.assertLess(self.probe.asked, 30)
        self.assertGreaterEqual(self.now, 1020.0)

    async def test_responses_that_do_not_tell_are_not_believed(self) -> None:
        self.probe.reports = [
            target_probe.HealthReport(True, False, None),
            target_probe.HealthReport(False, False, 0.0),
            target_probe.HealthReport(False, False, 5.0),
        ]
        await self.set_target()
        self.assertEqual(3, self.probe.asked)
        self.assertEqual(1, self.coldness.malformed)
        self.assertLess(self.coldness.compute_left(), 5.1)

    async def test_response_before_a_later_event_is_not_enough(self) -> None:
        """The target may have started again since it responded."""
        self.probe.reports = [WARM, WARM]
        events = iter((True, False))

        def crash() -> None:
            self.now += 0.01
            if next(events):
                self.coldness.assume(coldness.Source.CRASH)

        self.probe.before_response = crash
        await self.set_target()
        self.assertEqual(2, self.probe.asked)
        self.assertFalse(self.coldness.is_cold)

    async def test_pause_without_calls_writes_no_entry(self) -> None:
        """A service with few calls would write with each of them."""
        self.probe.reports = [WARM, WARM]
        await self.set_target()
        revision = self.roster.own.revision
        self.now += 60.0
        self.coldness.assume(coldness.Source.IDLE)
        await self.finish()
        self.assertEqual(2, self.probe.asked)
        self.assertEqual(revision, self.roster.own.revision)

    async def test_check_ins_of_one_coldness_write_one_entry(self) -> None:
        self.probe.reports = [WARM, target_probe.HealthReport(True, False, 9)]
        await self.set_target()
        revision = self.roster.own.revision
        for number in range(5):
            self.coldness.announce(9.0 - 1.5 * number)
            await self.finish()
            self.now += 1.5
        self.assertEqual(revision + 1, self.roster.own.revision)
        self.assertEqual(2, self.probe.asked)

    async def test_service_without_cold_targets_is_never_asked(self) -> None:
        self.coldness.change_settings(None)
        await self.set_target()
        for _ in range(3):
            self.now += 60.0
            self.coldness.note_call()
            self.coldness.assume(coldness.Source.CRASH)
            self.coldness.announce(5.0)
            await self.finish()
        self.assertEqual(0, self.probe.asked)
        self.assertEqual(1, self.roster.own.revision)

    async def test_node_restarted_beside_a_cold_target_without_the_store(
        self,
    ) -> None:
        """It knows neither what its earlier process sent nor any entry.

        The earlier process started as many calls as it may right before its
        end; together they have to stay within the bound.
        """
        bound = SETTINGS.per_s * SETTINGS.overage + SETTINGS.slack
        self.probe.reports = [target_probe.HealthReport(True, False, 12.0)]
        self.coldness.set_target('i-1')
        await self.finish()
        starts = SETTINGS.limit
        for _ in range(100):
            if self.policy.may_start(self.now):
                self.policy.take(self.now)
                starts += 1
        self.assertLessEqual(starts, bound)
        self.assertGreater(starts, SETTINGS.limit)
        self.assertAlmostEqual(12.0, self.coldness.compute_left(), places=1)
