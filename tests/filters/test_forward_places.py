"""Tests of forwarding under evacuations and homes."""

import asyncio
import random
import unittest
import unittest.mock

from eelgrasswalk import verdict
from eelgrasswalk.document import model
from eelgrasswalk.filters import call_homes
from eelgrasswalk.filters import forward
from eelgrasswalk.filters import front
from eelgrasswalk.policy import call_rules
from eelgrasswalk.policy import retry_budget
from eelgrasswalk.policy import root_share
from eelgrasswalk.policy import running_calls
from eelgrasswalk.policy.placement import balance
from eelgrasswalk.policy.placement import homes
from eelgrasswalk.policy.placement import spread
from eelgrasswalk.transport import dialler
from eelgrasswalk.transport import message
from tests.filters import test_forward

EVACUATED = verdict.NotRun(verdict.Reason.EVACUATED, retry_elsewhere=True)
REFUSED = dialler.Reply(EVACUATED, None)
ANSWER = test_forward.build_reply(test_forward.ANSWER)
OVERLOAD = test_forward.build_reply(test_forward.OVERLOAD)
LIMITS = call_rules.ListenerLimits(1, 1, 1.0, 1.0)
NONE: frozenset[str] = frozenset()
NORTH = frozenset(('north',))
SOUTH = frozenset(('south',))


def build_route(
    regions: frozenset[str], *, open_to_all: bool = False
) -> call_rules.RouteRule:
    return call_rules.RouteRule(
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
        regions=regions,
    )


def build_table(
    version: int,
    *,
    route: call_rules.RouteRule,
    account_regions: frozenset[str] = NONE,
) -> call_rules.RuleTable:
    account = call_rules.AccountRule(
        'lake', (), 0.0, 0.0, regions=account_regions
    )
    return call_rules.RuleTable(
        call_rules.Rules(version, (route,), (account,), (), LIMITS)
    )


class PlacesTestCase(unittest.IsolatedAsyncioTestCase):
    """Two targets in each of five zones; `a` and `b` are in the north."""

    zones = ('a', 'b', 'c', 'd', 'e')

    def build(
        self, *replies: dialler.Reply, route: frozenset[str] = NONE
    ) -> None:
        self.table = build_table(1, route=build_route(route))
        self.balancer = spread.LoadAwareBalancer(
            spread.LoadAwareSettings(), data_centre='a'
        )
        self.balancer.replace(
            'back',
            [
                balance.Upstream(f'{zone}{number}', zone, 'back', 4)
                for zone in self.zones
                for number in range(2)
            ],
            0.0,
        )
        regions = dict.fromkeys('ab', 'north') | dict.fromkeys('cd', 'south')
        finder = call_homes.CallHomes(homes.Homes(regions), lambda: self.table)
        self.transmitter = test_forward.FakeTransmitter(*replies)
        self.forwarder = forward.Forwarder(
            transmitter=self.transmitter,
            balancer=self.balancer,
            running=running_calls.RunningCalls(),
            shares=root_share.RootShares(root_share.ShareSettings()),
            budget=retry_budget.RetryBudget(
                retry_budget.RetryBounds(0.2, 10.0, 50.0)
            ),
            count_nodes=lambda: 1,
            source=random.Random(1),
            find_homes=finder.find,
        )

    def build_call(
        self,
        *,
        account_regions: frozenset[str] = NONE,
        open_to_all: bool = False,
    ) -> front.IncomingCall:
        now = asyncio.get_running_loop().time()
        (route,) = self.table.rules.routes
        if open_to_all:
            route = build_route(route.regions, open_to_all=True)
        else:
            self.table = build_table(
                1, route=route, account_regions=account_regions
            )
        return front.IncomingCall(
            request=message.Request('GET', '/', (), b''),
            request_id='r',
            arrived_at=now,
            route=route,
            service='back',
            account='' if open_to_all else 'lake',
            priority=running_calls.Priority(2, 2),
            deadline=now + 5.0,
            root_hash=0.5,
            account_regions=account_regions,
        )

    def list_zones(self) -> list[str]:
        return [node_id[0] for node_id in self.transmitter.sent_to]


class EvacuationTest(PlacesTestCase):
    async def test_refused_call_goes_to_another_data_centre(self) -> None:
        self.build(REFUSED, ANSWER)
        outcome = await self.forwarder.send(self.build_call())
        self.assertEqual(test_forward.ANSWER, outcome)
        first, second = self.list_zones()
        self.assertNotEqual(first, second)

    async def test_attempts_are_not_used_up_by_evacuated_data_centres(
        self,
    ) -> None:
        """This node does not know of the evacuations yet.

        Four data centres refuse, which is as many attempts as a call has.
        """
        self.build(*[REFUSED] * 4, OVERLOAD, ANSWER)
        outcome = await self.forwarder.send(self.build_call())
        self.assertEqual(test_forward.ANSWER, outcome)
        refusing = self.list_zones()[:4]
        self.assertEqual(4, len(set(refusing)))
        self.assertFalse(set(refusing) & set(self.list_zones()[4:]))

    async def test_call_is_not_run_if_all_data_centres_refuse(self) -> None:
        self.build(*[REFUSED] * 5)
        outcome = await self.forwarder.send(self.build_call())
        assert isinstance(outcome, verdict.NotRun)
        self.assertIs(verdict.Reason.EVACUATED, outcome.reason)
        self.assertGreater(outcome.retry_after_s or 0.0, 0.0)
        self.assertEqual(sorted(self.zones), sorted(self.list_zones()))

    async def test_refusal_is_no_failure_of_the_target(self) -> None:
        self.build(REFUSED, ANSWER)
        with unittest.mock.patch.object(
            self.balancer, 'finish', wraps=self.balancer.finish
        ) as finish:
            await self.forwarder.send(self.build_call())
        self.assertIs(
            balance.Outcome.REFUSED, finish.call_args_list[0].kwargs['outcome']
        )

    async def test_call_is_not_run_if_no_upstream_is_left(self) -> None:
        """All zones of the service are known to be evacuated."""
        self.build()
        self.balancer.replace('back', [], 1.0)
        outcome = await self.forwarder.send(self.build_call())
        assert isinstance(outcome, verdict.NotRun)
        self.assertIs(verdict.Reason.NO_UPSTREAM, outcome.reason)

    async def test_possible_run_is_not_hidden_by_an_evacuation(self) -> None:
        lost = test_forward.build_reply(test_forward.POSSIBLE_RUN)
        self.build(lost, *[REFUSED] * 5)
        outcome = await self.forwarder.send(self.build_call())
        self.assertEqual(test_forward.POSSIBLE_RUN, outcome)


class HomesTest(PlacesTestCase):
    async def expect_zones(self, call: front.IncomingCall, zones: str) -> None:
        """Send a call that is refused everywhere with all its attempts."""
        await self.forwarder.send(call)
        self.assertTrue(self.list_zones())
        self.assertLessEqual(set(self.list_zones()), set(zones))

    async def test_retries_stay_in_the_regions_of_the_route(self) -> None:
        self.build(*[OVERLOAD] * 8, route=SOUTH)
        await self.expect_zones(self.build_call(), 'cd')
        self.assertGreater(len(self.list_zones()), 2)

    async def test_regions_of_the_account(self) -> None:
        self.build(*[OVERLOAD] * 8)
        await self.expect_zones(self.build_call(account_regions=NORTH), 'ab')

    async def test_route_and_account_both_bind(self) -> None:
        self.build(*[OVERLOAD] * 8, route=NORTH | SOUTH)
        await self.expect_zones(self.build_call(account_regions=SOUTH), 'cd')

    async def test_calls_of_targets_go_by_the_route_alone(self) -> None:
        self.build(*[OVERLOAD] * 8, route=SOUTH)
        await self.expect_zones(self.build_call(open_to_all=True), 'cd')

    async def test_call_without_a_common_region_is_not_run(self) -> None:
        self.build(route=NORTH)
        outcome = await self.forwarder.send(
            self.build_call(account_regions=SOUTH)
        )
        assert isinstance(outcome, verdict.NotRun)
        self.assertIs(verdict.Reason.NO_UPSTREAM, outcome.reason)
        self.assertEqual([], self.list_zones())

    async def test_suspect_is_not_directed_to_another_region(self) -> None:
        """The node that may run it is chosen without regard to homes."""
        isolated = test_forward.frames.Feedback(255, 1.0, 0.0, 0, run_at='c0')
        self.build(
            dialler.Reply(test_forward.ISOLATED, isolated),
            *[OVERLOAD] * 8,
            route=NORTH,
        )
        await self.expect_zones(self.build_call(), 'ab')

    async def test_nodes_are_told_where_a_suspect_may_run(self) -> None:
        """They would direct it to a data centre that it can't go to."""
        self.build(ANSWER, route=NORTH)
        await self.forwarder.send(self.build_call())
        (history,) = self.transmitter.histories
        assert history is not None
        self.assertEqual(('a', 'b'), history.data_centres)

    async def test_calls_without_homes_carry_no_history(self) -> None:
        """Deployments without homes must not pay for them."""
        self.build(ANSWER)
        await self.forwarder.send(self.build_call())
        self.assertEqual([None], self.transmitter.histories)

    async def test_retry_goes_by_homes_that_came_meanwhile(self) -> None:
        """A call may wait for seconds at its first target."""
        self.build(*[OVERLOAD] * 8)
        call = self.build_call()
        transmit = self.transmitter.transmit

        async def change(*args: object, **options: object) -> dialler.Reply:
            self.table = build_table(2, route=build_route(SOUTH))
            return await transmit(*args, **options)  # type: ignore[arg-type]

        self.transmitter.transmit = change  # type: ignore[assignment]
        await self.forwarder.send(call)
        self.assertLessEqual(set(self.list_zones()[1:]), set('cd'))
        self.assertGreater(len(self.list_zones()), 1)

    async def test_withdrawn_account_stays_limited(self) -> None:
        self.build(*[OVERLOAD] * 8)
        call = self.build_call(account_regions=NORTH)
        (route,) = self.table.rules.routes
        self.table = call_rules.RuleTable(
            call_rules.Rules(2, (route,), (), (), LIMITS)
        )
        await self.expect_zones(call, 'ab')

    async def test_calls_without_homes_go_anywhere(self) -> None:
        self.build(*[OVERLOAD] * 8)
        self.assertFalse(self.table.has_homes)
        await self.expect_zones(self.build_call(), 'abcde')
