"""Tests that requests that crash targets are kept away from them."""

import asyncio
import collections.abc
import dataclasses
import unittest
import unittest.mock

from eelgrasswalk import clock
from eelgrasswalk import verdict
from eelgrasswalk.filters import deliveries
from eelgrasswalk.filters import isolation
from eelgrasswalk.policy import quarantine
from eelgrasswalk.policy import suspects
from eelgrasswalk.transport import frames
from eelgrasswalk.transport import message

ANSWERED = verdict.Answered(verdict.Response(200, (), b''))
CRASHED = verdict.MayHaveRun(verdict.Reason.TARGET_CRASHED)
NODES = ('node-a', 'node-b', 'node-c', 'node-d')
DEADLY = '/deadly'


def build_call(
    target: str, number: int = 0, **history: tuple[str, ...]
) -> frames.Call:
    return frames.Call(
        attempt=number.to_bytes(16),
        route='browse',
        context=frames.Context('lake', 2, bytes(16), 0.5, 0.0, 0),
        remaining_s=5.0,
        allowance=0,
        idempotency_key='',
        request=message.Request('GET', target, ((b'host', b'h'),), b''),
        body_length=0,
        digest=0,
        history=frames.CallHistory(**history) if history else None,
    )


@dataclasses.dataclass(slots=True)
class Service:
    """Nodes of a service whose news reaches the others at once."""

    nodes: dict[str, 'Node'] = dataclasses.field(default_factory=dict)
    runs: dict[str, str] = dataclasses.field(default_factory=dict)

    def list_upstreams(self) -> collections.abc.Iterator[isolation.Upstream]:
        for node_id, run_id in self.runs.items():
            # Each node has a data centre of its own.
            yield isolation.Upstream(node_id, run_id, f'dc-{node_id[-1]}')

    def list_others(self, node_id: str) -> list[isolation.Isolation]:
        return [
            node.isolation
            for each, node in self.nodes.items()
            if each != node_id
        ]


class FakeReporter:
    """Passes news on to the other nodes of a service."""

    def __init__(self, service: Service, node_id: str) -> None:
        self._service = service
        self._node_id = node_id

    def report_crash(self, crash: isolation.Crash) -> None:
        for other in self._service.list_others(self._node_id):
            other.receive_crash(crash)

    def report_running(self, digests: collections.abc.Sequence[bytes]) -> None:
        for other in self._service.list_others(self._node_id):
            other.receive_running(self._node_id, digests)

    def report_cleared(self, digest: bytes) -> None:
        for other in self._service.list_others(self._node_id):
            other.receive_cleared(digest)

    def report_record(self, record: quarantine.Record) -> None:
        for other in self._service.list_others(self._node_id):
            other.receive_record(record)


class Node:
    """The isolation at one node, and what its target is running."""

    def __init__(self, service: Service, node_id: str) -> None:
        self.node_id = node_id
        self.running = unittest.mock.Mock(spec=deliveries.Deliveries)
        self.calls: dict[bytes, tuple[frames.Call, isolation.Pass]] = {}
        self.running.list_calls.side_effect = lambda: [
            call for call, _ in self.calls.values()
        ]
        self.isolation = isolation.Isolation(
            node_id=node_id,
            known=suspects.Suspects(suspects.SuspectSettings()),
            confined=quarantine.Quarantine(),
            running=self.running,
            list_upstreams=service.list_upstreams,
            reporter=FakeReporter(service, node_id),
        )
        self._service = service
        service.nodes[node_id] = self
        service.runs[node_id] = f'{node_id}@1'

    async def start(
        self, call: frames.Call, *, wait_s: float = 0.0
    ) -> isolation.Decision:
        decision = await self.isolation.enter(call, wait_s=wait_s)
        if isinstance(decision, isolation.Pass):
            self.calls[call.attempt] = call, decision
        return decision

    def end(
        self,
        call: frames.Call,
        allowed: isolation.Decision,
        outcome: verdict.Verdict,
    ) -> None:
        assert isinstance(allowed, isolation.Pass)
        self.calls.pop(call.attempt, None)
        self.isolation.leave(call, allowed, outcome)

    def crash(self) -> None:
        """Let the target crash under all that it runs."""
        started = [
            deliveries.describe_call(call) for call, _ in self.calls.values()
        ]
        self.isolation.handle_crash(self._service.runs[self.node_id], started)
        for call, allowed in self.calls.values():
            self.isolation.leave(call, allowed, CRASHED)
        self.calls.clear()

    def recover(self) -> None:
        self._service.runs[self.node_id] += '1'


class IsolationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.service = Service()
        self.nodes = [Node(self.service, node_id) for node_id in NODES]
        self.number = 0

    def build_call(
        self, target: str, **history: tuple[str, ...]
    ) -> frames.Call:
        self.number += 1
        return build_call(target, self.number, **history)

    async def crash_first(self, *targets: str) -> Node:
        """Crash the target of the first node while it runs requests."""
        first = self.nodes[0]
        for target in targets:
            await first.start(self.build_call(target))
        first.crash()
        return first

    async def find_home(self, target: str) -> Node:
        """Return the node at which a suspect may run."""
        for node in self.nodes:
            decision = await node.isolation.enter(
                self.build_call(target), wait_s=0.0
            )
            if isinstance(decision, isolation.Refused):
                return self.service.nodes[decision.run_at]
            node.isolation.leave(self.build_call(target), decision, None)
        raise AssertionError('no node refuses it')

    async def test_calls_pass_while_nothing_has_crashed(self) -> None:
        decision = await self.nodes[0].start(self.build_call(DEADLY))
        self.assertEqual(isolation.Pass(), decision)

    async def test_suspect_runs_at_one_target_only(self) -> None:
        """At full load one request crashes four targets in 0.2 s."""
        await self.crash_first(DEADLY, '/a')
        homes = set()
        for node in self.nodes:
            decision = await node.start(self.build_call(DEADLY))
            if isinstance(decision, isolation.Pass):
                homes.add(node.node_id)
                continue
            self.assertIs(verdict.Reason.ISOLATED, decision.outcome.reason)
            self.assertTrue(decision.outcome.retry_elsewhere)
            homes.add(decision.run_at)
        self.assertEqual(1, len(homes))
        self.assertNotIn('node-a', homes)

    async def test_suspect_runs_in_a_data_centre_that_its_call_allows(
        self,
    ) -> None:
        """Otherwise it could be refused until its crash is forgotten."""
        await self.crash_first(DEADLY, '/a')
        home = await self.find_home(DEADLY)
        other = next(node for node in self.nodes[1:] if node is not home)
        allowed = (f'dc-{other.node_id[-1]}',)
        for node in self.nodes:
            decision = await node.isolation.enter(
                self.build_call(DEADLY, data_centres=allowed), wait_s=0.0
            )
            if node is other:
                self.assertIsInstance(decision, isolation.Pass)
            else:
                assert isinstance(decision, isolation.Refused)
                self.assertEqual(other.node_id, decision.run_at)

    async def test_second_crash_under_a_lone_suspect_is_its_fault(
        self,
    ) -> None:
        await self.crash_first(DEADLY, '/a', '/b')
        home = await self.find_home(DEADLY)
        await home.start(self.build_call('/innocent'))
        await home.start(self.build_call(DEADLY))
        home.crash()
        for node in self.nodes:
            decision = await node.start(self.build_call(DEADLY))
            assert isinstance(decision, isolation.Refused)
            self.assertIs(verdict.Reason.QUARANTINED, decision.outcome.reason)
            for target in ('/a', '/b', '/innocent'):
                passed = await node.start(self.build_call(target))
                self.assertIsInstance(passed, isolation.Pass)

    async def test_run_from_before_the_first_crash_proves_nothing(
        self,
    ) -> None:
        """Two targets end within milliseconds under one popular request.

        Its runs at both began before either ended, so that it did not run
        apart from what has ended them. All its callers had 400.
        """
        first, second, third, _ = self.nodes
        for node in (first, second):
            await node.start(self.build_call('/popular'))
            await node.start(self.build_call(f'/other/{node.node_id}'))
        first.crash()
        second.crash()
        decision = await third.start(self.build_call('/popular'))
        if isinstance(decision, isolation.Refused):
            self.assertIs(verdict.Reason.ISOLATED, decision.outcome.reason)

    async def test_verdict_is_withdrawn_if_targets_go_on_to_crash(
        self,
    ) -> None:
        """Two deadly requests came at once; an innocent one met both."""
        await self.crash_first(DEADLY, '/innocent')
        home = await self.find_home('/innocent')
        for target in ('/innocent', '/deadly-too'):
            await home.start(self.build_call(target))
        home.crash()
        refused = await self.nodes[0].start(self.build_call('/innocent'))
        assert isinstance(refused, isolation.Refused)
        self.assertIs(verdict.Reason.QUARANTINED, refused.outcome.reason)
        (third, *_) = (node for node in self.nodes[1:] if node is not home)
        await third.start(self.build_call('/deadly-too'))
        third.crash()
        (last, *_) = (
            node for node in self.nodes[1:] if node not in (home, third)
        )
        call = self.build_call('/innocent')
        last.end(call, await last.start(call), ANSWERED)
        for target in (DEADLY, '/deadly-too'):
            self.assertIs(last, await self.find_home(target))

    async def test_run_that_began_before_the_verdict_confirms_it(
        self,
    ) -> None:
        """Otherwise an unrelated crash would withdraw the verdict."""
        await self.crash_first(DEADLY, '/a')
        home = await self.find_home(DEADLY)
        (late, last) = (node for node in self.nodes[1:] if node is not home)
        for node in (home, late):
            call = self.build_call(DEADLY)
            node.calls[call.attempt] = call, isolation.Pass()
        await last.start(self.build_call('/innocent'))
        for node in (home, late, last):
            node.crash()
        for node in self.nodes:
            decision = await node.start(self.build_call(DEADLY))
            assert isinstance(decision, isolation.Refused)
            self.assertIs(verdict.Reason.QUARANTINED, decision.outcome.reason)

    async def test_answer_clears_a_suspect_everywhere(self) -> None:
        await self.crash_first(DEADLY, '/popular')
        home = await self.find_home('/popular')
        call = self.build_call('/popular')
        home.end(call, await home.start(call), ANSWERED)
        for node in self.nodes:
            decision = await node.start(self.build_call('/popular'))
            self.assertIsInstance(decision, isolation.Pass)

    async def test_run_that_began_before_the_crash_clears_as_well(
        self,
    ) -> None:
        """A popular request is in flight at all targets at every crash."""
        call = self.build_call('/popular')
        other = self.nodes[1]
        allowed = await other.start(call)
        await self.crash_first(DEADLY, '/popular')
        other.end(call, allowed, ANSWERED)
        for node in self.nodes:
            decision = await node.start(self.build_call('/popular'))
            self.assertIsInstance(decision, isolation.Pass)

    async def test_suspect_that_runs_elsewhere_is_not_started_again(
        self,
    ) -> None:
        """Closing its connection does not keep it from crashing a target."""
        other = self.nodes[2]
        await other.start(self.build_call(DEADLY))
        await self.crash_first(DEADLY)
        self.assertIs(other, await self.find_home(DEADLY))
        waiting = asyncio.create_task(
            other.start(self.build_call(DEADLY), wait_s=5.0)
        )
        await asyncio.sleep(0)
        other.crash()
        decision = await waiting
        assert isinstance(decision, isolation.Refused)
        self.assertIs(verdict.Reason.QUARANTINED, decision.outcome.reason)

    async def test_target_that_returns_does_not_get_what_runs_elsewhere(
        self,
    ) -> None:
        """Its hash may be the highest; the suspect ran at two targets."""
        homes = set()
        for number in range(20):
            target = f'/{number}'
            first = await self.crash_first(target)
            home = await self.find_home(target)
            await home.start(self.build_call(target))
            first.recover()
            for node in self.nodes:
                decision = await node.start(self.build_call(target))
                self.assertIsInstance(decision, isolation.Refused)
                assert isinstance(decision, isolation.Refused)
                if decision.run_at:
                    self.assertEqual(home.node_id, decision.run_at)
            homes.add(home.node_id)
            for call, allowed in list(home.calls.values()):
                home.end(call, allowed, ANSWERED)
        self.assertGreater(len(homes), 1)

    async def test_calls_that_wait_for_a_run_leave_a_crashed_target(
        self,
    ) -> None:
        """They were sent to it, and from there to several others."""
        await self.crash_first(DEADLY, '/a', '/b')
        home = await self.find_home(DEADLY)
        for target in (DEADLY, '/beside'):
            await home.start(self.build_call(target))
        await home.start(self.build_call('/a', ended_runs=('node-a@1',)))
        waiting = asyncio.create_task(
            home.start(self.build_call(DEADLY), wait_s=5.0)
        )
        await asyncio.sleep(0)
        for node in self.nodes:
            node.isolation.receive_crash(
                isolation.Crash('node-z', 'node-z@1', (b'z',))
            )
        home.crash()
        decision = await waiting
        assert isinstance(decision, isolation.Refused)
        self.assertNotIn(decision.run_at, ('node-a', home.node_id, ''))

    async def test_crash_under_two_suspects_finds_none_guilty(self) -> None:
        other = self.nodes[2]
        for target in (DEADLY, '/popular'):
            await other.start(self.build_call(target))
        await self.crash_first(DEADLY, '/popular')
        other.crash()
        home = await self.find_home('/popular')
        call = self.build_call('/popular')
        allowed = await home.start(call)
        self.assertIsInstance(allowed, isolation.Pass)
        home.end(call, allowed, ANSWERED)

    async def test_repetition_waits_for_the_run_of_a_suspect(self) -> None:
        await self.crash_first('/a')
        home = await self.find_home('/a')
        call = self.build_call('/a')
        allowed = await home.start(call)
        waiting = asyncio.create_task(
            home.start(self.build_call('/a'), wait_s=5.0)
        )
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        home.end(call, allowed, ANSWERED)
        self.assertIsInstance(await waiting, isolation.Pass)

    async def test_suspect_that_waits_too_long_has_not_run(self) -> None:
        await self.crash_first('/a')
        home = await self.find_home('/a')
        await home.start(self.build_call('/a'))
        decision = await home.start(self.build_call('/a'))
        assert isinstance(decision, isolation.Refused)
        self.assertIs(verdict.Reason.ISOLATED, decision.outcome.reason)
        self.assertFalse(decision.outcome.retry_elsewhere)

    async def test_caller_that_leaves_makes_room_for_the_next(self) -> None:
        await self.crash_first('/a')
        home = await self.find_home('/a')
        call = self.build_call('/a')
        allowed = await home.start(call)
        leaving = asyncio.create_task(
            home.start(self.build_call('/a'), wait_s=5.0)
        )
        waiting = asyncio.create_task(
            home.start(self.build_call('/a'), wait_s=5.0)
        )
        await asyncio.sleep(0)
        leaving.cancel()
        await asyncio.sleep(0)
        home.end(call, allowed, verdict.MayHaveRun(verdict.Reason.DEADLINE))
        self.assertIsInstance(await waiting, isolation.Pass)

    async def test_retry_is_suspected_before_the_news_arrives(self) -> None:
        """The report of the crash may be held up or lost."""
        decisions = [
            await node.start(self.build_call(DEADLY, ended_runs=('node-a@1',)))
            for node in self.nodes
        ]
        self.assertEqual(
            1, sum(isinstance(each, isolation.Pass) for each in decisions)
        )

    async def test_node_that_cannot_be_reached_is_not_home(self) -> None:
        await self.crash_first(DEADLY)
        home = await self.find_home(DEADLY)
        (other, *_) = (node for node in self.nodes[1:] if node is not home)
        decision = await other.start(
            self.build_call(DEADLY, unreachable=(home.node_id,))
        )
        if isinstance(decision, isolation.Refused):
            self.assertNotIn(decision.run_at, ('', home.node_id))

    async def test_last_target_of_a_service_is_not_risked(self) -> None:
        """All others are down, so nothing could be told apart."""
        self.service.runs = {'node-a': 'node-a@1'}
        first = await self.crash_first(DEADLY)
        decision = await first.start(self.build_call(DEADLY))
        assert isinstance(decision, isolation.Refused)
        self.assertEqual('', decision.run_at)
        self.assertFalse(decision.outcome.retry_elsewhere)
        first.recover()
        self.assertIsInstance(
            await first.start(self.build_call(DEADLY)), isolation.Pass
        )

    async def test_try_after_a_quarantine_that_gets_an_answer_lifts_it(
        self,
    ) -> None:
        await self.test_second_crash_under_a_lone_suspect_is_its_fault()
        later = clock.read_boot_time() + quarantine.TRIAL_AFTER_S[0]
        with unittest.mock.patch.object(
            clock, 'read_boot_time', return_value=later
        ):
            home = await self.find_home(DEADLY)
            call = self.build_call(DEADLY)
            home.end(call, await home.start(call), ANSWERED)
            for node in self.nodes:
                decision = await node.start(self.build_call(DEADLY))
                self.assertIsInstance(decision, isolation.Pass)

    async def test_try_after_a_quarantine_that_crashes_renews_it(
        self,
    ) -> None:
        await self.test_second_crash_under_a_lone_suspect_is_its_fault()
        for node in self.nodes:
            node.calls.clear()
            node.recover()
        later = clock.read_boot_time() + quarantine.TRIAL_AFTER_S[0]
        with unittest.mock.patch.object(
            clock, 'read_boot_time', return_value=later
        ) as read:
            home = await self.find_home(DEADLY)
            await home.start(self.build_call(DEADLY))
            home.crash()
            read.return_value += quarantine.TRIAL_AFTER_S[1] - 1.0
            for node in self.nodes:
                decision = await node.start(self.build_call(DEADLY))
                assert isinstance(decision, isolation.Refused)
                self.assertIs(
                    verdict.Reason.QUARANTINED, decision.outcome.reason
                )
