"""Tests that no name which leaves the process changes unnoticed."""

import importlib.util
import pathlib
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOOL = ROOT / 'tools' / 'outward_names.py'
RENEW = 'after adding a name run python tools/outward_names.py --write'


class OutwardNamesTest(unittest.TestCase):
    def test_page_lists_the_names_of_the_code(self) -> None:
        """A renamed field or text breaks peers, stored data or scripts."""
        spec = importlib.util.spec_from_file_location('outward_names', TOOL)
        assert spec is not None and spec.loader is not None
        tool = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(tool)
        self.assertEqual(tool.PAGE.read_text(), tool.render_page(), RENEW)
