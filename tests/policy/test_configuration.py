"""Tests of following the configuration."""

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


class FollowerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.follower = configuration.VersionTracker(SETTINGS)

    def test_fetches_from_the_peer_that_told_first(self) -> None:
        self.follower.observe_peer_version('a', 3, 0.0)
        step = self.follower.next_step(0.0)
        expected = configuration.Fetch(1, configuration.FromPeer('a'))
        self.assertEqual(expected, step)
        self.assertEqual(configuration.Wait(), self.follower.next_step(0.0))
        self.assertTrue(self.follower.accept(3))
        self.follower.end_fetch(step, 0.0)
        self.assertEqual(configuration.Wait(), self.follower.next_step(0.0))

    def test_fetches_from_the_store_that_told_first(self) -> None:
        self.follower.observe_store_version(3, 0.0)
        step = self.follower.next_step(0.0)
        self.assertEqual(configuration.Fetch(1, STORE), step)

    def test_takes_turns_when_a_fetch_fails(self) -> None:
        self.follower.observe_peer_version('a', 3, 0.0)
        self.follower.observe_peer_version('b', 3, 0.0)
        now = 0.0
        sources = []
        while now is not None:
            step = self.follower.next_step(now)
            sources.append(step.source)
            self.follower.end_fetch(step, now)
            wait = self.follower.next_step(now)
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
        self.assertTrue(self.follower.accept(5))
        self.assertFalse(self.follower.accept(4))
        self.assertFalse(self.follower.accept(5))
        self.follower.observe_store_version(4, 0.0)
        self.assertEqual(configuration.Wait(), self.follower.next_step(0.0))

    def test_does_not_fetch_what_it_cannot_read(self) -> None:
        self.follower.observe_store_version(2, 0.0)
        step = self.follower.next_step(0.0)
        self.follower.reject(2)
        self.follower.end_fetch(step, 0.0)
        self.follower.observe_peer_version('a', 2, 1.0)
        self.follower.observe_store_version(2, 1.0)
        self.assertEqual(configuration.Wait(), self.follower.next_step(99.0))
        self.follower.observe_store_version(3, 99.0)
        self.assertIsInstance(
            self.follower.next_step(99.0), configuration.Fetch
        )

    def test_is_stale_while_a_newer_version_cannot_be_fetched(self) -> None:
        """It may have withdrawn a key; peers are heard all the while."""
        self.follower.observe_peer_version('a', 3, 0.0)
        self.assertTrue(self.follower.accept(3))
        self.follower.observe_peer_version('a', 4, 5.0)
        self.follower.observe_peer_version('b', 4, 5.9)
        self.assertFalse(self.follower.is_stale(6.0))
        self.follower.observe_peer_version('b', 5, 6.1)
        self.assertTrue(self.follower.is_stale(6.1))
        self.assertTrue(self.follower.accept(4))
        self.assertTrue(self.follower.is_stale(6.1))
        self.assertTrue(self.follower.accept(5))
        self.assertFalse(self.follower.is_stale(6.1))

    def test_version_that_cannot_be_read_makes_nothing_stale(self) -> None:
        self.follower.observe_peer_version('a', 3, 0.0)
        self.assertTrue(self.follower.accept(3))
        self.follower.observe_peer_version('a', 4, 5.0)
        self.follower.reject(4)
        self.follower.observe_peer_version('a', 4, 7.0)
        self.assertFalse(self.follower.is_stale(7.0))

    def test_is_stale_without_store_and_peers(self) -> None:
        self.assertTrue(self.follower.is_stale(0.0))
        self.follower.observe_store_version(0, 0.0)
        self.assertFalse(self.follower.is_stale(10.0))
        self.assertTrue(self.follower.is_stale(10.5))
        self.follower.observe_peer_version('a', 0, 10.5)
        self.assertFalse(self.follower.is_stale(20.5))
        self.assertTrue(self.follower.is_stale(21.0))

    def test_the_fleet_shares_the_polls(self) -> None:
        for members in (1, 12, 1200):
            delay = self.follower.choose_poll_delay(members, 0.5)
            self.assertLessEqual(members / delay, 200.0 + 1e-9)
        self.assertEqual(6.0, self.follower.choose_poll_delay(1200, 0.5))

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(EVENTS)
    def test_the_version_never_decreases(
        self, events: list[tuple[str, int]]
    ) -> None:
        follower = configuration.VersionTracker(SETTINGS)
        now = 0.0
        version = 0
        for source, value in events:
            now += 1.0
            if source == 'store':
                follower.observe_store_version(value, now)
            elif source == 'fetched':
                step = follower.next_step(now)
                follower.accept(value)
                if isinstance(step, configuration.Fetch):
                    follower.end_fetch(step, now)
            else:
                follower.observe_peer_version(source, value, now)
            self.assertGreaterEqual(follower.version, version)
            version = follower.version
