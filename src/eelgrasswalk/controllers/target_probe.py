"""Asks the target beside the node whether it serves."""

import dataclasses
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


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReport:
    """What a target says of itself in the response to a health check.

    Args:
        is_healthy: Whether it is healthy.
        is_leaving: Whether it is leaving.
        cold_s: Seconds for which it remains cold; 0 if it is not cold; None
            if the value is malformed.
    """

    is_healthy: bool
    is_leaving: bool = False
    cold_s: float | None = 0.0

    @property
    def is_serving(self) -> bool:
        """Whether the target is healthy and not leaving."""
        return self.is_healthy and not self.is_leaving


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

    async def ask(self, target_id: str) -> HealthReport | None:
        """Send a health check and return what the target responds.

        Args:
            target_id: Id of the target; another may serve at its address.

        Returns:
            The report; None without a response of this target.
        """
        path = self._get_path()
        if not path:
            return None
        run_id = '' if self._loads is None else self._loads.run_id
        answer = await self._pool.ask(path, timeout_s=TIMEOUT_S)
        if answer is None:
            return None
        if self._dialect.read_target_id(answer) != target_id:
            return None
        if self._loads is not None and answer.status == 200:
            self._loads.observe(answer, run_id)
        notice = self._dialect.read_notice(answer)
        return HealthReport(
            is_healthy=answer.status == 200,
            is_leaving=notice is not None and notice.leaving,
            cold_s=self._dialect.read_cold_s(answer),
        )
