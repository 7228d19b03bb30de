"""The page of promises names tests that exist."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'explanation' / 'promises.md'
PROMISES = 12


class PromisesTest(unittest.TestCase):
    def test_named_tests_exist(self) -> None:
        names = re.findall(r'`(tests\.[\w.]+)`', PAGE.read_text())
        loaded = unittest.TestLoader()
        for name in names:
            suite = loaded.loadTestsFromName(name)
            self.assertEqual([], loaded.errors, name)
            self.assertGreater(suite.countTestCases(), 0, name)

    def test_every_promise_has_tests(self) -> None:
        lines = PAGE.read_text().splitlines()
        rows = [
            line
            for line in lines
            if line.startswith('| ')
            and line.split('|')[2].strip() not in ('Tests', '---')
        ]
        self.assertGreaterEqual(len(rows), PROMISES)
        for row in rows:
            self.assertIn('`tests.', row.split('|')[2])
