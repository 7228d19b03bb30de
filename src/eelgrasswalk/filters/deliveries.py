"""Requests that a target is running, and the detection of its end."""

import asyncio
import collections
import collections.abc
import dataclasses
import typing

from ..policy import quarantine
from ..transport import frames
from . import identity

# Longest time for which lost calls are held back to learn why. A host that
# does not even refuse connections in this time says nothing of its target.
MAX_DETECTION_S = 0.1
# Abandoned requests that are remembered; the oldest are forgotten.
MAX_ABANDONED = 256
MAX_TARGET_CHARACTERS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """A request that the target has begun to run.

    Args:
        digest: Its digest.
        subject: What operators recognise it by.
    """

    digest: bytes
    subject: quarantine.Subject


class Host(typing.Protocol):
    """The host and port at which the target accepts connections."""

    async def is_refused(self) -> bool:
        """Return whether the host refuses connections."""


class CrashHandler(typing.Protocol):
    """Is told of the requests under which a target has ended."""

    def __call__(
        self, run_id: str, started: collections.abc.Sequence[Started]
    ) -> None:
        """Handle the end of a run of the target."""


class Deliveries:
    """Calls that were delivered to the target and have no answer.

    Args:
        host: Tells whether the target's host refuses connections.
        on_crash: Called once for each time that the target ends.
    """

    def __init__(self, host: Host, on_crash: CrashHandler) -> None:
        self._host = host
        self._on_crash = on_crash
        self._loop = asyncio.get_running_loop()
        self._calls: dict[bytes, frames.Call] = {}
        self._abandoned: collections.deque[tuple[float, Started]] = (
            collections.deque(maxlen=MAX_ABANDONED)
        )
        self._detection: asyncio.Task[bool] | None = None
        self._ended_run = ''

    def begin(self, call: frames.Call) -> None:
        """Record that a call is delivered."""
        self._calls[call.attempt] = call

    def end(self, call: frames.Call) -> None:
        """Record that a call has ended, or certainly did not begin."""
        self._calls.pop(call.attempt, None)

    def abandon(self, call: frames.Call, run_id: str) -> None:
        """Record that nobody waits for a call any more.

        The target may go on with it for as long as it was given, unless it
        has ended.

        Args:
            call: The call.
            run_id: Id of the run of the target that the call was sent to.
        """
        self._calls.pop(call.attempt, None)
        if run_id == self._ended_run:
            return
        ends_at = self._loop.time() + call.remaining_s
        self._abandoned.append((ends_at, describe_call(call)))

    def count_abandoned(self) -> int:
        """Return how many calls may run though nobody waits for them."""
        now = self._loop.time()
        return sum(ends_at > now for ends_at, _ in self._abandoned)

    def list_calls(self) -> list[frames.Call]:
        """Return the calls that run, the oldest first."""
        return list(self._calls.values())

    async def has_target_ended(self, run_id: str) -> bool:
        """Return whether a lost call was lost because the target has ended.

        Calls that are lost together are one crash. It is reported before any
        of them is, so that the news of it is ahead of their retries.

        Args:
            run_id: Id of the run of the target that the call was sent to.
        """
        if run_id == self._ended_run:
            return True
        if self._detection is None:
            self._detection = self._loop.create_task(
                self._detect(run_id, self._list_started())
            )
        done, _ = await asyncio.wait(
            (self._detection,), timeout=MAX_DETECTION_S
        )
        return any(task.result() for task in done)

    def handle_end(self, run_id: str) -> None:
        """Handle that a run of the target has ended.

        A target may end while nobody waits for what it runs, or be back
        before anyone has noticed.

        Args:
            run_id: Id of the run.
        """
        if self._detection is None:
            self._report(run_id, self._list_started())

    def _report(
        self, run_id: str, started: collections.abc.Sequence[Started]
    ) -> None:
        if run_id == self._ended_run or not started:
            return
        self._ended_run = run_id
        self._abandoned.clear()
        self._on_crash(run_id, started)

    async def _detect(
        self, run_id: str, started: collections.abc.Sequence[Started]
    ) -> bool:
        try:
            has_ended = await self._host.is_refused()
        finally:
            self._detection = None
        if has_ended:
            self._report(run_id, started)
        return has_ended

    def _list_started(self) -> list[Started]:
        now = self._loop.time()
        abandoned = [
            started for ends_at, started in self._abandoned if ends_at > now
        ]
        return abandoned + [
            describe_call(call) for call in self._calls.values()
        ]


def describe_call(call: frames.Call) -> Started:
    """Return the request of a call."""
    request = call.request
    account = call.context.account
    return Started(
        identity.compute_digest(request, account),
        quarantine.Subject(
            method=request.method,
            target=request.target[:MAX_TARGET_CHARACTERS],
            account=account,
        ),
    )
