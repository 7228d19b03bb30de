"""Ids of attempts, which no two processes ever share."""

import itertools
import secrets

from . import frames

_COUNTER_BYTES = 6


class AttemptIds:
    """Counts attempts behind random bytes drawn once.

    A random number for each attempt would take a system call.
    """

    def __init__(self) -> None:
        self._prefix = secrets.token_bytes(
            frames.ATTEMPT_BYTES - _COUNTER_BYTES
        )
        self._numbers = itertools.count()

    def take(self) -> bytes:
        """Return the next id."""
        number = next(self._numbers)
        return self._prefix + number.to_bytes(_COUNTER_BYTES, 'big')
