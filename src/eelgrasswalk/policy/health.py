"""Whether a target is to get calls, from its health and from its answers.

A health endpoint lags or misleads. It takes a target out only when no call
has been answered since its failures began, and a single success, of either
kind, brings the target back.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HealthSettings:
    """Settings of the judgement.

    Args:
        failures: Failed checks in a row that take a target out.
    """

    failures: int = 4


class TargetHealth:
    """Judges one target.

    Args:
        settings: The settings.
    """

    def __init__(self, settings: HealthSettings | None = None) -> None:
        self._settings = settings or HealthSettings()
        self._failures = 0
        self._answers_at_first_failure = 0

    @property
    def usable(self) -> bool:
        """Whether the target is to get calls."""
        return self._failures < self._settings.failures

    def observe_check(self, *, ok: bool, answers: int) -> bool:
        """Take the outcome of one check.

        Args:
            ok: Whether the endpoint said that the target is healthy.
            answers: Calls that the target has answered so far.

        Returns:
            Whether the target is to get calls.
        """
        if ok:
            self._failures = 0
            return True
        if self._failures == 0 or answers > self._answers_at_first_failure:
            self._failures = 0
            self._answers_at_first_failure = answers
        self._failures += 1
        return self.usable
