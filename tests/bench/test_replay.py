"""Replays all recorded traces."""

import json
import pathlib
import unittest

import click.testing

from eelgrasswalk.bench import replay
from eelgrasswalk.bench import traces

DIRECTORY = pathlib.Path(__file__).resolve().parents[2] / 'traces'


class ReplayTest(unittest.TestCase):
    def test_every_stated_outcome_comes(self) -> None:
        paths = sorted(DIRECTORY.glob('*.yaml'))
        self.assertGreaterEqual(len(paths), 12)
        for path in paths:
            with self.subTest(trace=path.stem):
                self.assertTrue(traces.load_trace(path).outcomes)
                self.assertEqual(replay.replay_trace(path), [])

    def test_unstated_measure_fails(self) -> None:
        trace = traces.Trace(
            'x', 'levels', (), (traces.Outcome('unknown', equals=1),)
        )
        self.assertEqual(len(traces.check_outcomes('x', trace, {})), 1)

    def test_prints_one_object(self) -> None:
        result = click.testing.CliRunner().invoke(
            replay.command, ['--json', '--traces', str(DIRECTORY)]
        )
        self.assertEqual(result.exit_code, 0)
        printed = json.loads(result.stdout.splitlines()[-1])
        self.assertEqual(printed['failed'], 0)
        self.assertEqual(printed['bench'], 'replay')
