"""Tests of the order of responses on one connection."""

import itertools
import typing
import unittest

from eelgrasswalk import verdict
from eelgrasswalk.transport import message
from eelgrasswalk.transport import response_order

SMALL = verdict.Response(200, (), b'small')
LARGE = verdict.Response(200, (), bytes(response_order.MAX_HELD_BYTES + 1))
FAILED = verdict.Response(502, (), b'failed')


def make_exchange(
    name: str, *, keep_alive: bool = True, length: int = 0
) -> response_order.Exchange:
    """Return an exchange; a name in upper case may not overlap."""
    request = message.Request('GET', name, (), b'')
    return response_order.Exchange(
        request, keep_alive=keep_alive, length=length
    )


def make_refusal() -> response_order.Exchange:
    return response_order.Exchange(None, keep_alive=False, response=FAILED)


class Replay:
    """A connection without I/O: starts, runs and writes at once."""

    def __init__(self) -> None:
        self.asked: list[str] = []
        self.order = response_order.ResponseOrder(self._may_overlap)
        self.names: dict[response_order.Exchange, str] = {}
        self.started: list[str] = []
        self.written: list[str] = []
        self.running: dict[str, response_order.Exchange] = {}
        self.most_running: list[set[str]] = []
        self.is_closed = False

    def _may_overlap(self, request: message.Request) -> bool:
        self.asked.append(request.target)
        return request.target.islower()

    def add(self, name: str, **options: typing.Any) -> None:
        exchange = make_exchange(name, **options)
        self.names[exchange] = name
        if self.order.add(exchange):
            self._note_start(exchange)
        self._start()

    def refuse(self) -> None:
        exchange = make_refusal()
        self.names[exchange] = 'refusal'
        self.order.add(exchange)
        self._write()

    def _start(self) -> None:
        while (exchange := self.order.start_next()) is not None:
            self._note_start(exchange)

    def _note_start(self, exchange: response_order.Exchange) -> None:
        if exchange.response is None:
            name = self.names[exchange]
            self.started.append(name)
            self.running[name] = exchange
            self.most_running.append(set(self.running))

    def respond(self, name: str, response: verdict.Response = SMALL) -> None:
        self.order.respond(self.running.pop(name), response)
        self._write()

    def _write(self) -> None:
        while not self.is_closed:
            exchange = self.order.find_ready()
            if exchange is None:
                return
            self.written.append(self.names[exchange])
            is_last = self.order.is_last(exchange)
            has_more = self.order.end_first()
            self.is_closed = is_last or (
                self.order.is_stopped and not has_more
            )
            self._start()


class CompletionOrderTest(unittest.TestCase):
    def test_responses_keep_the_order_whatever_ends_first(self) -> None:
        for responses in ((SMALL,), (SMALL, FAILED), (LARGE, SMALL)):
            for ends in itertools.permutations('abcde'):
                with self.subTest(ends=ends, kinds=len(responses)):
                    replay = Replay()
                    for name in 'abcde':
                        replay.add(name)
                    self.assertEqual(list('abcde'), replay.started)
                    kinds = itertools.cycle(responses)
                    for name in ends:
                        replay.respond(name, next(kinds))
                    self.assertEqual(list('abcde'), replay.written)
                    self.assertTrue(replay.order.is_empty)
                    self.assertEqual(0, replay.order.held_bytes)

    def test_unsafe_requests_run_alone(self) -> None:
        """Every mix of five requests, ended in every possible order."""
        for mix in itertools.product((str.lower, str.upper), repeat=5):
            names = [
                case(name) for case, name in zip(mix, 'abcde', strict=True)
            ]
            for ends in itertools.permutations(range(5)):
                replay = Replay()
                for name in names:
                    replay.add(name)
                while replay.running:
                    rank = {names[at]: ends[at] for at in range(5)}
                    replay.respond(min(replay.running, key=rank.__getitem__))
                self.assertEqual(names, replay.written)
                self.assertEqual(names, replay.started)
                for running in replay.most_running:
                    if len(running) > 1:
                        self.assertTrue(''.join(running).islower(), running)

    def test_unsafe_request_starts_after_those_before_are_written(
        self,
    ) -> None:
        replay = Replay()
        for name in ('a', 'b', 'C', 'd'):
            replay.add(name)
        replay.respond('b')
        self.assertEqual(['a', 'b'], replay.started)
        replay.respond('a')
        self.assertEqual(['a', 'b', 'C'], replay.started)
        replay.respond('C')
        self.assertEqual(['a', 'b', 'C', 'd'], replay.started)

    def test_single_requests_are_not_asked_about(self) -> None:
        replay = Replay()
        for name in 'ABC':
            replay.add(name)
            replay.respond(name)
        self.assertEqual([], replay.asked)

    def test_unsafe_request_blocks_while_its_response_is_written(self) -> None:
        """A long response is written in parts after it is known."""
        order = response_order.ResponseOrder(
            lambda request: request.target.islower()
        )
        first, second = make_exchange('A'), make_exchange('b')
        order.add(first)
        order.respond(first, LARGE)
        order.add(second)
        self.assertIsNone(order.start_next())
        order.end_first()
        self.assertIs(second, order.start_next())


class CloseTest(unittest.TestCase):
    def test_stop_moves_the_close_to_the_last_started(self) -> None:
        """For every order of ends and every moment of the stop."""
        names = ['a', 'b', 'c', 'D', 'e']
        for ends in itertools.permutations('abc'):
            for moment in range(4):
                with self.subTest(ends=ends, moment=moment):
                    replay = Replay()
                    for name in names:
                        replay.add(name)
                    for at, name in enumerate(ends):
                        if at == moment:
                            replay.order.stop()
                        replay.respond(name)
                    if moment == 3:
                        replay.order.stop()
                        replay.respond('D')
                    replay.add('late')
                    started = names[: 4 if moment == 3 else 3]
                    self.assertEqual(started, replay.started)
                    self.assertEqual(started, replay.written)
                    self.assertTrue(replay.is_closed)
                    self.assertTrue(replay.order.is_empty)

    def test_request_that_closes_is_the_last(self) -> None:
        for ends in itertools.permutations('abc'):
            replay = Replay()
            replay.add('a')
            replay.add('b')
            replay.add('c', keep_alive=False)
            for name in ends:
                replay.respond(name)
            self.assertEqual(list('abc'), replay.written)
            self.assertTrue(replay.is_closed)

    def test_refusal_comes_after_all_requests_before_it(self) -> None:
        for ends in itertools.permutations('ab'):
            replay = Replay()
            for name in ('a', 'b', 'C'):
                replay.add(name)
            replay.refuse()
            for name in ends:
                replay.respond(name)
            self.assertEqual(['a', 'b'], replay.written)
            replay.respond('C')
            self.assertEqual(['a', 'b', 'C', 'refusal'], replay.written)
            self.assertTrue(replay.is_closed)

    def test_refusal_alone_is_ready_at_once(self) -> None:
        replay = Replay()
        replay.refuse()
        self.assertEqual(['refusal'], replay.written)


class LimitTest(unittest.TestCase):
    def test_number_in_progress_is_bounded(self) -> None:
        replay = Replay()
        names = [f'r{number}' for number in range(200)]
        most = response_order.MAX_IN_PROGRESS
        for at, name in enumerate(names):
            replay.add(name)
            self.assertEqual(at + 1 > most, replay.order.must_pause)
        self.assertEqual(names[:most], replay.started)
        # All but the first have ended, and still none may join.
        for name in names[1:most]:
            replay.respond(name)
        self.assertEqual(names[:most], replay.started)
        replay.respond(names[0])
        self.assertEqual(names[: 2 * most], replay.started)

    def test_held_bytes_are_bounded(self) -> None:
        replay = Replay()
        replay.add('a')
        replay.add('b')
        replay.respond('b', LARGE)
        self.assertFalse(replay.order.must_pause)
        replay.add('c')
        self.assertTrue(replay.order.must_pause)
        self.assertEqual(['a', 'b'], replay.started)
        replay.respond('a')
        self.assertFalse(replay.order.must_pause)
        self.assertEqual(['a', 'b', 'c'], replay.started)

    def test_bytes_of_waiting_requests_are_bounded(self) -> None:
        replay = Replay()
        replay.add('A', length=response_order.MAX_WAITING_BYTES + 1)
        self.assertFalse(replay.order.must_pause)
        replay.add('B', length=response_order.MAX_WAITING_BYTES)
        self.assertFalse(replay.order.must_pause)
        replay.add('C', length=1)
        self.assertTrue(replay.order.must_pause)
        replay.respond('A')
        self.assertFalse(replay.order.must_pause)

    def test_requests_are_dropped_when_they_are_not_needed(self) -> None:
        """Held responses would else keep the bodies of their requests."""
        order = response_order.ResponseOrder(lambda request: True)
        exchanges = [make_exchange(name) for name in 'ab']
        for exchange in exchanges:
            order.add(exchange)
        order.start_next()
        self.assertFalse(order.respond(exchanges[1], SMALL))
        self.assertIsNone(exchanges[1].request)
        self.assertEqual([exchanges[0]], order.list_running())
