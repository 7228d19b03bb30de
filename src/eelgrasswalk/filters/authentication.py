"""Authenticates requests by API key or context token."""

import typing

from .. import verdict
from ..transport import message
from . import filter_chain
from . import served_calls

STALE_RETRY_S = 2.0


class AuthenticationCheck:
    """Authenticates clients by API key and child calls by context token.

    The key is checked on every request, so that a withdrawn key stops working
    at once, also on open connections.

    Args:
        calls: Calls that this node's target is serving.
        key_header: Name of the header that carries the API key.
        allows_keys: Returns whether this node's list of keys is recent enough
            to rely on.
    """

    def __init__(
        self,
        calls: served_calls.ServedCalls,
        *,
        key_header: str,
        allows_keys: typing.Callable[[], bool] = lambda: True,
    ) -> None:
        self._calls = calls
        self._allows_keys = allows_keys
        self._key_header = key_header.lower().encode('ascii')

    def check(self, exchange: filter_chain.Exchange) -> verdict.NotRun | None:
        """Set the client account, or the call that a child call belongs to."""
        headers = exchange.request.headers
        if exchange.source is filter_chain.Source.TARGET:
            token = message.find_header(headers, message.CONTEXT_HEADER)
            if token is not None:
                return self._adopt_context(exchange, token)
        key = message.find_header(headers, self._key_header)
        if key is None:
            return None
        if not self._allows_keys():
            return verdict.NotRun(
                verdict.Reason.NO_CONFIGURATION,
                retry_after_s=STALE_RETRY_S,
                detail='the node hears neither the store nor other nodes',
            )
        account = exchange.table.find_account(key)
        if account is None:
            return verdict.NotRun(verdict.Reason.KEY_UNKNOWN)
        exchange.account = account
        return None

    def _adopt_context(
        self, exchange: filter_chain.Exchange, token: bytes
    ) -> verdict.NotRun | None:
        exchange.parent_call = self._calls.find(token)
        if exchange.parent_call is None:
            return verdict.NotRun(
                verdict.Reason.NO_CONTEXT,
                detail='the call that this token belongs to has ended',
            )
        exchange.account = exchange.parent_call.context.account
        return None
