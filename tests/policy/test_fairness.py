"""Tests of the max-min fair ranking of roots."""

import random
import unittest

from eelgrasswalk.policy import fairness


class FairRankTest(unittest.TestCase):
    def collect(self, rates: dict[str, int]) -> dict[str, list[float]]:
        fair = fairness.FairRank()
        rng = random.Random(7)
        ranks: dict[str, list[float]] = {name: [] for name in rates}
        for step in range(2000):
            now = step * 0.01
            for account, rate in rates.items():
                for _ in range(rate):
                    rank = fair.rank(account, rng.random(), now)
                    if now > 10.0:
                        ranks[account].append(rank)
        return ranks

    def test_only_the_account_above_its_share_is_cut(self) -> None:
        ranks = self.collect({'small': 1, 'middle': 2, 'big': 9})
        # Half of 12 is 6: 1, 2 and 3 under max-min fairness.
        kept = {
            account: sum(rank < 0.5 for rank in found) / len(found)
            for account, found in ranks.items()
        }
        self.assertGreater(kept['small'], 0.98)
        self.assertGreater(kept['middle'], 0.98)
        self.assertAlmostEqual(kept['big'], 1 / 3, delta=0.05)

    def test_single_account_keeps_its_hash(self) -> None:
        fair = fairness.FairRank()
        self.assertEqual(fair.rank('a', 0.25, 0.0), 0.25)
        self.assertEqual(fair.rank('a', 0.75, 1.0), 0.75)
