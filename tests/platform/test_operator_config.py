"""Tests of the operator's configuration as it is decoded."""

import json
import math
import typing
import unittest

from eelgrasswalk import ports
from eelgrasswalk.document import model
from eelgrasswalk.platform import operator_config

CONFIG: dict[str, typing.Any] = {
    'version': 7,
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 1000,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [
        {
            'name': 'lake',
            'api_keys': ['k1', 'k2'],
            'priority': 1,
            'rate_per_s': 158,
            'burst': 100,
        },
        {'name': 'free', 'api_keys': []},
    ],
    'listeners': [
        {
            'hostname': 'Shop.example',
            'rule_set': [
                {
                    'name': 'r-1',
                    'kind': 'safe',
                    'target_latency_ms': 1200,
                    'priority': 2,
                    'auth_exempt': False,
                    'match': {'prefix': '/a/'},
                    'action': {
                        'weighted_split': [
                            {'service': 'old', 'weight': 90},
                            {'service': 'new', 'weight': 10},
                            {'service': 'off', 'weight': 0},
                        ],
                        'timeout_ms': 5000,
                        'max_attempts': 2,
                    },
                    'new_field': 1,
                },
                {
                    'name': 'r-2',
                    'kind': 'unsafe',
                    'auth_exempt': True,
                    'match': {'prefix': '/b/'},
                    'action': {'service': 'old', 'timeout_ms': 700},
                },
            ],
        }
    ],
    'clusters': [{'name': 'old', 'max_connections': 850}],
}


def encode(config: typing.Any) -> bytes:
    return json.dumps(config).encode()


class DecodeRegionsTest(unittest.TestCase):
    def decode(self, value: typing.Any) -> tuple[frozenset[str], ...]:
        """Return the regions of a route and of an account."""
        config = json.loads(encode(CONFIG))
        config['listeners'][0]['rule_set'][0]['allowed_regions'] = value
        config['tenants'][0]['allowed_regions'] = value
        rules = operator_config.decode_rules(encode(config))
        return rules.routes[0].regions, rules.accounts[0].regions

    def test_listed_regions(self) -> None:
        regions = frozenset(('north', 'south'))
        self.assertEqual(
            (regions, regions), self.decode(['north', 'south', 'north'])
        )

    def test_absent_or_empty_means_all(self) -> None:
        rules = operator_config.decode_rules(encode(CONFIG))
        self.assertEqual(frozenset(), rules.routes[0].regions)
        for value in (None, []):
            self.assertEqual((frozenset(),) * 2, self.decode(value))

    def test_value_that_is_no_list_is_rejected(self) -> None:
        """A text must not become a list of letters, nor 0 mean all."""
        for value in ('north', 0, False, {}):
            with self.assertRaises(ValueError):
                self.decode(value)


class DecodeRulesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rules = operator_config.decode_rules(encode(CONFIG))

    def test_route_with_shares(self) -> None:
        route = self.rules.routes[0]
        self.assertEqual('shop.example', route.hostname)
        self.assertEqual('/a/', route.prefix)
        self.assertEqual(
            [('old', 90.0), ('new', 10.0)],
            [(share.service, share.weight) for share in route.shares],
        )
        self.assertTrue(route.idempotent)
        self.assertEqual(model.Importance.NORMAL, route.importance)
        self.assertEqual((5.0, 1.2), (route.timeout_s, route.objective_s))
        self.assertEqual(2, route.max_upstreams)

    def test_route_that_leaves_fields_out(self) -> None:
        route = self.rules.routes[1]
        self.assertFalse(route.idempotent)
        self.assertTrue(route.open_to_all)
        self.assertEqual(1, route.max_upstreams)
        self.assertEqual(route.timeout_s, route.objective_s)

    def test_accounts(self) -> None:
        lake, free = self.rules.accounts
        self.assertEqual(('k1', 'k2'), lake.keys)
        self.assertEqual((158.0, 100.0), (lake.rate, lake.burst))
        self.assertEqual(model.Importance.HIGH, lake.importance)
        self.assertEqual(0.0, free.rate)
        self.assertIsNone(free.importance)

    def test_limits_and_services(self) -> None:
        self.assertEqual(15.0, self.rules.limits.idle_timeout_s)
        self.assertEqual(850, self.rules.services[0].connections)

    def test_cold_targets(self) -> None:
        for fields, expected in (
            ({}, (0.0, 0.0)),
            ({'cold_per_s': None, 'cold_start_s': 0}, (0.0, 0.0)),
            ({'cold_per_s': -3, 'cold_start_s': -1}, (0.0, 0.0)),
            ({'cold_per_s': 5.5, 'cold_start_s': 20}, (5.5, 20.0)),
        ):
            with self.subTest(fields):
                clusters = [{'name': 'old', **fields}]
                rules = operator_config.decode_rules(
                    encode({**CONFIG, 'clusters': clusters})
                )
                service = rules.services[0]
                self.assertEqual(
                    expected, (service.cold_per_s, service.cold_start_s)
                )

    def test_unreadable_configurations_are_told_as_such(self) -> None:
        for broken in (
            b'',
            b'[]',
            b'{"version": 1}',
            encode({**CONFIG, 'version': None}),
            encode({**CONFIG, 'listeners': [1]}),
            encode({**CONFIG, 'tenants': [{}]}),
            b'[' * 50_000,
            b'{"version":' + b'{"a":' * 50_000,
            encode({**CONFIG, 'version': math.inf}),
            encode(CONFIG).replace(b'5000', b'1e999'),
        ):
            with self.subTest(broken[:20]), self.assertRaises(ValueError):
                operator_config.decode_rules(broken)

    def test_only_the_configurations_row_counts(self) -> None:
        source = operator_config.OperatorRules()
        rows = [
            ports.Row('other', b'x', 1),
            ports.Row('config', encode(CONFIG), 2),
        ]
        decoded = source.decode(rows)
        assert decoded is not None
        self.assertEqual(7, decoded.version)
        self.assertIsNone(source.decode(rows[:1]))

    def test_last_of_several_changes_counts(self) -> None:
        """A feed that was away for long tells every change in between.

        The first was put in force once, and a withdrawn key went on.
        """
        rows = [
            ports.Row('config', encode({**CONFIG, 'version': number}), number)
            for number in (7, 9, 24)
        ]
        decoded = operator_config.OperatorRules().decode(rows)
        assert decoded is not None
        self.assertEqual(24, decoded.version)

    def test_removed_configuration_is_none(self) -> None:
        source = operator_config.OperatorRules()
        self.assertIsNone(source.decode([ports.Row('config', None, 3)]))
