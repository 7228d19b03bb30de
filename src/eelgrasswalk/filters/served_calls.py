"""Registry of the calls that this node's target is serving."""

import asyncio
import secrets

from . import filter_chain

TOKEN_BYTES = 16


class ServedCalls:
    """Maps context tokens to the calls that the target is serving."""

    def __init__(self) -> None:
        self._calls: dict[bytes, filter_chain.ServedCall] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: filter_chain.ServedCall) -> bytes:
        """Register a call and return its token."""
        token = secrets.token_urlsafe(TOKEN_BYTES).encode('ascii')
        self._calls[token] = call
        return token

    def find(self, token: bytes) -> filter_chain.ServedCall | None:
        """Return the call of a token, or None if it has ended."""
        return self._calls.get(token)

    def remove(self, token: bytes) -> None:
        """Remove a call and cancel its child calls that are still running."""
        call = self._calls.pop(token, None)
        if call is None:
            return
        current = asyncio.current_task()
        for task in list(call.children):
            if task is not current:
                task.cancel()
