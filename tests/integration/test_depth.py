"""A call tree six calls deep, with retries bounded over the whole tree."""

import unittest
import urllib.parse

import httpx

from eelgrasswalk.bench import mesh
from tests.integration import setups

# The default of a route.
ALLOWANCE = 2
SERVICES = ('a', 'b', 'c', 'd', 'e', 'f')


def nest_calls(services: tuple[str, ...], leaf: str = '') -> str:
    """Return a path whose target calls the next service, and so on."""
    path = f'/{services[0]}/item'
    if len(services) == 1:
        return path + leaf
    child = nest_calls(services[1:], leaf)
    return f'{path}?child={urllib.parse.quote(child, safe="")}'


class ChainTest(unittest.TestCase):
    """A chain of services whose targets call the next one."""

    services: tuple[str, ...] = ()

    @classmethod
    def setUpClass(cls) -> None:
        cls.mesh = cls.enterClassContext(mesh.Mesh())
        cls.setup = setups.start_chain(cls.mesh, cls.services)
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


class DepthTest(ChainTest):
    services = SERVICES

    def test_six_calls_deep_runs_each_once(self) -> None:
        answer = self.client.get(nest_calls(SERVICES))
        self.assertEqual(200, answer.status_code, answer.text)
        counts = [self.count_runs(item) for item in self.setup.targets]
        self.assertEqual([1] * len(SERVICES), counts)

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


class RetryTest(ChainTest):
    """Four upstreams for the leaf: room for more retries than allowed."""

    services = ('a', 'b', 'c', 'c', 'c', 'c')

    def test_retries_do_not_multiply_when_the_leaf_fails(self) -> None:
        for target in self.setup.targets[2:]:
            self.behave(target, drop_ratio=1.0)
        answer = self.client.get(nest_calls(('a', 'b', 'c')))
        self.assertNotEqual(200, answer.status_code)
        runs = sum(self.count_runs(item) for item in self.setup.targets)
        self.assertLessEqual(runs - 3, ALLOWANCE)
