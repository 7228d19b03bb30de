"""Tests that the page of events is that of the code."""

import asyncio
import collections
import pathlib
import re
import unittest

from eelgrasswalk import events
from eelgrasswalk.operations import catalogue

ROOT = pathlib.Path(__file__).resolve().parents[2]
REFERENCE = ROOT / 'docs' / 'reference'
RENEW = 'run python -m eelgrasswalk.operations.catalogue docs/reference'


class CatalogueTest(unittest.TestCase):
    def test_page_is_current(self) -> None:
        page = (REFERENCE / catalogue.EVENTS_PAGE).read_text()
        rendered = catalogue.render_events(events.list_events())
        self.assertEqual(page, rendered, RENEW)

    def test_page_of_metrics_is_current(self) -> None:
        page = (REFERENCE / catalogue.METRICS_PAGE).read_text()
        rendered = asyncio.run(catalogue.render_metrics())
        self.assertEqual(page, rendered, RENEW)
        for name in re.findall(r'^\| `([^`]+)`', page, re.MULTILINE):
            self.assertRegex(name, r'^eelgrasswalk(\.[a-z_]+)+$')

    def test_event_numbers_are_unique(self) -> None:
        numbers = [event.number for event in events.list_events()]
        twice = [n for n, c in collections.Counter(numbers).items() if c > 1]
        self.assertEqual(twice, [])

    def test_warnings_name_a_remedy(self) -> None:
        for event in events.list_events():
            if event.level >= events.logging.WARNING:
                self.assertTrue(event.remedy, event.text)

    def test_logged_events_exist(self) -> None:
        logged = set()
        for path in (ROOT / 'src').rglob('*.py'):
            logged |= set(
                re.findall(r'events\.log\(\s*events\.(\w+)', path.read_text())
            )
        known = {
            name
            for name, value in vars(events).items()
            if isinstance(value, events.Event)
        }
        self.assertLessEqual(logged, known)
