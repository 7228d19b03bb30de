"""How old the newest certainty about the configuration is, and who renews it.

Any node may ask the store whether there is a newer version, and tell others
what it heard. The roots of the relay ask early, so that the rest need not ask
at all; each of them still asks by itself when it has heard nothing for longer,
those that tell others first.
"""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class RefreshPolicy:
    """Ages of the certainty at which a node asks.

    Args:
        peers_s: For nodes that ask peers, before they ask the store.
        early_s: For the nodes that ask the store for all.
        late_s: For the others that tell further nodes.
        spread_s: Added to the latter at random, so that they do not all ask
            together when the first ones are lost; and once more for nodes
            that tell nobody, as the others may tell them meanwhile.
    """

    peer_refresh_age_s: float
    root_refresh_age_s: float
    relay_refresh_age_s: float
    jitter_s: float

    def choose_refresh_age(
        self, *, is_root: bool, has_children: bool, random_value: float
    ) -> float:
        """Return the age at which to ask.

        Args:
            is_root: Whether this node asks for all.
            has_children: Whether it tells other nodes.
            random_value: A random number, 0 <= value < 1.
        """
        if is_root:
            return self.root_refresh_age_s
        steps = random_value if has_children else 1.0 + random_value
        return self.relay_refresh_age_s + self.jitter_s * steps


class Freshness:
    """Remembers until when the configuration in force was the newest.

    Keys may be withdrawn by a version that has not arrived. A node that has
    not been told for a while that there is none must not go by its keys.

    Args:
        limit_s: Seconds for which a confirmation counts.
    """

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self._confirmed_at = -math.inf

    def confirm(self, true_at: float) -> None:
        """Take a confirmation.

        Args:
            true_at: When it was true for certain, in seconds of a clock
                that runs through suspension.
        """
        self._confirmed_at = max(self._confirmed_at, true_at)

    def get_age(self, now: float) -> float:
        """Return the seconds since the last certainty."""
        return now - self._confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Return whether keys may be relied on."""
        return now - self._confirmed_at < self.limit_s
