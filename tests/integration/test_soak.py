"""A short soak with fixed seeds; eelgrasswalk-bench soak is the long form."""

import asyncio
import math
import pathlib
import tempfile
import unittest

from eelgrasswalk.bench import soak
from eelgrasswalk.bench import soak_checks
from eelgrasswalk.bench import soak_faults

SEEDS = (1, 2)
SECONDS = 15.0
NODES = 4


class SoakTest(unittest.TestCase):
    def test_every_promise_holds(self) -> None:
        for seed in SEEDS:
            with (
                self.subTest(seed=seed),
                tempfile.TemporaryDirectory() as folder,
            ):
                record, _ = asyncio.run(
                    soak.run_soak(
                        seed,
                        nodes=NODES,
                        seconds=SECONDS,
                        folder=pathlib.Path(folder),
                    )
                )
                self.assertGreater(len(record.calls), 100)
                self.assertEqual([], soak_checks.check_all(record))
                self.check_seen(record)

    def check_seen(self, record: soak_checks.Record) -> None:
        """Check that the kinds in force have come about.

        A check without anything to look at holds always.
        """
        seen = {
            'cold': record.cold,
            'evacuation': record.evacuations,
            'ahead': [call for call in record.calls if call.is_ahead],
            'invalid-status': [
                run for run in record.runs if run.invalid_at < math.inf
            ],
        }
        for kind in soak_faults.SIGNALS_IN_FORCE:
            self.assertTrue(seen.get(kind, True), kind)
