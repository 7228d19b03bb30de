"""Tests of the operators' command line."""

import dataclasses
import json
import pathlib
import unittest

import click.testing

from eelgrasswalk.cli import operator
from eelgrasswalk.cli import terminal
from eelgrasswalk.document import loading
from eelgrasswalk.operations import editing
from tests.operations import fakes

ROOT = pathlib.Path(__file__).resolve().parents[2]
LAKESHORE = ROOT / 'examples' / 'lakeshore.yaml'
OPTIONS = ('--platform', 'memory', '--node', '10.0.0.1:1')


class CommandTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runner = click.testing.CliRunner()
        self.connections = fakes.MemoryConnections()
        self.store = self.connections.revisions
        outcome = loading.load_document(LAKESHORE.read_bytes(), source='')
        assert isinstance(outcome, loading.Loaded)
        self.document = outcome.document

    def run_command(
        self, *args: str, code: int = 0, text: str | None = None
    ) -> click.testing.Result:
        result = self.runner.invoke(
            operator.main,
            [*OPTIONS, *args],
            obj=self.connections,
            input=text,
        )
        self.assertEqual(result.exit_code, code, result.output)
        return result

    def change_erie(self, rate: float) -> str:
        erie = editing.find_account(self.document, 'erie')
        assert not isinstance(erie, editing.Refused)
        changed = dataclasses.replace(erie, rate=rate)
        document = editing.replace_account(self.document, changed)
        return loading.format_document(document)


class FilesTest(CommandTest):
    def test_started_document_is_valid(self) -> None:
        with self.runner.isolated_filesystem():
            self.run_command('init', 'a.yaml')
            self.run_command('validate', 'a.yaml')
            self.run_command('validate', '--strict', 'a.yaml', code=3)
            again = self.run_command('init', 'a.yaml', code=2)
            self.assertIn('left alone', again.output)

    def test_invalid_file_shows_every_problem(self) -> None:
        text = self.change_erie(60).replace('slots: 100', 'slots: no')
        result = self.run_command(
            '--output', 'json', 'validate', '-', code=3, text=text
        )
        data = json.loads(result.stdout)
        self.assertEqual(len(data['problems']), 3)

    def test_diff_tells_the_meaning(self) -> None:
        self.store.accept(self.document)
        text = self.change_erie(60)
        result = self.run_command(
            'diff', '--exit-code', '-', code=10, text=text
        )
        self.assertEqual(result.stdout, 'account erie: rate 40 -> 60/s\n')

    def test_completion_script(self) -> None:
        result = self.run_command('completion', 'zsh')
        self.assertIn('_EELGRASSWALK_COMPLETE', result.stdout)


class VersionsTest(CommandTest):
    def test_apply_show_rollback_and_history(self) -> None:
        self.run_command('apply', '--yes', str(LAKESHORE))
        text = self.change_erie(60)
        self.run_command('apply', '--yes', '--note', 'dawn', '-', text=text)
        self.run_command('rollback', '--yes', '1')
        shown = self.run_command('show', '3')
        self.assertEqual(shown.stdout, loading.format_document(self.document))
        listed = self.run_command('history').stdout
        self.assertIn('rollback to 1', listed)
        self.assertIn('account erie: rate 40 -> 60/s', listed)
        self.assertIn(
            '3 entries verified',
            self.run_command('history', '--verify').stdout,
        )

    def test_altered_history_is_found(self) -> None:
        self.store.accept(self.document)
        self.store.accept(self.document)
        first = self.store.accepted[0]
        forged = dataclasses.replace(first.entry, note='forged')
        self.store.accepted[0] = dataclasses.replace(first, entry=forged)
        result = self.run_command('history', '--verify', code=9)
        self.assertIn('version 1', result.stderr)

    def test_same_document_publishes_nothing(self) -> None:
        self.store.accept(self.document)
        self.run_command('apply', '--yes', str(LAKESHORE))
        self.assertEqual(len(self.store.accepted), 1)

    def test_declined_change_is_not_published(self) -> None:
        self.run_command('apply', str(LAKESHORE), code=1, text='n\n')
        self.assertEqual(self.store.accepted, [])

    def test_race_is_a_conflict_that_names_the_other(self) -> None:
        self.store.accept(self.document)
        outcome = loading.load_document(self.change_erie(50), source='')
        assert isinstance(outcome, loading.Loaded)
        self.store.racing = outcome.document
        result = self.run_command(
            'apply', '--yes', '-', code=4, text=self.change_erie(60)
        )
        self.assertIn('benito from 10.0.0.9', result.stderr)
        self.assertIn('rate 40 -> 50/s', result.stderr)

    def test_unexpected_version_is_a_conflict(self) -> None:
        self.store.accept(self.document)
        self.run_command(
            'apply', '--yes', '--expect', '0', str(LAKESHORE), code=4
        )

    def test_platform_faults_have_their_codes(self) -> None:
        self.store.answer_lost = True
        lost = self.run_command('apply', '--yes', str(LAKESHORE), code=6)
        self.assertIn('eelgrasswalk history', lost.stderr)
        self.store.unavailable = True
        result = self.run_command('--output', 'json', 'history', code=5)
        data = json.loads(result.stdout)
        self.assertEqual(data['outcome'], 'platform_unavailable')

    def test_key_is_created_and_withdrawn(self) -> None:
        self.store.accept(self.document)
        made = self.run_command(
            '--output',
            'json',
            'key',
            'create',
            'erie',
            '--label',
            'till',
            '--yes',
        )
        secret = json.loads(made.stdout)['key']
        erie = editing.find_account(self.store.accepted[-1].document, 'erie')
        assert not isinstance(erie, editing.Refused)
        self.assertEqual(erie.keys[1].digest, editing.digest_key(secret))
        self.run_command('key', 'withdraw', 'erie', 'till', '--yes')
        revived = self.run_command('rollback', '2', '--yes', code=2)
        self.assertIn('erie/till', revived.stderr)
        self.run_command('rollback', '2', '--yes', '--restore-keys')
        wrong = self.run_command(
            'key', 'withdraw', 'eire', 'till', '--yes', code=2
        )
        self.assertIn("Did you mean 'erie'?", wrong.stderr)


class NodesTest(CommandTest):
    def test_wait_lists_hosts_not_reached(self) -> None:
        self.connections.fleet.versions['10.0.0.1:1'] = 1
        self.connections.fleet.versions['10.0.0.2:1'] = 0
        self.connections.fleet.silent.add('10.0.0.2:1')
        result = self.run_command(
            '--output',
            'json',
            'apply',
            '--yes',
            '--wait',
            '--timeout',
            '0.2',
            str(LAKESHORE),
            code=7,
        )
        self.assertIn('10.0.0.2', json.loads(result.stdout)['message'])

    def test_wait_ends_when_in_force(self) -> None:
        result = self.run_command('apply', '--yes', '--wait', str(LAKESHORE))
        self.assertIn('in force on 2 of 2 nodes', result.stdout)

    def test_dead_nodes_are_named_and_not_waited_for(self) -> None:
        dead = self.connections.fleet.describe('10.0.0.2:1')
        dead |= {'state': 'dead', 'host': '10.0.0.7', 'node_id': 'old'}
        self.connections.fleet.dead.append(dead)
        result = self.run_command('wait', '1')
        self.assertIn('2 of 2 nodes; taken for dead', result.stdout)
        self.assertIn('10.0.0.7', result.stdout)

    def test_wait_needs_a_node_before_it_publishes(self) -> None:
        self.run_command(
            '--node', '', 'apply', '--yes', '--wait', str(LAKESHORE), code=2
        )
        self.assertEqual(self.store.accepted, [])

    def test_status_and_drain(self) -> None:
        status = self.run_command('status').stdout
        self.assertIn('2 nodes; version 1 in force on 2', status)
        self.assertIn('3/9+1', status)
        self.run_command('drain', '10.0.0.2', '--yes')
        self.assertEqual(self.connections.fleet.draining, ['10.0.0.2:1'])
        self.run_command('drain', '10.0.0.3', '--yes', code=2)

    def test_unreachable_node(self) -> None:
        self.connections.fleet.silent.add('10.0.0.1:1')
        self.run_command('status', code=8)


class EventsTest(CommandTest):
    def test_event_is_explained(self) -> None:
        shown = self.run_command('events', '2002').stdout
        self.assertIn('lost connections between the two hosts', shown)
        self.run_command('events', '1', code=2)


class TerminalTest(unittest.TestCase):
    def test_text_cannot_steer_the_terminal(self) -> None:
        cleaned = terminal.clean_text('a\x1b[2Jb')
        self.assertNotIn('\x1b', cleaned)
