"""Finds the data centres in which a call may run, by the newest rules."""

from ..policy import call_rules
from ..policy.placement import homes
from . import front


class CallHomes:
    """Applies the homes of routes and client accounts to calls.

    It goes by the rules in force at each attempt, as a call may be retried
    long after it has arrived.

    Args:
        known: Finds the data centres of regions.
        get_table: Returns the active rules, or None if there are none.
    """

    def __init__(
        self, known: homes.Homes, get_table: call_rules.GetRuleTable
    ) -> None:
        self._homes = known
        self._get_table = get_table

    def find(self, call: front.IncomingCall) -> frozenset[str] | None:
        """Return the data centres in which a call may run; None for all."""
        route = call.route
        table = self._get_table()
        if table is None:
            return self._homes.find_allowed(
                route.regions, call.account_regions
            )
        if not (table.has_homes or route.regions or call.account_regions):
            return None
        # A route or an account that has been withdrawn meanwhile stays
        # limited as it was when the call arrived.
        found = table.find_route(route.hostname, route.prefix)
        # In place of a withdrawn route, one with a shorter prefix may match.
        if found is not None and found.prefix == route.prefix:
            route = found
        account = table.accounts.get(call.account)
        return self._homes.find_allowed(
            route.regions,
            call.account_regions if account is None else account.regions,
        )
