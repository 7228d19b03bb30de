"""Homes: the data centres in which requests may run."""

import collections.abc

# Pairs of limits whose result is kept; each pair of a route and an account
# that both have homes adds one at most.
MAX_KEPT = 4096


class Homes:
    """Finds the data centres in the regions that requests may run in.

    Args:
        regions: Region of each data centre. A data centre that is missing
            has an unknown region, in which no limited request may run.
    """

    def __init__(self, regions: collections.abc.Mapping[str, str]) -> None:
        self._kept: dict[
            tuple[frozenset[str], frozenset[str]], frozenset[str]
        ] = {}
        self.set_regions(regions)

    def set_regions(self, regions: collections.abc.Mapping[str, str]) -> None:
        """Set the region of each data centre."""
        self._regions = dict(regions)
        self._kept.clear()

    def find_allowed(
        self, route: frozenset[str], account: frozenset[str]
    ) -> frozenset[str] | None:
        """Return the data centres in which a request may run.

        Args:
            route: Regions that the route allows; empty for all.
            account: Regions that the client account allows; empty for all.

        Returns:
            Their names, possibly none; None if there is no limit.
        """
        if not route and not account:
            return None
        found = self._kept.get((route, account))
        if found is None:
            found = self._compute_allowed(route, account)
            if len(self._kept) >= MAX_KEPT:
                self._kept.clear()
            self._kept[route, account] = found
        return found

    def read_allowed(
        self, route: frozenset[str], account: frozenset[str]
    ) -> frozenset[str] | None:
        """Return the same as find_allowed; the result is not kept."""
        if not route and not account:
            return None
        return self._compute_allowed(route, account)

    def _compute_allowed(
        self, route: frozenset[str], account: frozenset[str]
    ) -> frozenset[str]:
        return frozenset(
            data_centre
            for data_centre, region in self._regions.items()
            if (not route or region in route)
            and (not account or region in account)
        )
