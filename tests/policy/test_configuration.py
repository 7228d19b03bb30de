"""Tests of the version tracker."""

import unittest

import hypothesis
from hypothesis import strategies

from eelgrasswalk.policy import configuration

SETTINGS = configuration.VersionTrackerSettings(
    stale_after_s=10.0, initial_backoff_s=1.0, max_backoff_s=4.0
)
STORE = configuration.FromStore()
EVENTS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just('store'), strategies.integers(0, 6)),
        strategies.tuples(
            strategies.sampled_from(['a', 'b', 'c']),
            strategies.integers(0, 6),
        ),
        strategies.tuples(
            strategies.just('fetched'), strategies.integers(0, 6)
        ),
    ),
    max_size=30,
)


class VersionTrackerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = configuration.VersionTracker(SETTINGS)

    def test_fetches_from_the_peer_that_has_the_version(self) -> None:
        self.tracker.observe_peer_version('a', 3, 0.0)
        step = self.tracker.next_step(0.0)
        expected = configuration.Fetch(1, configuration.FromPeer('a'))
        self.assertEqual(expected, step)
        self.assertEqual(configuration.Wait(), self.tracker.next_step(0.0))
        self.assertTrue(self.tracker.accept(3))
        self.tracker.end_fetch(step, 0.0)
        self.assertEqual(configuration.Wait(), self.tracker.next_step(0.0))

    def test_fetches_from_the_store_that_has_the_version(self) -> None:
        self.tracker.observe_store_version(3, 0.0)
        step = self.tracker.next_step(0.0)
        self.assertEqual(configuration.Fetch(1, STORE), step)

    def test_alternates_sources_when_a_fetch_fails(self) -> None:
        self.tracker.observe_peer_version('a', 3, 0.0)
        self.tracker.observe_peer_version('b', 3, 0.0)
        now = 0.0
        sources = []
        while now is not None:
            step = self.tracker.next_step(now)
            sources.append(step.source)
            self.tracker.end_fetch(step, now)
            wait = self.tracker.next_step(now)
            self.assertNotEqual(configuration.Wait(now), wait)
            now = wait.until
        self.assertEqual(
            [
                configuration.FromPeer('b'),
                STORE,
                configuration.FromPeer('a'),
            ],
            sources,
        )

    def test_never_goes_back(self) -> None:
        self.assertTrue(self.tracker.accept(5))
        self.assertFalse(self.tracker.accept(4))
        self.assertFalse(self.tracker.accept(5))
        self.tracker.observe_store_version(4, 0.0)
        self.assertEqual(configuration.Wait(), self.tracker.next_step(0.0))

    def test_does_not_fetch_a_rejected_version(self) -> None:
        self.tracker.observe_store_version(2, 0.0)
        step = self.tracker.next_step(0.0)
        self.tracker.reject(2)
        self.tracker.end_fetch(step, 0.0)
        self.tracker.observe_peer_version('a', 2, 1.0)
        self.tracker.observe_store_version(2, 1.0)
        self.assertEqual(configuration.Wait(), self.tracker.next_step(99.0))
        self.tracker.observe_store_version(3, 99.0)
        self.assertIsInstance(
            self.tracker.next_step(99.0), configuration.Fetch
        )

    def test_is_stale_while_a_newer_version_cannot_be_fetched(self) -> None:
        """The newer version may have withdrawn a key; peers keep sending."""
        self.tracker.observe_peer_version('a', 3, 0.0)
        self.assertTrue(self.tracker.accept(3))
        self.tracker.observe_peer_version('a', 4, 5.0)
        self.tracker.observe_peer_version('b', 4, 5.9)
        self.assertFalse(self.tracker.is_stale(6.0))
        self.tracker.observe_peer_version('b', 5, 6.1)
        self.assertTrue(self.tracker.is_stale(6.1))
        self.assertTrue(self.tracker.accept(4))
        self.assertTrue(self.tracker.is_stale(6.1))
        self.assertTrue(self.tracker.accept(5))
        self.assertFalse(self.tracker.is_stale(6.1))

    def test_rejected_version_does_not_make_the_node_stale(self) -> None:
        self.tracker.observe_peer_version('a', 3, 0.0)
        self.assertTrue(self.tracker.accept(3))
        self.tracker.observe_peer_version('a', 4, 5.0)
        self.tracker.reject(4)
        self.tracker.observe_peer_version('a', 4, 7.0)
        self.assertFalse(self.tracker.is_stale(7.0))

    def test_is_stale_without_store_and_peers(self) -> None:
        self.assertTrue(self.tracker.is_stale(0.0))
        self.tracker.observe_store_version(0, 0.0)
        self.assertFalse(self.tracker.is_stale(10.0))
        self.assertTrue(self.tracker.is_stale(10.5))
        self.tracker.observe_peer_version('a', 0, 10.5)
        self.assertFalse(self.tracker.is_stale(20.5))
        self.assertTrue(self.tracker.is_stale(21.0))

    def test_the_fleet_shares_the_polls(self) -> None:
        for members in (1, 12, 1200):
            delay = self.tracker.choose_poll_delay(members, 0.5)
            self.assertLessEqual(members / delay, 200.0 + 1e-9)
        self.assertEqual(6.0, self.tracker.choose_poll_delay(1200, 0.5))

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(EVENTS)
    def test_the_version_never_decreases(
        self, events: list[tuple[str, int]]
    ) -> None:
        tracker = configuration.VersionTracker(SETTINGS)
        now = 0.0
        version = 0
        for source, value in events:
            now += 1.0
            if source == 'store':
                tracker.observe_store_version(value, now)
            elif source == 'fetched':
                step = tracker.next_step(now)
                tracker.accept(value)
                if isinstance(step, configuration.Fetch):
                    tracker.end_fetch(step, now)
            else:
                tracker.observe_peer_version(source, value, now)
            self.assertGreaterEqual(tracker.version, version)
            version = tracker.version
