"""Asks the target beside the node whether it serves."""

import typing

from .. import ports
from .. import verdict
from ..transport import http_client

# A target that is not confirmed by then is asked again a little later.
TIMEOUT_S = 0.5


class LoadListener(typing.Protocol):
    """Takes the load that the target reports."""

    run_id: str

    def observe(self, response: verdict.Response, run_id: str) -> None:
        """Record what an answer of a run reports."""


class TargetProbe:
    """Sends health checks to the target.

    Args:
        pool: Connections to the target.
        dialect: Reads its answers.
        get_path: Returns the path of its health, or an empty text while that
            is not known.
        loads: Takes the load that its answers report; None for nothing.
    """

    def __init__(
        self,
        pool: http_client.TargetPool,
        dialect: ports.Dialect,
        *,
        get_path: typing.Callable[[], str],
        loads: LoadListener | None = None,
    ) -> None:
        self._pool = pool
        self._dialect = dialect
        self._get_path = get_path
        self._loads = loads

    async def is_serving(self, target_id: str) -> bool:
        """Return whether a target is there, healthy and not leaving.

        Args:
            target_id: Id of the target; another may serve at its address.
        """
        path = self._get_path()
        if not path:
            return False
        run_id = '' if self._loads is None else self._loads.run_id
        answer = await self._pool.ask(path, timeout_s=TIMEOUT_S)
        if answer is None or answer.status != 200:
            return False
        if self._dialect.read_target_id(answer) != target_id:
            return False
        if self._loads is not None:
            self._loads.observe(answer, run_id)
        notice = self._dialect.read_notice(answer)
        return notice is None or not notice.leaving
