"""Tests of measuring what a call costs."""

import asyncio
import pathlib
import unittest

from eelgrasswalk.bench import cost
from eelgrasswalk.bench import cost_worker

SOURCE = pathlib.Path(cost.__file__).resolve().parents[2]


class StageTest(unittest.TestCase):
    def test_files_belong_to_the_first_stage_that_fits(self) -> None:
        for path, stage in (
            ('/x/eelgrasswalk/transport/server_connection.py', 'http server'),
            ('/x/eelgrasswalk/transport/codec.py', 'links'),
            ('/x/eelgrasswalk/controllers/account_quota.py', 'quota'),
            ('/x/eelgrasswalk/controllers/feed.py', 'control'),
            ('/x/asyncio/tasks.py', cost_worker.OTHER),
        ):
            self.assertEqual(stage, cost_worker.name_stage(path))

    def test_time_without_counting_is_shared_out(self) -> None:
        stages = cost.list_stages(
            {
                'links': {'calls': 400, 'seconds': 1.0},
                'gate': {'calls': 100, 'seconds': 3.0},
            },
            calls=10,
            call_cpu_us=200.0,
        )
        self.assertEqual(
            [('gate', 150.0, 10.0), ('links', 50.0, 40.0)],
            [
                (stage['name'], stage['cpu_us'], stage['calls'])
                for stage in stages
            ],
        )


class MeasureTest(unittest.TestCase):
    def test_every_call_is_answered_and_counted(self) -> None:
        figures = asyncio.run(cost.measure(cost.Plan(40, 0.2), SOURCE))
        self.assertEqual(40, figures['answered'])
        self.assertGreater(figures['call_cpu_us'], 0.0)
        # One task at each of the two nodes.
        self.assertGreaterEqual(figures['tasks'], 2.0)
        names = {stage['name'] for stage in figures['stages']}
        self.assertLessEqual({'links', 'entry', 'gate', 'target'}, names)
