"""Keeps the certainty about the rules young, by peers or by the store."""

import asyncio
import random
import typing

from .. import events
from ..policy import freshness
from ..policy import relay_tree
from . import background
from . import feed
from . import rules

# Pause after a question that the store did not answer; its feed, which fails
# as well then, looks for it meanwhile.
RETRY_S = 0.3
# A version that a peer told of comes by the relay a moment later; only if it
# does not, the store is asked.
NEWER_GRACE_S = 0.25
# Most that a slow answer moves the next question forward.
MOST_HASTE_S = 1.0


class Confirmation:
    """Tells peers how certain the rules are, and hears it from them.

    What is told holds at a time of the store's clock, so that a message that
    was held up on its way says nothing wrong.

    Args:
        keeper: Keeps the rules.
        rules_feed: Asks the store.
        fresh: How old the certainty is.
        refresh_policy: How old it may become.
        get_place: Returns this node's place among the others.
        ask_peers: Asks a few peers what they know of the rules.
        clock: Seconds of a clock that runs through suspension.
        source: Random numbers.

    Attributes:
        refresh_policy: How old the certainty may become.
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
        self._haste_s = 0.0
        self._was_fresh = True
        self._work = background.Background(self._run)

    async def start(self) -> None:
        """Begin to ask the store where peers do not."""
        await self._work.start()

    async def stop(self) -> None:
        """End."""
        await self._work.stop()

    def tell(self) -> tuple[int, float]:
        """Return the version in force, and when it was the newest.

        Returns:
            The version, and a time of the store's clock; zeros before the
            first certainty.
        """
        certainty = self._keeper.certainty
        if certainty is None:
            return 0, 0.0
        return certainty.version, certainty.store_s

    def hear(self, version: int, store_s: float) -> None:
        """Take what a peer told.

        Args:
            version: The version in force there.
            store_s: When it was the newest, by the store's clock.
        """
        table = self._keeper.get_table()
        if table is None:
            return
        if version > table.version:
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
            self._note_freshness()
            limit_s = self._choose_limit()
            await self._wait_until_due(limit_s)
            if self._outdated.is_set() and not await self._is_behind():
                continue
            self._outdated.clear()
            asked_at = self._clock()
            if self._feed.is_failing or not await self._feed.confirm():
                # The store may refuse this node and serve others.
                self._ask_peers()
                await asyncio.sleep(RETRY_S * (0.5 + self._random.random()))
                continue
            self._haste_s = min(MOST_HASTE_S, self._clock() - asked_at)

    def _note_freshness(self) -> None:
        now = self._clock()
        is_fresh = self._fresh.is_fresh(now)
        if is_fresh == self._was_fresh:
            return
        self._was_fresh = is_fresh
        version, store_s = self.tell()
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
        return refresh_age_s - self._haste_s

    async def _is_behind(self) -> bool:
        """Return whether a newer version has not come by itself."""
        await asyncio.sleep(NEWER_GRACE_S)
        table = self._keeper.get_table()
        if table is not None and table.version >= self._newer:
            self._outdated.clear()
            return False
        return True

    async def _wait_until_due(self, limit_s: float) -> None:
        """Return when the certainty is that old, or a peer has a newer one."""
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
