"""Tests of the commands on quarantined requests, against a stand-in."""

import asyncio
import json
import threading
import unittest

import click.testing

from eelgrasswalk.cli import operator
from eelgrasswalk.controllers import quarantine as keeper
from eelgrasswalk.controllers import quarantine_messages as messages
from eelgrasswalk.policy import quarantine
from eelgrasswalk.standins import rows

DIGEST = b'\xab' * 12
RECORD = quarantine.Record(
    DIGEST,
    quarantine.Subject('GET', '/pages/7', 'lake'),
    3,
    tries=1,
    revision=2,
    since_ms=1_700_000_000_000,
)
OTHER = quarantine.Record(
    b'\xac' * 12, quarantine.Subject('POST', '/orders'), 2
)


class QuarantineCommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = asyncio.new_event_loop()
        thread = threading.Thread(target=self.loop.run_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.loop.call_soon_threadsafe, self.loop.stop)
        self.store = rows.RowsStandin()
        started = asyncio.run_coroutine_threadsafe(
            self.store.start(), self.loop
        )
        self.address = f'127.0.0.1:{started.result(5.0)}'
        self.addCleanup(self.stop_store)
        self.put('back', RECORD, OTHER)

    def stop_store(self) -> None:
        stopped = asyncio.run_coroutine_threadsafe(
            self.store.stop(), self.loop
        )
        stopped.result(5.0)

    def put(self, service: str, *records: quarantine.Record) -> None:
        value = messages.encode_records(records)
        self.loop.call_soon_threadsafe(
            self.store.put, keeper.TABLE, service, value
        )

    def run_command(self, *args: str, code: int = 0) -> click.testing.Result:
        result = click.testing.CliRunner().invoke(
            operator.main, ['--platform', self.address, *args]
        )
        self.assertEqual(code, result.exit_code, result.output)
        return result

    def test_list_shows_what_is_refused(self) -> None:
        self.put('front', OTHER.build_lifted())
        # Warnings of other tests' leftovers may appear on standard error.
        output = self.run_command('quarantine', 'list').stdout
        self.assertIn(f'{DIGEST.hex()}  back  GET /pages/7', output)
        self.assertIn('account lake, 3 crashes, 1 tries', output)
        self.assertIn('since 2023-11-14T22:13:20+00:00', output)
        self.assertEqual(2, len(output.splitlines()))

    def test_list_as_one_object(self) -> None:
        result = self.run_command('--output', 'json', 'quarantine', 'list')
        found = json.loads(result.stdout)['quarantined']
        self.assertCountEqual(
            [DIGEST.hex(), OTHER.digest.hex()],
            [each['digest'] for each in found],
        )

    def test_lifted_quarantine_is_listed_no_more(self) -> None:
        output = self.run_command('quarantine', 'lift', 'abab').output
        self.assertIn(f'Lifted: {DIGEST.hex()}', output)
        output = self.run_command('quarantine', 'list').output
        self.assertNotIn(DIGEST.hex(), output)
        self.assertIn(OTHER.digest.hex(), output)

    def test_digest_that_is_not_unique_lifts_nothing(self) -> None:
        for digest in ('a', 'ff', ''):
            result = self.run_command('quarantine', 'lift', digest, code=2)
            self.assertIn('quarantine list', result.output)

    def test_row_of_another_writer_is_named(self) -> None:
        self.loop.call_soon_threadsafe(
            self.store.put, keeper.TABLE, 'odd', b'7'
        )
        result = self.run_command('quarantine', 'list', code=5)
        self.assertIn("row 'odd'", result.output)

    def test_store_that_does_not_answer(self) -> None:
        self.address = '127.0.0.1:1'
        self.run_command('quarantine', 'list', code=5)
        self.address = 'nowhere'
        self.run_command('quarantine', 'list', code=2)
