"""Links that go silent for good while new ones work."""

import collections
import concurrent.futures
import itertools
import typing
import unittest

import httpx

from eelgrasswalk.bench import mesh
from tests.integration import setups

CALLS = 6
DIRECTIONS = ('forward', 'backward', 'both')


class SilenceTest(unittest.TestCase):
    """Bookings through a proxy that swallows bytes on open links."""

    @classmethod
    def setUpClass(cls) -> None:
        running = cls.enterClassContext(mesh.Mesh())
        cls.setup = setups.start_chain(
            running,
            ['front', 'back'],
            route_options={'idempotent': False},
        )
        cls.control = cls.enterClassContext(
            httpx.Client(base_url=cls.put_proxy_between(running))
        )
        cls.numbers = itertools.count()
        cls.ledger = cls.enterClassContext(
            httpx.Client(base_url=f'http://{cls.setup.targets[1]}')
        )
        entry = cls.setup.nodes[0].ready['callers']
        cls.client = cls.enterClassContext(
            httpx.Client(
                base_url=f'http://{entry}',
                headers={'x-api-key': setups.KEY},
                timeout=20,
            )
        )

    @classmethod
    def put_proxy_between(cls, running: mesh.Mesh) -> str:
        """Lead the entry's links through a proxy; return its control."""
        members = cls.setup.settings[0]['members']
        proxy = running.start_standin('faults', '--tcp', members[1]['links'])
        (address,) = proxy.ready['addresses']
        cls.setup.settings[0]['members'] = [
            members[0],
            {**members[1], 'links': address},
        ]
        cls.setup.nodes[0].stop()
        cls.setup.restart(0)
        return f'http://{proxy.ready["control"]}'

    def book(self, booking: str) -> httpx.Response:
        return self.client.post(
            '/back/book?ms=600', headers={'booking': booking}
        )

    def read_ledger(self) -> list[dict[str, typing.Any]]:
        return self.ledger.get('/_standin/ledger').json()

    def wait_for_runs(self, count: int) -> None:
        while len(self.read_ledger()) < count:
            pass

    def silence(self, direction: str) -> None:
        answer = self.control.post(
            '/routes/0/silence', json={'direction': direction}
        )
        answer.raise_for_status()

    def book_while_silenced(
        self, pool: concurrent.futures.Executor, direction: str
    ) -> dict[str, httpx.Response]:
        """Silence the link when all bookings run at the target."""
        known = len(self.read_ledger())
        calls = {
            f'{direction}-{number}': pool.submit(
                self.book, f'{direction}-{number}'
            )
            for number in range(CALLS)
        }
        self.wait_for_runs(known + CALLS)
        self.silence(direction)
        return {name: call.result() for name, call in calls.items()}

    def count_runs(self) -> collections.Counter[str]:
        return collections.Counter(
            entry['booking'] for entry in self.read_ledger()
        )

    def test_calls_are_resolved_and_none_runs_twice(self) -> None:
        answers: dict[str, httpx.Response] = {}
        with concurrent.futures.ThreadPoolExecutor(CALLS) as pool:
            for direction in DIRECTIONS:
                answers[f'before {direction}'] = self.open_link()
                answers |= self.book_while_silenced(pool, direction)
        runs = self.count_runs()
        for name, answer in answers.items():
            self.assertEqual('200', setups.name_outcome(answer), name)
            self.assertEqual(1, runs[answer.json()['booking']], name)

    def test_a_refusal_on_a_silent_link_is_true(self) -> None:
        self.open_link()
        self.silence('forward')
        answer = self.book('refused')
        runs = self.count_runs()
        if answer.headers.get('eelgrasswalk-verdict') == 'not-run':
            self.assertEqual(0, runs['refused'], answer.text)
        else:
            self.assertEqual('200', setups.name_outcome(answer))
            self.assertEqual(1, runs['refused'])

    def open_link(self) -> httpx.Response:
        """Book until a link that works has been opened."""
        while True:
            answer = self.book(f'open-{next(self.numbers)}')
            if answer.status_code == httpx.codes.OK:
                return answer
