"""Tests of what callers' nodes keep of targets."""

import unittest

from eelgrasswalk.policy.capacity import target_notices


class TargetNoticesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.notices: target_notices.TargetNotices[str] = (
            target_notices.TargetNotices()
        )

    def test_last_notice_counts(self) -> None:
        self.notices.record('n', 'first')
        self.notices.record('n', 'second')
        self.assertEqual('second', self.notices.find('n'))
        self.notices.record('n', None)
        self.assertIsNone(self.notices.find('n'))

    def test_number_of_notices_is_bounded(self) -> None:
        for number in range(target_notices.MAX_NODES + 1):
            self.notices.record(f'n{number}', 'x')
        self.assertIsNone(self.notices.find('n0'))
        self.assertEqual('x', self.notices.find('n1'))
