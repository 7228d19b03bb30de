"""Decides which version of the configuration a node follows.

A node keeps the highest version that it has accepted and never goes back.
Versions are heard from the store, polled at a rate that the whole fleet
shares, and from peers, whose messages carry their version.
"""

import collections
import dataclasses
import typing

_MOST_HOLDERS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class VersionTrackerSettings:
    """How a node follows the configuration.

    Args:
        shortest_poll_s: Shortest time between two polls of the store.
        fleet_polls_per_s: Polls of all nodes together.
        stale_after_s: Time without word of store or peers after which the
            configuration may be out of date.
        outdated_after_s: Time after which a version that has been heard of
            must be in force; it may have withdrawn a key.
        first_retry_s: Pause after a failed fetch; it doubles.
        longest_retry_s: Longest pause after a failed fetch.
    """

    min_poll_interval_s: float = 1.0
    fleet_polls_per_s: float = 200.0
    stale_after_s: float = 10.0
    outdated_after_s: float = 1.0
    initial_backoff_s: float = 0.2
    max_backoff_s: float = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class FromStore:
    """The document is to be fetched from the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class FromPeer:
    """The document is to be fetched from a peer."""

    node_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """A document is to be fetched.

    Args:
        version: The least version that is of use.
        source: Where to fetch it.
    """

    version: int
    source: FromStore | FromPeer


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Nothing is to be fetched now.

    Args:
        until: Seconds of the caller's clock at which to ask again; None
            when a higher version has to be heard first.
    """

    until: float | None = None


Step: typing.TypeAlias = Fetch | Wait


class VersionTracker:
    """What a node knows of the versions.

    Args:
        settings: How it follows.
    """

    def __init__(self, settings: VersionTrackerSettings) -> None:
        self._settings = settings
        self._version = 0
        self._wanted = 0
        self._store_version = 0
        self._holders: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._rejected: set[int] = set()
        self._fetching = False
        self._failures = 0
        self._retry_at = 0.0
        self._store_heard_at: float | None = None
        self._peer_heard_at: float | None = None
        self._outdated_since: float | None = None

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self._version

    @property
    def wanted(self) -> int:
        """The highest version heard of."""
        return self._wanted

    @property
    def rejected(self) -> tuple[int, ...]:
        """Versions that could not be read, in order."""
        return tuple(sorted(self._rejected))

    def observe_store_version(self, version: int, now: float) -> None:
        """Take the version that the store has; 0 when it has none."""
        self._store_heard_at = now
        self._store_version = max(self._store_version, version)
        self._want(version, now)

    def observe_peer_version(
        self, node_id: str, version: int, now: float
    ) -> None:
        """Take the version that a peer has in force; 0 when it has none."""
        self._peer_heard_at = now
        if version <= self._version or version in self._rejected:
            return
        self._holders[node_id] = version
        self._holders.move_to_end(node_id)
        if len(self._holders) > _MOST_HOLDERS:
            self._holders.popitem(last=False)
        self._want(version, now)

    def next_step(self, now: float) -> Step:
        """Tell what to fetch, if anything; it then counts as under way."""
        if self._fetching or not self._is_behind():
            return Wait()
        if now < self._retry_at:
            return Wait(self._retry_at)
        self._fetching = True
        return Fetch(self._version + 1, self._choose_source())

    def end_fetch(self, fetch: Fetch, now: float) -> None:
        """Note that a fetch has ended, with or without a new version."""
        self._fetching = False
        if self._version >= fetch.version:
            return
        pause = self._settings.initial_backoff_s * 2**self._failures
        self._retry_at = now + min(pause, self._settings.max_backoff_s)
        self._failures = min(self._failures + 1, 30)
        if isinstance(fetch.source, FromPeer):
            self._holders.pop(fetch.source.node_id, None)

    def accept(self, version: int) -> bool:
        """Tell whether a version that was fetched is to be put in force."""
        if version <= self._version:
            return False
        self._version = version
        if version >= self._wanted:
            self._outdated_since = None
        self._failures = 0
        self._retry_at = 0.0
        for node_id, held in tuple(self._holders.items()):
            if held <= version:
                del self._holders[node_id]
        return True

    def reject(self, version: int) -> None:
        """Note that a version cannot be read here and is not to be tried."""
        self._rejected.add(version)
        if version >= self._wanted:
            self._outdated_since = None

    def is_stale(self, now: float) -> bool:
        """Tell whether the version in force may be, or is, out of date.

        Either neither store nor peers were heard for too long, or a newer
        version was heard of and could not be fetched.
        """
        since = self._outdated_since
        if since is not None and now - since > self._settings.outdated_after_s:
            return True
        heard = [
            at
            for at in (self._store_heard_at, self._peer_heard_at)
            if at is not None
        ]
        if not heard:
            return True
        return now - max(heard) > self._settings.stale_after_s

    def get_store_age(self, now: float) -> float | None:
        """Return the seconds since the store was heard, if ever."""
        if self._store_heard_at is None:
            return None
        return now - self._store_heard_at

    def get_peer_age(self, now: float) -> float | None:
        """Return the seconds since a peer was heard, if ever."""
        if self._peer_heard_at is None:
            return None
        return now - self._peer_heard_at

    def choose_poll_delay(self, members: int, draw: float) -> float:
        """Return the seconds until the next poll of the store.

        Args:
            members: Nodes in the fleet, this one among them.
            draw: Uniform random number from 0 to 1.
        """
        share = members / self._settings.fleet_polls_per_s
        mean = max(self._settings.min_poll_interval_s, share)
        return mean * (0.5 + draw)

    def _want(self, version: int, now: float) -> None:
        if version > self._wanted and version not in self._rejected:
            self._wanted = version
            if version > self._version and self._outdated_since is None:
                self._outdated_since = now
            self._failures = 0
            self._retry_at = 0.0

    def _is_behind(self) -> bool:
        newest = max(self._store_version, *self._holders.values(), 0)
        return newest > self._version and newest not in self._rejected

    def _choose_source(self) -> FromStore | FromPeer:
        """Prefer who is known to have the newest; take turns on failure."""
        prefers_store = self._store_version >= self._wanted
        has_failed = self._failures % 2 == 1
        if prefers_store != has_failed or not self._holders:
            return FromStore()
        return FromPeer(next(reversed(self._holders)))
