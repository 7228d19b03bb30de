"""Serving an ASGI application of a stand-in with hypercorn."""

import collections.abc
import logging
import socket
import typing

from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config

_NO_REQUEST_LIMIT = 2**62
_KEEP_ALIVE_S = 3600.0


def bind_socket(host: str, port: int) -> socket.socket:
    """Return a listening TCP socket.

    Args:
        host: IP number to listen on.
        port: Port, or 0 for a free one.
    """
    listener = socket.create_server((host, port), backlog=1024)
    listener.setblocking(False)
    return listener


def get_address(listener: socket.socket) -> str:
    """Return host:port of a bound socket."""
    host, port = listener.getsockname()[:2]
    return f'{host}:{port}'


async def serve(
    application: typing.Any,
    listener: socket.socket,
    wait_for_stop: collections.abc.Callable[
        [], collections.abc.Awaitable[None]
    ],
) -> None:
    """Serve an application until told to stop.

    Args:
        application: The ASGI application.
        listener: The listening socket; it passes to the server.
        wait_for_stop: Returns when the server shall stop.
    """
    config = hypercorn_config.Config()
    config.bind = [f'fd://{listener.detach()}']
    config.keep_alive_max_requests = _NO_REQUEST_LIMIT
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.graceful_timeout = 0.2
    config.errorlog = _make_silent_logger()
    await hypercorn_asyncio.serve(
        application, config, shutdown_trigger=wait_for_stop, mode='asgi'
    )


def _make_silent_logger() -> logging.Logger:
    logger = logging.getLogger('eelgrasswalk.standins.hypercorn')
    logger.addHandler(logging.NullHandler())
    logger.propagate = False
    return logger
