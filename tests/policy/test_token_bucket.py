"""Tests of the token bucket of a client account."""

import collections
import random
import unittest

import hypothesis
from hypothesis import strategies

from eelgrasswalk.policy import token_bucket

BOOKING = 0
VIEW = 2


def take_one(
    bucket: token_bucket.TokenBucket,
    importance: int,
    now: float,
    *,
    rate: float,
    depth: float,
) -> bool:
    """Take a token for one call and return whether there was one."""
    wanted = [0] * token_bucket.LEVELS
    wanted[importance] = 1
    return bool(bucket.take(wanted, now, rate=rate, depth=depth).tokens)


class PeekTest(unittest.TestCase):
    def test_peeking_takes_nothing(self) -> None:
        """Guards against a question that costs an account tokens or refill."""
        bucket = token_bucket.TokenBucket(2.0, 0.0)
        for _ in range(3):
            self.assertEqual(4.0, bucket.peek(1.0, rate=2.0, depth=10.0))
        self.assertEqual(0.0, bucket.used_at)
        self.assertEqual(3.0, bucket.peek(9.0, rate=2.0, depth=3.0))
        # The smaller depth of the question above must not cut the tokens.
        self.assertEqual(4.0, bucket.peek(1.0, rate=2.0, depth=10.0))
        # A clock that is behind neither adds nor removes tokens.
        self.assertEqual(2.0, bucket.peek(-5.0, rate=2.0, depth=10.0))


class OverloadedAccountTest(unittest.TestCase):
    """An account of 100 calls a second sends bookings and views."""

    rate = 100.0

    def replay(
        self, *, bookings: float, views: float, depth: float = 100.0
    ) -> dict[int, float]:
        """Return the shares of calls admitted in the last four seconds.

        Args:
            bookings: Bookings sent per second.
            views: Views sent per second.
            depth: Depth of the bucket, in tokens.
        """
        source = random.Random(5)
        bucket = token_bucket.TokenBucket(0.0, 0.0)
        asked: collections.Counter[int] = collections.Counter()
        admitted: collections.Counter[int] = collections.Counter()
        now = 0.0
        while now < 6.0:
            now += source.expovariate(bookings + views)
            is_booking = source.random() < bookings / (bookings + views)
            importance = BOOKING if is_booking else VIEW
            is_admitted = take_one(
                bucket, importance, now, rate=self.rate, depth=depth
            )
            if now >= 2.0:
                asked[importance] += 1
                admitted[importance] += is_admitted
        return {key: admitted[key] / asked[key] for key in asked}

    def test_bookings_within_the_rate_are_admitted(self) -> None:
        admitted = self.replay(bookings=70.0, views=300.0)
        self.assertGreaterEqual(admitted[BOOKING], 0.95)
        self.assertGreaterEqual(admitted[VIEW], 0.8 * 30.0 / 300.0)

    def test_bookings_alone_exceed_the_rate(self) -> None:
        admitted = self.replay(bookings=250.0, views=550.0)
        self.assertGreaterEqual(admitted[BOOKING], 0.9 * 100.0 / 250.0)
        self.assertLessEqual(admitted[VIEW], 0.02)

    def test_account_within_its_rate_loses_nothing(self) -> None:
        admitted = self.replay(bookings=20.0, views=50.0)
        self.assertEqual({BOOKING: 1.0, VIEW: 1.0}, admitted)

    def test_views_are_admitted_with_a_small_burst(self) -> None:
        for depth in (1.0, 2.0, 5.0):
            with self.subTest(depth):
                admitted = self.replay(bookings=20.0, views=20.0, depth=depth)
                self.assertGreaterEqual(admitted[VIEW], 0.5)

    def test_rate_is_used_whatever_the_mix(self) -> None:
        for bookings, views in ((10.0, 400.0), (90.0, 90.0), (400.0, 10.0)):
            admitted = self.replay(bookings=bookings, views=views)
            used = bookings * admitted[BOOKING] + views * admitted[VIEW]
            self.assertGreaterEqual(used, 0.9 * self.rate)


class WaitTest(unittest.TestCase):
    def test_wait_covers_the_calls_refused_lately(self) -> None:
        bucket = token_bucket.TokenBucket(0.0, 0.0)
        waits = [
            bucket.take([1], 0.0, rate=50.0, depth=50.0).wait_s
            for _ in range(10)
        ]
        self.assertAlmostEqual(0.02, waits[0])
        self.assertAlmostEqual(0.2, waits[-1])

    def test_wait_is_bounded(self) -> None:
        bucket = token_bucket.TokenBucket(0.0, 0.0)
        grant = bucket.take([5000], 0.0, rate=50.0, depth=50.0)
        self.assertEqual(token_bucket.MAX_WAIT_S, grant.wait_s)

    def test_wait_is_short_again_after_the_overload(self) -> None:
        bucket = token_bucket.TokenBucket(0.0, 0.0)
        bucket.take([5000], 0.0, rate=50.0, depth=50.0)
        bucket.take([50], 10.0, rate=50.0, depth=50.0)
        grant = bucket.take([1], 10.0, rate=50.0, depth=50.0)
        self.assertLess(grant.wait_s, 0.05)


class BoundTest(unittest.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 1.0),
                strategies.lists(
                    strategies.integers(0, 30),
                    max_size=token_bucket.LEVELS,
                ),
            ),
            max_size=100,
        )
    )
    def test_no_window_exceeds_rate_and_burst(
        self, requests: list[tuple[float, list[int]]]
    ) -> None:
        bucket = token_bucket.TokenBucket(10.0, 0.0)
        now = 0.0
        granted: list[tuple[float, int]] = []
        for pause, wanted in requests:
            now += pause
            grant = bucket.take(wanted, now, rate=20.0, depth=10.0)
            self.assertLessEqual(grant.tokens, sum(wanted))
            granted.append((now, grant.tokens))
        for end, _ in granted:
            window = sum(n for at, n in granted if end - 5.0 <= at <= end)
            self.assertLessEqual(window, 20.0 * 5.0 + 10.0 + 1e-6)
