"""Age of the last confirmation of the configuration, and when to renew it.

Any node may ask the store whether there is a newer version and relay the
result to others. The root nodes of the relay tree ask early, so that the
others rarely need to. A node that has received no confirmation for longer asks
by itself; nodes that relay to others do so before those that do not.
"""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class RefreshPolicy:
    """Ages of the last confirmation at which a node asks for a new one.

    Args:
        peer_refresh_age_s: Age in seconds at which a node asks its peers,
            before it asks the store.
        root_refresh_age_s: Age in seconds at which a root node of the relay
            tree asks the store.
        relay_refresh_age_s: Age in seconds at which other nodes ask it.
        jitter_s: Maximum random addition to the latter in seconds, so that
            nodes do not all ask at once when the root nodes are lost. Added
            in full as well for nodes that relay to none, as they may still
            receive a confirmation meanwhile.
    """

    peer_refresh_age_s: float
    root_refresh_age_s: float
    relay_refresh_age_s: float
    jitter_s: float

    def choose_refresh_age(
        self, *, is_root: bool, has_children: bool, random_value: float
    ) -> float:
        """Return the age in seconds at which to ask the store.

        Args:
            is_root: Whether this node is a root of the relay tree.
            has_children: Whether it relays to other nodes.
            random_value: A random number, 0 <= value < 1.
        """
        if is_root:
            return self.root_refresh_age_s
        jitter_factor = random_value if has_children else 1.0 + random_value
        return self.relay_refresh_age_s + self.jitter_s * jitter_factor


class Freshness:
    """Tracks when the configuration in force was last known to be the newest.

    A version that has not arrived yet may withdraw keys. A node must not
    accept keys unless a recent confirmation rules out such a version.

    Args:
        limit_s: Seconds for which a confirmation is valid.

    Attributes:
        confirmed_at: Time of the last confirmation, in seconds of a clock
            that runs through suspension.
    """

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self.confirmed_at = -math.inf

    def confirm(self, confirmed_at: float) -> None:
        """Record a confirmation.

        Args:
            confirmed_at: When the configuration was certainly the newest,
                in seconds of a clock that runs through suspension.
        """
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def get_age(self, now: float) -> float:
        """Return the age of the last confirmation in seconds."""
        return now - self.confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Return whether keys may be accepted."""
        return now - self.confirmed_at < self.limit_s
