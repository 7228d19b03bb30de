"""The account of what all clients of a process make it hold."""

import asyncio
import collections.abc
import dataclasses
import typing

from .. import events
from ..policy import client_load
from . import budget

# Least time between two comparisons of all connections that freed too little.
SCAN_INTERVAL_S = 0.02
LOG_INTERVAL_S = 1.0
# Part of the budget of bodies that is left to bodies of unfinished requests
# and unread answers of a crowd, half of what new calls may find in use.
UNFINISHED_BODY_SHARE = budget.ADMIT_SHARE / 2
# Part of the limit on what clients hold that a long body never takes.
MIN_HELD_SHARE = 0.25


class Holder(typing.Protocol):
    """A connection in the account.

    Attributes:
        charged: Bytes of it that the account has counted; the connection adds
            to both when it holds more or less than before.
    """

    charged: int

    @property
    def is_reading_slowly(self) -> bool:
        """Whether its caller reads a long answer slowly."""

    @property
    def is_stalled(self) -> bool:
        """Whether its caller hardly reads an answer, or not at all."""

    @property
    def held_bytes(self) -> int:
        """Bytes that it holds, without those of bodies in the budget."""

    @property
    def held_body_bytes(self) -> int:
        """Bytes of bodies in the budget for which it may be closed."""

    def measure_age(self, now: float) -> float | None:
        """Return for how long its present message has been under way.

        Returns:
            Seconds; None if it must not be closed.
        """

    def shed(self) -> None:
        """Close at once and hold nothing any more."""


class ClientAccount:
    """Counts what clients make a process hold, and closes connections.

    Each connection counts what it holds when that has changed. Connections are
    compared only when a limit is exceeded. Bodies, as far as the budget of
    bodies counts them, are compared by themselves.

    Args:
        bounds: What is allowed.
        bodies: Budget for bodies. New calls are refused while most of it is
            used, so connections that fill it are closed before that.

    Attributes:
        bounds: As above; may be changed at any time.
        used: Bytes held.
        shed: Number of connections closed for what they held.
        refused: Number of new connections refused.
        refused_requests: Number of requests refused for lack of memory.
    """

    def __init__(
        self, bounds: client_load.Bounds, bodies: budget.ByteBudget
    ) -> None:
        self.bounds = bounds
        self.used = 0
        self.shed = 0
        self.refused = 0
        self.refused_requests = 0
        self._bodies = bodies
        # A dictionary keeps the order of arrival.
        self._holders: dict[Holder, None] = {}
        self._scan_after = 0.0
        self._body_scan_after = 0.0
        self._room_scan_after = 0.0
        self._log_after = 0.0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._holders)

    @property
    def held_limit(self) -> int:
        """Most bytes held; bodies beyond their own limit are taken from it."""
        most = self.bounds.held_bytes
        return max(int(most * MIN_HELD_SHARE), most - self._bodies.excess)

    @property
    def is_full(self) -> bool:
        """Whether clients hold all that is allowed."""
        return (
            self.used > self.held_limit
            and len(self._holders) >= client_load.MIN_CROWD
        )

    def open(self, holder: Holder, *, spare: int) -> bool:
        """Count a new connection.

        Args:
            holder: The connection.
            spare: Connections beyond the limit that its listener may have.

        Returns:
            Whether there is room for it.
        """
        excess = client_load.compute_excess(
            len(self._holders) + 1, self.bounds.connections
        )
        if excess:
            self._close_some(excess_connections=excess)
        # The platform and the target still reach the node when it is full.
        if len(self._holders) >= self.bounds.connections + spare or (
            self.is_full and not spare
        ):
            self.refused += 1
            self._log()
            return False
        self._holders[holder] = None
        holder.charged = holder.held_bytes
        self.used += holder.charged
        self.relieve()
        return True

    def relieve(self) -> None:
        """Close connections as far as a limit is exceeded.

        A connection asks for it when it holds more than before.
        """
        if self.used > self.held_limit:
            self._close_some()
        if self._bodies.used > self._bodies.limit * budget.ADMIT_SHARE:
            self.relieve_bodies()

    def close(self, holder: Holder) -> None:
        """Forget a connection."""
        if holder in self._holders:
            del self._holders[holder]
            self.used -= holder.charged
            holder.charged = 0

    def admits(self, cost: int) -> bool:
        """Tell whether a whole request may be held, and count it if not.

        Connections that hold much without need are closed for it.

        Args:
            cost: Bytes that its head takes.
        """
        if self._has_room(cost):
            return True
        self._make_room(cost)
        if self._has_room(cost):
            return True
        self.refused_requests += 1
        self._log()
        return False

    def _make_room(self, cost: int) -> None:
        """Close connections for a request if that frees enough."""
        now = asyncio.get_running_loop().time()
        if now < self._room_scan_after:
            return
        self._refresh()
        if self._has_room(cost):
            return
        holdings = [
            each
            for each in self._list_holdings(now, bodies_only=False)
            if each.held_bytes > client_load.CONNECTION_BYTES
        ]
        excess = max(
            cost,
            client_load.compute_excess(self.used + cost, self.held_limit),
        )
        if sum(each.held_bytes for each in holdings) < excess:
            self._room_scan_after = now + SCAN_INTERVAL_S
            return
        self._close_chosen(
            client_load.choose_closed(holdings, excess_bytes=excess)
        )

    def _has_room(self, cost: int) -> bool:
        return client_load.admits_request(
            cost,
            used=self.used,
            connections=len(self._holders),
            bounds=dataclasses.replace(
                self.bounds, held_bytes=self.held_limit
            ),
        )

    def relieve_bodies(self) -> None:
        """Close connections that fill the budget of bodies."""
        now = asyncio.get_running_loop().time()
        if now < self._body_scan_after:
            return
        self._body_scan_after = now + SCAN_INTERVAL_S
        holdings = self._list_holdings(now, bodies_only=True)
        limit = int(self._bodies.limit * UNFINISHED_BODY_SHARE)
        excess = sum(each.held_bytes for each in holdings) - limit
        if not self._are_crowd(holdings):
            holdings = [each for each in holdings if each.key.is_stalled]
        if excess > 0:
            self._close_chosen(
                client_load.choose_closed(holdings, excess_bytes=excess)
            )

    def _are_crowd(
        self, holdings: collections.abc.Sequence[client_load.Holding[Holder]]
    ) -> bool:
        """Tell whether connections that hold bodies are closed for it.

        A few callers that read long answers slowly fill the budget as well;
        the requests of all other connections are refused meanwhile.
        """
        if len(holdings) >= client_load.MIN_CROWD:
            return True
        return (
            len(self._holders) >= client_load.MIN_CROWD
            and sum(each.key.is_reading_slowly for each in holdings) > 1
        )

    def _close_some(
        self, *, excess_bytes: int = 0, excess_connections: int = 0
    ) -> None:
        """Close what exceeds the limits.

        Args:
            excess_bytes: Bytes to free at least.
            excess_connections: Connections to close at least.
        """
        now = asyncio.get_running_loop().time()
        if (
            now < self._scan_after
            or len(self._holders) < client_load.MIN_CROWD
        ):
            return
        self._refresh()
        excess_bytes = max(
            excess_bytes,
            client_load.compute_excess(self.used, self.held_limit),
        )
        before = self.used, len(self._holders)
        self._close_chosen(
            client_load.choose_closed(
                self._list_holdings(now, bodies_only=False),
                excess_bytes=excess_bytes,
                excess_connections=excess_connections,
            )
        )
        if (
            before[0] - self.used < excess_bytes
            or before[1] - len(self._holders) < excess_connections
        ):
            self._scan_after = now + SCAN_INTERVAL_S

    def _refresh(self) -> None:
        """Count again: callers read answers without any notice of it."""
        self.used = 0
        for holder in self._holders:
            holder.charged = holder.held_bytes
            self.used += holder.charged

    def _list_holdings(
        self, now: float, *, bodies_only: bool
    ) -> list[client_load.Holding[Holder]]:
        holdings = []
        for holder in self._holders:
            held = holder.held_body_bytes if bodies_only else holder.held_bytes
            age_s = holder.measure_age(now) if held else None
            if age_s is not None:
                holdings.append(client_load.Holding(holder, held, age_s))
        return holdings

    def _close_chosen(self, chosen: collections.abc.Sequence[Holder]) -> None:
        for holder in chosen:
            self.close(holder)
            holder.shed()
        self.shed += len(chosen)
        if chosen:
            self._log()

    def _log(self) -> None:
        now = asyncio.get_running_loop().time()
        if now < self._log_after:
            return
        self._log_after = now + LOG_INTERVAL_S
        events.log(
            events.CLIENTS_SHED,
            held_bytes=self.used,
            held_limit=self.held_limit,
            connections=len(self._holders),
            connections_limit=self.bounds.connections,
            shed=self.shed,
            refused=self.refused,
            refused_requests=self.refused_requests,
        )
