"""Tests of explanations of where a request would go, with processes."""

import asyncio
import json
import pathlib
import tempfile

import click.testing

from eelgrasswalk.cli import operator
from eelgrasswalk.cli import terminal
from eelgrasswalk.standins import deployment
from tests.integration import sidecars


class PlacementTest(sidecars.SidecarTestCase):
    services = ('front', 'back', 'back')

    async def explain(
        self, *args: str, code: int = 0, key: str = sidecars.KEY
    ) -> click.testing.Result:
        """Run the command in a thread; the key comes from a file."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'key'
            path.write_text(key + '\n')
            key_args = ('--key-file', str(path)) if key else ()
            result = await asyncio.to_thread(
                click.testing.CliRunner().invoke,
                operator.main,
                ['explain-placement', *args, *key_args],
            )
        self.assertEqual(code, result.exit_code, result.output)
        self.assertNotIn(sidecars.KEY, result.output)
        return result

    async def test_explanations_and_their_errors(self) -> None:
        """A wrong explanation or exit code would mislead an operator."""
        await self.start_all()
        front, one, _ = self.nodes
        address = f'127.0.0.1:{front.ports[4]}'
        options = ('--host', deployment.HOST, '--path', '/back/safe/1')
        result = await self.explain(
            address, f'127.0.0.1:{one.ports[4]}', *options, '--json'
        )
        first, second = json.loads(result.stdout)['nodes']
        self.assertEqual(deployment.ACCOUNT, first['account'])
        (service,) = first['services']
        self.assertEqual('back', service['service'])
        self.assertEqual(2, service['eligible'])
        self.assertIsNone(service['own_target'])
        self.assertIsNotNone(second['services'][0]['own_target'])
        self.assertIsNotNone(first['rules']['age_s'])
        text = (await self.explain(address, *options)).output
        self.assertIn('back: 100% of the calls', text)
        self.store.put('op', 'evacuate/zone-1', b'{}')
        await self.wait_for(lambda: self.is_left_out(address, options))
        # Errors
        codes = terminal.ExitCode
        await self.explain(
            address, *options, key='another', code=codes.KEY_UNKNOWN
        )
        await self.explain(address, *options, key='', code=codes.KEY_MISSING)
        await self.explain(
            address,
            *('--host', 'unknown.example', '--path', '/back/safe/1'),
            code=codes.ROUTE_UNKNOWN,
        )
        # Nothing listens on port 1.
        await self.explain(
            '127.0.0.1:1', *options, code=codes.NODE_UNREACHABLE
        )

    async def is_left_out(
        self, address: str, options: tuple[str, ...]
    ) -> bool:
        output = (await self.explain(address, *options)).output
        return 'left out as evacuated: 1 in all' in output
