"""An event loop whose clock jumps to the next timer."""

import asyncio
import collections.abc
import selectors
import typing

import anyio


class _Selector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout > 0:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them."""

    def __init__(self) -> None:
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run(
    function: collections.abc.Callable[
        [], collections.abc.Awaitable[typing.Any]
    ],
) -> typing.Any:
    """Run an asynchronous function in virtual time."""
    return anyio.run(function, backend_options={'loop_factory': VirtualLoop})
