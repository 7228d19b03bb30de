"""The log lines of a gate on attempts at its target."""

import collections.abc
import time
import typing

from .. import events
from .. import ports
from .. import request_log
from ..policy import root_share
from ..policy.capacity import slot_queue
from ..transport import budget
from ..transport import dialler
from ..transport import frames
from ..transport import http_client
from . import coldness
from . import deliveries
from . import identity
from . import target_limit

# Digests in the log line of a crash; the last are of the newest calls.
MAX_LOGGED_DIGESTS = 32


class AttemptLog:
    """Records the outcome of each attempt, with what decided it.

    Args:
        dialect: Header format of the target.
        log: Records the outcomes.
        service: Name of the target's service.
        policy: Decides which calls start.
        limit: The rate that the target names.
        cold: Whether the target is or may be cold.
        shares: Decides which new call trees to accept.
        bodies: Memory budget for bodies.
    """

    def __init__(
        self,
        dialect: ports.Dialect,
        log: request_log.RequestLog,
        service: str,
        *,
        policy: slot_queue.SlotQueue,
        limit: target_limit.TargetLimit,
        cold: coldness.Coldness,
        shares: root_share.RootShares,
        bodies: budget.ByteBudget,
    ) -> None:
        self._dialect = dialect
        self._log = log
        self._service = service
        self._policy = policy
        self._limit = limit
        self._cold = cold
        self._shares = shares
        self._bodies = bodies

    def record(
        self,
        call: frames.Call,
        reply: dialler.Reply,
        *,
        target_id: str,
        latency_s: float,
    ) -> None:
        """Record how an attempt has ended."""
        self._log.record(
            events.ATTEMPT_ENDED,
            reply.outcome,
            hop='gate',
            service=self._service,
            account=call.context.account,
            latency_s=latency_s,
            describe=lambda: self._describe(call, reply, target_id),
        )

    def record_given_up(
        self, call: frames.Call, outcome: http_client.Broken, target_id: str
    ) -> None:
        """Name the target whose answer was too large, and the request."""
        events.log(
            events.ANSWER_GIVEN_UP,
            target=target_id,
            request=self._dialect.read_request_id(call.request.headers),
            reason=outcome.reason.value,
            detail=outcome.detail,
            body_bytes=self._bodies.used,
        )
        self._log.count_given_up(target_id, outcome.reason)

    def record_crash(
        self,
        run_id: str,
        started: collections.abc.Sequence[deliveries.Started],
        *,
        is_leaving: bool,
    ) -> None:
        """Name the requests under which a run of the target has ended."""
        digests = [each.digest.hex() for each in started]
        events.log(
            events.TARGET_CRASHED,
            target=run_id,
            running=len(started),
            digests=digests[-MAX_LOGGED_DIGESTS:],
            is_leaving=is_leaving,
        )

    def _describe(
        self, call: frames.Call, reply: dialler.Reply, target_id: str
    ) -> dict[str, typing.Any]:
        policy = self._policy
        feedback = reply.feedback
        fields = {
            'request': self._dialect.read_request_id(call.request.headers),
            'digest': identity.compute_digest(
                call.request, call.context.account
            ).hex(),
            'route': call.route,
            'target': target_id,
            'left_ms': round(call.remaining_s * 1000.0),
            'waited_ms': (
                None
                if feedback is None
                else round(feedback.queue_delay_s * 1000.0, 1)
            ),
            'running': policy.in_flight,
            'queued': policy.queued,
            'limit': policy.limit,
            'calls_per_s': self._limit.calls_per_s,
            'sent_per_s': self._limit.measure_sent(),
            'share': round(
                self._shares.compute_share(call.route, time.monotonic()), 2
            ),
            'run_at': '' if feedback is None else feedback.run_at,
            'detail': getattr(reply.outcome, 'detail', ''),
        }
        if self._cold.is_limited:
            fields['cold_ms'] = round(self._cold.compute_left() * 1000.0)
        return fields
