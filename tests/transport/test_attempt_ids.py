"""Tests of the ids of attempts."""

import unittest

from eelgrasswalk.transport import attempt_ids
from eelgrasswalk.transport import frames


class AttemptIdsTest(unittest.TestCase):
    def test_ids_of_two_processes_are_all_different(self) -> None:
        sources = [attempt_ids.AttemptIds() for _ in range(2)]
        taken = [source.take() for source in sources for _ in range(300)]
        self.assertEqual(600, len(set(taken)))
        lengths = {len(attempt) for attempt in taken}
        self.assertEqual({frames.ATTEMPT_BYTES}, lengths)
