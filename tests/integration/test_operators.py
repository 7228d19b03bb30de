"""Tests of the command line and console's store on the stand-in platform."""

import json
import subprocess
import sys
import tempfile
import time
import typing
import unittest

import click.testing
import httpx

from eelgrasswalk.bench import mesh
from eelgrasswalk.cli import operator
from tests.cli import test_operator


class StandinPlatformTest(unittest.TestCase):
    def setUp(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'eelgrasswalk.cli.standin', 'platform'],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(self.stop_process)
        assert self.process.stdout is not None
        ready = json.loads(self.process.stdout.readline())
        self.address = ready['addresses'][0]

    def stop_process(self) -> None:
        self.process.terminate()
        self.process.wait(10)
        assert self.process.stdout is not None
        self.process.stdout.close()

    def run_command(self, *args: str, code: int = 0) -> str:
        options = ['--platform', self.address, '--operator', 'ana']
        runner = click.testing.CliRunner()
        result = runner.invoke(operator.main, [*options, *args])
        self.assertEqual(result.exit_code, code, result.output)
        return result.output

    def set_faults(self, **faults: object) -> None:
        url = f'http://{self.address}/_standin/behave'
        httpx.post(url, json=faults).raise_for_status()

    def test_change_survives_lost_answers_and_outage(self) -> None:
        path = str(test_operator.LAKESHORE)
        self.set_faults(lose_next=2)
        self.run_command('apply', '--yes', path)
        self.run_command('key', 'create', 'erie', '--label', 'till', '--yes')
        self.set_faults(down=True)
        self.run_command('history', code=5)
        self.set_faults(down=False)
        self.assertIn(
            '2 entries verified', self.run_command('history', '--verify')
        )
        with tempfile.NamedTemporaryFile('w', suffix='.yaml') as stream:
            stream.write(self.run_command('show'))
            stream.flush()
            same = self.run_command('diff', stream.name)
        self.assertIn('No change in meaning', same)


class NodeTest(unittest.TestCase):
    def test_status_and_drain_of_a_node(self) -> None:
        running = self.enterContext(mesh.Mesh())
        target = running.start_standin('target').ready['addresses'][0]
        links = f'127.0.0.1:{mesh.find_free_ports(1)[0]}'
        member = {
            'node_id': 'one',
            'service': 'catalogue',
            'data_centre': 'erie',
            'links': links,
        }
        node = running.start_node(
            {
                'node_id': 'one',
                'data_centre': 'erie',
                'service': 'catalogue',
                'host': 'host-1',
                'listen': {'links': links},
                'members': [member],
                'mesh_secret': mesh.SECRET,
                'target': {'address': target},
                'document': str(test_operator.LAKESHORE),
                'limits': {'announce_s': 0.1},
            }
        )
        answer = httpx.get(
            f'http://{node.ready["callers"]}/catalogue/finishes',
            headers={'x-api-key': 'demo-lakeshore-erie-1'},
        )
        self.assertEqual(answer.status_code, 200)
        shown = self.run_command(node, 'status')
        self.assertRegex(shown, r'catalogue +host-1 +ready +0 +0/20\+0')
        self.assertIn('answered: 1', shown)
        self.run_command(node, 'drain', 'host-1', '--yes')
        self.assertEqual(node.popen.wait(mesh.STOP_TIMEOUT_S), 0)

    def run_command(self, node: mesh.Process, *args: str) -> str:
        options = ['--node', node.ready['admin']]
        runner = click.testing.CliRunner()
        result = runner.invoke(operator.main, [*options, *args])
        self.assertEqual(result.exit_code, 0, result.output)
        return result.output


class MeshTest(unittest.TestCase):
    def setUp(self) -> None:
        self.running = self.enterContext(mesh.Mesh())
        platform = self.running.start_standin('platform')
        self.platform = platform.ready['addresses'][0]
        self.run_command('apply', '--yes', str(test_operator.LAKESHORE))
        listen = ['--listen', '127.0.0.1:0'] * 2
        targets = self.running.start_standin('target', *listen)
        self.nodes = [
            self.running.start_node(
                {
                    'node_id': f'node-{index}',
                    'host': f'host-{index}',
                    'data_centre': 'erie',
                    'service': 'catalogue',
                    'mesh_secret': mesh.SECRET,
                    'target': {'address': address},
                    'platform': {'url': f'http://{self.platform}'},
                }
            )
            for index, address in enumerate(targets.ready['addresses'])
        ]

    def run_command(self, *args: str, node: str = '') -> dict[str, object]:
        options = ['--platform', self.platform, '--output', 'json']
        runner = click.testing.CliRunner()
        result = runner.invoke(
            operator.main, [*options, '--node', node, *args]
        )
        self.assertEqual(result.exit_code, 0, result.output)
        return json.loads(result.stdout)

    def call(self, node: mesh.Process, key: str) -> int:
        url = f'http://{node.ready["callers"]}/catalogue/finishes'
        return httpx.get(url, headers={'x-api-key': key}).status_code

    def wait_for_members(self, admin: str) -> None:
        deadline = time.monotonic() + mesh.START_TIMEOUT_S
        while time.monotonic() < deadline:
            status = self.run_command('status', node=admin)
            if len(typing.cast('dict', status['nodes'])) == len(self.nodes):
                return
        self.fail('the nodes did not find each other')

    def test_key_counts_everywhere_once_in_force(self) -> None:
        admin = self.nodes[0].ready['admin']
        self.wait_for_members(admin)
        wait = ('--yes', '--wait')
        made = self.run_command(
            'key', 'create', 'erie', '--label', 'till', *wait, node=admin
        )
        key = str(made['key'])
        answers = [self.call(node, key) for node in self.nodes]
        self.assertEqual(answers, [200, 200])
        self.run_command('key', 'withdraw', 'erie', 'till', *wait, node=admin)
        answers = [self.call(node, key) for node in self.nodes]
        self.assertEqual(answers, [403, 403])
