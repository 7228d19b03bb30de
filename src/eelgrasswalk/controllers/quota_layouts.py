"""How many slots each account has: rows that never change."""

import math
import random
import typing

from ..platform import protocols
from ..policy import quota
from ..policy import quota_messages

LAYOUT_PREFIX = 'quota-slots/'
TOKEN_BYTES = 16
RETRY_S = 0.25


class Layouts:
    """Reads or decides the number of slots of each account.

    Args:
        table: The platform's table.
        clock: Clock in seconds.
        source: Random numbers.
        choose_slot_count: Returns the number of slots of a new account with
            this burst.
        on_known: Called with an account and its number of slots.
    """

    def __init__(
        self,
        table: protocols.Table,
        *,
        clock: typing.Callable[[], float],
        source: random.Random,
        choose_slot_count: typing.Callable[[float], int],
        on_known: typing.Callable[[str, int], None],
    ) -> None:
        self._table = table
        self._clock = clock
        self._source = source
        self._choose_slot_count = choose_slot_count
        self._on_known = on_known
        self._counts: dict[str, int] = {}
        self._due_at = -math.inf

    def get(self, account: str) -> int:
        """Return the number of an account's slots; 0 if unknown."""
        return self._counts.get(account, 0)

    def note(self, account: str, slots: int) -> None:
        """Note how many slots an account has, for good."""
        if slots < 1 or account in self._counts:
            return
        self._counts[account] = slots
        self._on_known(account, slots)

    async def step(self, limits: typing.Mapping[str, quota.RateLimit]) -> None:
        """Read what is not known of these accounts, when that is due."""
        missing = limits.keys() - self._counts.keys()
        if not missing or self._clock() < self._due_at:
            return
        self._due_at = self._clock() + RETRY_S
        if not await self._read_all():
            return
        for account in sorted(missing - self._counts.keys()):
            await self._write(account, limits[account])

    async def _read_all(self) -> bool:
        after = ''
        while True:
            outcome = await self._table.list(LAYOUT_PREFIX, after=after)
            if not isinstance(outcome, protocols.Listed):
                return False
            for row in outcome.rows:
                self._note_row(row)
            if not outcome.rows:
                return True
            after = outcome.rows[-1].key

    async def _write(self, account: str, limit: quota.RateLimit) -> None:
        slots = self._choose_slot_count(limit.burst)
        token = self._source.randbytes(TOKEN_BYTES)
        value = quota_messages.encode_layout(slots, token)
        outcome = await self._table.put(
            LAYOUT_PREFIX + account, value, expected=None
        )
        match outcome:
            case protocols.Done():
                self.note(account, slots)
            case protocols.Conflict(_, rows):
                for row in rows:
                    self._note_row(row)

    def _note_row(self, row: protocols.Row) -> None:
        try:
            slots = quota_messages.decode_layout(row.value)
        except quota_messages.MessageError:
            return
        self.note(row.key.removeprefix(LAYOUT_PREFIX), slots)
