"""Sends a call to the target and turns the outcome into a verdict."""

import asyncio
import typing

from .. import verdict
from ..document import model
from ..transport import budget
from ..transport import http_client
from ..transport import message

MIN_REMAINING_S = 0.001


class Deliverer:
    """Sends requests to this node's target.

    Args:
        pool: Connections to the target.
        removed_headers: Lower-case names of headers that are not sent to the
            target.
    """

    def __init__(
        self,
        pool: http_client.TargetPool,
        *,
        removed_headers: frozenset[bytes],
    ) -> None:
        self._pool = pool
        self._removed = removed_headers
        self._loop = asyncio.get_running_loop()

    async def deliver(
        self,
        request: message.Request,
        *,
        token: bytes,
        route: model.Route,
        service: model.Service,
        deadline: float,
        has_child_calls: typing.Callable[[], bool],
    ) -> verdict.Verdict:
        """Send a request to the target and wait for its answer.

        Args:
            request: The request as the caller's node forwarded it.
            token: Context token that the target sends with its child calls.
            route: Route of the request.
            service: Service of the target.
            deadline: Loop time at which the connection is closed.
            has_child_calls: Returns whether the target has made child calls
                for this request. After that, a refusal by the target does
                not prove that the request has not run.

        Returns:
            The verdict on the request.
        """
        now = self._loop.time()
        if deadline - now < MIN_REMAINING_S:
            return verdict.NotRun(verdict.Reason.DEADLINE)
        outbound = self._prepare(request, token, deadline - now)
        try:
            async with asyncio.timeout_at(deadline):
                outcome = await self._pool.send(
                    outbound, max_answer_bytes=route.max_answer_bytes
                )
        except TimeoutError:
            return verdict.MayHaveRun(verdict.Reason.DEADLINE)
        refusal_proves_not_run = (
            service.refusal_means_not_run and not has_child_calls()
        )
        return self._classify_outcome(
            outcome, refusal_proves_not_run=refusal_proves_not_run
        )

    def _prepare(
        self, request: message.Request, token: bytes, remaining_s: float
    ) -> message.Request:
        headers = message.strip_headers(request.headers, remove=self._removed)
        return message.Request(
            method=request.method,
            target=request.target,
            headers=(
                *headers,
                (message.CONTEXT_HEADER, token),
                (message.DEADLINE_HEADER, b'%.3f' % remaining_s),
            ),
            body=request.body,
        )

    def _classify_outcome(
        self, outcome: http_client.Outcome, *, refusal_proves_not_run: bool
    ) -> verdict.Verdict:
        if isinstance(outcome, http_client.NotSent):
            return verdict.NotRun(
                verdict.Reason.TARGET_UNREACHABLE,
                retry_after_s=1.0,
                detail=outcome.detail,
                retry_elsewhere=True,
            )
        if isinstance(outcome, http_client.Broken):
            return verdict.MayHaveRun(outcome.reason, outcome.detail)
        response = outcome.response
        if response.status == 503 and refusal_proves_not_run:
            return verdict.NotRun(
                verdict.Reason.TARGET_REFUSED,
                retry_after_s=_read_retry_after(response),
                retry_elsewhere=True,
            )
        headers = message.strip_headers(
            response.headers, remove=frozenset((b'content-length',))
        )
        answer = verdict.Response(response.status, headers, response.body)
        if len(response.body) > budget.UNCOUNTED_BYTES:
            # Share the body memory already charged for the original response.
            budget.keep_alive(answer, response)
        return verdict.Answered(answer)


def _read_retry_after(response: verdict.Response) -> float:
    value = message.find_header(response.headers, b'retry-after')
    if value is None or not value.isdigit():
        return 1.0
    return float(value)
