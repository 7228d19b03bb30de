"""Tests of blame after crashes; each replays what ran at which crash."""

import unittest

from eelgrasswalk.policy import suspects

DEADLY = b'deadly'
POPULAR = b'popular'
CLEAR = suspects.Standing.CLEAR
SUSPECT = suspects.Standing.SUSPECT
PRIME = suspects.Standing.PRIME


def build_suspects(**changes: float) -> suspects.Suspects:
    settings = suspects.SuspectSettings(**changes)  # type: ignore[arg-type]
    return suspects.Suspects(settings)


class SuspectsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.suspects = build_suspects()

    def record_crash(self, run_id: str, *digests: bytes, at: float) -> None:
        self.suspects.record_crash(run_id, digests, at)

    def test_all_that_ran_at_a_crash_are_suspects(self) -> None:
        self.record_crash('run-1', DEADLY, b'a', at=0.0)
        self.assertIs(SUSPECT, self.suspects.find_standing(DEADLY))
        self.assertIs(SUSPECT, self.suspects.find_standing(b'a'))
        self.assertIs(CLEAR, self.suspects.find_standing(b'other'))
        self.assertFalse(self.suspects.is_guilty(DEADLY, 0.0))

    def test_answer_clears_a_popular_request(self) -> None:
        """A popular safe request is in flight at every crash."""
        for number in range(5):
            self.record_crash(
                f'run-{number}', DEADLY, POPULAR, at=0.1 * number
            )
            self.assertTrue(self.suspects.clear(POPULAR))
        self.assertIs(CLEAR, self.suspects.find_standing(POPULAR))
        self.assertEqual(5, self.suspects.count_crashes(DEADLY))

    def test_request_that_crashes_share_clears_the_others(self) -> None:
        self.record_crash('run-1', DEADLY, b'a', b'b', at=0.0)
        self.record_crash('run-2', DEADLY, b'c', at=0.1)
        self.assertIs(PRIME, self.suspects.find_standing(DEADLY))
        for digest in (b'a', b'b', b'c'):
            self.assertIs(CLEAR, self.suspects.find_standing(digest))
        self.assertTrue(self.suspects.is_guilty(DEADLY, 0.1))

    def test_innocent_prime_suspect_leaves_the_others_suspected(self) -> None:
        """It was repeated, and ran at the next crash by chance."""
        self.record_crash('run-1', DEADLY, POPULAR, at=0.0)
        self.record_crash('run-2', POPULAR, at=0.1)
        self.assertIs(CLEAR, self.suspects.find_standing(DEADLY))
        self.suspects.clear(POPULAR)
        self.assertIs(SUSPECT, self.suspects.find_standing(DEADLY))

    def test_several_reports_of_a_crash_are_one(self) -> None:
        self.record_crash('run-1', DEADLY, at=0.0)
        self.record_crash('run-1', DEADLY, b'a', at=0.1)
        self.assertEqual(1, self.suspects.count_crashes(DEADLY))
        self.assertIs(SUSPECT, self.suspects.find_standing(b'a'))

    def test_crash_without_the_suspect_calls_for_a_third(self) -> None:
        """Targets also crash for another reason, so two may be chance."""
        self.record_crash('run-1', DEADLY, at=0.0)
        self.record_crash('run-2', b'a', at=0.1)
        self.record_crash('run-3', DEADLY, at=0.2)
        self.assertFalse(self.suspects.is_guilty(DEADLY, 0.2))
        self.record_crash('run-4', DEADLY, at=0.3)
        self.assertTrue(self.suspects.is_guilty(DEADLY, 0.3))

    def test_crash_that_is_explained_casts_no_doubt(self) -> None:
        """Two requests are deadly at the same time."""
        for number in range(3):
            self.record_crash(f'run-{number}', b'other', at=0.0)
        self.suspects.explain(b'other')
        self.record_crash('run-3', DEADLY, at=1.0)
        self.record_crash('run-4', DEADLY, at=2.0)
        self.assertTrue(self.suspects.is_guilty(DEADLY, 2.0))

    def test_guilt_acquits_what_ran_at_the_same_crashes(self) -> None:
        self.record_crash('run-1', DEADLY, b'a', at=0.0)
        self.record_crash('run-2', DEADLY, b'a', b'b', at=0.1)
        self.record_crash('run-3', b'a', b'c', at=0.2)
        self.suspects.explain(DEADLY)
        self.assertIs(CLEAR, self.suspects.find_standing(b'b'))
        self.assertEqual(1, self.suspects.count_crashes(b'a'))
        self.assertIs(SUSPECT, self.suspects.find_standing(b'c'))
        # A late report of an explained crash accuses nobody.
        self.record_crash('run-1', b'b', at=0.3)
        self.assertIs(CLEAR, self.suspects.find_standing(b'b'))

    def test_memory_is_bounded(self) -> None:
        self.suspects = build_suspects(max_crashes=3, max_digests=4)
        for number in range(100):
            digests = [b'%d-%d' % (number, each) for each in range(100)]
            self.record_crash(f'run-{number}', *digests, at=number)
        self.assertLessEqual(len(self.suspects), 3 * 4)

    def test_old_crashes_are_forgotten(self) -> None:
        self.record_crash('run-1', DEADLY, at=0.0)
        self.record_crash('run-2', b'a', at=4000.0)
        self.assertIs(CLEAR, self.suspects.find_standing(DEADLY))
        self.assertEqual(1, len(self.suspects))

    def test_withdrawn_verdict_explains_nothing(self) -> None:
        """Two deadly requests came at once; an innocent one met both."""
        self.suspects.record_crash('run-1', (DEADLY, b'a'), 0.0)
        self.suspects.record_crash('run-2', (b'other', b'a'), 0.1)
        self.assertTrue(self.suspects.is_guilty(b'a', 0.1))
        self.suspects.explain(b'a')
        self.assertIs(CLEAR, self.suspects.find_standing(DEADLY))
        self.suspects.record_crash('run-3', (b'other',), 0.2)
        self.suspects.reopen(b'a')
        self.assertIs(PRIME, self.suspects.find_standing(b'a'))
        self.assertTrue(self.suspects.clear(b'a'))
        self.assertIs(SUSPECT, self.suspects.find_standing(DEADLY))
        self.assertIs(PRIME, self.suspects.find_standing(b'other'))

    def test_nobody_is_guilty_before_all_suspects_are_known(self) -> None:
        """A retry was ahead of the news of the crash that it was for."""
        self.suspects.record_crash('run-1', (b'a',), 0.0, is_report=False)
        self.suspects.record_crash('run-2', (b'a', DEADLY), 0.1)
        self.assertFalse(self.suspects.is_reported('run-1'))
        self.assertFalse(self.suspects.is_guilty(b'a', 0.1))
        self.suspects.record_crash('run-1', (DEADLY,), 0.2)
        self.assertTrue(self.suspects.is_reported('run-1'))
        self.assertIs(PRIME, self.suspects.find_standing(DEADLY))
