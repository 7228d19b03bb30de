"""Keys, configuration and leaving targets, with real processes."""

import contextlib
import time
import unittest

import httpx

from eelgrasswalk.bench import faulty
from tests.integration import meshes
from tests.integration import setups

WITHIN_S = 10.0


class MeshTest(unittest.TestCase):
    """Two services on two nodes each."""

    def setUp(self) -> None:
        stack = self.enterContext(contextlib.ExitStack())
        services = ('front', 'front', 'back', 'back')
        self.mesh = faulty.start_mesh(stack, services)
        self.mesh.apply(meshes.build_document(services))
        self.client = stack.enter_context(
            httpx.Client(headers={'x-api-key': setups.KEY}, timeout=20)
        )
        self.wait_for(lambda: self.call(0) == 200, 'quotas are not owned')

    def call(self, node: int, path: str = '/back/item') -> int:
        address = self.mesh.nodes[node].ready['callers']
        return self.client.get(f'http://{address}{path}').status_code

    def wait_for(self, check: object, message: str) -> None:
        """Poll a check until it holds; fail far beyond its bound."""
        end = time.monotonic() + WITHIN_S
        while not check():  # type: ignore[operator]
            self.assertLess(time.monotonic(), end, message)
            time.sleep(0.02)

    def test_withdrawn_key_stops_for_callers_that_stay_connected(
        self,
    ) -> None:
        """A key that is withdrawn stops on every node, and on no other."""
        nodes = range(len(self.mesh.nodes))
        self.assertEqual([200] * 4, [self.call(node) for node in nodes])
        self.mesh.run_operator(
            'key', 'withdraw', setups.ACCOUNT, 'test', '--yes', '--wait'
        )
        self.assertEqual([403] * 4, [self.call(node) for node in nodes])

    def test_withdrawn_key_stays_withdrawn_after_restarts(self) -> None:
        """An accepted configuration never reverts, also without the store."""
        self.mesh.run_operator(
            'key', 'withdraw', setups.ACCOUNT, 'test', '--yes', '--wait'
        )
        self.mesh.behave_platform(down=True)
        for index in (0, 3):
            self.mesh.nodes[index].kill()
            self.mesh.restart(index)
            self.wait_for_refusal(index)
            status = self.mesh.read_status(index)
            self.assertEqual(2, status['config_version'])

    def wait_for_refusal(self, index: int) -> None:
        """Wait for 403; a node that knows no version yet answers 503."""
        statuses = set()

        def is_refused() -> bool:
            statuses.add(self.call(index))
            return 403 in statuses

        self.wait_for(is_refused, f'the node has answered {statuses}')
        self.assertLessEqual(statuses, {403, 503})

    def test_node_alone_without_store_refuses_keys(self) -> None:
        """A node that starts and hears nobody runs no keyed request."""
        self.mesh.behave_platform(down=True)
        for node in self.mesh.nodes:
            node.kill()
        self.mesh.restart(1)
        address = self.mesh.nodes[1].ready['callers']
        answer = self.client.get(f'http://{address}/front/item')
        self.assertEqual(503, answer.status_code)
        self.assertEqual('not-run', answer.headers['eelgrasswalk-verdict'])
        self.assertEqual([], self.mesh.read_ledger(1))

    def test_leaving_target_gets_no_new_work(self) -> None:
        """Once a node has announced its stop, its target gets no call."""
        leaving = self.mesh.nodes[3].ready['admin']
        httpx.post(f'http://{leaving}/_eelgrasswalk/drain')
        self.wait_for(
            lambda: all(
                self.find_state(node, 'back-3') != 'ready' for node in (0, 1)
            ),
            'the others have not heard of the leaving node',
        )
        before = len(self.mesh.read_ledger(3))
        statuses = {self.call(node) for node in (0, 1) * 20}
        self.assertEqual({200}, statuses)
        self.assertEqual(before, len(self.mesh.read_ledger(3)))
        self.assertEqual(0, self.mesh.nodes[3].stop())

    def find_state(self, node: int, wanted: str) -> str:
        for member in self.mesh.read_status(node)['members']:
            if member['node_id'] == wanted:
                return str(member['state'])
        return 'gone'
