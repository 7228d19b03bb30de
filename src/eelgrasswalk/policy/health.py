"""Health of a target, from health checks and from its responses to calls.

Health endpoints may lag or be wrong. Failed checks make a target unhealthy
only if it has responded to no call since the first of them, and one
successful check or one response makes it healthy again.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HealthSettings:
    """Settings of health checking.

    Args:
        failure_threshold: Consecutive failed checks that make a target
            unhealthy.
    """

    failure_threshold: int = 4


class TargetHealth:
    """Tracks the health of one target.

    Args:
        settings: The settings.
    """

    def __init__(self, settings: HealthSettings | None = None) -> None:
        self._settings = settings or HealthSettings()
        self._consecutive_failures = 0
        self._responses_at_first_failure = 0

    @property
    def usable(self) -> bool:
        """Whether calls may be sent to the target."""
        return self._consecutive_failures < self._settings.failure_threshold

    def observe_check(self, *, ok: bool, answers: int) -> bool:
        """Record the outcome of one health check.

        Args:
            ok: Whether the endpoint reported the target as healthy.
            answers: Number of calls that the target has answered so far.

        Returns:
            Whether calls may be sent to the target.
        """
        if ok:
            self._consecutive_failures = 0
            return True
        if (
            self._consecutive_failures == 0
            or answers > self._responses_at_first_failure
        ):
            self._consecutive_failures = 0
            self._responses_at_first_failure = answers
        self._consecutive_failures += 1
        return self.usable
