"""Tests of the reading of a node's settings and of its messages."""

import pathlib
import tempfile
import unittest

from eelgrasswalk import settings

SOUND = """\
node_id: stock-1
data_centre: erie
service: inventory
mesh_secret: sixteen characters
target:
  address: 127.0.0.1:9000
platform:
  url: http://127.0.0.1:8000
"""


class SettingsTest(unittest.TestCase):
    def parse_faults(self, text: str) -> list[tuple[int, str]]:
        """Return line and message of each fault."""
        with self.assertRaises(settings.SettingsError) as caught:
            settings.parse_settings(text, source='node.yaml')
        return [
            (item.line, f'{item.path}: {item.message}')
            for item in caught.exception.problems
        ]

    def test_sound_settings_get_defaults(self) -> None:
        parsed = settings.parse_settings(SOUND, source='node.yaml')
        self.assertEqual(
            settings.Address('127.0.0.1', 9000), (parsed.target.address)
        )
        self.assertEqual('x-api-key', parsed.key_header)
        self.assertEqual(settings.Limits(), parsed.limits)

    def test_unknown_key_is_named_with_the_nearest(self) -> None:
        faults = self.parse_faults(SOUND + 'servise: x\n')
        self.assertEqual(9, faults[0][0])
        self.assertIn('servise: is not known', faults[0][1])
        self.assertIn("Did you mean 'service'?", faults[0][1])

    def test_every_fault_is_reported_at_once(self) -> None:
        text = SOUND.replace('erie', '7').replace('9000', '99000')
        faults = self.parse_faults(text)
        self.assertEqual([2, 6], [line for line, _ in faults])
        self.assertIn('must be text, not 7', faults[0][1])
        self.assertIn('port must be 0 to 65535', faults[1][1])

    def test_missing_key_is_named(self) -> None:
        faults = self.parse_faults(SOUND.replace('service: inventory\n', ''))
        self.assertEqual(1, len(faults))
        self.assertIn('service', faults[0][1])
        self.assertIn('missing', faults[0][1])

    def test_values_that_harm_are_refused(self) -> None:
        cases = {
            'mesh_secret': SOUND.replace('sixteen characters', 'short'),
            'listen.target_calls': SOUND
            + 'listen:\n  target_calls: 10.0.0.1:80\n',
            'log_level': SOUND + 'log_level: loud\n',
            'platform': SOUND[: SOUND.index('platform')],
        }
        for name, text in cases.items():
            with self.subTest(name):
                faults = self.parse_faults(text)
                self.assertEqual(1, len(faults), faults)
                self.assertTrue(faults[0][1].startswith(name), faults)

    def test_host_names_are_refused(self) -> None:
        faults = self.parse_faults(SOUND.replace('127.0.0.1:9000', 'a:9000'))
        self.assertIn('must be IP:port', faults[0][1])

    def test_file_that_is_not_there_is_named(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'none.yaml'
            with self.assertRaises(settings.SettingsError) as caught:
                settings.load_settings(path)
        self.assertIn('none.yaml', str(caught.exception))
