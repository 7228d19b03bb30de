"""Asks the target for its health and load, as hints."""

import asyncio
import contextlib
import json
import typing

from .. import events
from .. import settings
from ..policy import admission
from ..policy import health
from ..transport import http_client

CHECK_INTERVAL_S = 0.5
CHECK_TIMEOUT_S = 0.4


class Watched(typing.Protocol):
    """What the watch reads and sets."""

    def count_answers(self) -> int:
        """Return how many calls the target has answered."""

    def set_usable(self, usable: bool) -> None:
        """Announce whether the target is to get calls."""


class TargetWatch:
    """Checks one target regularly.

    Args:
        target: The target and its endpoints.
        policy: Takes the reported load.
        watched: Tells of answers and takes the judgement.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        target: settings.Target,
        policy: admission.Admission,
        watched: Watched,
        *,
        clock: typing.Callable[[], float],
    ) -> None:
        self._target = target
        self._policy = policy
        self._watched = watched
        self._clock = clock
        self._health = health.TargetHealth()
        self._pool = http_client.TargetPool(
            target.address.host, target.address.port, connections=2
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to check, if the settings name an endpoint."""
        if self._target.health_path or self._target.load_path:
            self._task = asyncio.create_task(self._check_regularly())

    async def stop(self) -> None:
        """Stop checking."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        await self._pool.close()

    async def _check_regularly(self) -> None:
        while True:
            await self._check_health()
            await self._check_load()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check_health(self) -> None:
        if not self._target.health_path:
            return
        body = await self._get(self._target.health_path)
        before = self._health.usable
        usable = self._health.observe_check(
            ok=body is not None, answers=self._watched.count_answers()
        )
        if usable is not before:
            events.log(
                events.TARGET_USABLE if usable else events.TARGET_UNUSABLE
            )
            self._watched.set_usable(usable)

    async def _check_load(self) -> None:
        if not self._target.load_path:
            return
        body = await self._get(self._target.load_path)
        report = None if body is None else parse_load(body)
        if report is not None:
            self._policy.report_load(*report, self._clock())

    async def _get(self, path: str) -> bytes | None:
        answer = await self._pool.ask(path, timeout_s=CHECK_TIMEOUT_S)
        if answer is None or answer.status != 200:
            return None
        return answer.body


def parse_load(body: bytes) -> tuple[int, int] | None:
    """Read a load report.

    Returns:
        Requests in flight and slots; None when the report is malformed.
    """
    try:
        fields = json.loads(body)
        report = (fields['in_flight'], fields['slots'])
    except (ValueError, LookupError, TypeError):
        return None
    if all(type(value) is int and value >= 0 for value in report):
        return report
    return None
