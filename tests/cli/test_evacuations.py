"""Tests of the command on evacuations, against a stand-in."""

import asyncio
import json
import threading
import unittest

import click.testing

from eelgrasswalk.cli import operator
from eelgrasswalk.standins import rows


class EvacuationsCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = asyncio.new_event_loop()
        thread = threading.Thread(target=self.loop.run_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.loop.call_soon_threadsafe, self.loop.stop)
        self.store = rows.RowsStandin()
        port = asyncio.run_coroutine_threadsafe(
            self.store.start(), self.loop
        ).result(5.0)
        self.address = f'127.0.0.1:{port}'
        self.addCleanup(self.stop_store)

    def stop_store(self) -> None:
        asyncio.run_coroutine_threadsafe(self.store.stop(), self.loop).result(
            5.0
        )

    def run_command(self, *args: str, code: int = 0) -> str:
        result = click.testing.CliRunner().invoke(
            operator.main,
            ['--platform', self.address, *args, 'evacuations'],
        )
        self.assertEqual(code, result.exit_code, result.output)
        # Warnings of other tests' leftovers may appear on standard error.
        return result.output if code else result.stdout

    def test_zones_with_a_row_are_listed(self) -> None:
        for key in ('evacuate/tahoe', 'evacuate/erie', 'config'):
            self.loop.call_soon_threadsafe(self.store.put, 'op', key, b'{}')
        self.assertEqual('erie\ntahoe\n', self.run_command())
        self.loop.call_soon_threadsafe(
            self.store.remove, 'op', 'evacuate/erie'
        )
        self.assertEqual(
            {'evacuated': ['tahoe']},
            json.loads(self.run_command('--output', 'json')),
        )

    def test_no_evacuation(self) -> None:
        self.assertEqual('No data centre is evacuated.\n', self.run_command())

    def test_store_that_does_not_answer(self) -> None:
        self.address = '127.0.0.1:1'
        self.run_command(code=5)
        self.address = 'nowhere'
        self.run_command(code=2)
