"""Tests of what a target runs at the moment."""

import unittest

from eelgrasswalk.policy import running_calls


class RunningCallsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.running = running_calls.RunningCalls()
        self.running.begin('a', 'browse')

    def test_route_is_known_while_it_runs(self) -> None:
        self.assertEqual('browse', self.running.find_route('a'))
        self.running.end('a')
        self.assertIsNone(self.running.find_route('a'))

    def test_failed_call_is_remembered(self) -> None:
        self.running.note_failed_call('a')
        self.assertTrue(self.running.end('a'))

    def test_no_failed_call(self) -> None:
        self.running.note_failed_call('unknown')
        self.assertFalse(self.running.end('a'))
        self.assertFalse(self.running.end('a'))

    def test_request_without_id_is_no_parent_of_others(self) -> None:
        self.running.begin('', 'book')
        self.assertIsNone(self.running.find_route(''))
