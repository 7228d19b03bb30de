"""One timer for all links of a node that are watched for silence."""

import asyncio
import typing

INTERVAL_S = 0.2


class Watched(typing.Protocol):
    """Something that may go silent."""

    def check_liveness(self, now: float) -> None:
        """Probe the peer, or give it up, if it has been silent for long.

        Args:
            now: Loop time.
        """


class Watch:
    """Checks what it watches at one interval.

    A timer for each link would wake a node with links to a whole fleet
    hundreds of times a second.
    """

    def __init__(self) -> None:
        self._watched: set[Watched] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, item: Watched) -> None:
        """Begin to watch."""
        self._watched.add(item)
        if self._timer is None:
            self._set_timer()

    def discard(self, item: Watched) -> None:
        """Watch no longer; without effect for what is not watched."""
        self._watched.discard(item)

    def _set_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(INTERVAL_S, self._check)

    def _check(self) -> None:
        now = asyncio.get_running_loop().time()
        for item in tuple(self._watched):
            item.check_liveness(now)
        if self._watched:
            self._set_timer()
        else:
            self._timer = None
