"""Calls that a target is running, and the detection of its end."""

import asyncio
import collections.abc
import typing

from ..transport import frames

# Longest time for which lost calls are held back to learn why. A host that
# does not even refuse connections in this time says nothing of its target.
MAX_DETECTION_S = 0.1


class Host(typing.Protocol):
    """The host and port at which the target accepts connections."""

    async def is_refused(self) -> bool:
        """Return whether the host refuses connections."""


class CrashHandler(typing.Protocol):
    """Is told of the calls under which a target has ended."""

    def __call__(
        self, run_id: str, calls: collections.abc.Sequence[frames.Call]
    ) -> None:
        """Handle the end of a run of the target."""


class Deliveries:
    """Calls that were delivered to the target and have not ended.

    Args:
        host: Tells whether the target's host refuses connections.
        on_crash: Called once for each time that the target ends.
    """

    def __init__(self, host: Host, on_crash: CrashHandler) -> None:
        self._host = host
        self._on_crash = on_crash
        self._calls: dict[bytes, frames.Call] = {}
        self._detection: asyncio.Task[bool] | None = None

    def begin(self, call: frames.Call) -> None:
        """Record that a call is delivered."""
        self._calls[call.attempt] = call

    def end(self, call: frames.Call) -> None:
        """Record that a call has ended."""
        self._calls.pop(call.attempt, None)

    async def has_target_ended(self, run_id: str) -> bool:
        """Return whether a lost call was lost because the target has ended.

        Calls that are lost together are one crash. It is reported before any
        of them is, so that the news of it is ahead of their retries.

        Args:
            run_id: Id of the run of the target that the call was sent to.
        """
        if self._detection is None:
            self._detection = asyncio.get_running_loop().create_task(
                self._detect(run_id, tuple(self._calls.values()))
            )
        done, _ = await asyncio.wait(
            (self._detection,), timeout=MAX_DETECTION_S
        )
        return any(task.result() for task in done)

    async def _detect(
        self, run_id: str, calls: collections.abc.Sequence[frames.Call]
    ) -> bool:
        try:
            has_ended = await self._host.is_refused()
        finally:
            self._detection = None
        if has_ended:
            self._on_crash(run_id, calls)
        return has_ended
