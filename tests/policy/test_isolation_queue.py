"""Tests of the order in which suspects run at a target after a crash."""

import unittest

from eelgrasswalk.policy import isolation_queue


class IsolationQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.prime: set[bytes] = set()
        self.queue = isolation_queue.IsolationQueue(
            lambda digest: digest in self.prime
        )

    def enter(self, *digests: bytes) -> list[isolation_queue.Ticket]:
        return [self.queue.enter(digest) for digest in digests]

    def start(self) -> list[bytes]:
        return [ticket.digest for ticket in self.queue.start()]

    def test_few_suspects_run_one_after_the_other(self) -> None:
        first, second, _ = self.enter(b'a', b'b', b'c')
        self.assertEqual([b'a'], self.start())
        self.queue.leave(first)
        self.assertEqual([b'b'], self.start())
        self.queue.leave(second)
        self.assertEqual([b'c'], self.start())

    def test_many_suspects_pass_in_a_few_rounds(self) -> None:
        """A crash under full load ends a hundred innocent requests."""
        tickets = self.enter(*(b'%d' % number for number in range(90)))
        rounds = 0
        while tickets:
            started = self.queue.start()
            rounds += 1
            for ticket in started:
                self.queue.leave(ticket)
            tickets = [each for each in tickets if each not in started]
        self.assertEqual(isolation_queue.ROUNDS, rounds)

    def test_repetitions_wait_for_the_run(self) -> None:
        first, _ = self.enter(b'a', b'a')
        self.assertEqual([b'a'], self.start())
        self.assertEqual([], self.start())
        self.queue.leave(first)
        self.assertEqual([b'a'], self.start())

    def test_prime_suspect_goes_first_and_alone(self) -> None:
        self.prime.add(b'prime')
        self.enter(*(b'%d' % number for number in range(8)))
        (prime,) = self.enter(b'prime')
        self.assertEqual([b'prime'], self.start())
        self.assertEqual([], self.start())
        self.queue.leave(prime)
        self.assertEqual([b'0', b'1', b'2'], self.start())

    def test_prime_suspect_waits_for_those_that_run(self) -> None:
        (first,) = self.enter(b'a')
        self.start()
        self.prime.add(b'prime')
        self.enter(b'prime', b'b')
        self.assertEqual([], self.start())
        self.queue.leave(first)
        self.assertEqual([b'prime'], self.start())

    def test_nothing_starts_beside_one_that_ran_before(self) -> None:
        """It ran at another target when it became a suspect."""
        ticket = self.queue.adopt(b'a')
        assert ticket is not None
        self.assertIsNone(self.queue.adopt(b'a'))
        self.enter(b'a', b'b')
        self.assertEqual([], self.start())
        self.queue.leave(ticket)
        self.assertEqual([b'a'], self.start())

    def test_many_suspects_wait_for_one_that_ran_before(self) -> None:
        ticket = self.queue.adopt(b'a')
        assert ticket is not None
        self.enter(*(b'%d' % number for number in range(30)))
        self.assertEqual([], self.start())
        self.queue.leave(ticket)
        self.assertGreater(len(self.start()), 1)

    def test_one_that_has_left_does_not_start(self) -> None:
        first, second = self.enter(b'a', b'b')
        self.queue.leave(first)
        self.assertEqual([second], self.queue.start())
        self.assertEqual([], self.queue.list_waiting())
