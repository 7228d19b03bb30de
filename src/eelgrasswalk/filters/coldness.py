"""Whether the target beside this node is cold, as its gate goes by it."""

import asyncio
import enum
import time
import typing

from .. import clock
from .. import events
from ..policy.capacity import cold_start
from ..policy.capacity import slot_queue
from . import admit

# A process that was suspended for longer does not know what became of its
# target meanwhile.
MAX_SUSPENSION_S = 0.5
# What callers are told while a health check is under way: they would otherwise
# avoid a target that turns out to be warm for as long as it could be cold.
UNSETTLED_COLD_S = 0.5


class Source(enum.Enum):
    """What coldness, or its end, was learned or assumed from, for the log."""

    NEW_TARGET = 'new target'
    CRASH = 'crash'
    REFUSED_CONNECTION = 'refused connection'
    EVACUATION_LIFTED = 'evacuation lifted'
    IDLE = 'no calls'
    SUSPENSION = 'suspension'
    CHECK_IN = 'check-in'
    HEALTH_CHECK = 'health check'
    CONFIGURATION = 'configuration'
    EXPIRED = 'expired'


class Coldness:
    """Decides when the target is taken for cold, and tells who has to know.

    Args:
        admitter: Queues calls and decides which ones start.

    Attributes:
        malformed: Number of malformed values of coldness from the target.
        target_id: Id of the target; empty if there is none.
        on_unsettled: Called when the target has to be asked whether it is
            cold.
        on_change: Called when what is known of its coldness has changed.
    """

    def __init__(self, admitter: admit.Admitter[slot_queue.SlotQueue]) -> None:
        self.malformed = 0
        self.target_id = ''
        self.on_unsettled: typing.Callable[[], None] = _ignore
        self.on_change: typing.Callable[[], None] = _ignore
        self._admitter = admitter
        self._policy = admitter.policy.cold
        self._loop = asyncio.get_running_loop()
        self._is_cold = False
        self._is_unsettled = False
        self._clock_lead_s: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_cold(self) -> bool:
        """Whether the target is or may be cold."""
        return self._policy.is_cold(time.monotonic())

    @property
    def is_unsettled(self) -> bool:
        """Whether the target is taken for cold without its word."""
        return self._policy.is_unsettled(time.monotonic())

    @property
    def is_limited(self) -> bool:
        """Whether the service has cold targets."""
        return self._policy.settings is not None

    @property
    def refused(self) -> int:
        """Number of calls that were refused because of coldness."""
        return self._policy.refused

    def compute_left(self) -> float:
        """Return the seconds for which the target is taken for cold."""
        return self._policy.compute_left(time.monotonic())

    def compute_wait(self) -> float:
        """Return the seconds until a call may start."""
        return self._policy.compute_wait(time.monotonic())

    def compute_feedback(self) -> float:
        """Return the seconds for which callers should avoid the target."""
        left_s = self.compute_left()
        return min(left_s, UNSETTLED_COLD_S) if self.is_unsettled else left_s

    def change_settings(
        self, settings: cold_start.ColdSettings | None
    ) -> None:
        """Set the limits of the service."""
        if settings == self._policy.settings:
            return
        self._policy.change_settings(settings, time.monotonic())
        self._update(Source.CONFIGURATION)

    def set_target(self, target_id: str) -> None:
        """Assume that a target that was not known before is cold."""
        if target_id == self.target_id:
            # Calls for an earlier run of the same id may have reached it.
            self._policy.assume(time.monotonic())
        else:
            self._policy.begin_run(time.monotonic())
        self.target_id = target_id
        self._update(Source.NEW_TARGET)

    def assume(self, source: Source) -> None:
        """Assume that the target is cold until a later health check."""
        if not self.target_id:
            return
        self._policy.assume(time.monotonic())
        self._update(source)

    def announce(self, cold_s: float | None) -> None:
        """Record what the target says in a check-in.

        Args:
            cold_s: Seconds for which it was cold when it sent the check-in;
                None for a malformed value.
        """
        if cold_s is None:
            self.malformed += 1
        elif cold_s:
            self._policy.announce(cold_s, time.monotonic())
            self._update(Source.CHECK_IN)

    def confirm(self, cold_s: float, *, asked_at: float) -> None:
        """Record the response to a health check.

        Args:
            cold_s: Seconds for which the target remains cold; 0 if it is not
                cold.
            asked_at: Monotonic time at which the health check was sent.
        """
        now = time.monotonic()
        if cold_s:
            self._policy.confirm_cold(cold_s, asked_at, now)
        else:
            self._policy.confirm_warm(asked_at, now)
        self._update(Source.HEALTH_CHECK)

    def note_call(self) -> None:
        """Record that a call is about to be admitted or sent."""
        if self._policy.settings is None:
            return
        # Time that passes between the two readings only lowers the lead, so
        # that the next reading cannot miss a suspension.
        boot_s = clock.read_boot_time()
        now = time.monotonic()
        lead_s = boot_s - now
        known_s, self._clock_lead_s = self._clock_lead_s, lead_s
        if known_s is not None and lead_s - known_s > MAX_SUSPENSION_S:
            self.assume(Source.SUSPENSION)
        elif self._policy.is_idle(now):
            self.assume(Source.IDLE)

    def confirm_start(self, call_id: int) -> bool:
        """Return whether an admitted call may be sent now, and count it."""
        self.note_call()
        return self._admitter.policy.confirm_start(call_id, time.monotonic())

    def stop(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def refresh(self) -> None:
        """Note the end of coldness if its time is over."""
        self._update(Source.EXPIRED)

    def _update(self, source: Source) -> None:
        if self._policy.settings is None and not self._is_cold:
            return
        now = time.monotonic()
        was_cold, self._is_cold = self._is_cold, self._policy.is_cold(now)
        if self._is_cold != was_cold:
            self._log(source, now)
        if self._is_cold:
            # Calls that wait have to keep to the limit as well.
            self._admitter.carry_out(self._admitter.policy.expire(now))
        self._set_timer(now)
        was_unsettled = self._is_unsettled
        self._is_unsettled = self._policy.is_unsettled(now)
        if self._is_unsettled and not was_unsettled:
            self.on_unsettled()
        self.on_change()

    def _log(self, source: Source, now: float) -> None:
        if self._is_cold:
            events.log(
                events.TARGET_COLD,
                target=self.target_id,
                source=source.value,
                cold_ms=round(self._policy.compute_left(now) * 1000.0),
            )
        else:
            events.log(
                events.TARGET_WARM,
                target=self.target_id,
                source=source.value,
                refused=self._policy.refused,
            )

    def _set_timer(self, now: float) -> None:
        self.stop()
        self._timer = None
        if self._is_cold:
            self._timer = self._loop.call_later(
                self._policy.compute_left(now), self.refresh
            )


def _ignore() -> None:
    pass
