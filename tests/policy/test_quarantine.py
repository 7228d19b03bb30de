"""Tests of quarantines: when a deadly request is tried again."""

import itertools
import unittest

from eelgrasswalk.policy import quarantine

DEADLY = b'deadly'
SUBJECT = quarantine.Subject('GET', '/pages/7', 'lake')
FREE = quarantine.Standing.FREE
REFUSED = quarantine.Standing.REFUSED
TRIAL = quarantine.Standing.TRIAL


def confine(
    confined: quarantine.Quarantine, now: float, *, digest: bytes = DEADLY
) -> quarantine.Record:
    return confined.confine(
        digest, SUBJECT, crashes=2, since_ms=1_000, now=now
    )


class QuarantineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.confined = quarantine.Quarantine()

    def find_standing(self, now: float) -> quarantine.Standing:
        return self.confined.find_standing(DEADLY, now)

    def test_request_is_tried_again_ever_more_rarely(self) -> None:
        """It comes all the time, and every try crashes a target."""
        now = 0.0
        for tries, pause_s in enumerate(quarantine.TRIAL_AFTER_S):
            record = confine(self.confined, now)
            self.assertEqual(
                (2 + tries, tries), (record.crashes, record.tries)
            )
            self.assertIs(REFUSED, self.find_standing(now + pause_s - 0.1))
            now += pause_s
            self.assertIs(TRIAL, self.find_standing(now))
        record = confine(self.confined, now)
        self.assertIs(REFUSED, self.find_standing(now + 1e9))
        # The users allow three tries after the third crash.
        self.assertEqual(3, record.tries)

    def test_lifted_quarantine_lets_the_request_run(self) -> None:
        lifted = confine(self.confined, 0.0).build_lifted()
        self.assertTrue(self.confined.merge(lifted, 1.0))
        self.assertIs(FREE, self.find_standing(1.0))

    def test_tries_count_on_after_a_lifted_quarantine(self) -> None:
        confine(self.confined, 0.0)
        record = confine(self.confined, 30.0)
        self.confined.merge(record.build_lifted(), 40.0)
        again = confine(self.confined, 50.0)
        self.assertEqual((1, 3), (again.tries, again.crashes))
        self.assertIs(REFUSED, self.find_standing(100.0))

    def test_record_by_few_crashes_is_uncertain_for_a_while(self) -> None:
        record = confine(self.confined, 0.0)
        self.assertEqual([record], self.confined.list_uncertain(1.0))
        later = quarantine.DOUBT_S
        self.assertEqual([], self.confined.list_uncertain(later))
        confine(self.confined, 30.0)
        self.assertEqual([], self.confined.list_uncertain(31.0))

    def test_crash_under_a_run_that_had_begun_makes_it_certain(self) -> None:
        confine(self.confined, 0.0)
        record = self.confined.confirm(DEADLY, 0.1)
        assert record is not None
        self.assertEqual((3, 0), (record.crashes, record.tries))
        self.assertEqual([], self.confined.list_uncertain(0.2))
        self.confined.merge(record.build_lifted(), 0.3)
        self.assertIsNone(self.confined.confirm(DEADLY, 0.4))

    def test_records_merge_alike_in_any_order(self) -> None:
        first = confine(self.confined, 0.0)
        second = confine(self.confined, 30.0)
        records = (first, second, second.build_lifted())
        for order in itertools.permutations(records):
            merged = quarantine.Quarantine()
            for record in (*order, *order):
                merged.merge(record, 0.0)
            self.assertEqual([records[-1]], merged.list_records())

    def test_known_record_does_not_begin_anew(self) -> None:
        """The store tells of it again after each restore."""
        record = confine(self.confined, 0.0)
        self.assertFalse(self.confined.merge(record, 29.0))
        self.assertIs(TRIAL, self.find_standing(30.0))

    def test_lifted_and_old_records_make_room(self) -> None:
        record = confine(self.confined, 0.0, digest=b'lifted')
        self.confined.merge(record.build_lifted(), 0.0)
        for number in range(quarantine.MAX_RECORDS + 1):
            confine(self.confined, 1.0, digest=b'%d' % number)
        self.assertEqual(
            quarantine.MAX_RECORDS, len(self.confined.list_records())
        )
        self.assertIsNone(self.confined.find(b'lifted'))
        self.assertIsNone(self.confined.find(b'0'))
        self.assertIsNotNone(self.confined.find(b'1'))
