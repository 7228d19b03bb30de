"""Decides which requests of a connection run and in what order they end.

Responses are written in the order of the requests, whatever the order in
which they become known.
"""

import collections
import typing

from .. import verdict
from ..policy import client_load
from . import budget
from . import message

# Requests of one connection that may run or await their turn at a time.
MAX_IN_PROGRESS = 64
# Bytes of responses that may await their turn before no request is started.
MAX_HELD_BYTES = 1_048_576
# Bytes of requests that may wait to be started before reading is paused. The
# memory budget does not count short bodies, and the number of requests alone
# would allow 4 MiB of them.
MAX_WAITING_BYTES = 65_536

MayOverlap: typing.TypeAlias = typing.Callable[[message.Request], bool]


class Exchange:
    """A request and its response.

    Args:
        request: The request; None when it could not be read.
        keep_alive: Whether the connection may be used after it.
        length: Number of bytes of the request.
        cost: Bytes of memory that the request takes.
        response: The response if no handler has to be asked.

    Attributes:
        request: As above; dropped when it is no longer needed.
        response: None until it is known.
        is_head: Whether the response has no body.
        is_refusal: Whether the request could not be read.
    """

    __slots__ = (
        'body_bytes',
        'cost',
        'held_bytes',
        'is_head',
        'is_refusal',
        'keep_alive',
        'length',
        'overlaps',
        'request',
        'response',
    )

    def __init__(
        self,
        request: message.Request | None,
        *,
        keep_alive: bool,
        length: int = 0,
        cost: int = 0,
        response: verdict.Response | None = None,
    ) -> None:
        self.request = request
        self.keep_alive = keep_alive
        self.length = length
        self.cost = cost
        self.response = response
        self.is_head = request is not None and request.method == 'HEAD'
        self.is_refusal = request is None
        self.overlaps: bool | None = None
        self.held_bytes = 0
        self.body_bytes = 0


class ResponseOrder:
    """The exchanges of one connection that have not ended.

    An exchange waits, is started, gets its response, and ends once that is
    written and those before it have ended. The first is started whatever its
    request; others join it while all of them may overlap.

    Args:
        may_overlap: Tells whether a request may run at the same time as
            others. It is asked only when there are others.

    Attributes:
        cost: Bytes of memory that all requests and responses take, without
            bodies that the budget of bodies counts.
        body_bytes: Bytes of responses' bodies that it counts.
        held_bytes: Bytes of responses that await their turn.
        is_stopped: Whether no exchange is started any more.
    """

    def __init__(self, may_overlap: MayOverlap) -> None:
        self.cost = 0
        self.body_bytes = 0
        self.held_bytes = 0
        self.is_stopped = False
        self._may_overlap = may_overlap
        self._started: collections.deque[Exchange] = collections.deque()
        self._waiting: collections.deque[Exchange] = collections.deque()
        self._waiting_bytes = 0

    @property
    def in_progress(self) -> int:
        """Number of exchanges that are started and have not ended."""
        return len(self._started)

    @property
    def is_empty(self) -> bool:
        """Whether all exchanges have ended."""
        return not self._started and not self._waiting

    @property
    def must_pause(self) -> bool:
        """Whether no further request should be read."""
        waiting = len(self._waiting)
        return waiting > 0 and (
            len(self._started) + waiting > MAX_IN_PROGRESS
            or self.held_bytes > MAX_HELD_BYTES
            or self._waiting_bytes > MAX_WAITING_BYTES
        )

    def add(self, exchange: Exchange) -> bool:
        """Add an exchange; without effect when none is started any more.

        Returns:
            Whether it is started at once, as there are no others.
        """
        if self.is_stopped:
            return False
        self.cost += exchange.cost
        if not self._started:
            self._started.append(exchange)
            return True
        self._waiting.append(exchange)
        self._waiting_bytes += exchange.length
        return False

    def start_next(self) -> Exchange | None:
        """Start the next exchange, and return it; None if it has to wait."""
        if not self._waiting or not self._may_start(self._waiting[0]):
            return None
        exchange = self._waiting.popleft()
        self._waiting_bytes -= exchange.length
        self._started.append(exchange)
        return exchange

    def _may_start(self, exchange: Exchange) -> bool:
        if not self._started:
            return True
        return (
            len(self._started) < MAX_IN_PROGRESS
            and self.held_bytes <= MAX_HELD_BYTES
            # Those between the first and the last overlap already.
            and self._overlaps(self._started[-1])
            and self._overlaps(exchange)
        )

    def _overlaps(self, exchange: Exchange) -> bool:
        if exchange.overlaps is None:
            # Without a request there is nothing that may run early.
            exchange.overlaps = (
                exchange.request is not None
                and self._may_overlap(exchange.request)
            )
        return exchange.overlaps

    def respond(self, exchange: Exchange, response: verdict.Response) -> bool:
        """Set the response of an exchange that was started.

        Returns:
            Whether it is its turn.
        """
        exchange.response = response
        if exchange.overlaps is not None:
            # Otherwise the next request may still ask whether it overlaps.
            exchange.request = None
        size = client_load.compute_answer_cost(response)
        if len(response.body) > budget.UNCOUNTED_BYTES:
            exchange.body_bytes = len(response.body)
            self.body_bytes += exchange.body_bytes
        added = size - exchange.body_bytes
        exchange.cost += added
        self.cost += added
        if exchange is self._started[0]:
            return True
        exchange.held_bytes = size
        self.held_bytes += size
        return False

    def find_ready(self) -> Exchange | None:
        """Return the first exchange if its response is known."""
        if self._started and self._started[0].response is not None:
            return self._started[0]
        return None

    def end_first(self) -> bool:
        """End the first exchange, whose response was written.

        Returns:
            Whether there are others.
        """
        exchange = self._started.popleft()
        self.cost -= exchange.cost
        self.body_bytes -= exchange.body_bytes
        self.held_bytes -= exchange.held_bytes
        exchange.request = None
        exchange.response = None
        return bool(self._started or self._waiting)

    def is_last(self, exchange: Exchange) -> bool:
        """Tell whether nothing is answered after a started exchange."""
        if not exchange.keep_alive:
            return True
        return self.is_stopped and exchange is self._started[-1]

    def list_running(self) -> list[Exchange]:
        """Return the started exchanges without a response, in order."""
        return [each for each in self._started if each.response is None]

    def stop(self) -> None:
        """Drop the exchanges that wait, and start none any more."""
        self.is_stopped = True
        self.cost -= sum(each.cost for each in self._waiting)
        self._waiting.clear()
        self._waiting_bytes = 0

    def abandon(self) -> None:
        """Drop all requests and responses; nothing is written any more.

        The memory of their bodies is free then without the garbage
        collector.
        """
        self.stop()
        for exchange in self._started:
            exchange.request = None
            exchange.response = None
