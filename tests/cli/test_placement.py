"""Tests of the command that explains where a request would go."""

import collections.abc
import contextlib
import unittest

import click.testing
import httpx

from eelgrasswalk.cli import operator
from eelgrasswalk.cli import terminal
from eelgrasswalk.operations import fleet

ARGS = ('explain-placement', 'n1:1', '--host', 'a.example', '--path', '/x')


class FakeConnections:
    """Nodes that give one answer and keep the questions."""

    def __init__(self, answer: httpx.Response | None) -> None:
        self.answer = answer
        self.requests: list[httpx.Request] = []

    @contextlib.asynccontextmanager
    async def open_fleet(
        self,
    ) -> collections.abc.AsyncIterator[fleet.FleetClient]:
        transport = httpx.MockTransport(self.handle)
        async with httpx.AsyncClient(transport=transport) as client:
            yield fleet.FleetClient(client)

    def handle(self, request: httpx.Request) -> httpx.Response:
        self.requests.append(request)
        if self.answer is None:
            raise httpx.ConnectError('refused')
        return self.answer


class ExplainPlacementTest(unittest.TestCase):
    def run_command(
        self,
        answer: httpx.Response | None,
        *args: str,
        code: terminal.ExitCode,
        text: str = '',
    ) -> click.testing.Result:
        self.connections = FakeConnections(answer)
        result = click.testing.CliRunner().invoke(
            operator.main, [*ARGS, *args], text, obj=self.connections
        )
        self.assertEqual(code, result.exit_code, result.output)
        return result

    def test_each_error_has_its_own_code_and_one_line(self) -> None:
        """Scripts must be able to tell a wrong key from a wrong node."""
        codes = terminal.ExitCode
        for error, code in (
            ('unknown_route', codes.ROUTE_UNKNOWN),
            ('unknown_key', codes.KEY_UNKNOWN),
            ('missing_key', codes.KEY_MISSING),
            ('not_ready', codes.NODE_NOT_READY),
        ):
            body = {'format': 1, 'error': error, 'detail': 'Why.'}
            answer = httpx.Response(400, json=body)
            result = self.run_command(answer, code=code)
            self.assertEqual('Error: n1:1: Why.\n', result.stderr)
            self.assertEqual('', result.stdout)

    def test_node_that_is_too_old(self) -> None:
        self.run_command(
            httpx.Response(404), code=terminal.ExitCode.NODE_TOO_OLD
        )

    def test_node_that_does_not_answer(self) -> None:
        self.run_command(None, code=terminal.ExitCode.NODE_UNREACHABLE)

    def test_key_travels_in_a_header_only(self) -> None:
        """A key in the address would get into logs."""
        result = self.run_command(
            None,
            *('--key-file', '-'),
            code=terminal.ExitCode.NODE_UNREACHABLE,
            text='key-of-lake\n',
        )
        (request,) = self.connections.requests
        self.assertEqual(
            'Bearer key-of-lake', request.headers['authorization']
        )
        self.assertNotIn('key-of-lake', str(request.url))
        self.assertNotIn('key-of-lake', result.output)

    def test_key_file_without_a_key(self) -> None:
        self.run_command(None, '--key-file', '-', code=terminal.ExitCode.USAGE)
        self.assertEqual([], self.connections.requests)

    def test_path_that_is_no_path(self) -> None:
        self.run_command(None, '--path', 'x', code=terminal.ExitCode.USAGE)


if __name__ == '__main__':
    unittest.main()
