"""Tests of hearing the target beside the node."""

import asyncio
import dataclasses
import typing
import unittest
import unittest.mock

from eelgrasswalk import ports
from eelgrasswalk import verdict
from eelgrasswalk.controllers import check_ins
from eelgrasswalk.controllers import roster as roster_keeper
from eelgrasswalk.controllers import roster_entries
from eelgrasswalk.controllers import target_probe
from eelgrasswalk.policy import roster
from eelgrasswalk.policy import target_lifecycle
from eelgrasswalk.transport import message
from tests.controllers import fake_store
from tests.controllers import test_roster

BEAT = ports.CheckIn('i-1', 1000, 1, 'orders', 8, False)


class Form:
    """Returns what the test wants to be said."""

    def __init__(self) -> None:
        self.said: ports.CheckIn | ports.Departure | ports.Unreadable = BEAT

    def decode(
        self, request: message.Request
    ) -> ports.CheckIn | ports.Departure | ports.Unreadable:
        return self.said

    def acknowledge(self) -> verdict.Response:
        return verdict.Response(200, (), b'{}')


class Gate:
    """Keeps what it was told."""

    def __init__(self) -> None:
        self.told: list[str] = []
        self.cold: list[tuple[str, float | None]] = []

    def set_target(self, target_id: str, slots: int, *, run_id: str) -> None:
        self.told.append(target_id)

    def start_draining(self) -> None:
        self.told.append('leave')

    def announce_cold(self, run_id: str, cold_s: float | None) -> None:
        self.cold.append((run_id, cold_s))


class Probe:
    """Answers as the test wants, and keeps what was asked."""

    def __init__(self) -> None:
        self.is_healthy = True
        self.asked: list[str] = []

    async def ask(self, target_id: str) -> target_probe.HealthReport | None:
        self.asked.append(target_id)
        return target_probe.HealthReport(is_healthy=self.is_healthy)


class CheckInKeeperTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.form = Form()
        self.gate = Gate()
        self.probe = Probe()
        self.store = fake_store.FakeStore()
        self.roster = roster_keeper.RosterKeeper(
            test_roster.OWN,
            self.store,
            test_roster.Book(),
            test_roster.News(),
        )
        self.keeper = check_ins.CheckInKeeper(
            self.form,
            target_lifecycle.TargetLifecycle(),
            self.roster,
            self.gate,
            self.probe,
            clock=lambda: 0.0,
        )
        self.addAsyncCleanup(self.keeper.stop)

    async def say(
        self, said: ports.CheckIn | ports.Departure | ports.Unreadable
    ) -> int:
        self.form.said = said
        request = message.Request('POST', '/', (), b'')
        status = (await self.keeper.handle(request)).status
        await fake_store.settle()
        return status

    async def test_target_that_arrives_gets_calls(self) -> None:
        self.assertEqual(200, await self.say(BEAT))
        self.assertEqual(['i-1'], self.gate.told)
        self.assertTrue(self.roster.own.is_usable)

    async def test_target_that_says_in_answers_that_it_leaves(self) -> None:
        await self.say(BEAT)
        self.keeper.note_leaving('i-1')
        self.assertEqual(roster.TargetState.DRAINING, self.roster.own.state)
        self.assertEqual(['i-1', 'leave'], self.gate.told)
        # A check-in from before that is late does not bring it back.
        await self.say(dataclasses.replace(BEAT, sequence=2))
        self.assertFalse(self.roster.own.is_usable)

    async def test_drain_that_an_answer_began_is_written_before_its_ack(
        self,
    ) -> None:
        await self.roster.start()
        self.addAsyncCleanup(self.roster.stop)
        await self.say(BEAT)
        self.keeper.note_leaving('i-1')
        leaving = dataclasses.replace(BEAT, sequence=2, draining=True)
        saying = asyncio.create_task(self.say(leaving))
        await fake_store.settle()
        self.assertFalse(saying.done())
        self.store.outcomes = [ports.Written(number) for number in (1, 2, 3)]
        saying.cancel()

    async def test_new_run_of_the_same_id_is_no_longer_leaving(self) -> None:
        await self.say(BEAT)
        self.keeper.note_leaving('i-1')
        await self.say(dataclasses.replace(BEAT, born_ms=2000, sequence=1))
        self.assertTrue(self.roster.own.is_usable)
        self.assertEqual('i-1@2000', self.roster.own.run_id)

    async def test_drain_is_acknowledged_though_the_store_is_away(
        self,
    ) -> None:
        await self.say(BEAT)
        with unittest.mock.patch.object(check_ins, 'ACK_WAIT_S', 0.01):
            status = await self.say(
                dataclasses.replace(BEAT, sequence=2, draining=True)
            )
        self.assertEqual(200, status)
        self.assertEqual(['i-1', 'leave'], self.gate.told)
        self.assertFalse(self.roster.own.is_usable)

    async def test_drain_is_in_the_store_before_it_is_acknowledged(
        self,
    ) -> None:
        self.store.outcomes = [ports.Written(1), ports.Written(2)]
        with unittest.mock.patch.object(roster_keeper, 'FIRST_WRITE_S', 0.0):
            await self.roster.start()
            self.addAsyncCleanup(self.roster.stop)
            await self.say(BEAT)
            await self.say(ports.Departure('i-1'))
        entry = roster_entries.decode_entry(self.store.written[-1][1])
        assert entry is not None
        self.assertIs(roster.TargetState.DRAINING, entry.state)

    async def test_late_check_in_of_an_ended_lifetime_is_acknowledged(
        self,
    ) -> None:
        await self.say(
            dataclasses.replace(BEAT, target_id='i-2', born_ms=9000)
        )
        self.assertEqual(200, await self.say(BEAT))
        self.assertEqual(['i-2'], self.gate.told)

    async def test_unreadable_check_in_changes_nothing(self) -> None:
        with self.assertLogs('eelgrasswalk', 'WARNING'):
            status = await self.say(ports.Unreadable('broken'))
        self.assertEqual(400, status)
        self.assertEqual([], self.gate.told)

    def restore(self, state: roster.TargetState) -> None:
        known: dict[str, typing.Any] = {'target_id': 'i-1', 'slots': 8}
        self.keeper.restore(
            dataclasses.replace(
                test_roster.OWN, state=state, born_ms=1000, **known
            )
        )

    async def test_known_target_gets_calls_once_it_says_that_it_is_healthy(
        self,
    ) -> None:
        self.restore(roster.TargetState.READY)
        self.assertEqual([], self.gate.told)
        await fake_store.settle()
        self.assertEqual(['i-1'], self.probe.asked)
        self.assertEqual(['i-1'], self.gate.told)

    async def test_departure_before_a_restart_is_not_forgotten(self) -> None:
        """The row is older than the departure that was acknowledged."""
        self.probe.is_healthy = False
        self.restore(roster.TargetState.READY)
        await self.say(dataclasses.replace(BEAT, sequence=7))
        self.assertEqual([], self.gate.told)
        self.assertFalse(self.roster.own.is_usable)

    async def test_second_check_in_confirms_a_target_without_health(
        self,
    ) -> None:
        self.probe.is_healthy = False
        self.restore(roster.TargetState.READY)
        for sequence in (7, 8):
            await self.say(dataclasses.replace(BEAT, sequence=sequence))
        self.assertEqual(['i-1'], self.gate.told)

    async def test_busy_target_is_asked_again_a_few_times(self) -> None:
        self.probe.is_healthy = False
        with unittest.mock.patch.object(check_ins, 'FIRST_PROBE_PAUSE_S', 0.0):
            self.restore(roster.TargetState.READY)
            await fake_store.settle()
        self.assertEqual(['i-1'] * check_ins.MAX_PROBES, self.probe.asked)

    async def test_drain_that_an_earlier_process_acknowledged_holds(
        self,
    ) -> None:
        leaving = dataclasses.replace(
            test_roster.OWN,
            state=roster.TargetState.DRAINING,
            target_id='i-1',
            slots=8,
        )
        self.keeper.restore(leaving)
        await self.say(dataclasses.replace(BEAT, sequence=50))
        self.assertNotIn('i-1', self.gate.told)

    async def test_coldness_that_a_check_in_reports_reaches_the_gate(
        self,
    ) -> None:
        await self.say(BEAT)
        await self.say(dataclasses.replace(BEAT, sequence=2, cold_s=4.0))
        await self.say(dataclasses.replace(BEAT, sequence=3, cold_s=None))
        self.assertEqual(
            [('i-1@1000', 4.0), ('i-1@1000', None)], self.gate.cold
        )

    async def test_late_check_in_of_the_run_announces_no_coldness(
        self,
    ) -> None:
        """It would make a target that is warm by now cold again."""
        await self.say(dataclasses.replace(BEAT, sequence=5))
        self.gate.cold.clear()
        await self.say(dataclasses.replace(BEAT, sequence=4, cold_s=9.0))
        self.assertEqual([], self.gate.cold)

    async def test_late_check_in_of_another_run_announces_no_coldness(
        self,
    ) -> None:
        await self.say(dataclasses.replace(BEAT, born_ms=9000))
        self.gate.cold.clear()
        for target_id in ('i-1', 'i-0'):
            await self.say(
                dataclasses.replace(
                    BEAT, target_id=target_id, sequence=99, cold_s=9.0
                )
            )
        self.assertEqual([], self.gate.cold)

    async def test_unconfirmed_run_announces_no_coldness_of_another(
        self,
    ) -> None:
        self.probe.is_healthy = False
        self.restore(roster.TargetState.READY)
        await self.say(dataclasses.replace(BEAT, sequence=7, cold_s=9.0))
        self.assertEqual([], self.gate.cold)

    async def test_run_whose_start_was_unknown_announces_coldness(
        self,
    ) -> None:
        await self.say(dataclasses.replace(BEAT, born_ms=0))
        await self.say(dataclasses.replace(BEAT, sequence=2, cold_s=3.0))
        self.assertEqual(('i-1@0', 3.0), self.gate.cold[-1])
