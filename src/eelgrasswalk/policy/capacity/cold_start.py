"""Limits the starts of calls while the target is or may be cold.

A cold target crashes if it receives calls at a rate well above the one that
it tolerates. All calls to a target pass the node beside it, so this limit
holds for the whole fleet. It counts in a sliding window instead of a token
bucket, since the bound is on every one-second window.

What the target says may be late or missing, so it is also assumed cold after
events that may have made it cold, until it responds to a later health check.
"""

import collections
import dataclasses
import math

WINDOW_S = 1.0
# Check-ins arrive every 1.5 s: after as long without a call, the target may
# have become cold without this node having learned of it.
IDLE_S = 1.5
# A repeated announcement ends up to this much later only by varying delays.
EXTENSION_S = 0.5
# Longest coldness that a target may report.
MAX_COLD_S = 3_600.0


@dataclasses.dataclass(frozen=True, slots=True)
class ColdSettings:
    """Limits of a service with cold targets.

    Args:
        per_s: Calls per second that a cold target tolerates.
        start_s: Seconds for which a target is cold after it starts.
        overage: Factor by which that rate may be exceeded.
        slack: Calls allowed beyond it in each one-second window.
    """

    per_s: float
    start_s: float
    overage: float
    slack: float

    @property
    def limit(self) -> int:
        """Calls that may start in any one-second window."""
        return max(1, math.floor(self.per_s * self.overage))

    @property
    def limit_after_start(self) -> int:
        """The same right after the start of this process.

        An earlier process of the node may have used its whole limit just
        before; only the slack is certainly left.
        """
        total = math.floor(self.per_s * self.overage + self.slack)
        return max(0, min(self.limit, total - self.limit))


class ColdStart:
    """Tracks whether one target is cold, and counts its calls meanwhile.

    Times are in seconds of a monotonic clock. It performs no I/O.

    Args:
        settings: Limits of the service; None if it has no cold targets, in
            which case nothing is limited.

    Attributes:
        settings: As above; changed by change_settings.
        refused: Number of calls that were refused because of coldness.
    """

    def __init__(self, settings: ColdSettings | None) -> None:
        self.settings = settings
        self.refused = 0
        self._starts: collections.deque[float] = collections.deque()
        self._has_run = False
        self._assumed_at = -math.inf
        self._announced_until = -math.inf
        # Newest event after which only a later response proves anything.
        self._event_at = -math.inf
        self._is_settled = True
        self._last_start_at = -math.inf
        self._idle_since = math.inf
        self._full_until = -math.inf
        self._unknown_until = -math.inf

    def change_settings(
        self, settings: ColdSettings | None, now: float
    ) -> None:
        """Set the limits of the service."""
        was_cold = self.is_cold(now)
        self.settings = settings
        if not was_cold:
            self._fill_if_cold(now)

    def begin_run(self, now: float) -> None:
        """Record that a run of a target is set that has had no calls."""
        if not self._has_run:
            self._unknown_until = now + WINDOW_S
        self._has_run = True
        self._last_start_at = -math.inf
        self._full_until = -math.inf
        self._announced_until = -math.inf
        self._idle_since = now
        self.assume(now)

    def assume(self, now: float) -> None:
        """Assume that the target is cold until a later response."""
        was_cold = self.is_cold(now)
        self._assumed_at = now
        self._event_at = now
        self._is_settled = False
        if not was_cold:
            self._fill_if_cold(now)

    def announce(self, cold_s: float, now: float) -> bool:
        """Record what the target reports without being asked.

        Args:
            cold_s: Seconds for which the target says that it remains cold.
                0 proves nothing, as the report may be old.
            now: The current time.

        Returns:
            Whether coldness begins or is notably longer, so that the target
            should be asked.
        """
        until = now + min(cold_s, MAX_COLD_S)
        if cold_s <= 0.0 or until <= self._announced_until:
            return False
        was_cold = self.is_cold(now)
        is_news = not was_cold or until > self._announced_until + EXTENSION_S
        self._announced_until = until
        if is_news:
            self._event_at = now
            self._is_settled = False
        if not was_cold:
            self._fill_if_cold(now)
        return is_news

    def confirm_warm(self, asked_at: float, now: float) -> bool:
        """Record a response which says that the target is not cold.

        Args:
            asked_at: When the health check was sent.
            now: The current time.

        Returns:
            Whether it is newer than all that suggests coldness.
        """
        if asked_at < self._event_at:
            return False
        self._settle(-math.inf)
        return True

    def confirm_cold(self, cold_s: float, asked_at: float, now: float) -> None:
        """Record a response which says how long the target remains cold.

        Args:
            cold_s: Seconds for which it remains cold.
            asked_at: When the health check was sent.
            now: The current time.
        """
        if asked_at < self._event_at:
            self.announce(cold_s, now)
            return
        was_cold = self.is_cold(now)
        self._settle(now + min(cold_s, MAX_COLD_S))
        if not was_cold:
            self._fill_if_cold(now)

    def compute_left(self, now: float) -> float:
        """Return the seconds for which the target is taken for cold."""
        if self.settings is None:
            return 0.0
        until = max(
            self._assumed_at + self.settings.start_s, self._announced_until
        )
        return max(0.0, until - now)

    def is_cold(self, now: float) -> bool:
        """Return whether the target is or may be cold."""
        return self.settings is not None and self.compute_left(now) > 0.0

    def is_unsettled(self, now: float) -> bool:
        """Return whether the target is taken for cold without its word."""
        return not self._is_settled and self.is_cold(now)

    def is_idle(self, now: float) -> bool:
        """Return whether a call now ends a time without any.

        False while the target is taken for cold in any case.
        """
        return (
            self.settings is not None
            and now - self._idle_since >= IDLE_S
            and not self.is_cold(now)
        )

    def may_start(self, now: float) -> bool:
        """Return whether a call may start."""
        return self.compute_wait(now) <= 0.0

    def compute_wait(self, now: float) -> float:
        """Return the seconds until a call may start."""
        if self.settings is None or not self.is_cold(now):
            return 0.0
        left_s = self.compute_left(now)
        if now < self._full_until:
            return min(left_s, self._full_until - now)
        limit = self.settings.limit
        if now < self._unknown_until:
            limit = self.settings.limit_after_start
            if limit == 0:
                return min(left_s, self._unknown_until - now)
        self._forget(now)
        if len(self._starts) < limit:
            return 0.0
        frees_at = self._starts[len(self._starts) - limit] + WINDOW_S
        return min(left_s, max(math.ulp(now), frees_at - now))

    def take(self, now: float) -> None:
        """Count a call that starts."""
        self._last_start_at = now
        self._idle_since = now
        if self.is_cold(now):
            self._forget(now)
            self._starts.append(now)

    def move(self, taken_at: float, now: float) -> bool:
        """Count a call where it is sent, if that may be done now.

        A call may have waited for a connection since it was admitted, or the
        target may have become cold since.

        Args:
            taken_at: When the call was admitted, and counted if the target
                was cold then.
            now: The current time.

        Returns:
            Whether the call may be sent.
        """
        if self.is_cold(now):
            self._forget(now)
            if taken_at in self._starts:
                self._starts.remove(taken_at)
            elif not self.may_start(now):
                return False
        self.take(now)
        return True

    def _settle(self, announced_until: float) -> None:
        self._assumed_at = -math.inf
        self._announced_until = announced_until
        self._is_settled = True

    def _fill_if_cold(self, now: float) -> None:
        """Treat the window as full: how many calls it had is not known."""
        if self.is_cold(now) and now - self._last_start_at < WINDOW_S:
            self._starts.clear()
            self._full_until = now + WINDOW_S

    def _forget(self, now: float) -> None:
        while self._starts and self._starts[0] < now - WINDOW_S:
            self._starts.popleft()
