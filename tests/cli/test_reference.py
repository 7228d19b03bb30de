"""Tests that the operators' reference pages name what exists."""

import pathlib
import unittest

import click

from eelgrasswalk.cli import operator
from eelgrasswalk.cli import terminal
from eelgrasswalk.document import structure

REFERENCE = pathlib.Path(__file__).resolve().parents[2] / 'docs' / 'reference'


class ReferenceTest(unittest.TestCase):
    def test_commands_and_options(self) -> None:
        page = (REFERENCE / 'cli.md').read_text()
        for name, command in operator.main.commands.items():
            self.assertIn(f'`{name}', page)
            for parameter in command.params:
                if isinstance(parameter, click.Option):
                    self.assertIn(parameter.opts[0], page, name)

    def test_exit_codes(self) -> None:
        page = (REFERENCE / 'cli.md').read_text()
        for code in terminal.ExitCode:
            row = f'| {code.value} | `{code.name.lower()}` |'
            self.assertIn(row, page)

    def test_fields_of_the_document(self) -> None:
        page = (REFERENCE / 'document.md').read_text()
        schema = structure.load_schema()
        for part in (schema, *schema['$defs'].values()):
            for field in part.get('properties', ()):
                self.assertIn(f'`{field}`', page)
