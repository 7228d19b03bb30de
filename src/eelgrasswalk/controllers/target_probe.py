"""Asks the target beside the node whether it serves."""

import typing

from .. import ports
from ..transport import http_client

# A target that is not confirmed by then is asked again a little later.
TIMEOUT_S = 0.5


class TargetProbe:
    """Sends health checks to the target.

    Args:
        pool: Connections to the target.
        dialect: Reads its answers.
        get_path: Returns the path of its health, or an empty text while that
            is not known.
    """

    def __init__(
        self,
        pool: http_client.TargetPool,
        dialect: ports.Dialect,
        *,
        get_path: typing.Callable[[], str],
    ) -> None:
        self._pool = pool
        self._dialect = dialect
        self._get_path = get_path

    async def is_serving(self, target_id: str) -> bool:
        """Return whether a target is there, healthy and not leaving.

        Args:
            target_id: Id of the target; another may serve at its address.
        """
        path = self._get_path()
        if not path:
            return False
        answer = await self._pool.ask(path, timeout_s=TIMEOUT_S)
        if answer is None or answer.status != 200:
            return False
        notice = self._dialect.read_notice(answer)
        is_leaving = notice is not None and notice.leaving
        return (
            not is_leaving
            and self._dialect.read_target_id(answer) == target_id
        )
