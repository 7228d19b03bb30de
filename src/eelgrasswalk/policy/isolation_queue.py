"""Order in which suspects run at one target, a few at a time.

It handles the moments after a crash, when the requests that it ended come
again together, one of which may be deadly. If they ran all at once, the next
crash would tell nothing; one after the other, the last would come too late.
The more of them there are, the more run at a time, so that all of them pass in
a few rounds. Prime suspects run alone, and before the others. Repetitions of a
request wait for its run.
"""

import collections
import collections.abc
import dataclasses
import math
import typing

# Rounds in which waiting suspects pass: the delay that innocent ones bear, in
# service times.
ROUNDS = 3

IsPrime: typing.TypeAlias = typing.Callable[[bytes], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A place in the queue.

    Args:
        number: Number that no other place has; the lowest came first.
        digest: Digest of the request.
        is_adopted: Whether it ran already when it became a suspect.
    """

    number: int
    digest: bytes
    is_adopted: bool = False


class IsolationQueue:
    """Decides which suspects may run at a target now.

    Args:
        is_prime: Tells of a request whether it may run only alone.
    """

    def __init__(self, is_prime: IsPrime) -> None:
        self._is_prime = is_prime
        self._waiting: dict[int, Ticket] = {}
        self._waiting_digests: collections.Counter[bytes] = (
            collections.Counter()
        )
        self._running: dict[bytes, Ticket] = {}
        self._last_number = 0
        self._width = 1

    def enter(self, digest: bytes) -> Ticket:
        """Add a request to the queue."""
        self._last_number += 1
        ticket = Ticket(self._last_number, digest)
        self._waiting[ticket.number] = ticket
        self._waiting_digests[digest] += 1
        return ticket

    def adopt(self, digest: bytes) -> Ticket | None:
        """Add a request that already runs, unless one like it does."""
        if digest in self._running:
            return None
        self._last_number += 1
        ticket = Ticket(self._last_number, digest, is_adopted=True)
        self._running[digest] = ticket
        return ticket

    def leave(self, ticket: Ticket) -> None:
        """Remove a request that waits or runs."""
        self._remove_waiting(ticket)
        if self._running.get(ticket.digest) is ticket:
            del self._running[ticket.digest]
        if not self._waiting and not self._running:
            self._width = 1

    def start(self) -> list[Ticket]:
        """Start the requests that may run now, and return them."""
        started: list[Ticket] = []
        self._widen()
        if len(self._running) >= self._width:
            return started
        for ticket in self._sort_waiting():
            if ticket.digest in self._running:
                continue
            if not self._has_room(ticket):
                break
            self._remove_waiting(ticket)
            self._running[ticket.digest] = ticket
            started.append(ticket)
        return started

    def list_waiting(self) -> list[Ticket]:
        """Return the requests that wait."""
        return list(self._waiting.values())

    def _remove_waiting(self, ticket: Ticket) -> None:
        if self._waiting.pop(ticket.number, None) is None:
            return
        self._waiting_digests[ticket.digest] -= 1
        if not self._waiting_digests[ticket.digest]:
            del self._waiting_digests[ticket.digest]

    def _sort_waiting(self) -> collections.abc.Sequence[Ticket]:
        return sorted(
            self._waiting.values(),
            key=lambda ticket: (
                not self._is_prime(ticket.digest),
                ticket.number,
            ),
        )

    def _widen(self) -> None:
        """Let more run at a time if more have come."""
        count = len(self._waiting_digests) + len(self._running)
        self._width = max(self._width, math.ceil(count / ROUNDS))

    def _has_room(self, ticket: Ticket) -> bool:
        if not self._running:
            return True
        if len(self._running) >= self._width or self._is_prime(ticket.digest):
            return False
        # One that ran at two targets at a crash is likely the deadly one.
        return not any(
            other.is_adopted or self._is_prime(other.digest)
            for other in self._running.values()
        )
