"""Tests of the settings file that the platform gives."""

import json
import math
import os
import pathlib
import tempfile
import typing
import unittest
import unittest.mock

from eelgrasswalk.platform import process_settings

FIELDS: dict[str, typing.Any] = {
    'node_id': 'sidecar-erie-1',
    'ip': '10.1.0.26',
    'zone': 'erie',
    'listen': {
        'inbound': '10.1.0.26:8543',
        'outbound': '10.1.0.26:8548',
        'ready': '10.1.0.26:8546',
        'control': '10.1.0.26:8540',
    },
    'internal_ports': [7000, 7015],
    'limits': {'memory_mb': 300},
    'bounds': {'drain_ms': 2500, 'grace_s': 7, 'budget_slack': 49},
    'app_addr': '10.1.0.26:8547',
    'service': 'orders',
    'platform': {'address': '10.200.1.7:8545'},
    'unknown': 1,
}


class DecodeSettingsTest(unittest.TestCase):
    def test_addresses_and_bounds(self) -> None:
        config = process_settings.decode_settings(FIELDS)
        self.assertEqual('10.1.0.26:8548', str(config.callers))
        self.assertEqual('10.1.0.26:7000', str(config.links))
        self.assertEqual('10.200.1.7:8545', str(config.store))
        self.assertEqual(2.5, config.bounds.drain_s)
        self.assertEqual(7.0, config.bounds.grace_s)
        self.assertEqual(49.0, config.bounds.retry_slack)
        self.assertEqual(5.0, config.bounds.withdraw_s)

    def test_descriptors(self) -> None:
        config = process_settings.decode_settings(
            {**FIELDS, 'limits': {'max_fds': 700}}
        )
        self.assertEqual(700, config.max_fds)
        with unittest.mock.patch.object(
            process_settings.resource, 'getrlimit', return_value=(512, 4096)
        ):
            config = process_settings.decode_settings(FIELDS)
        self.assertEqual(512, config.max_fds)

    def test_bound_on_cold_targets(self) -> None:
        config = process_settings.decode_settings(FIELDS)
        self.assertIsNone(config.bounds.cold_overage)
        bounds = {'cold_overage': 1.5, 'cold_slack': 8}
        config = process_settings.decode_settings({**FIELDS, 'bounds': bounds})
        self.assertEqual(1.5, config.bounds.cold_overage)
        self.assertEqual(8.0, config.bounds.cold_slack)

    def test_bound_on_cold_targets_that_is_no_amount(self) -> None:
        """It would fail only when the first target is cold."""
        for value in (-1, float('nan'), float('inf'), 'x'):
            for name in ('cold_overage', 'cold_slack'):
                with self.subTest(name, value=value):
                    bounds = {name: value}
                    with self.assertRaises(ValueError):
                        process_settings.decode_settings(
                            {**FIELDS, 'bounds': bounds}
                        )


class ZonesTest(unittest.TestCase):
    def test_regions_of_zones(self) -> None:
        config = process_settings.decode_settings(
            {
                **FIELDS,
                'zones': {'erie': 'north', 'tahoe': 'south', 'odd': 7},
                'region': 'north',
                'bounds': {'evacuate_ms': 4000},
            }
        )
        # The region of `odd` is unknown.
        self.assertEqual({'erie': 'north', 'tahoe': 'south'}, config.regions)
        self.assertEqual('north', config.region)
        self.assertEqual(4.0, config.bounds.evacuate_s)

    def test_settings_without_zones(self) -> None:
        config = process_settings.decode_settings(FIELDS)
        self.assertEqual({}, config.regions)
        self.assertEqual(math.inf, config.bounds.evacuate_s)

    def test_zones_that_are_no_table(self) -> None:
        for value in (['erie'], 'erie', 0):
            with self.assertRaises(ValueError):
                process_settings.decode_settings({**FIELDS, 'zones': value})


class LoadSettingsTest(unittest.TestCase):
    def load(self, text: str) -> str:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'node.json')
            path.write_text(text, 'utf-8')
            variables = {process_settings.FILE_VARIABLE: str(path)}
            with (
                unittest.mock.patch.dict(os.environ, variables),
                self.assertRaises(process_settings.BadSettingsError) as caught,
            ):
                process_settings.load_settings()
        return str(caught.exception)

    def test_missing_field_is_named(self) -> None:
        fields = {**FIELDS}
        del fields['app_addr']
        self.assertIn('app_addr', self.load(json.dumps(fields)))

    def test_bad_value_is_named(self) -> None:
        fields = {**FIELDS, 'app_addr': 'nowhere'}
        self.assertIn("'nowhere'", self.load(json.dumps(fields)))

    def test_text_that_is_no_json(self) -> None:
        self.assertIn('cannot be read', self.load('{'))

    def test_variable_that_is_not_set(self) -> None:
        with (
            unittest.mock.patch.dict(os.environ, clear=True),
            self.assertRaises(process_settings.BadSettingsError),
        ):
            process_settings.load_settings()
