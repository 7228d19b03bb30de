"""Tests of new calls that are turned away while others starve."""

import unittest

from eelgrasswalk import verdict
from eelgrasswalk.policy import root_share

SETTINGS = root_share.ShareSettings()


class RootShareTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shares = root_share.RootShares(SETTINGS)
        self.route: str | None = 'browse'
        self.now = 0.0

    def pass_intervals(self, count: int, *, starving: int, calls: int) -> None:
        """Note so many of the target's calls in each interval."""
        for _ in range(count):
            for number in range(calls):
                self.shares.observe(self.route, number < starving, self.now)
            self.now += SETTINGS.interval_s

    def test_everything_is_begun_while_nothing_starves(self) -> None:
        self.pass_intervals(10, starving=0, calls=20)
        self.assertTrue(self.shares.admits('browse', 0.999, self.now))

    def test_single_starving_calls_turn_nobody_away(self) -> None:
        self.pass_intervals(10, starving=1, calls=20)
        self.assertTrue(self.shares.admits('browse', 0.999, self.now))

    def test_starving_calls_turn_roots_away(self) -> None:
        self.pass_intervals(10, starving=10, calls=20)
        self.assertFalse(self.shares.admits('browse', 0.5, self.now))
        self.assertTrue(self.shares.admits('browse', 0.01, self.now))
        self.assertGreater(self.shares.measure_starving('browse'), 0.4)

    def test_some_roots_always_tell_whether_calls_get_through(self) -> None:
        self.pass_intervals(100, starving=20, calls=20)
        self.assertEqual(
            SETTINGS.least_share, self.shares.compute_share('browse', self.now)
        )

    def test_share_is_whole_again_within_four_seconds(self) -> None:
        self.pass_intervals(100, starving=20, calls=20)
        self.pass_intervals(16, starving=0, calls=20)
        self.assertEqual(1.0, self.shares.compute_share('browse', self.now))

    def test_share_grows_again_when_no_call_is_made(self) -> None:
        self.pass_intervals(100, starving=20, calls=20)
        for _ in range(20):
            self.now += SETTINGS.interval_s
            self.shares.admits('browse', 0.999, self.now)
        self.assertEqual(1.0, self.shares.compute_share('browse', self.now))

    def test_few_calls_do_not_judge(self) -> None:
        self.pass_intervals(10, starving=2, calls=2)
        self.assertEqual(1.0, self.shares.compute_share('browse', self.now))

    def test_routes_that_make_no_such_calls_lose_nothing(self) -> None:
        self.pass_intervals(10, starving=20, calls=20)
        self.assertTrue(self.shares.admits('book', 0.999, self.now))

    def test_calls_of_an_unknown_route_count_for_all(self) -> None:
        self.route = None
        self.pass_intervals(10, starving=20, calls=20)
        self.assertFalse(self.shares.admits('book', 0.999, self.now))

    def test_late_calls_of_requests_that_have_ended_count_for_none(
        self,
    ) -> None:
        self.pass_intervals(1, starving=0, calls=20)
        self.route = None
        self.pass_intervals(10, starving=20, calls=20)
        self.assertTrue(self.shares.admits('book', 0.999, self.now))


class HasStarvedTest(unittest.TestCase):
    def test_refusal_for_want_of_room(self) -> None:
        refusal = verdict.NotRun(verdict.Reason.OVERLOAD)
        self.assertTrue(root_share.has_starved(refusal, 0.0))

    def test_no_answer_in_time(self) -> None:
        doubt = verdict.MayHaveRun(verdict.Reason.DEADLINE)
        self.assertTrue(root_share.has_starved(doubt, 0.0))

    def test_lost_target_is_no_want_of_room(self) -> None:
        doubt = verdict.MayHaveRun(verdict.Reason.TARGET_LOST)
        self.assertFalse(root_share.has_starved(doubt, 1.0))

    def test_failure_counts_where_calls_further_down_starve(self) -> None:
        failed = verdict.Answered(verdict.Response(500, (), b''))
        self.assertTrue(root_share.has_starved(failed, 0.2))
        self.assertFalse(root_share.has_starved(failed, 0.0))

    def test_answer_never_counts(self) -> None:
        answered = verdict.Answered(verdict.Response(200, (), b''))
        self.assertFalse(root_share.has_starved(answered, 1.0))
