"""Tests of the reading of load reports."""

import unittest

from eelgrasswalk.controllers import target_watch


class LoadReportTest(unittest.TestCase):
    def test_sound_report_is_read(self) -> None:
        report = target_watch.parse_load(b'{"in_flight": 3, "slots": 15}')
        self.assertEqual((3, 15), report)

    def test_malformed_reports_are_ignored(self) -> None:
        for body in (
            b'',
            b'[]',
            b'{}',
            b'{"in_flight": "3", "slots": 15}',
            b'{"in_flight": -1, "slots": 15}',
            b'{"in_flight": true, "slots": 15}',
            b'\xff',
        ):
            with self.subTest(body):
                self.assertIsNone(target_watch.parse_load(body))
