"""A call tree six calls deep, with retries bounded over the whole tree."""

import unittest
import urllib.parse

import httpx

from eelgrasswalk.bench import mesh
from tests.integration import setups

SERVICES = ('a', 'b', 'c', 'd', 'e', 'f')


def nest_calls(services: tuple[str, ...], leaf: str = '') -> str:
    """Return a path whose target calls the next service, and so on."""
    path = f'/{services[0]}/item'
    if len(services) == 1:
        return path + leaf
    child = nest_calls(services[1:], leaf)
    return f'{path}?child={urllib.parse.quote(child, safe="")}'


class DepthTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.mesh = cls.enterClassContext(mesh.Mesh())
        cls.setup = setups.start_chain(cls.mesh, SERVICES)
        entry = cls.setup.nodes[0].ready['callers']
        cls.client = cls.enterClassContext(
            httpx.Client(
                base_url=f'http://{entry}',
                headers={'x-api-key': setups.KEY},
                timeout=20,
            )
        )

    def setUp(self) -> None:
        for target in self.setup.targets:
            httpx.post(f'http://{target}/_standin/ledger')
            self.behave(target)

    def behave(self, target: str, **switches: float) -> None:
        """Give a target its usual behaviour but for some switches."""
        httpx.post(
            f'http://{target}/_standin/behave',
            json={'drop_ratio': 0.0, **switches},
        ).raise_for_status()

    def count_runs(self, target: str) -> int:
        runs = httpx.get(f'http://{target}/_standin/ledger').json()
        return len(runs)

    def test_six_calls_deep_runs_each_once(self) -> None:
        answer = self.client.get(nest_calls(SERVICES))
        self.assertEqual(200, answer.status_code, answer.text)
        counts = [self.count_runs(item) for item in self.setup.targets]
        self.assertEqual([1] * len(SERVICES), counts)

    def test_retries_do_not_multiply_when_the_leaf_fails(self) -> None:
        self.behave(self.setup.targets[-1], drop_ratio=1.0)
        answer = self.client.get(nest_calls(SERVICES))
        self.assertNotEqual(200, answer.status_code)
        extra = sum(self.count_runs(item) - 1 for item in self.setup.targets)
        self.assertLessEqual(extra, 2)

    def test_call_with_ended_context_is_refused(self) -> None:
        calls = self.setup.nodes[0].ready['target_calls']
        answer = httpx.get(
            f'http://{calls}/b/item',
            headers={'eelgrasswalk-context': 'ended'},
        )
        self.assertEqual(401, answer.status_code)
        self.assertEqual('not-run', answer.headers['eelgrasswalk-verdict'])

    def test_call_without_context_or_key_is_refused(self) -> None:
        calls = self.setup.nodes[0].ready['target_calls']
        answer = httpx.get(f'http://{calls}/b/item')
        self.assertEqual(401, answer.status_code)
