"""The application object: owns parts, starts and stops them in order."""

import asyncio
import contextlib
import logging
import os
import signal
import sys
import typing

import anyio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Part(typing.Protocol):
    """Something with a life of its own."""

    async def start(self) -> None:
        """Begin to work; everything started before is there."""

    async def stop(self) -> None:
        """End; everything started before is still there."""


def _ignore() -> None:
    """Take a signal that has nothing to change."""


class Application:
    """Starts parts in order and stops them in reverse.

    Args:
        parts: What the application owns.
        on_reload: Called when the settings are to be read again.
    """

    def __init__(
        self,
        parts: typing.Sequence[Part],
        *,
        on_reload: typing.Callable[[], None] = _ignore,
    ) -> None:
        self._parts = tuple(parts)
        self._on_reload = on_reload
        self._stopping = asyncio.Event()

    def request_stop(self) -> None:
        """Ask the application to stop gracefully."""
        self._stopping.set()

    async def run(
        self, on_ready: typing.Callable[[], None] | None = None
    ) -> None:
        """Run until a stop is requested, then stop every part.

        Args:
            on_ready: Called when every part has started.
        """
        async with contextlib.AsyncExitStack() as stack:
            for part in self._parts:
                await part.start()
                stack.push_async_callback(part.stop)
            if on_ready is not None:
                on_ready()
            await self._stopping.wait()

    def handle_signals(self) -> None:
        """Stop gracefully on SIGTERM and SIGINT, reload on SIGHUP."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload)


def run_application(
    build: typing.Callable[[], tuple[Application, typing.Callable[[], None]]],
) -> None:
    """Run an application on anyio's asyncio backend, and end the process.

    Args:
        build: Returns the application and what to call when it is ready.
    """

    async def run() -> None:
        application, on_ready = build()
        application.handle_signals()
        await application.run(on_ready)
        # The interpreter restores the default handlers while it ends, and
        # other threads take signals that this one blocks; one more signal
        # would then end the process as if it had been killed.
        logging.shutdown()
        for stream in (sys.stdout, sys.stderr):
            stream.flush()
        os._exit(0)

    anyio.run(run, backend='asyncio', backend_options={'use_uvloop': True})
