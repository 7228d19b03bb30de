"""Finds the client account of a request, or the call that it belongs to."""

import typing

from .. import verdict
from ..transport import message
from . import filter_chain
from . import served_calls

STALE_RETRY_S = 2.0


class AuthenticationCheck:
    """Goes by the key, or by the context token of the target's own calls.

    The key is checked on every request, so that a withdrawn key stops at
    once for callers that stay connected.

    Args:
        calls: The calls that this node's target is serving.
        key_header: Header that carries the key.
        allows_keys: Tells whether the node may go by its list of keys.
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
        """Set the account or the served call of an exchange."""
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
        exchange.served = self._calls.find(token)
        if exchange.served is None:
            return verdict.NotRun(
                verdict.Reason.NO_CONTEXT,
                detail='the call that this token belongs to has ended',
            )
        exchange.account = exchange.served.context.account
        return None
