"""Tests of finding the data centres in which a call may run."""

import dataclasses
import unittest

from eelgrasswalk.filters import call_homes
from eelgrasswalk.filters import front
from eelgrasswalk.policy import call_rules
from eelgrasswalk.policy import running_calls
from eelgrasswalk.policy.placement import homes
from eelgrasswalk.transport import message
from tests.filters import test_forward_places

NORTH = frozenset(('north',))
NONE: frozenset[str] = frozenset()


def build_route(prefix: str, regions: frozenset[str]) -> call_rules.RouteRule:
    return dataclasses.replace(
        test_forward_places.build_route(regions), prefix=prefix
    )


def build_table(*routes: call_rules.RouteRule) -> call_rules.RuleTable:
    return call_rules.RuleTable(
        call_rules.Rules(1, routes, (), (), test_forward_places.LIMITS)
    )


class CallHomesTest(unittest.TestCase):
    def find(
        self, route: call_rules.RouteRule, table: call_rules.RuleTable
    ) -> frozenset[str] | None:
        """Return where a call that has arrived by a route may run now."""
        call = front.IncomingCall(
            request=message.Request('GET', '/a/b', (), b''),
            request_id='r',
            arrived_at=0.0,
            route=route,
            service='back',
            account='',
            priority=running_calls.Priority(2, 2),
            deadline=5.0,
            root_hash=0.5,
        )
        known = homes.Homes({'a': 'north', 'c': 'south'})
        return call_homes.CallHomes(known, lambda: table).find(call)

    def test_withdrawn_route_stays_limited_beside_a_shorter_prefix(
        self,
    ) -> None:
        """A retry would otherwise run in any region."""
        table = build_table(build_route('/', NONE))
        allowed = self.find(build_route('/a/', NORTH), table)
        self.assertEqual({'a'}, allowed)

    def test_newest_homes_of_a_route_apply(self) -> None:
        """A call that is retried must keep to a change of its route."""
        table = build_table(
            build_route('/', NONE), build_route('/a/', frozenset(('south',)))
        )
        allowed = self.find(build_route('/a/', NORTH), table)
        self.assertEqual({'c'}, allowed)
