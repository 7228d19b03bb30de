"""Decides whether a call probes for a free slot before it queues.

Intended for many callers and many targets with few slots each. Reported
loads are older than the time for which a slot stays free, so a call often
reaches a busy target while others are idle. A probe that finds no free slot
costs one round trip, while queueing costs the work that is ahead.

When all targets are busy, probes only cost messages. A caller therefore
probes only while enough recent calls of the service have found a free slot,
and for a small share of calls to detect when that changes.
"""

import dataclasses

# Probes per call. A second probe rarely finds a free slot after a first one
# did not, so it is not worth its messages.
MAX_PROBES = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeSettings:
    """Settings of the probe policy.

    Args:
        min_success_ratio: Share of calls that found a free slot below which
            calls queue at the first target.
        ewma_weight: Weight of the newest call in the moving average of that
            share.
        exploration_ratio: Share of calls that probe even below it.
    """

    min_success_ratio: float = 0.2
    ewma_weight: float = 0.05
    exploration_ratio: float = 0.05


class ProbePolicy:
    """Probe policy of one caller's node. Callers pass random numbers.

    Args:
        settings: The settings.
    """

    def __init__(self, settings: ProbeSettings) -> None:
        self._settings = settings
        self._success_ratios: dict[str, float] = {}

    def should_probe(
        self, service: str, *, probes: int, targets: int, random_value: float
    ) -> bool:
        """Return whether the next attempt of a call is a probe.

        Args:
            service: The service that is called.
            probes: Number of probes that the call has already sent.
            targets: Number of targets that it may be sent to.
            random_value: A random number, 0 <= value < 1.
        """
        if probes >= min(MAX_PROBES, targets - 1):
            return False
        success_ratio = self._success_ratios.get(service, 1.0)
        return (
            success_ratio >= self._settings.min_success_ratio
            or random_value < self._settings.exploration_ratio
        )

    def observe(self, service: str, *, found_free_slot: bool) -> None:
        """Record whether an attempt found a free slot."""
        share = self._success_ratios.get(service, 1.0)
        share += self._settings.ewma_weight * (float(found_free_slot) - share)
        self._success_ratios[service] = share
