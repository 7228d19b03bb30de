"""Asks the target beside the node whether it serves."""

import asyncio
import typing

from .. import address
from .. import ports
from .. import verdict
from ..transport import http_client
from ..transport import message

# A target that is not confirmed by then is asked again a little later.
TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 65_536


class TargetProbe:
    """Sends health checks to the target.

    Args:
        target: Address of the target.
        pool: Connections to it.
        dialect: Reads its answers.
        get_path: Returns the path of its health, or an empty text while that
            is not known.
    """

    def __init__(
        self,
        target: address.Address,
        pool: http_client.TargetPool,
        dialect: ports.Dialect,
        *,
        get_path: typing.Callable[[], str],
    ) -> None:
        self._target = target
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
        answer = await self._ask(path)
        if answer is None or answer.status != 200:
            return False
        notice = self._dialect.read_notice(answer)
        is_leaving = notice is not None and notice.leaving
        return (
            not is_leaving
            and self._dialect.read_target_id(answer) == target_id
        )

    async def _ask(self, path: str) -> verdict.Response | None:
        request = message.Request(
            'GET', path, ((b'host', str(self._target).encode()),), b''
        )
        deadline = asyncio.get_running_loop().time() + TIMEOUT_S
        try:
            outcome = await self._pool.send(
                request, max_answer_bytes=MAX_ANSWER_BYTES, deadline=deadline
            )
        except TimeoutError:
            return None
        if isinstance(outcome, http_client.Received):
            return outcome.response
        return None
