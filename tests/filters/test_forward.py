"""Tests of the forwarding of calls at the caller's node."""

import asyncio
import random
import unittest

import msgspec

from eelgrasswalk import verdict
from eelgrasswalk.controllers import directory
from eelgrasswalk.document import model
from eelgrasswalk.filters import forward
from eelgrasswalk.filters import front
from eelgrasswalk.filters import transmit
from eelgrasswalk.policy import call_rules
from eelgrasswalk.policy import retry_budget
from eelgrasswalk.policy import root_share
from eelgrasswalk.policy import running_calls
from eelgrasswalk.policy.placement import balance
from eelgrasswalk.policy.placement import finish_time
from eelgrasswalk.policy.placement import spread
from eelgrasswalk.transport import budget
from eelgrasswalk.transport import dialler
from eelgrasswalk.transport import frames
from eelgrasswalk.transport import link
from eelgrasswalk.transport import message

OVERLOAD = verdict.NotRun(
    verdict.Reason.OVERLOAD, retry_after_s=1.0, retry_elsewhere=True
)
REJECTED = verdict.NotRun(verdict.Reason.TARGET_REFUSED, retry_elsewhere=True)
ISOLATED = verdict.NotRun(verdict.Reason.ISOLATED, retry_elsewhere=True)
CRASHED = verdict.MayHaveRun(verdict.Reason.TARGET_CRASHED)
POSSIBLE_RUN = verdict.MayHaveRun(verdict.Reason.TARGET_LOST)
ANSWER = verdict.Answered(verdict.Response(200, (), b''))
FAILURE = verdict.Answered(verdict.Response(500, (), b''))


class FakeTransmitter(transmit.Transmitter):
    """Transmitter that returns the given replies in order.

    Attributes:
        replies_by_node: Replies of some nodes, instead of those.
    """

    def __init__(self, *replies: dialler.Reply) -> None:
        self.replies = list(replies)
        self.replies_by_node: dict[str, dialler.Reply] = {}
        self.sent_to: list[str] = []
        self.may_wait: list[bool] = []
        self.contexts: list[frames.Context] = []
        self.notices: list[frames.TargetNotice | None] = []
        self.histories: list[frames.CallHistory | None] = []

    async def transmit(
        self,
        node_id: str,
        call: frames.Call,
        *,
        deadline: float,
        retriable: bool,
    ) -> dialler.Reply:
        self.sent_to.append(node_id)
        self.may_wait.append(call.may_wait)
        self.contexts.append(call.context)
        self.notices.append(call.notice)
        self.histories.append(call.history)
        reply = self.replies_by_node.get(node_id)
        return self.replies.pop(0) if reply is None else reply


def build_reply(
    outcome: verdict.Verdict,
    capacity_failure_ratio: float = 0.0,
    cold_s: float = 0.0,
) -> dialler.Reply:
    feedback = frames.Feedback(
        255,
        1.0,
        0.0,
        0,
        capacity_failure_ratio=capacity_failure_ratio,
        cold_s=cold_s,
    )
    return dialler.Reply(outcome, feedback)


def build_call(*, open_to_all: bool = False) -> front.IncomingCall:
    now = asyncio.get_running_loop().time()
    rule = call_rules.RouteRule(
        name='browse',
        hostname='h',
        prefix='/',
        shares=(call_rules.Share('back', 1.0),),
        importance=model.Importance.NORMAL,
        idempotent=True,
        open_to_all=open_to_all,
        timeout_s=5.0,
        objective_s=1.0,
        max_upstreams=2,
    )
    return front.IncomingCall(
        request=message.Request('GET', '/', (), b''),
        request_id='r',
        arrived_at=now,
        route=rule,
        service='back',
        account='',
        priority=running_calls.Priority(2, 2),
        deadline=now + 5.0,
        root_hash=0.5,
    )


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    def build(self, *replies: dialler.Reply) -> forward.Forwarder:
        balancer = spread.LoadAwareBalancer(
            spread.LoadAwareSettings(), data_centre='a'
        )
        balancer.replace(
            'back',
            [
                balance.Upstream(f'n{number}', 'a', 'back', 4)
                for number in range(3)
            ],
            0.0,
        )
        self.running = running_calls.RunningCalls()
        self.shares = root_share.RootShares(
            root_share.ShareSettings(interval_s=0.0, min_calls=1)
        )
        self.transmitter = FakeTransmitter(*replies)
        return forward.Forwarder(
            transmitter=self.transmitter,
            balancer=balancer,
            running=self.running,
            shares=self.shares,
            budget=retry_budget.RetryBudget(
                retry_budget.RetryBounds(0.2, 10.0, 50.0)
            ),
            count_nodes=lambda: 1,
            source=random.Random(1),
        )

    async def test_possible_run_is_reported_when_a_retry_is_refused(
        self,
    ) -> None:
        """The first attempt may have run, though the retry was refused."""
        forwarder = self.build(
            build_reply(POSSIBLE_RUN),
            build_reply(OVERLOAD),
            build_reply(OVERLOAD),
        )
        self.assertEqual(POSSIBLE_RUN, await forwarder.send(build_call()))

    async def test_reported_times_decide_and_are_kept_for_the_log(
        self,
    ) -> None:
        """Feedback that the balancer never sees would place nothing."""
        feedback = frames.Feedback(255, 1.0, 0.0, 0, load=0.5)
        quick, slow = (
            dialler.Reply(
                ANSWER,
                msgspec.structs.replace(
                    feedback, wait_s=0.01, service_s=service_s
                ),
            )
            for service_s in (0.1, 1.0)
        )
        forwarder = self.build(*[quick] * 200)
        self.transmitter.replies_by_node['n1'] = slow
        call = build_call()
        for _ in range(60):
            call = build_call()
            await forwarder.send(call)
        self.assertNotIn('n1', self.transmitter.sent_to[-30:])
        self.assertEqual(finish_time.Times(0.01, 0.1), call.attempts[-1].times)

    async def test_target_that_refuses_as_it_is_cold_gets_no_next_call(
        self,
    ) -> None:
        """Each call would cost a round trip until an entry is read."""
        forwarder = self.build(
            build_reply(OVERLOAD, cold_s=9.0), *[build_reply(ANSWER)] * 60
        )
        for _ in range(60):
            await forwarder.send(build_call())
        cold = self.transmitter.sent_to[0]
        self.assertNotIn(cold, self.transmitter.sent_to[1:])

    async def test_refusals_of_cold_targets_do_not_end_probing(self) -> None:
        """They say nothing of free slots at the others."""
        forwarder = self.build(*[build_reply(OVERLOAD, cold_s=9.0)] * 400)
        for _ in range(80):
            await forwarder.send(build_call())
        self.transmitter.replies = [build_reply(ANSWER)]
        await forwarder.send(build_call())
        self.assertFalse(self.transmitter.may_wait[-1])

    async def test_refusal_by_all_keeps_its_reason(self) -> None:
        forwarder = self.build(*[build_reply(OVERLOAD)] * 4)
        outcome = await forwarder.send(build_call())
        assert isinstance(outcome, verdict.NotRun)
        self.assertIs(verdict.Reason.OVERLOAD, outcome.reason)
        self.assertGreaterEqual(outcome.retry_after_s or 0.0, 1.0)

    async def test_what_a_target_has_said_travels_with_the_next_calls(
        self,
    ) -> None:
        notice = frames.TargetNotice('i-1', 2.0)
        told = frames.Feedback(255, 1.0, 0.0, 0, notice=notice)
        silent = dialler.Reply(OVERLOAD, frames.SILENT_FEEDBACK)
        forwarder = self.build(
            dialler.Reply(ANSWER, told), silent, *[build_reply(ANSWER)] * 3
        )
        call = build_call()
        for _ in range(4):
            await forwarder.send(call)
        first = self.transmitter.sent_to[0]
        later = [
            sent
            for node_id, sent in zip(
                self.transmitter.sent_to,
                self.transmitter.notices,
                strict=True,
            )
            if node_id == first
        ]
        # An answer that does not repeat it ends it.
        self.assertEqual([None, notice], later[:2])
        self.assertTrue(all(item is None for item in later[3:]))

    async def test_suspect_goes_to_the_node_that_may_run_it(self) -> None:
        for home in ('n0', 'n1', 'n2'):
            isolated = frames.Feedback(255, 1.0, 0.0, 0, run_at=home)
            forwarder = self.build(
                dialler.Reply(ISOLATED, isolated), build_reply(ANSWER)
            )
            self.assertEqual(ANSWER, await forwarder.send(build_call()))
            self.assertEqual(home, self.transmitter.sent_to[1])

    async def test_call_tells_under_which_runs_it_crashed_targets(
        self,
    ) -> None:
        """A retry must not be ahead of the news of the crash."""
        crashed = frames.Feedback(255, 1.0, 0.0, 0, ended_run='i-1@1')
        forwarder = self.build(
            dialler.Reply(CRASHED, crashed), build_reply(ANSWER)
        )
        self.assertEqual(ANSWER, await forwarder.send(build_call()))
        self.assertEqual(
            [None, frames.CallHistory(('i-1@1',))], self.transmitter.histories
        )

    async def test_call_tells_which_nodes_could_not_run_it(self) -> None:
        """One that directs it elsewhere could; others must not pass it by."""
        unreachable = verdict.NotRun(
            verdict.Reason.TARGET_UNREACHABLE, retry_elsewhere=True
        )
        forwarder = self.build(
            build_reply(unreachable),
            build_reply(ISOLATED),
            build_reply(ANSWER),
        )
        self.assertEqual(ANSWER, await forwarder.send(build_call()))
        expected = frames.CallHistory((), (self.transmitter.sent_to[0],))
        self.assertEqual(
            [None, expected, expected], self.transmitter.histories
        )

    async def test_quarantined_request_is_not_told_to_come_back(
        self,
    ) -> None:
        quarantined = verdict.NotRun(verdict.Reason.QUARANTINED)
        forwarder = self.build(build_reply(quarantined))
        self.assertEqual(quarantined, await forwarder.send(build_call()))
        self.assertEqual(1, len(self.transmitter.sent_to))

    async def test_request_that_has_crashed_a_target_has_run(self) -> None:
        """The refusal of its retry must not hide that."""
        quarantined = verdict.NotRun(verdict.Reason.QUARANTINED)
        forwarder = self.build(build_reply(CRASHED), build_reply(quarantined))
        self.assertEqual(CRASHED, await forwarder.send(build_call()))

    async def test_refused_call_goes_to_another_upstream(self) -> None:
        forwarder = self.build(build_reply(OVERLOAD), build_reply(ANSWER))
        self.assertEqual(ANSWER, await forwarder.send(build_call()))

    async def test_call_probes_once_and_then_queues(
        self,
    ) -> None:
        forwarder = self.build(build_reply(OVERLOAD), build_reply(ANSWER))
        self.assertEqual(ANSWER, await forwarder.send(build_call()))
        self.assertEqual([False, True], self.transmitter.may_wait)
        self.assertEqual(2, len(set(self.transmitter.sent_to)))

    async def test_call_queues_at_the_probed_node_if_others_refuse(
        self,
    ) -> None:
        forwarder = self.build(
            *[build_reply(OVERLOAD)] * 3, build_reply(ANSWER)
        )
        self.assertEqual(ANSWER, await forwarder.send(build_call()))
        self.assertEqual([False, True, True, True], self.transmitter.may_wait)
        self.assertEqual(
            self.transmitter.sent_to[0], self.transmitter.sent_to[3]
        )

    async def test_refusal_that_holds_for_all_targets_is_final(self) -> None:
        refusal = verdict.NotRun(verdict.Reason.OVERLOAD, retry_after_s=1.0)
        forwarder = self.build(build_reply(refusal))
        outcome = await forwarder.send(build_call())
        self.assertIsInstance(outcome, verdict.NotRun)
        self.assertEqual(1, len(self.transmitter.sent_to))

    async def test_call_rejected_by_targets_goes_to_no_third_upstream(
        self,
    ) -> None:
        """All targets refuse some calls; the route allows two upstreams.

        Retries must go to the two targets that have received the call.
        """
        forwarder = self.build(
            build_reply(REJECTED),
            build_reply(REJECTED),
            build_reply(REJECTED),
            build_reply(ANSWER),
        )
        self.assertEqual(ANSWER, await forwarder.send(build_call()))
        self.assertEqual(4, len(self.transmitter.sent_to))
        self.assertEqual(2, len(set(self.transmitter.sent_to)))

    async def test_possible_run_at_the_upstream_limit_is_final(
        self,
    ) -> None:
        forwarder = self.build(
            build_reply(REJECTED), build_reply(POSSIBLE_RUN)
        )
        self.assertEqual(POSSIBLE_RUN, await forwarder.send(build_call()))

    async def test_rejected_call_stops_at_the_retry_budget(self) -> None:
        forwarder = self.build(*[build_reply(REJECTED)] * 400)
        for _ in range(100):
            outcome = await forwarder.send(build_call())
            self.assertIsInstance(outcome, verdict.NotRun)
        retry_count = len(self.transmitter.sent_to) - 100
        self.assertLessEqual(retry_count, 0.2 * 100 + 50.0)

    async def test_refused_calls_of_the_own_target_lower_the_share(
        self,
    ) -> None:
        refused = [build_reply(OVERLOAD)] * 4
        forwarder = self.build(*(refused * 5))
        for _ in range(5):
            await forwarder.send(build_call(open_to_all=True))
        self.assertLess(self.shares.compute_share('browse', 0.0), 1.0)

    async def test_failures_for_lack_of_capacity_lower_the_share(
        self,
    ) -> None:
        failed = build_reply(FAILURE, capacity_failure_ratio=0.3)
        forwarder = self.build(*([failed] * 5))
        for _ in range(5):
            await forwarder.send(build_call(open_to_all=True))
        self.assertLess(self.shares.compute_share('browse', 0.0), 1.0)

    async def test_failed_call_is_attributed_to_its_request(self) -> None:
        forwarder = self.build(build_reply(FAILURE))
        self.running.begin('a', 'browse', running_calls.Priority(0, 1))
        call = build_call(open_to_all=True)
        call.parent_id = 'a'
        await forwarder.send(call)
        self.assertTrue(self.running.end('a'))

    async def test_call_of_the_own_target_inherits_importance(
        self,
    ) -> None:
        forwarder = self.build(build_reply(ANSWER), build_reply(ANSWER))
        self.running.begin('a', 'order', running_calls.Priority(1, 0))
        call = build_call(open_to_all=True)
        call.parent_id = 'a'
        await forwarder.send(call)
        # The request that this call was made for is unknown.
        await forwarder.send(build_call(open_to_all=True))
        self.assertEqual(
            [(1, 0), (2, 2)],
            [
                (context.importance, context.route_importance)
                for context in self.transmitter.contexts
            ],
        )

    async def test_calls_of_callers_do_not_change_the_share(
        self,
    ) -> None:
        refused = [build_reply(OVERLOAD)] * 4
        forwarder = self.build(*(refused * 5))
        for _ in range(5):
            await forwarder.send(build_call())
        self.assertEqual(1.0, self.shares.compute_share('browse', 0.0))


class TransmitterTest(unittest.IsolatedAsyncioTestCase):
    async def test_call_to_unknown_node_may_be_retried_elsewhere(
        self,
    ) -> None:
        balancer = spread.LoadAwareBalancer(
            spread.LoadAwareSettings(), data_centre='a'
        )
        bodies = budget.ByteBudget(1)
        transmitter = transmit.Transmitter(
            node_id='n',
            addresses=directory.Directory(balancer),
            links=dialler.Dialler(
                link.Identity('n', 1),
                secret=b'secret',
                bodies=bodies,
                on_control=lambda node_id, topic, payload: None,
            ),
            runner=UnusedRunner(),
        )
        call = frames.Call(
            attempt=bytes(16),
            route='browse',
            context=frames.Context('', 0, bytes(16), 0.0, 0.0, 0),
            remaining_s=1.0,
            allowance=0,
            idempotency_key='',
            request=message.Request('GET', '/', (), b''),
            body_length=0,
            digest=0,
        )
        reply = await transmitter.transmit(
            'other', call, deadline=1.0, retriable=True
        )
        assert isinstance(reply.outcome, verdict.NotRun)
        self.assertTrue(reply.outcome.retry_elsewhere)


class UnusedRunner:
    async def run(self, call: frames.Call) -> dialler.Reply:
        raise AssertionError('no call may run at this node')
