"""A controller's work that goes on while the node runs."""

import asyncio
import collections.abc
import traceback
import typing

from .. import events

# Pause after a failure, in seconds.
PAUSE_S = 1.0


class Background:
    """Runs a coroutine from start to stop.

    Args:
        run: The work; it ends only by being cancelled. Work that fails is
            logged and begun again.
    """

    def __init__(
        self,
        run: typing.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, None]
        ],
    ) -> None:
        self._run = run
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin."""
        self._task = asyncio.get_running_loop().create_task(self._repeat())

    async def stop(self) -> None:
        """End at once."""
        if self._task is not None:
            self._task.cancel()

    async def _repeat(self) -> None:
        while True:
            try:
                await self._run()
                return
            except Exception:
                events.log(
                    events.BACKGROUND_FAILED, traceback=traceback.format_exc()
                )
            await asyncio.sleep(PAUSE_S)
