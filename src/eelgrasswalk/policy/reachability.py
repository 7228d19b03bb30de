"""For how long a peer could not be reached, from what its links have shown."""

import math

# A failure that is older says nothing of now.
FAILURE_EXPIRY_S = 2.0
# A host that refuses connections is up, and its process is about to be started
# again; it may fail for so much longer.
RESTART_GRACE_S = 1.0


class Reachability:
    """What is known of one peer; the time comes in.

    Attributes:
        refused: Whether the peer's host refused the last dial.
    """

    def __init__(self) -> None:
        self.refused = False
        self._failing_since: float | None = None
        self._failed_at = -math.inf
        self._silent_since: float | None = None

    def record_link_closed(self, silent_since: float | None) -> None:
        """Note that a link has ended.

        Args:
            silent_since: Time of the probe that the peer left unanswered;
                None if the link did not end for silence.
        """
        self._silent_since = silent_since

    def record_dial_succeeded(self) -> None:
        """Note that a dial has succeeded."""
        self.refused = False
        self.reset_failures()
        self._silent_since = None

    def record_dial_failed(
        self, started_at: float, now: float, *, refused: bool
    ) -> None:
        """Note that a dial has failed.

        A link that fell silent just before it was the first failure. By
        itself it says little, as a new one may work.

        Args:
            started_at: When the dial began, in seconds.
            now: The time, in seconds.
            refused: Whether the peer's host refused it.
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
        """Count failures anew."""
        self._failing_since = None

    def has_failed_for(self, min_duration_s: float, now: float) -> bool:
        """Return whether the peer has failed for so long, and still does.

        Args:
            least_s: Seconds that it must have failed.
            now: The time, in seconds.
        """
        if (
            self._failing_since is None
            or now - self._failed_at > FAILURE_EXPIRY_S
        ):
            return False
        grace_s = RESTART_GRACE_S if self.refused else 0.0
        return now - self._failing_since >= min_duration_s + grace_s
