"""Decides which configuration version a node fetches and puts in force.

A node keeps the highest version that it has accepted and never reverts to a
lower one. It learns of versions from the store, polled at a rate that the
whole fleet shares, and from peers, whose messages carry their version.
"""

import collections
import dataclasses
import typing

_MAX_HOLDERS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class VersionTrackerSettings:
    """Settings of the version tracker.

    Args:
        min_poll_interval_s: Minimum mean interval in seconds between two
            polls of the store.
        fleet_polls_per_s: Polls per second of all nodes together.
        stale_after_s: Seconds without contact to store or peers after which
            the configuration counts as stale.
        outdated_after_s: Seconds after which a known version must be in
            force, since it may have withdrawn a key.
        initial_backoff_s: Seconds to wait after a failed fetch; doubles with
            each further failure.
        max_backoff_s: Maximum wait in seconds after a failed fetch.
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
        version: The lowest version that is useful.
        source: Where to fetch the document.
    """

    version: int
    source: FromStore | FromPeer


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Nothing is to be fetched now.

    Args:
        until: Time in seconds of the caller's clock at which to ask again;
            None if nothing is to be fetched before a higher version is
            known.
    """

    until: float | None = None


Step: typing.TypeAlias = Fetch | Wait


class VersionTracker:
    """Tracks the versions known to a node.

    Args:
        settings: The settings.
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
        self._store_response_at: float | None = None
        self._peer_message_at: float | None = None
        self._outdated_since: float | None = None

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self._version

    @property
    def wanted(self) -> int:
        """The highest version known."""
        return self._wanted

    @property
    def rejected(self) -> tuple[int, ...]:
        """Versions that this node cannot read, in ascending order."""
        return tuple(sorted(self._rejected))

    def observe_store_version(self, version: int, now: float) -> None:
        """Record the version in the store; 0 if it has none."""
        self._store_response_at = now
        self._store_version = max(self._store_version, version)
        self._note_version(version, now)

    def observe_peer_version(
        self, node_id: str, version: int, now: float
    ) -> None:
        """Record the version in force at a peer; 0 if it has none."""
        self._peer_message_at = now
        if version <= self._version or version in self._rejected:
            return
        self._holders[node_id] = version
        self._holders.move_to_end(node_id)
        if len(self._holders) > _MAX_HOLDERS:
            self._holders.popitem(last=False)
        self._note_version(version, now)

    def next_step(self, now: float) -> Step:
        """Return what to fetch, if anything, and mark the fetch as started."""
        if self._fetching or not self._is_behind():
            return Wait()
        if now < self._retry_at:
            return Wait(self._retry_at)
        self._fetching = True
        return Fetch(self._version + 1, self._choose_source())

    def end_fetch(self, fetch: Fetch, now: float) -> None:
        """Record that a fetch has ended, with or without a new version."""
        self._fetching = False
        if self._version >= fetch.version:
            return
        backoff_s = self._settings.initial_backoff_s * 2**self._failures
        self._retry_at = now + min(backoff_s, self._settings.max_backoff_s)
        self._failures = min(self._failures + 1, 30)
        if isinstance(fetch.source, FromPeer):
            self._holders.pop(fetch.source.node_id, None)

    def accept(self, version: int) -> bool:
        """Accept a fetched version and return whether to put it in force."""
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
        """Record that this node cannot read a version, to fetch it no more."""
        self._rejected.add(version)
        if version >= self._wanted:
            self._outdated_since = None

    def is_stale(self, now: float) -> bool:
        """Return whether the version in force is or may be out of date.

        That is the case if there was no contact to store or peers for too
        long, or if a newer version is known and could not be fetched.
        """
        since = self._outdated_since
        if since is not None and now - since > self._settings.outdated_after_s:
            return True
        times = [
            at
            for at in (self._store_response_at, self._peer_message_at)
            if at is not None
        ]
        if not times:
            return True
        return now - max(times) > self._settings.stale_after_s

    def get_store_age(self, now: float) -> float | None:
        """Return the seconds since the last contact to the store, if any."""
        if self._store_response_at is None:
            return None
        return now - self._store_response_at

    def get_peer_age(self, now: float) -> float | None:
        """Return the seconds since the last message of a peer, if any."""
        if self._peer_message_at is None:
            return None
        return now - self._peer_message_at

    def choose_poll_delay(self, members: int, random_value: float) -> float:
        """Return the seconds until the next poll of the store.

        Args:
            members: Number of nodes in the fleet, including this one.
            random_value: A uniform random number from 0 to 1.
        """
        interval_s = members / self._settings.fleet_polls_per_s
        mean_interval_s = max(self._settings.min_poll_interval_s, interval_s)
        return mean_interval_s * (0.5 + random_value)

    def _note_version(self, version: int, now: float) -> None:
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
        """Prefer a source with the newest version; alternate on failure."""
        prefers_store = self._store_version >= self._wanted
        has_failed = self._failures % 2 == 1
        if prefers_store != has_failed or not self._holders:
            return FromStore()
        return FromPeer(next(reversed(self._holders)))
