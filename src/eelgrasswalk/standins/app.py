"""A stand-in for an application that the platform runs beside a node."""

import asyncio
import dataclasses
import json
import typing

from .. import verdict
from ..transport import http_client
from ..transport import http_server
from ..transport import message

CHECK_IN_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that has reached the application.

    Args:
        at: Loop time.
        method: Its method.
        path: Its path with the query.
        headers: Its headers, names in lower case.
        body: Its body.
    """

    at: float
    method: str
    path: str
    headers: dict[bytes, bytes]
    body: bytes


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How the application answers.

    Args:
        work_s: Seconds that a request takes.
        shed: Whether requests are refused without having run.
        status: Status of answers.
        silent: Whether requests are never answered.
        stray: Whether the answer to another request comes first.
    """

    work_s: float = 0.0
    shed: bool = False
    status: int = 200
    silent: bool = False
    stray: bool = False


class AppStandin:
    """Serves requests and tells the node beside it of itself.

    Args:
        target_id: Id of its lifetime.
        service: The service that it serves.
        slots: Requests that it runs at a time.
    """

    def __init__(
        self, target_id: str, service: str, *, slots: int = 8
    ) -> None:
        self.target_id = target_id
        self.service = service
        self.slots = slots
        self.behaviour = Behaviour()
        self.arrivals: list[Arrival] = []
        self.port = 0
        self._sequence = 0
        self._server = http_server.HttpServer(
            self.handle, limits=http_server.Limits()
        )

    async def start(self, port: int = 0) -> int:
        """Listen on loopback, and return the port."""
        self.port = (await self._server.start('127.0.0.1', port))[1]
        return self.port

    async def stop(self) -> None:
        """Close every connection."""
        for connection in list(self._server.connections):
            connection.close()
        await self._server.stop()

    async def check_in(self, control_port: int, state: str = 'ready') -> bool:
        """Tell the node of a state, and return whether it acknowledged."""
        self._sequence += 1
        fields = {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'slots': self.slots,
            'state': state,
            'cold_left_ms': 0,
            'sequence': self._sequence,
            'born': 1_700_000_000_000,
        }
        return await self._call(control_port, 'heartbeat', fields)

    async def depart(self, control_port: int) -> bool:
        """Tell the node that it leaves."""
        return await self._call(control_port, 'deregister', {})

    async def _call(
        self, port: int, name: str, fields: dict[str, typing.Any]
    ) -> bool:
        pool = http_client.TargetPool('127.0.0.1', port, connections=1)
        request = message.Request(
            'POST',
            f'/-/rpc?call=instances.{name}&of={self.target_id}',
            ((b'host', b'control'),),
            json.dumps(fields).encode(),
        )
        try:
            async with asyncio.timeout(CHECK_IN_TIMEOUT_S):
                outcome = await pool.send(request, max_answer_bytes=4096)
        except TimeoutError:
            return False
        finally:
            await pool.close()
        return (
            isinstance(outcome, http_client.Received)
            and outcome.response.status == 200
        )

    async def handle(self, request: message.Request) -> verdict.Response:
        """Answer one request."""
        headers = dict(request.headers)
        self.arrivals.append(
            Arrival(
                at=asyncio.get_running_loop().time(),
                method=request.method,
                path=request.target,
                headers=headers,
                body=request.body,
            )
        )
        expected = headers.get(b'target-instance', b'').decode()
        if expected != self.target_id:
            own_id = self.target_id.encode()
            return verdict.Response(421, ((b'instance-id', own_id),), b'')
        request_id = headers.get(b'attempt-id', b'')
        if self.behaviour.shed:
            return verdict.Response(
                503,
                ((b'attempt-id', request_id), (b'not-executed', b'1')),
                b'',
            )
        if self.behaviour.silent:
            await asyncio.Event().wait()
        if self.behaviour.work_s:
            await asyncio.sleep(self.behaviour.work_s)
        answered_id = request_id
        if self.behaviour.stray:
            answered_id = b'another'
        return verdict.Response(
            self.behaviour.status,
            (
                (b'attempt-id', answered_id),
                (b'response-stamp', b'stamp-' + request_id),
            ),
            b'answer to ' + request_id,
        )
