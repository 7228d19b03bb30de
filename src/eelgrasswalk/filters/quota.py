"""Enforces the rate and burst of client accounts across all hosts."""

import typing

from .. import verdict
from ..policy import quota
from . import filter_chain


class Quota(typing.Protocol):
    """Admits requests of client accounts."""

    def try_admit(self, account: str) -> quota.Admitted | quota.Refused | None:
        """Decide at once, or return None if another node must be asked."""

    async def admit(
        self, account: str, deadline: float
    ) -> quota.Admitted | quota.Refused:
        """Decide, waiting briefly for tokens.

        Args:
            account: Name of the client account.
            deadline: Loop time by which the request needs its answer.
        """


class QuotaFilter:
    """Charges each root request to its client account's quota.

    Child calls and requests without an account are not charged.

    Args:
        controller: Decides on requests.
    """

    def __init__(self, controller: Quota) -> None:
        self._quota = controller

    async def apply(
        self, exchange: filter_chain.Exchange, proceed: filter_chain.Proceed
    ) -> verdict.Verdict:
        """Refuse a request whose client account is over its rate."""
        if exchange.parent_call is not None or not exchange.account:
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
