"""Tests of routing and account rules."""

import collections
import unittest

from eelgrasswalk.document import model
from eelgrasswalk.policy import call_rules

LIMITS = call_rules.ListenerLimits(16_384, 1_000, 3.0, 15.0)


def build_route(
    name: str = 'browse',
    prefix: str = '/a/',
    *,
    hostname: str = 'shop.example',
    shares: tuple[call_rules.Share, ...] = (
        call_rules.Share('catalogue', 1.0),
    ),
) -> call_rules.RouteRule:
    return call_rules.RouteRule(
        name=name,
        hostname=hostname,
        prefix=prefix,
        shares=shares,
        importance=model.Importance.NORMAL,
        idempotent=True,
        open_to_all=False,
        timeout_s=1.0,
        objective_s=0.5,
        max_upstreams=2,
    )


def build_table(
    *routes: call_rules.RouteRule,
    accounts: tuple[call_rules.AccountRule, ...] = (),
) -> call_rules.RuleTable:
    return call_rules.RuleTable(
        call_rules.Rules(1, routes, accounts, (), LIMITS)
    )


class FindRouteTest(unittest.TestCase):
    def setUp(self) -> None:
        self.short = build_route('short', '/a/')
        self.long = build_route('long', '/a/b/')
        self.table = build_table(self.short, self.long)

    def test_longest_prefix_wins(self) -> None:
        found = self.table.find_route('shop.example', '/a/b/c')
        self.assertIs(self.long, found)

    def test_shorter_prefix_takes_the_rest(self) -> None:
        found = self.table.find_route('shop.example', '/a/bc/d')
        self.assertIs(self.short, found)

    def test_prefix_matches_itself(self) -> None:
        self.assertIs(
            self.long, self.table.find_route('shop.example', '/a/b/')
        )

    def test_path_without_the_last_slash_does_not_match(self) -> None:
        self.assertIsNone(self.table.find_route('shop.example', '/a'))

    def test_host_selects(self) -> None:
        self.assertIsNone(self.table.find_route('other.example', '/a/b/'))

    def test_root_prefix_takes_everything(self) -> None:
        root = build_route('root', '/')
        table = build_table(root)
        self.assertIs(root, table.find_route('shop.example', '/x/y'))


class FindAccountTest(unittest.TestCase):
    def test_each_key_of_an_account_is_found(self) -> None:
        account = call_rules.AccountRule('lake', ('one', 'two'), 1.0, 1.0)
        table = build_table(accounts=(account,))
        self.assertIs(account, table.find_account(b'two'))
        self.assertIsNone(table.find_account(b'three'))


class WeightedRoundRobinTest(unittest.TestCase):
    def test_every_run_is_close_to_the_weights(self) -> None:
        route = build_route(
            shares=(
                call_rules.Share('old', 90.0),
                call_rules.Share('new', 10.0),
            )
        )
        choice = call_rules.WeightedRoundRobin()
        chosen = [choice.choose(route, 0.3) for _ in range(200)]
        for start in range(0, 200, 20):
            counts = collections.Counter(chosen[start : start + 20])
            self.assertEqual(2, counts['new'])

    def test_changed_weights_count_at_once(self) -> None:
        choice = call_rules.WeightedRoundRobin()
        old = build_route(shares=(call_rules.Share('old', 1.0),))
        new = build_route(
            shares=(
                call_rules.Share('old', 1.0),
                call_rules.Share('new', 99.0),
            )
        )
        choice.choose(old, 0.0)
        chosen = [choice.choose(new, 0.0) for _ in range(100)]
        self.assertEqual(99, chosen.count('new'))
