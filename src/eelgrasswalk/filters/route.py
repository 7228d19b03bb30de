"""Finds the route of a request and enforces the route's limits."""

from .. import verdict
from ..policy import routing
from . import filter_chain


class RouteCheck:
    """Sets the route and refuses requests that it does not allow."""

    def check(self, exchange: filter_chain.Exchange) -> verdict.NotRun | None:
        """Set the route, or refuse the request."""
        request = exchange.request
        match = exchange.table.find_route(request.method, request.path)
        if isinstance(match, routing.AmbiguousPath):
            return verdict.NotRun(
                verdict.Reason.BAD_REQUEST,
                detail='the path has dot segments, empty segments or '
                'encoded slashes',
            )
        if isinstance(match, routing.NoRoute):
            return verdict.NotRun(verdict.Reason.NO_ROUTE)
        exchange.route = match
        if not exchange.account and not match.open_to_all:
            return verdict.NotRun(verdict.Reason.KEY_MISSING)
        if len(request.body) > match.max_request_bytes:
            return verdict.NotRun(
                verdict.Reason.BODY_TOO_LARGE,
                detail=f'send at most {match.max_request_bytes} bytes',
            )
        return None
