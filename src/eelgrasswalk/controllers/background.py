"""A controller's work that goes on while the node runs."""

import asyncio
import collections.abc
import typing


class Background:
    """Runs a coroutine from start to stop.

    Args:
        run: The work; it ends only by being cancelled.
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
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """End at once."""
        if self._task is not None:
            self._task.cancel()
