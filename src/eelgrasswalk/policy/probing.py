"""Whether a call looks for a free slot before it waits at a target.

Load pattern that it answers: many callers before many targets with few slots
each. What a caller knows of a target's load is older than a slot stays free,
so a call often meets a busy target while others are idle. A refusal by a
target's node costs a round trip, waiting costs the work that is ahead.

When all targets are busy, looking finds nothing and costs messages. A caller
looks only as long as calls of the service lately found a free slot often
enough, and now and then to learn whether they do again.
"""

import dataclasses

# Targets that a call may ask before it waits at one. A second one finds a
# free slot where the first did not too seldom to be worth its messages.
MAX_PROBES = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeSettings:
    """Settings of the search.

    Args:
        least_found: Share of calls that met a free slot, below which calls
            wait at the first target.
        weight: Weight of the newest call in that share.
        trial: Share of calls that look all the same.
    """

    least_found: float = 0.2
    weight: float = 0.05
    trial: float = 0.05


class ProbePolicy:
    """Decides for one caller's node; random numbers come in.

    Args:
        settings: The settings.
    """

    def __init__(self, settings: ProbeSettings) -> None:
        self._settings = settings
        self._found: dict[str, float] = {}

    def should_probe(
        self, service: str, *, probes: int, targets: int, random_value: float
    ) -> bool:
        """Return whether the next attempt of a call only looks.

        Args:
            service: The service that is called.
            probes: How often the call has looked already.
            targets: Targets of the service that it may be sent to.
            random_value: A random number, 0 <= value < 1.
        """
        if probes >= min(MAX_PROBES, targets - 1):
            return False
        found = self._found.get(service, 1.0)
        return (
            found >= self._settings.least_found
            or random_value < self._settings.trial
        )

    def observe(self, service: str, *, found_free_slot: bool) -> None:
        """Note whether an attempt met a free slot."""
        share = self._found.get(service, 1.0)
        share += self._settings.weight * (float(found_free_slot) - share)
        self._found[service] = share
