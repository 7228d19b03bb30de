"""A short soak with fixed seeds; eelgrasswalk-bench soak is the long form."""

import asyncio
import pathlib
import tempfile
import unittest

from eelgrasswalk.bench import soak
from eelgrasswalk.bench import soak_checks

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
