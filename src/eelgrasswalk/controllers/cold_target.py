"""Asks the target whether it is cold, and tells the other nodes."""

import asyncio
import contextlib
import math
import time
import typing

from . import target_probe

# Pauses between health checks that say nothing of coldness; they double.
FIRST_PAUSE_S = 0.03
MAX_PAUSE_S = 1.0
# The entry is written again when the end of coldness moves by more than this;
# smaller changes are not worth a write.
MIN_CHANGE_S = 1.0
# Cold times are rounded up to tenths of a second to keep entries short.
_STEPS_PER_S = 10


class Coldness(typing.Protocol):
    """What the gate knows of the coldness of its target."""

    target_id: str
    malformed: int
    on_unsettled: typing.Callable[[], None]
    on_change: typing.Callable[[], None]

    @property
    def is_unsettled(self) -> bool:
        """Whether the target is taken for cold without its word."""

    def compute_left(self) -> float:
        """Return the seconds for which the target is taken for cold."""

    def confirm(self, cold_s: float, *, asked_at: float) -> None:
        """Record the response to a health check."""


class Probe(typing.Protocol):
    """Asks the target for its health."""

    async def ask(self, target_id: str) -> target_probe.HealthReport | None:
        """Return what the target responds; None without a response."""


class Keeper(typing.Protocol):
    """Keeps this node's entry."""

    get_cold_s: typing.Callable[[], float]

    def change(self, **fields: typing.Any) -> None:
        """Change the entry in the store and at its callers."""


class ColdTargetKeeper:
    """Probes the target while its coldness is only assumed or reported late.

    Args:
        coldness: What the gate knows.
        probe: Asks the target.
        keeper: Keeps the entry by which other nodes learn of coldness.
        clock: Monotonic seconds.
        sleep: Waits for some seconds.
    """

    def __init__(
        self,
        coldness: Coldness,
        probe: Probe,
        keeper: Keeper,
        *,
        clock: typing.Callable[[], float] = time.monotonic,
        sleep: typing.Callable[
            [float], typing.Awaitable[None]
        ] = asyncio.sleep,
    ) -> None:
        self._coldness = coldness
        self._probe = probe
        self._keeper = keeper
        self._clock = clock
        self._sleep = sleep
        self._published_until = -math.inf
        self._probing: asyncio.Task[None] | None = None
        coldness.on_unsettled = self._start_probing
        coldness.on_change = self._handle_change
        keeper.get_cold_s = self._read_cold_s

    async def stop(self) -> None:
        """Stop to probe the target."""
        if self._probing is not None:
            self._probing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._probing

    def _start_probing(self) -> None:
        if self._probing is None or self._probing.done():
            self._probing = asyncio.get_running_loop().create_task(
                self._settle()
            )

    async def _settle(self) -> None:
        """Probe until the target says whether it is cold."""
        pause_s = FIRST_PAUSE_S
        while self._coldness.is_unsettled:
            if await self._ask():
                continue
            # Without a response for now, callers had better look elsewhere.
            self._publish()
            await self._sleep(pause_s)
            pause_s = min(2.0 * pause_s, MAX_PAUSE_S)

    async def _ask(self) -> bool:
        """Send a health check; return whether the response tells."""
        asked_at = self._clock()
        target_id = self._coldness.target_id
        report = await self._probe.ask(target_id)
        if report is None or target_id != self._coldness.target_id:
            return False
        if report.cold_s is None:
            self._coldness.malformed += 1
            return False
        if not report.cold_s and not report.is_healthy:
            # A target that is not ready may not know yet that it is cold.
            return False
        self._coldness.confirm(report.cold_s, asked_at=asked_at)
        return True

    def _handle_change(self) -> None:
        # The response to a health check follows at once as a rule.
        if not self._coldness.is_unsettled:
            self._publish()

    def _publish(self) -> None:
        """Write the entry if readers would be wrong about the coldness."""
        now = self._clock()
        left_s = self._coldness.compute_left()
        published_s = max(0.0, self._published_until - now)
        if abs(left_s - published_s) > MIN_CHANGE_S:
            self._keeper.change()

    def _read_cold_s(self) -> float:
        """Return what this node's entry says now."""
        left_s = self._coldness.compute_left()
        cold_s = math.ceil(left_s * _STEPS_PER_S) / _STEPS_PER_S
        self._published_until = self._clock() + cold_s
        return cold_s
