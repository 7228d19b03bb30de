"""Tests of the command that explains a request."""

import json
import unittest

import click.testing

from eelgrasswalk.cli import operator
from tests.operations import test_explanation

LINES = '\n'.join(
    (
        'this is no log line',
        test_explanation.write_line(-1.0, 'n1', 3001, version=7),
        test_explanation.write_call(
            0.3, 'n1', 'r-1', 'not-run', 'quota', rules_version=7
        ),
        test_explanation.write_call(0.4, 'n1', 'r-2', 'answered', '200'),
    )
)


class ExplainTest(unittest.TestCase):
    def run_command(
        self, *args: str, code: int = 0, text: str | None = LINES
    ) -> click.testing.Result:
        runner = click.testing.CliRunner()
        result = runner.invoke(operator.main, args, input=text)
        self.assertEqual(code, result.exit_code, result.output)
        return result

    def test_story_from_standard_input(self) -> None:
        output = self.run_command('explain', 'r-1').output
        self.assertIn('cause: the account was over its rate', output)
        self.assertIn('rules_version 7', output)
        self.assertIn('1 lines are no log lines', output)

    def test_story_from_files(self) -> None:
        runner = click.testing.CliRunner()
        with runner.isolated_filesystem():
            with open('n1.log', 'w', encoding='utf-8') as stream:
                stream.write(LINES)
            result = runner.invoke(operator.main, ['explain', 'r-1', 'n1.log'])
        self.assertIn('decided at: n1', result.output)

    def test_story_as_one_object(self) -> None:
        result = self.run_command('--output', 'json', 'explain', 'r-1')
        story = json.loads(result.stdout)
        self.assertEqual('n1', story['decided_at'])
        self.assertEqual(2, len(story['steps']))

    def test_unknown_request_names_the_remedy(self) -> None:
        result = self.run_command('explain', 'r-9', code=1)
        self.assertIn('add the logs of all nodes', result.output)

    def test_summary(self) -> None:
        output = self.run_command('explain', '--summary').output
        self.assertRegex(output, r'1 +not-run +quota')

    def test_span_of_a_summary(self) -> None:
        output = self.run_command(
            'explain', '--summary', '--until', '2020-01-01T00:00:00+00:00'
        ).output
        self.assertNotIn('quota', output)

    def test_request_is_needed(self) -> None:
        self.run_command('explain', code=2)

    def test_time_that_cannot_be_read(self) -> None:
        result = self.run_command('explain', 'r-1', '--since', 'noon', code=2)
        self.assertIn('noon is no time', result.output)

    def test_file_that_cannot_be_read(self) -> None:
        result = self.run_command('explain', 'r-1', '/no/such', code=2)
        self.assertIn('cannot be read', result.output)
