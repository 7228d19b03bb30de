"""How long a peer has been unreachable, from the history of its links."""

import math

# An older failure is no evidence that the peer is still unreachable.
FAILURE_EXPIRY_S = 2.0
# A host that refuses connections is up and its process is probably restarting,
# so the peer counts as failed this much later.
RESTART_GRACE_S = 1.0


class Reachability:
    """Reachability of one peer. Callers pass the time.

    Attributes:
        refused: Whether the peer's host refused the last connection attempt.
    """

    def __init__(self) -> None:
        self.refused = False
        self._failing_since: float | None = None
        self._failed_at = -math.inf
        self._silent_since: float | None = None

    def record_link_closed(self, silent_since: float | None) -> None:
        """Record that a link has closed.

        Args:
            silent_since: When the probe was sent that the peer left
                unanswered, in seconds; None if the link closed for another
                reason.
        """
        self._silent_since = silent_since

    def record_dial_succeeded(self) -> None:
        """Record a successful connection attempt."""
        self.refused = False
        self.reset_failures()
        self._silent_since = None

    def record_dial_failed(
        self, started_at: float, now: float, *, refused: bool
    ) -> None:
        """Record a failed connection attempt.

        If a link was closed for silence shortly before, the failure counts
        from that silence. Silence alone is no failure, since a new link may
        work.

        Args:
            started_at: When the attempt began, in seconds.
            now: The time, in seconds.
            refused: Whether the peer's host refused the connection.
        """
        self.refused = refused
        self._failed_at = now
        if self._failing_since is not None:
            return
        self._failing_since = started_at
        silent_since = self._silent_since
        if silent_since is None or refused:
            return
        if started_at - silent_since <= FAILURE_EXPIRY_S:
            self._failing_since = silent_since

    def reset_failures(self) -> None:
        """Forget the failures recorded so far."""
        self._failing_since = None

    def has_failed_for(self, min_duration_s: float, now: float) -> bool:
        """Return whether the peer has been failing for a minimum time.

        Args:
            min_duration_s: Minimum duration of the failure in seconds.
            now: The time, in seconds.
        """
        if (
            self._failing_since is None
            or now - self._failed_at > FAILURE_EXPIRY_S
        ):
            return False
        grace_s = RESTART_GRACE_S if self.refused else 0.0
        return now - self._failing_since >= min_duration_s + grace_s
