"""Replays crowds of clients against the choice of what to close."""

import dataclasses
import unittest

from eelgrasswalk.policy import client_load

LIMIT_BYTES = 12_000_000
STEP_S = 0.05
STEPS = 200
ARRIVALS = 20
# What an ordinary client holds, and for how long.
ORDINARY_BYTES = 12_000
ORDINARY_S = 0.2


@dataclasses.dataclass(slots=True)
class Client:
    """A connection in the replay.

    Args:
        began_at: When its message began.
        held_bytes: What it holds.
        growth_bytes: What it adds in each step.
        is_ordinary: Whether it ends by itself.
    """

    began_at: float
    held_bytes: int
    growth_bytes: int = 0
    is_ordinary: bool = False


# What a client of a crowd holds at first, and what it adds in each step.
CROWDS = {
    'unfinished heads': (client_load.compute_head_cost(2_000, 240), 0),
    'bodies half sent': (500_000, 0),
    'bodies that trickle in': (10_000, 1_000),
    'unread answers': (131_072, 0),
    'idle': (client_load.CONNECTION_BYTES, 0),
}


class ReplayTest(unittest.TestCase):
    """Guards against crowds that fill the memory or displace others."""

    def replay(self, first: int, growth: int) -> tuple[int, int]:
        """Run a crowd and ordinary clients; return closed ones and peak."""
        clients: dict[int, Client] = {}
        closed_ordinary = peak = number = 0
        for step in range(STEPS):
            now = step * STEP_S
            for key, client in list(clients.items()):
                client.held_bytes += client.growth_bytes
                if client.is_ordinary and now - client.began_at > ORDINARY_S:
                    del clients[key]
            for _ in range(ARRIVALS):
                clients[number] = Client(now, first, growth)
                number += 1
            clients[number] = Client(now, ORDINARY_BYTES, is_ordinary=True)
            number += 1
            used = sum(each.held_bytes for each in clients.values())
            chosen = client_load.choose_closed(
                [
                    client_load.Holding(
                        key, each.held_bytes, now - each.began_at
                    )
                    for key, each in clients.items()
                ],
                excess_bytes=client_load.compute_excess(used, LIMIT_BYTES),
            )
            for key in chosen:
                closed_ordinary += clients.pop(key).is_ordinary
            used = sum(each.held_bytes for each in clients.values())
            peak = max(peak, used)
        return closed_ordinary, peak

    def test_crowds_are_closed_and_ordinary_clients_are_not(self) -> None:
        for name, (first, growth) in CROWDS.items():
            with self.subTest(name):
                closed_ordinary, peak = self.replay(first, growth)
                self.assertEqual(0, closed_ordinary)
                self.assertLessEqual(peak, LIMIT_BYTES)


class ChoiceTest(unittest.TestCase):
    def test_bytes_and_time_both_count(self) -> None:
        holdings = [
            client_load.Holding('idle', 6_000, 60.0),
            client_load.Holding('small and old', 20_000, 3.0),
            client_load.Holding('large and old', 100_000, 3.0),
            client_load.Holding('large and new', 100_000, 0.1),
            client_load.Holding('ordinary', 12_000, 0.1),
        ]
        self.assertEqual(
            [
                'large and old',
                'small and old',
                'large and new',
                'idle',
                'ordinary',
            ],
            client_load.choose_closed(holdings, excess_connections=5),
        )

    def test_closes_no_more_than_needed(self) -> None:
        holdings = [
            client_load.Holding(key, 1_000, float(key)) for key in range(5)
        ]
        self.assertEqual([], client_load.choose_closed(holdings))
        self.assertEqual(
            [4, 3], client_load.choose_closed(holdings, excess_bytes=1_500)
        )

    def test_excess_is_counted_from_the_limit_on(self) -> None:
        self.assertEqual(0, client_load.compute_excess(1_000, 1_000))
        self.assertEqual(101, client_load.compute_excess(1_001, 1_000))

    def test_small_requests_get_what_large_ones_may_not(self) -> None:
        bounds = client_load.Bounds(held_bytes=1_000_000, connections=100)

        def admits(cost: int, used: int, connections: int = 50) -> bool:
            return client_load.admits_request(
                cost, used=used, connections=connections, bounds=bounds
            )

        self.assertTrue(admits(50_000, 700_000))
        self.assertFalse(admits(50_000, 740_000))
        self.assertTrue(admits(5_000, 900_000))
        self.assertFalse(admits(5_000, 999_000))
        # A few connections are no crowd.
        self.assertTrue(admits(50_000, 2_000_000, connections=2))
