"""Nodes of the platform as real processes, beside stand-ins in the test."""

import asyncio
import dataclasses
import json
import pathlib
import signal
import subprocess
import tempfile
import typing
import unittest

from eelgrasswalk import verdict
from eelgrasswalk.bench import mesh
from eelgrasswalk.standins import app
from eelgrasswalk.standins import deployment
from eelgrasswalk.standins import rows
from eelgrasswalk.transport import http_client
from eelgrasswalk.transport import message

KEY = deployment.KEY
build_config = deployment.build_config
WAIT_S = 15.0
POLL_S = 0.02


@dataclasses.dataclass(slots=True)
class Node:
    """One node process and the application beside it.

    Args:
        node_id: Its id.
        app: The application.
        ports: Callers, readiness, check-ins, links and metrics.
        settings: Path of its settings.
        log: Path of its standard output.
        process: The process; None before it is started.
    """

    node_id: str
    app: app.AppStandin
    ports: list[int]
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        self.process = mesh.start_sidecar(self.settings, log=self.log)

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def read_log(self) -> list[dict[str, typing.Any]]:
        """Return the lines that it has written."""
        return [json.loads(line) for line in self.log.read_text().splitlines()]


def get_status(answer: verdict.Response | None) -> int:
    """Return the status of an answer; 0 without a whole one."""
    return 0 if answer is None else answer.status


class SidecarTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store, applications and nodes for each test."""

    services: tuple[str, ...] = ('front', 'back')
    timeout_ms = 3000
    bounds: typing.ClassVar[dict[str, typing.Any]] = {}

    async def asyncSetUp(self) -> None:
        self.store = rows.RowsStandin()
        self.store_port = await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.nodes: list[Node] = []
        self._requests = 0
        for index, service in enumerate(self.services):
            node = await self._prepare(
                pathlib.Path(folder.name),
                index,
                service,
                mesh.find_sidecar_ports(),
            )
            self.nodes.append(node)

    async def _prepare(
        self, folder: pathlib.Path, index: int, service: str, ports: list[int]
    ) -> Node:
        target = app.AppStandin(f'i-{index}', service)
        await target.start()
        self.addAsyncCleanup(target.stop)
        node_id = f'{service}-{index}'
        path = folder / f'{node_id}.json'
        deployment.write_settings(
            path,
            node_id=node_id,
            service=service,
            data_centre=f'zone-{index}',
            ports=ports,
            target_port=target.port,
            store_port=self.store_port,
            bounds=self.bounds,
        )
        node = Node(node_id, target, ports, path, folder / f'{node_id}.log')
        self.addCleanup(node.kill)
        return node

    async def start_all(self, config: bytes | None = None) -> None:
        """Start every node and wait until all can serve."""
        if config is None:
            config = build_config(
                1, sorted(set(self.services)), timeout_ms=self.timeout_ms
            )
        self.store.put('op', 'config', config)
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await self.wait_for(lambda node=node: self.check_in(node))
        for node in self.nodes:
            await self.wait_for(lambda node=node: self.knows_all(node))
            for service in set(self.services):
                await self.wait_for(
                    lambda node=node, service=service: self.is_served(
                        node, service
                    )
                )

    async def check_in(self, node: Node, state: str = 'ready') -> bool:
        """Let a node's application check in."""
        return await node.app.check_in(node.ports[2], state)

    async def knows_all(self, node: Node) -> bool:
        """Return whether a node knows every target.

        A node that has just started is known to the others a little later.
        """
        answer = await self.ask(node.ports[4], '/metrics')
        if answer is None:
            return False
        wanted = f'eelgrasswalk_usable_targets {len(self.nodes)}.0'
        return wanted in answer.body.decode()

    async def is_served(self, node: Node, service: str) -> bool:
        """Return whether a call at a node is answered."""
        answer = await self.call(node, f'/{service}/safe/')
        return answer is not None and answer.status == 200

    async def wait_for(
        self, check: typing.Callable[[], typing.Awaitable[bool]]
    ) -> None:
        """Wait until a check holds."""
        async with asyncio.timeout(WAIT_S):
            while not await check():
                await asyncio.sleep(POLL_S)

    async def call(
        self,
        node: Node,
        path: str,
        *,
        method: str = 'GET',
        key: str | None = KEY,
        deadline_ms: int = 3000,
        request_id: str = '',
        body: bytes = b'',
    ) -> verdict.Response | None:
        """Send one call; return its answer, or None without a whole one."""
        self._requests += 1
        request = deployment.build_call(
            method,
            path,
            request_id=request_id or f'r{self._requests}',
            key=key,
            deadline_ms=deadline_ms,
            body=body,
        )
        pool = http_client.TargetPool(
            '127.0.0.1', node.ports[0], connections=1
        )
        try:
            outcome = await pool.send(request, max_answer_bytes=1_000_000)
        finally:
            await pool.close()
        if isinstance(outcome, http_client.Received):
            return outcome.response
        return None

    async def send_check_in(self, node: Node, body: bytes) -> int:
        """Send bytes as a check-in; return the status, 0 without one."""
        pool = http_client.TargetPool(
            '127.0.0.1', node.ports[2], connections=1
        )
        request = message.Request(
            'POST',
            f'/-/rpc?call=instances.heartbeat&of={node.app.target_id}',
            ((b'host', b'control'),),
            body,
        )
        try:
            outcome = await pool.send(request, max_answer_bytes=4096)
        finally:
            await pool.close()
        if isinstance(outcome, http_client.Received):
            return outcome.response.status
        return 0

    async def ask_readiness(self, node: Node) -> int:
        """Return the status of a node's readiness; 0 without an answer."""
        answer = await self.ask(node.ports[1], '/-/readiness')
        return 0 if answer is None else answer.status

    async def ask(self, port: int, path: str) -> verdict.Response | None:
        """Send a GET without a body; return its answer or None."""
        pool = http_client.TargetPool('127.0.0.1', port, connections=1)
        request = message.Request('GET', path, ((b'host', b'node'),), b'')
        try:
            outcome = await pool.send(request, max_answer_bytes=1_000_000)
        finally:
            await pool.close()
        if isinstance(outcome, http_client.Received):
            return outcome.response
        return None
