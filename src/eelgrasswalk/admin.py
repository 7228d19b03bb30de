"""HTTP for operators: status, metrics and drain."""

import asyncio
import contextlib
import socket
import typing

import hypercorn.asyncio
import hypercorn.config
import hypercorn.typing
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

PREFIX = '/_eelgrasswalk'
# The library closes connections after 1,000 requests unless it is told not
# to, which clients see as a cut.
NO_REQUEST_LIMIT = 1 << 62
GRACEFUL_TIMEOUT_S = 1.0


class Subject(typing.Protocol):
    """The node that is administered."""

    def describe(self) -> dict[str, typing.Any]:
        """Return the status as plain data."""

    def collect_metrics(self) -> dict[str, typing.Any]:
        """Return the metrics as plain data."""

    def request_stop(self) -> None:
        """Begin a planned stop."""


class Admin:
    """Serves operators' requests.

    Args:
        subject: The node.
        host: IP address to listen on.
        port: Port to listen on; 0 for any free one.
    """

    def __init__(self, subject: Subject, host: str, port: int) -> None:
        self.address = (host, port)
        self._subject = subject
        self._stopping = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen."""
        listener = socket.create_server(self.address)
        self.address = listener.getsockname()[:2]
        config = hypercorn.config.Config()
        config.bind = [f'fd://{listener.detach()}']
        config.accesslog = None
        config.errorlog = None
        config.keep_alive_max_requests = NO_REQUEST_LIMIT
        config.graceful_timeout = GRACEFUL_TIMEOUT_S
        application = typing.cast(
            hypercorn.typing.ASGIFramework, self._build_application()
        )
        self._task = asyncio.create_task(
            hypercorn.asyncio.serve(
                application, config, shutdown_trigger=self._wait_for_stop
            )
        )

    async def stop(self) -> None:
        """Stop listening."""
        self._stopping.set()
        if self._task is not None:
            with contextlib.suppress(Exception):
                await self._task

    async def _wait_for_stop(self) -> None:
        await self._stopping.wait()

    def _build_application(self) -> starlette.applications.Starlette:
        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[
                route(f'{PREFIX}/status', self._send_status),
                route(f'{PREFIX}/metrics', self._send_metrics),
                route(f'{PREFIX}/drain', self._drain, methods=['POST']),
            ]
        )

    async def _send_status(
        self, _: starlette.requests.Request
    ) -> starlette.responses.Response:
        return starlette.responses.JSONResponse(self._subject.describe())

    async def _send_metrics(
        self, _: starlette.requests.Request
    ) -> starlette.responses.Response:
        return starlette.responses.JSONResponse(
            self._subject.collect_metrics()
        )

    async def _drain(
        self, _: starlette.requests.Request
    ) -> starlette.responses.Response:
        self._subject.request_stop()
        return starlette.responses.JSONResponse({'draining': True}, 202)
