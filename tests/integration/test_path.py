"""One call through two nodes, as separate processes."""

import unittest

import httpx

from eelgrasswalk.bench import mesh
from tests.integration import setups


class PathTest(unittest.TestCase):
    """A caller's entry node, the upstream's node, and its target."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.mesh = cls.enterClassContext(mesh.Mesh())
        setup = setups.start_pair(cls.mesh, per_service=1)
        cls.targets = setup.targets
        cls.nodes = setup.nodes
        cls.client = cls.enterClassContext(
            httpx.Client(
                base_url=f'http://{cls.nodes[0].ready["callers"]}',
                headers={'x-api-key': setups.KEY},
                timeout=20,
            )
        )

    def test_call_through_two_nodes_is_answered(self) -> None:
        answer = self.client.get('/back/item')
        self.assertEqual(200, answer.status_code)
        self.assertEqual(self.targets[1], answer.json()['target'])

    def test_large_answer_arrives_whole(self) -> None:
        answer = self.client.get('/back/item?bytes=5000000')
        self.assertEqual(5_000_000, len(answer.content))

    def test_large_request_arrives_whole(self) -> None:
        answer = self.client.post('/back/item', content=b'x' * 900_000)
        self.assertEqual(200, answer.status_code)

    def test_missing_key_is_refused(self) -> None:
        answer = httpx.get(self.client.base_url.join('/back/item'))
        self.assertEqual(401, answer.status_code)
        self.assertEqual('not-run', answer.headers['eelgrasswalk-verdict'])

    def test_unknown_key_is_refused(self) -> None:
        answer = self.client.get('/back/item', headers={'x-api-key': 'no'})
        self.assertEqual(403, answer.status_code)

    def test_path_that_targets_may_normalise_is_refused(self) -> None:
        answer = self.client.get('/back/%2e%2e/front')
        self.assertEqual(400, answer.status_code)

    def test_target_sees_neither_key_nor_forged_headers(self) -> None:
        httpx.post(f'http://{self.targets[1]}/_standin/ledger')
        self.client.get(
            '/back/item',
            headers={'x-request-id': 'seen', 'eelgrasswalk-context': 'forged'},
        )
        ledger = httpx.get(f'http://{self.targets[1]}/_standin/ledger')
        self.assertIn('seen', ledger.text)
        self.assertNotIn(setups.KEY, ledger.text)
        runs = ledger.json()
        self.assertFalse(any(run['has_key'] for run in runs), runs)
