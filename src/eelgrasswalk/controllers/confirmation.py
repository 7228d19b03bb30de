"""Keeps the rules confirmed as the newest, by peers or by the store."""

import asyncio
import random
import typing

from .. import events
from ..policy import freshness
from ..policy import relay_tree
from . import background
from . import feed
from . import rules

# Pause after the store did not answer; its feed, which fails as well then,
# reconnects meanwhile.
RETRY_S = 0.3
# The relay normally delivers a version that a peer has mentioned within this
# time; the store is asked only if it does not.
NEWER_GRACE_S = 0.25
# Longest time by which a slow answer advances the next question.
MAX_ADVANCE_S = 1.0


class Confirmation:
    """Exchanges confirmations of the rules with peers and with the store.

    A confirmation names a time of the store's clock, so that one that was
    delayed on its way is still true.

    Args:
        keeper: Holds the rules in force.
        rules_feed: Feed of the rules from the store.
        fresh: Age of the last confirmation.
        refresh_policy: Ages at which to ask for a new one.
        get_place: Returns this node's place in the relay tree.
        ask_peers: Asks a few peers for their confirmations.
        clock: Seconds of a clock that runs through suspension.
        source: Random number generator, for jitter.

    Attributes:
        refresh_policy: Ages at which to ask for a new confirmation.
    """

    def __init__(
        self,
        *,
        keeper: rules.RuleKeeper,
        rules_feed: feed.Feed,
        fresh: freshness.Freshness,
        refresh_policy: freshness.RefreshPolicy,
        get_place: typing.Callable[[], relay_tree.Place],
        ask_peers: typing.Callable[[], None],
        clock: typing.Callable[[], float],
        source: random.Random,
    ) -> None:
        self._keeper = keeper
        self._feed = rules_feed
        self._fresh = fresh
        self.refresh_policy = refresh_policy
        self._get_place = get_place
        self._ask_peers = ask_peers
        self._clock = clock
        self._random = source
        self._outdated = asyncio.Event()
        self._newer = 0
        self._advance_s = 0.0
        self._was_fresh = True
        self._work = background.Background(self._run)

    async def start(self) -> None:
        """Start to ask the store whenever peers do not confirm in time."""
        await self._work.start()

    async def stop(self) -> None:
        """Stop asking the store."""
        await self._work.stop()

    def get_confirmed(self) -> tuple[int, float]:
        """Return the version in force, and when it was the newest.

        Returns:
            The version, and a time of the store's clock; zeros before the
            first confirmation.
        """
        certainty = self._keeper.certainty
        if certainty is None:
            return 0, 0.0
        return certainty.version, certainty.store_s

    def receive_confirmed(self, version: int, store_s: float) -> None:
        """Handle the confirmation of a peer.

        Args:
            version: Version in force at the peer.
            store_s: When it was the newest, by the store's clock.
        """
        table = self._keeper.get_table()
        if table is None:
            return
        if version > table.version:
            self._keeper.note_newer(version)
            if not self._outdated.is_set():
                events.log(
                    events.RULES_OUTDATED,
                    version=table.version,
                    newer=version,
                )
            self._newer = max(self._newer, version)
            self._outdated.set()
        elif version == table.version:
            true_at = self._feed.store_clock.to_local_time(
                store_s, self._clock()
            )
            if true_at is not None:
                self._keeper.confirm(store_s, true_at)

    async def _run(self) -> None:
        await self._feed.filled.wait()
        while True:
            self._log_freshness()
            limit_s = self._choose_limit()
            await self._wait_until_due(limit_s)
            if self._outdated.is_set() and not await self._is_behind():
                continue
            self._outdated.clear()
            asked_at = self._clock()
            known_at = self._fresh.confirmed_at
            if (
                self._feed.is_failing
                or not await self._feed.confirm()
                or self._fresh.confirmed_at <= known_at
            ):
                # The store may refuse this node and serve others, or show
                # other rules than those in force.
                self._ask_peers()
                await asyncio.sleep(RETRY_S * (0.5 + self._random.random()))
                continue
            self._advance_s = min(MAX_ADVANCE_S, self._clock() - asked_at)

    def _log_freshness(self) -> None:
        now = self._clock()
        is_fresh = self._fresh.is_fresh(now)
        if is_fresh == self._was_fresh:
            return
        self._was_fresh = is_fresh
        version, store_s = self.get_confirmed()
        events.log(
            events.RULES_CERTAIN if is_fresh else events.RULES_UNCERTAIN,
            version=version,
            age_s=round(self._fresh.get_age(now), 2),
            store_s=store_s,
        )

    def _choose_limit(self) -> float:
        place = self._get_place()
        refresh_age_s = self.refresh_policy.choose_refresh_age(
            is_root=place.is_root,
            has_children=bool(place.children),
            random_value=self._random.random(),
        )
        return refresh_age_s - self._advance_s

    async def _is_behind(self) -> bool:
        """Return whether a newer version has not arrived by the relay."""
        await asyncio.sleep(NEWER_GRACE_S)
        table = self._keeper.get_table()
        if table is not None and table.version >= self._newer:
            self._outdated.clear()
            return False
        return True

    async def _wait_until_due(self, limit_s: float) -> None:
        """Wait for an age of the confirmation, or for a newer version."""
        has_asked = False
        while not self._outdated.is_set():
            age_s = self._fresh.get_age(self._clock())
            left_s = limit_s - age_s
            if left_s <= 0.0:
                return
            if age_s < self.refresh_policy.peer_refresh_age_s:
                left_s = min(
                    left_s, self.refresh_policy.peer_refresh_age_s - age_s
                )
                has_asked = False
            elif not has_asked:
                self._ask_peers()
                has_asked = True
            try:
                async with asyncio.timeout(left_s):
                    await self._outdated.wait()
            except TimeoutError:
                continue
