"""Tests of the reachability of peers."""

import unittest

from eelgrasswalk.policy import reachability


class ReachabilityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reachability = reachability.Reachability()

    def test_peer_fails_from_the_start_of_the_first_failed_dial(self) -> None:
        self.reachability.record_dial_failed(10.0, 11.5, refused=False)
        self.reachability.record_dial_failed(11.5, 13.0, refused=False)
        self.assertTrue(self.reachability.has_failed_for(3.0, 13.0))
        self.assertFalse(self.reachability.has_failed_for(3.25, 13.0))

    def test_silence_before_the_dial_was_the_first_failure(self) -> None:
        self.reachability.record_link_closed(silent_since=9.5)
        self.reachability.record_dial_failed(10.0, 11.5, refused=False)
        self.assertTrue(self.reachability.has_failed_for(2.0, 11.5))

    def test_silence_alone_is_no_failure(self) -> None:
        self.reachability.record_link_closed(silent_since=9.4)
        self.assertFalse(self.reachability.has_failed_for(0.0, 11.0))

    def test_old_silence_is_not_counted(self) -> None:
        self.reachability.record_link_closed(silent_since=9.4)
        self.reachability.record_dial_failed(60.0, 61.5, refused=False)
        self.assertFalse(self.reachability.has_failed_for(2.0, 61.5))

    def test_refusing_host_gets_time_to_restart_its_process(self) -> None:
        self.reachability.record_link_closed(silent_since=9.4)
        self.reachability.record_dial_failed(10.0, 10.0, refused=True)
        self.reachability.record_dial_failed(12.9, 12.9, refused=True)
        self.assertFalse(self.reachability.has_failed_for(2.0, 12.9))
        self.assertTrue(self.reachability.has_failed_for(2.0, 13.0))

    def test_failures_expire_without_new_attempts(self) -> None:
        self.reachability.record_dial_failed(10.0, 11.5, refused=False)
        self.assertFalse(self.reachability.has_failed_for(2.0, 14.0))

    def test_open_link_resets_all_failures(self) -> None:
        self.reachability.record_link_closed(silent_since=9.4)
        self.reachability.record_dial_failed(10.0, 11.5, refused=True)
        self.reachability.record_dial_succeeded()
        self.assertFalse(self.reachability.refused)
        self.assertFalse(self.reachability.has_failed_for(0.0, 11.6))
