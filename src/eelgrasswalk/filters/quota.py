"""Holds client accounts to their rate and burst across all hosts."""

import typing

from .. import verdict
from ..policy import quota
from . import filter_chain


class Quota(typing.Protocol):
    """Admits requests of client accounts."""

    def try_admit(self, account: str) -> quota.Admitted | quota.Refused | None:
        """Decide at once, or return None when that takes a message."""

    async def admit(
        self, account: str, deadline: float
    ) -> quota.Admitted | quota.Refused:
        """Decide, waiting shortly for tokens."""


class QuotaFilter:
    """Charges each request once, where it enters the system.

    Args:
        controller: Admits requests.
    """

    def __init__(self, controller: Quota) -> None:
        self._quota = controller

    async def apply(
        self, exchange: filter_chain.Exchange, proceed: filter_chain.Proceed
    ) -> verdict.Verdict:
        """Refuse a request whose account is over its rate."""
        if exchange.served is not None or not exchange.account:
            return await proceed(exchange)
        decision = self._quota.try_admit(exchange.account)
        if decision is None:
            decision = await self._quota.admit(
                exchange.account, exchange.deadline
            )
        if isinstance(decision, quota.Refused):
            return verdict.NotRun(
                verdict.Reason.QUOTA, retry_after_s=decision.retry_after_s
            )
        return await proceed(exchange)
